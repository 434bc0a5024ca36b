//! Publication of peers, seats and suspects to request threads.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{EntryInstance, SeatRoster};

use crate::control_loop::ControlLoop;
use crate::shared_state::ReplayOwnership;

impl ControlLoop {
    /// Publishes which instances own idempotency keys, according to the seats of the configuration and the last
    /// heartbeats.
    pub(crate) fn publish_replay_ownership(&mut self, now: MonotonicTime) {
        let Some(config) = &self.config else { return };
        let names: Vec<String> = config
            .seats
            .iter()
            .map(|(_, seat)| seat.name.clone())
            .collect();
        let mut holders = HashMap::new();
        for record in self.peers.live(now) {
            for seat in &record.seats {
                holders.insert(seat.clone(), record.peer.instance.clone());
            }
        }
        let ownership = self.shared.replay_ownership.load();
        self.shared
            .replay_ownership
            .store(Arc::new(ReplayOwnership {
                roster: next_roster(&ownership.roster, now, names),
                tenure: ownership.tenure.clone(),
                holders,
            }));
    }

    /// Publishes the live entry instances for look-ups, this one included.
    pub(crate) fn publish_entries(&mut self, now: MonotonicTime) {
        let (Some(config), Some(location)) = (&self.config, self.location) else {
            return;
        };
        let mut live = self.peers.entry_instances(config, now);
        live.push(EntryInstance {
            name: self.shared.settings.instance.clone(),
            domain: location.domain,
            address: self.shared.settings.entry.advertise,
            leaving: self.shared.is_leaving(),
            headroom_percent: self.headroom_percent(),
        });
        let table = self.entry_table_builder.build(config, &live);
        self.shared.entries.store(Some(Arc::new(table)));
    }

    /// Returns the fraction of this instance's slots that is free, in percent; 0 before the first configuration.
    pub(crate) fn headroom_percent(&self) -> u32 {
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return 0;
        };
        let slot_counters = || {
            snapshot
                .upstream_handles
                .iter()
                .map(|(_, handle)| &handle.slots)
        };
        let capacity: u64 = slot_counters()
            .map(|slots| u64::from(slots.capacity()))
            .sum();
        let used: u64 = slot_counters()
            .map(|slots| u64::from(slots.used().min(slots.capacity())))
            .sum();
        match (100 * (capacity - used)).checked_div(capacity) {
            Some(percent) => u32::try_from(percent).unwrap_or(100),
            // An instance without slots borrows all it uses, so its headroom is unknown.
            None => 100,
        }
    }

    pub(crate) fn publish_suspects(&self) {
        self.shared
            .suspects
            .store(Arc::new(self.suspects.build_table()));
    }
}

/// Returns the roster with the seats `names` as its newest list. The first list is not recorded as a change, because
/// earlier lists are unknown.
fn next_roster(roster: &SeatRoster, now: MonotonicTime, names: Vec<String>) -> SeatRoster {
    if roster.is_empty() {
        SeatRoster::new(names)
    } else {
        roster.updated(now, names)
    }
}
