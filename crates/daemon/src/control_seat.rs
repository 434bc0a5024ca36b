//! Handling of this instance's seat on the control thread: claim, confirmation and release.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ClaimStep, HolderState, Incarnation, PROBE_INTERVAL, ProbeResult, SeatTenure, UpdateOutcome,
};
use coltsfootkeel_model::{FleetConfig, SeatKey};
use coltsfootkeel_platform::StoredSeat;
use coltsfootkeel_protocol::{PeerBody, SeatAnswer, SeatProbe};

use crate::control_event::{ControlEvent, SeatEvent};
use crate::control_loop::ControlLoop;
use crate::seat_lifecycle::SeatClaimant;
use crate::shared_state::ReplayOwnership;

/// Time that a holder or another peer has to answer a probe of a seat.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlLoop {
    /// Executes the next step of a claim and checks the lease of a held seat. Called on each tick before the ledger's
    /// tick, so that the ledger does not use the shares of a seat that may be lost.
    pub(crate) fn tick_seat(&mut self, now: MonotonicTime) {
        match self.seat.claim_step(now) {
            Some(ClaimStep::Probe) => self.probe_holder(),
            Some(ClaimStep::Update) => self.send_claim(),
            Some(ClaimStep::Claimed { idle_since, sent }) => {
                self.finish_claim(idle_since, sent, now);
            }
            Some(ClaimStep::Refused) => self.seat.reset(),
            Some(ClaimStep::Wait) | None => {}
        }
        self.check_holder_state(now);
    }

    /// Starts to read all seats from the platform if this instance neither holds nor claims one.
    pub(crate) fn start_seat_search(&mut self) {
        if self.shared.is_leaving() {
            return;
        }
        let Some(config) = &self.config else { return };
        for seat in self.seat.start_reading(config) {
            tokio::spawn(self.platform.clone().read_seat(seat));
        }
    }

    /// Handles a report of the platform or of a peer on a seat.
    pub(crate) fn handle_seat_event(&mut self, event: SeatEvent, now: MonotonicTime) {
        match event {
            SeatEvent::Read { seat, stored } => self.handle_seat_read(seat, stored, now),
            SeatEvent::ReadFailed => self.seat.reset(),
            SeatEvent::Claimed { stored } => {
                if let Some(pending) = self.seat.pending_claim_mut() {
                    pending.stored = stored;
                    pending.claim.handle_outcome(UpdateOutcome::Done);
                }
            }
            SeatEvent::ClaimLost => {
                if let Some(pending) = self.seat.pending_claim_mut() {
                    pending.claim.handle_outcome(UpdateOutcome::Lost);
                }
            }
            SeatEvent::ClaimUnknown => self.send_claim(),
            SeatEvent::Rewritten {
                round,
                stored,
                is_own,
            } => self.handle_rewrite(round, stored, is_own),
            SeatEvent::Answered { peer, answer } => self.handle_seat_answer(peer, &answer, now),
            SeatEvent::Released => {}
        }
    }

    /// Answers the probe of a claimant, or of a holder that needs a confirmation of its seat.
    pub(crate) fn answer_seat_probe(
        &mut self,
        sender: u64,
        probe: &SeatProbe,
        now: MonotonicTime,
    ) -> SeatAnswer {
        self.seat.record_contact(sender, &[], now);
        let held = self.seat.held().is_some_and(|held| held.name == probe.seat);
        let pending = self.seat.pending_claim();
        let is_claiming = pending
            .is_some_and(|pending| pending.name == probe.seat && pending.claim.is_claiming());
        SeatAnswer {
            seat: probe.seat.clone(),
            held,
            claimed: is_claiming || (held && probe.incarnation != self.shared.incarnation),
            round: probe.round,
        }
    }

    /// Returns the key that the held seat has in `config`; `None` if no seat is held or `config` does not contain it.
    pub(crate) fn seat_key(&self, config: &FleetConfig) -> Option<SeatKey> {
        let held = self.seat.held()?;
        config.seats.find(|seat| seat.name == held.name)
    }

    /// Releases the seat before the process ends, and signals `done` when the release ended, or immediately if no seat
    /// is held.
    pub(crate) fn release_seat(
        &mut self,
        done: tokio::sync::oneshot::Sender<()>,
        now: MonotonicTime,
    ) {
        let settled = !self.builder.ledger.has_lent_or_used_slots();
        self.builder.ledger.suspend_seat(now);
        let Some(held) = self.seat.release() else {
            let _ = done.send(());
            return;
        };
        self.apply_seat(None, now);
        let platform = self.platform.clone();
        tokio::spawn(async move {
            platform.release_seat(held.name, held.stored, settled).await;
            let _ = done.send(());
        });
    }

    fn handle_seat_read(&mut self, name: String, stored: StoredSeat, now: MonotonicTime) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let peers = &self.peers;
        let is_live = |incarnation| {
            peers
                .live(now)
                .any(|record| record.peer.incarnation == incarnation)
        };
        let settings = &self.shared.settings;
        let claimant = SeatClaimant {
            instance: &settings.instance,
            peer_address: settings.peer.advertise,
            failure_domain: &settings.failure_domain,
        };
        self.seat
            .handle_read(name, stored, &config, claimant, is_live, now);
    }

    fn send_claim(&self) {
        if let Some(pending) = self.seat.pending_claim() {
            let (name, stored) = (pending.name.clone(), pending.stored.clone());
            tokio::spawn(self.platform.clone().claim_seat(name, stored));
        }
    }

    fn finish_claim(
        &mut self,
        idle_since: Option<MonotonicTime>,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(pending) = self.seat.pending_claim() else {
            return;
        };
        let (name, stored) = (pending.name.clone(), pending.stored.clone());
        let is_settled = pending.is_settled;
        log::info!("seat: Claimed {name} at epoch {}.", stored.occupancy.epoch);
        let incarnation = self.shared.incarnation;
        let tenure = match idle_since {
            None => SeatTenure::for_new_fleet(now, name.clone(), incarnation),
            Some(_) => SeatTenure::claimed(now, name.clone(), incarnation),
        };
        match idle_since {
            Some(released) if is_settled => self.builder.ledger.activate_settled_seat(released),
            _ => self.builder.ledger.activate_claimed_seat(idle_since),
        }
        self.seat.set_held(name, stored, sent);
        self.apply_seat(Some(tenure), now);
    }

    fn check_holder_state(&mut self, now: MonotonicTime) {
        let known_instances: BTreeSet<Incarnation> = self
            .peers
            .iter()
            .map(|record| Incarnation(record.peer.incarnation))
            .collect();
        let Some(held) = self.seat.held_mut() else {
            return;
        };
        let state = held.holder.tick(now);
        held.holder.set_known_instances(known_instances);
        match state {
            HolderState::Holding => self.builder.ledger.resume_seat(),
            HolderState::Unconfirmed => {
                self.builder.ledger.suspend_seat(now);
                self.request_confirmation(now);
            }
            HolderState::Lost => {
                log::warn!("seat: {} was claimed by another instance.", held.name);
                self.builder.ledger.suspend_seat(now);
                self.seat.reset();
                self.apply_seat(None, now);
            }
        }
    }

    /// Requests a confirmation of the held seat from the platform and all peers, once per [`PROBE_INTERVAL`] while one
    /// is needed.
    fn request_confirmation(&mut self, now: MonotonicTime) {
        let Some(held) = self.seat.held_mut() else {
            return;
        };
        let Some(round) = held.holder.pending_round() else {
            return;
        };
        if held
            .last_confirmation_request
            .is_some_and(|requested_at| now.since(requested_at) < PROBE_INTERVAL)
        {
            return;
        }
        held.last_confirmation_request = Some(now);
        let (name, stored) = (held.name.clone(), held.stored.clone());
        tokio::spawn(
            self.platform
                .clone()
                .rewrite_seat(name.clone(), stored, round),
        );
        for record in self.peers.iter() {
            self.send_seat_probe(
                record.peer.incarnation,
                &name,
                self.shared.incarnation,
                round,
            );
        }
    }

    fn handle_rewrite(&mut self, round: u64, stored: StoredSeat, is_own: bool) {
        if let Some(held) = self.seat.held_mut() {
            held.holder.handle_rewrite(round, is_own);
            held.stored = stored;
        }
    }

    fn handle_seat_answer(&mut self, peer: u64, answer: &SeatAnswer, now: MonotonicTime) {
        if let Some(held) = self.seat.held_mut()
            && held.name == answer.seat
        {
            held.holder
                .handle_answer(Incarnation(peer), answer.round, answer.claimed);
        }
        if answer.held {
            self.seat
                .record_contact(peer, std::slice::from_ref(&answer.seat), now);
        }
    }

    fn probe_holder(&self) {
        let Some(pending) = self.seat.pending_claim() else {
            return;
        };
        let Some(holder) = &pending.stored.occupancy.holder else {
            return;
        };
        self.send_seat_probe(holder.incarnation, &pending.name, holder.incarnation, 0);
        if holder.failure_domain != self.shared.settings.failure_domain {
            self.probe_domain(&holder.failure_domain);
        }
    }

    /// Sends a probe of `seat` to the instance `to`; the answer arrives as an event.
    fn send_seat_probe(&self, to: u64, seat: &str, incarnation: u64, round: u64) {
        let Some(handle) = self.peers.find_handle(Incarnation(to)).cloned() else {
            return;
        };
        let probe = SeatProbe {
            seat: seat.to_string(),
            incarnation,
            round,
        };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let answer = handle.call(PeerBody::SeatProbe(probe), PROBE_TIMEOUT).await;
            if let Ok(PeerBody::SeatAnswer(answer)) = answer {
                shared.send_event(ControlEvent::Seat(SeatEvent::Answered { peer: to, answer }));
            }
        });
    }

    /// Probes the upstreams of a failure domain, to distinguish a stopped holder there from an isolated one.
    fn probe_domain(&self, failure_domain: &str) {
        let Some(config) = &self.config else { return };
        for target in self.probe_targets(|domain| config.domains[domain].name == failure_domain) {
            self.spawn_probe(target);
        }
    }

    /// Handles the probe of an upstream: an answer proves that the upstream's failure domain is reachable.
    pub(crate) fn record_domain_probe(
        &mut self,
        upstream: &str,
        result: ProbeResult,
        now: MonotonicTime,
    ) {
        let Some(config) = &self.config else { return };
        if matches!(result, ProbeResult::Failed) {
            return;
        }
        let domain = config.upstreams.find(|record| record.name == upstream);
        let domain = domain.map(|key| config.domains[config.upstreams[key].domain].name.clone());
        let Some(pending) = self.seat.pending_claim_mut() else {
            return;
        };
        let holder = pending.stored.occupancy.holder.as_ref();
        if holder.map(|holder| &holder.failure_domain) == domain.as_ref() {
            pending.claim.record_domain_reached(now);
        }
    }

    /// Applies the shares of the seat that is now held, or of none, and publishes its tenure.
    fn apply_seat(&mut self, tenure: Option<SeatTenure>, now: MonotonicTime) {
        if let (Some(config), Some(location)) = (self.config.clone(), self.location) {
            let seat = self.seat_key(&config);
            self.builder.apply_seat(&config, location, seat, now);
        }
        let ownership = self.shared.replay_ownership.load();
        self.shared
            .replay_ownership
            .store(Arc::new(ReplayOwnership {
                roster: ownership.roster.clone(),
                holders: ownership.holders.clone(),
                tenure,
            }));
        self.send_heartbeats(now);
    }
}
