//! Selection of lenders, and changes of shares that depend on the other seats.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{LOAN_LIFETIME, OldShareUse, SEAT_LEASE, with_drift_margin};

use crate::control_loop::ControlLoop;
use crate::share_table::{SeatLocation, seat_locations};

impl ControlLoop {
    /// Sets the peers that loans are requested from: any holder of a seat for rates, and holders in the upstream's
    /// failure domain for slots.
    pub(crate) fn update_lenders(&mut self, now: MonotonicTime) {
        let (Some(config), Some(location)) = (&self.config, self.location) else {
            return;
        };
        let lenders = self.peers.lenders(config, location.domain, now);
        self.builder.ledger.set_rate_lenders(lenders);
        let peers = &self.peers;
        let in_domain = |domain| {
            let mut lenders = peers.lenders(config, domain, now);
            lenders.retain(|lender| lender.is_near);
            lenders
        };
        self.builder
            .limits
            .set_slot_lenders(config, &mut self.builder.ledger, in_domain);
    }

    /// Advances the shares whose change is delayed until every seat runs the configuration in force.
    pub(crate) fn advance_shares(&mut self, now: MonotonicTime) {
        if !self.builder.shares.has_pending_shares() {
            return;
        }
        let share_use = self.old_share_use(now);
        self.builder.advance_shares(share_use, now);
    }

    /// Returns whether another seat may still use its old share. The use has ended when the holders of all seats,
    /// including those of the previous configuration, run the configuration in force. A holder without heartbeats
    /// counts as stopped only if its failure domain is that of this instance or other instances there send heartbeats,
    /// because an isolated holder continues to use its old share.
    pub(crate) fn old_share_use(&self, now: MonotonicTime) -> OldShareUse {
        let (Some(config), Some(version)) = (&self.config, self.tracker.in_force()) else {
            return OldShareUse::Possible;
        };
        let own: Vec<String> = self
            .seat
            .held()
            .map(|held| held.name.clone())
            .into_iter()
            .collect();
        let silence_limit = with_drift_margin(LOAN_LIFETIME + SEAT_LEASE);
        let has_reached_version = |seat: &str, silence_limit: Duration| {
            let seats = std::iter::once(seat);
            self.tracker
                .seats_have_reached(seats, &own, version.generation, silence_limit, now)
        };
        let is_domain_live = |domain: &str| {
            domain == self.shared.settings.failure_domain
                || self
                    .peers
                    .live(now)
                    .any(|record| record.peer.failure_domain == domain)
        };
        let has_stopped_using_old_share = |location: &SeatLocation| {
            has_reached_version(&location.seat, Duration::MAX)
                || (is_domain_live(&location.failure_domain)
                    && has_reached_version(&location.seat, silence_limit))
        };
        let current = seat_locations(config);
        if current
            .iter()
            .chain(&self.previous_seats)
            .all(has_stopped_using_old_share)
        {
            OldShareUse::Ended
        } else {
            OldShareUse::Possible
        }
    }
}
