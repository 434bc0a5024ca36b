//! Whom to ask for loans, and shares that wait for the other seats.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{LOAN_LIFETIME, OldShareUse, SEAT_LEASE, with_drift_margin};

use crate::control_loop::ControlLoop;
use crate::share_book::{SeatPlace, seat_places};

impl ControlLoop {
    pub(crate) fn set_lenders(&mut self, now: MonotonicTime) {
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

    /// Moves shares on that wait until every seat runs the configuration in force.
    pub(crate) fn advance_shares(&mut self, now: MonotonicTime) {
        if !self.builder.shares.is_moving() {
            return;
        }
        let evidence = self.seat_evidence(now);
        self.builder.advance_shares(evidence, now);
    }

    /// Tells whether every seat, also one that the configuration no longer names, is known to run it. A seat that is
    /// silent counts only if its failure domain is heard: a holder that is cut off keeps using its old share.
    pub(crate) fn seat_evidence(&self, now: MonotonicTime) -> OldShareUse {
        let (Some(config), Some(version)) = (&self.config, self.tracker.in_force()) else {
            return OldShareUse::Possible;
        };
        let own: Vec<String> = self
            .seat
            .held()
            .map(|held| held.name.clone())
            .into_iter()
            .collect();
        let silence = with_drift_margin(LOAN_LIFETIME + SEAT_LEASE);
        let has_reached = |seat: &str, silence: Duration| {
            let seats = std::iter::once(seat);
            self.tracker
                .seats_have_reached(seats, &own, version.generation, silence, now)
        };
        let is_heard = |domain: &str| {
            domain == self.shared.settings.failure_domain
                || self
                    .peers
                    .heard(now)
                    .any(|record| record.peer.failure_domain == domain)
        };
        let is_settled = |place: &SeatPlace| {
            has_reached(&place.seat, Duration::MAX)
                || (is_heard(&place.failure_domain) && has_reached(&place.seat, silence))
        };
        let current = seat_places(config);
        if current.iter().chain(&self.former_seats).all(is_settled) {
            OldShareUse::Ended
        } else {
            OldShareUse::Possible
        }
    }
}
