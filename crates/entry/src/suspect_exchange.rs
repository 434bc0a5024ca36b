//! Asks the other instances for the requests that crash upstreams when this one starts or has missed reports, and answers
//! their questions.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{FleetHeartbeat, KnownSuspect, SuspectStep};
use coltsfootkeel_steering::{CrashedRequest, StoredRequest, stable_hash};

use crate::control_loop::ControlLoop;
use crate::entry_metrics::CounterName;

/// The most suspects in an answer, so that it fits a datagram.
const MAX_TOLD_SUSPECTS: usize = 512;

impl ControlLoop {
    /// Answers the question of an instance that has started, and applies the answer to a question of this one.
    pub(crate) fn exchange_suspects(&mut self, message: &FleetHeartbeat, from: SocketAddr) {
        let now = self.shared.clock.now();
        match message.suspect_step() {
            SuspectStep::Unrelated => {}
            SuspectStep::Question => self.send_suspects(from, now),
            SuspectStep::Answer => self.apply_answer(message, true, now),
            SuspectStep::UnawareAnswer => self.apply_answer(message, false, now),
        }
    }

    /// Returns the step of a regular heartbeat.
    pub(crate) fn suspect_question(&self) -> SuspectStep {
        if self.suspect_inquiry.is_over() {
            SuspectStep::Unrelated
        } else {
            SuspectStep::Question
        }
    }

    fn apply_answer(&mut self, message: &FleetHeartbeat, is_aware: bool, now: MonotonicTime) {
        self.record_suspects(&message.suspects, now);
        let peer = stable_hash(message.instance.as_bytes());
        self.crash_reports
            .record_answer(peer, message.incarnation, message.reported_crashes);
        self.suspect_inquiry.record_answer(peer, is_aware);
        self.update_inquiry(now);
    }

    /// Lets requests be sent once the suspects are known as well as they can be.
    pub(crate) fn update_inquiry(&mut self, now: MonotonicTime) {
        let own_hash = self.shared.own_hash;
        let others: Vec<u64> = self
            .members
            .hashes()
            .filter(|hash| *hash != own_hash)
            .collect();
        let is_known = self.members.iter().next().is_some();
        let others = is_known.then_some(others.as_slice());
        if let Some(end) = self.suspect_inquiry.update(others, now) {
            log::info!(end:?, suspects = self.crash_table.suspects(now).len(); "suspects: The question for requests that crash upstreams is over.");
        }
        if self.suspect_inquiry.is_over() && !self.shared.knows_suspects() {
            self.shared.is_inquiry_over.store(true, Ordering::Release);
            self.shared.inquiry_ended.notify_waiters();
        }
    }

    /// Asks an instance for the crashes that it has reported while this one did not hear it. One question at a time
    /// bounds the answers after a cut of many links.
    pub(crate) fn ask_for_missed_crashes(&mut self) {
        let Some(peer) = self.crash_reports.next_missed() else {
            return;
        };
        if let Some(peer) = self.peers.get(peer) {
            let address = peer.address;
            log::info!(
                instance = peer.heartbeat.instance.as_str();
                "suspects: Reports of crashes were missed, asking for them."
            );
            self.shared.metrics.count(CounterName::SuspectQuestions);
            self.send_suspect_step(Vec::new(), SuspectStep::Question, address);
        }
    }

    /// Applies the refused requests that the store has kept over a restart of all instances. How long ago they crashed an
    /// upstream is unknown.
    pub(crate) fn apply_refused(&mut self, requests: &[StoredRequest]) {
        let now = self.shared.clock.now();
        let told: Vec<KnownSuspect> = requests
            .iter()
            .map(|request| KnownSuspect {
                fingerprint: request.fingerprint,
                upstreams: request.upstreams.clone(),
                age_ms: 0,
            })
            .collect();
        self.record_suspects(&told, now);
        self.suspect_inquiry.record_store();
        self.update_inquiry(now);
    }

    fn record_suspects(&mut self, told: &[KnownSuspect], now: MonotonicTime) {
        for suspect in told {
            let crashed_at = now - Duration::from_millis(suspect.age_ms.into());
            for upstream in &suspect.upstreams {
                self.crash_table
                    .record_crash(suspect.fingerprint, *upstream, crashed_at);
            }
        }
        if !told.is_empty() {
            self.publish_crashes();
        }
    }

    fn send_suspects(&mut self, to: SocketAddr, now: MonotonicTime) {
        let mut suspects = self.crash_table.suspects(now);
        suspects.truncate(MAX_TOLD_SUSPECTS);
        let encode = |suspect: CrashedRequest| KnownSuspect {
            fingerprint: suspect.fingerprint,
            upstreams: suspect.upstreams,
            age_ms: u32::try_from(suspect.age.as_millis()).unwrap_or(u32::MAX),
        };
        let step = if self.suspect_inquiry.is_over() {
            SuspectStep::Answer
        } else {
            SuspectStep::UnawareAnswer
        };
        let suspects = suspects.into_iter().map(encode).collect();
        self.send_suspect_step(suspects, step, to);
    }
}
