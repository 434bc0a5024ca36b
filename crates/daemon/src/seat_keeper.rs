//! Which seat this instance holds.

use coltsfootkeel_model::FleetConfig;
use coltsfootkeel_platform::StoredSeat;

/// The seat of this instance, as the control thread knows it.
#[derive(Debug, Default)]
pub struct SeatKeeper {
    held: Option<HeldSeat>,
    asking: bool,
}

/// A seat that this instance holds.
#[derive(Debug, Clone)]
pub struct HeldSeat {
    /// The name.
    pub name: String,
    /// What the platform holds.
    pub stored: StoredSeat,
}

impl SeatKeeper {
    /// Returns the seat held.
    #[must_use]
    pub fn held(&self) -> Option<&HeldSeat> {
        self.held.as_ref()
    }

    /// Records a seat that was claimed.
    pub fn hold(&mut self, name: String, stored: StoredSeat) {
        self.held = Some(HeldSeat { name, stored });
        self.asking = false;
    }

    /// Forgets the seat.
    pub fn drop_seat(&mut self) -> Option<HeldSeat> {
        self.asking = false;
        self.held.take()
    }

    /// Returns the seats to read next, or none while an answer is awaited or a seat is held.
    #[must_use]
    pub fn seats_to_read(&mut self, config: &FleetConfig, failure_domain: &str) -> Vec<String> {
        if self.held.is_some() || self.asking {
            return Vec::new();
        }
        self.asking = true;
        let seats = config.seats.iter();
        let own = seats.filter(|(_, seat)| config.domains[seat.domain].name == failure_domain);
        own.map(|(_, seat)| seat.name.clone()).collect()
    }

    /// Notes that the answers have come or failed, so that the next tick may ask again.
    pub fn asked(&mut self) {
        self.asking = false;
    }
}
