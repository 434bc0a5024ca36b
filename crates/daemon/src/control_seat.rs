//! How the control thread claims, confirms and releases its seat.

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

use crate::control_event::{ControlEvent, SeatNews};
use crate::control_loop::ControlLoop;
use crate::seat_keeper::SeatClaimant;
use crate::shared_state::ReplayOwnership;

/// Time a holder or a peer has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlLoop {
    /// Moves the seat on. Called on each tick before the ledger's tick.
    pub(crate) fn tick_seat(&mut self, now: MonotonicTime) {
        match self.seat.claim_step(now) {
            Some(ClaimStep::Probe) => self.probe_holder(),
            Some(ClaimStep::Update) => self.send_claim(),
            Some(ClaimStep::Claimed { idle_since, sent }) => {
                self.finish_claim(idle_since, sent, now);
            }
            Some(ClaimStep::Refused) => self.seat.start_over(),
            Some(ClaimStep::Wait) | None => {}
        }
        self.check_standing(now);
    }

    /// Reads the seats if this instance has none.
    pub(crate) fn seek_seat(&mut self) {
        if self.shared.is_leaving() {
            return;
        }
        let Some(config) = &self.config else { return };
        for seat in self.seat.start_reading(config) {
            tokio::spawn(self.platform.clone().read_seat(seat));
        }
    }

    /// Handles what the platform or a peer says about a seat.
    pub(crate) fn handle_seat(&mut self, news: SeatNews, now: MonotonicTime) {
        match news {
            SeatNews::Read { seat, stored } => self.handle_seat_read(seat, stored, now),
            SeatNews::ReadFailed => self.seat.start_over(),
            SeatNews::Claimed { stored } => {
                if let Some(claimed) = self.seat.claiming_mut() {
                    claimed.stored = stored;
                    claimed.claim.handle_outcome(UpdateOutcome::Done);
                }
            }
            SeatNews::ClaimLost => {
                if let Some(claimed) = self.seat.claiming_mut() {
                    claimed.claim.handle_outcome(UpdateOutcome::Lost);
                }
            }
            SeatNews::ClaimUnknown => self.send_claim(),
            SeatNews::Rewritten {
                round,
                stored,
                is_own,
            } => self.handle_rewrite(round, stored, is_own),
            SeatNews::Answered { peer, answer } => self.handle_seat_answer(peer, &answer, now),
            SeatNews::Released => {}
        }
    }

    /// Answers the question of a claimant or of a holder that must have its seat confirmed.
    pub(crate) fn answer_probe(
        &mut self,
        sender: u64,
        probe: &SeatProbe,
        now: MonotonicTime,
    ) -> SeatAnswer {
        self.seat.note_heard(sender, &[], now);
        let held = self.seat.held().is_some_and(|held| held.name == probe.seat);
        let claiming = self.seat.claiming();
        let is_claiming = claiming
            .is_some_and(|claimed| claimed.name == probe.seat && claimed.claim.is_claiming());
        SeatAnswer {
            seat: probe.seat.clone(),
            held,
            claimed: is_claiming || (held && probe.incarnation != self.shared.incarnation),
            round: probe.round,
        }
    }

    /// Returns the key of the seat held in a configuration.
    pub(crate) fn seat_key(&self, config: &FleetConfig) -> Option<SeatKey> {
        let held = self.seat.held()?;
        config.seats.find(|seat| seat.name == held.name)
    }

    /// Gives the seat up before the process ends.
    pub(crate) fn release_seat(
        &mut self,
        done: tokio::sync::oneshot::Sender<()>,
        now: MonotonicTime,
    ) {
        let settled = !self.builder.ledger.has_lent_slots();
        self.builder.ledger.suspend_seat(now);
        let Some(held) = self.seat.release() else {
            let _ = done.send(());
            return;
        };
        self.use_seat(None, now);
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
        let is_heard = |incarnation| {
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
            .take_read(name, stored, &config, claimant, is_heard, now);
    }

    fn send_claim(&self) {
        if let Some(claimed) = self.seat.claiming() {
            let (name, stored) = (claimed.name.clone(), claimed.stored.clone());
            tokio::spawn(self.platform.clone().claim_seat(name, stored));
        }
    }

    fn finish_claim(
        &mut self,
        idle_since: Option<MonotonicTime>,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(claimed) = self.seat.claiming() else {
            return;
        };
        let (name, stored) = (claimed.name.clone(), claimed.stored.clone());
        let is_settled = claimed.is_settled;
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
        self.seat.hold(name, stored, sent);
        self.use_seat(Some(tenure), now);
    }

    fn check_standing(&mut self, now: MonotonicTime) {
        let known: BTreeSet<Incarnation> = self
            .peers
            .iter()
            .map(|record| Incarnation(record.peer.incarnation))
            .collect();
        let Some(held) = self.seat.held_mut() else {
            return;
        };
        let standing = held.holder.tick(now);
        held.holder.set_known_instances(known);
        match standing {
            HolderState::Holding => self.builder.ledger.resume_seat(),
            HolderState::Unconfirmed => {
                self.builder.ledger.suspend_seat(now);
                self.ask_confirmation(now);
            }
            HolderState::Lost => {
                log::warn!("seat: {} was claimed by another instance.", held.name);
                self.builder.ledger.suspend_seat(now);
                self.seat.start_over();
                self.use_seat(None, now);
            }
        }
    }

    /// Asks the platform and all peers, now and then, whether the seat is still held.
    fn ask_confirmation(&mut self, now: MonotonicTime) {
        let Some(held) = self.seat.held_mut() else {
            return;
        };
        let Some(round) = held.holder.pending_round() else {
            return;
        };
        if held
            .asked
            .is_some_and(|asked| now.since(asked) < PROBE_INTERVAL)
        {
            return;
        }
        held.asked = Some(now);
        let (name, stored) = (held.name.clone(), held.stored.clone());
        tokio::spawn(
            self.platform
                .clone()
                .rewrite_seat(name.clone(), stored, round),
        );
        for record in self.peers.iter() {
            self.send_probe(
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
                .note_heard(peer, std::slice::from_ref(&answer.seat), now);
        }
    }

    fn probe_holder(&self) {
        let Some(claimed) = self.seat.claiming() else {
            return;
        };
        let Some(holder) = &claimed.stored.occupancy.holder else {
            return;
        };
        self.send_probe(holder.incarnation, &claimed.name, holder.incarnation, 0);
        if holder.failure_domain != self.shared.settings.failure_domain {
            self.probe_domain(&holder.failure_domain);
        }
    }

    /// Asks an instance about a seat.
    fn send_probe(&self, to: u64, seat: &str, incarnation: u64, round: u64) {
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
                shared.send_event(ControlEvent::Seat(SeatNews::Answered { peer: to, answer }));
            }
        });
    }

    /// Probes upstreams of a failure domain, to tell a dead holder there from one that is cut off.
    fn probe_domain(&self, failure_domain: &str) {
        let Some(config) = &self.config else { return };
        for target in self.probe_targets(|domain| config.domains[domain].name == failure_domain) {
            self.spawn_probe(target);
        }
    }

    /// Takes in a probe of an upstream, which may show that a failure domain is reached.
    pub(crate) fn note_domain_probe(
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
        let Some(claimed) = self.seat.claiming_mut() else {
            return;
        };
        let holder = claimed.stored.occupancy.holder.as_ref();
        if holder.map(|holder| &holder.failure_domain) == domain.as_ref() {
            claimed.claim.record_domain_reached(now);
        }
    }

    fn use_seat(&mut self, tenure: Option<SeatTenure>, now: MonotonicTime) {
        if let (Some(config), Some(location)) = (self.config.clone(), self.location) {
            let seat = self.seat_key(&config);
            self.builder.use_seat(&config, location, seat, now);
        }
        let place = self.shared.replay_ownership.load();
        self.shared
            .replay_ownership
            .store(Arc::new(ReplayOwnership {
                roster: place.roster.clone(),
                holders: place.holders.clone(),
                tenure,
            }));
        self.send_heartbeats(now);
    }
}
