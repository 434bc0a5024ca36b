//! Messages that the control thread exchanges with peers.

use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ClearReport, ConfigAge, CrashId, CrashReport, Incarnation, LedgerOutput, PeerConfigReport,
    SuspectFingerprint,
};
use coltsfootkeel_model::{ConfigVersion, ContentDigest, GenerationNumber};
use coltsfootkeel_protocol::{
    CrashNumber, DrainNotice, HeartbeatMessage, LoanGrant, LoanRequest, LoanReturn, PeerBody,
    SuspectClearance, SuspectNotice,
};

use crate::config_pull::build_config_push;
use crate::control_event::ControlEvent;
use crate::control_loop::ControlLoop;
use crate::loan_messages;
use crate::peer_server::PeerSender;
use crate::peer_table::{HeartbeatStatus, find_domain};

/// Time that a lender has to answer. A later grant would be of little use, because a loan lasts 2 s.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of peers whose addresses a heartbeat carries. If it carried all of them, the total size of all
/// heartbeats would grow with the cube of the number of instances.
const MAX_HEARTBEAT_PEERS: usize = 8;

/// The age in a heartbeat of an instance whose configuration was never confirmed by the platform.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

impl ControlLoop {
    /// Handles a message of a peer and returns the answer, or `None` if the message has none.
    pub(crate) fn handle_message(
        &mut self,
        sender: &PeerSender,
        body: PeerBody,
        now: MonotonicTime,
    ) -> Option<PeerBody> {
        match body {
            PeerBody::Heartbeat(message) => self.handle_heartbeat(sender, message, now),
            PeerBody::LoanRequest(message) => {
                let grant = self.handle_loan_request(sender, &message, now)?;
                return Some(PeerBody::LoanGrant(grant));
            }
            PeerBody::LoanReturn(message) => self.handle_return(sender, &message, now),
            PeerBody::ConfigPull(pull) => {
                let push = build_config_push(&pull, self.loaded_config.as_deref());
                return Some(PeerBody::ConfigPush(push));
            }
            PeerBody::SeatProbe(probe) => {
                return Some(PeerBody::SeatAnswer(self.answer_seat_probe(
                    sender.incarnation,
                    &probe,
                    now,
                )));
            }
            PeerBody::SuspectNotice(notice) => {
                if let Some(report) = decode_suspect_notice(notice)
                    && self.suspects.add_crash(now, &report)
                {
                    self.publish_suspects();
                }
            }
            PeerBody::SuspectClearance(clearance) => {
                if let Some(report) = decode_clearance(clearance) {
                    self.suspects.add_clearance(now, &report);
                    self.publish_suspects();
                }
            }
            PeerBody::DrainNotice(notice) => {
                self.builder.health_evaluator.record_peer_drain(
                    &notice.upstream,
                    notice.leaving,
                    now,
                );
            }
            _ => log::debug!(
                "peers: {} sent a message that is not valid as a request.",
                sender.instance
            ),
        }
        None
    }

    fn handle_heartbeat(
        &mut self,
        sender: &PeerSender,
        message: HeartbeatMessage,
        now: MonotonicTime,
    ) {
        self.add_peer_addresses(&message.known_peers);
        self.seat
            .record_contact(message.incarnation, &message.seats, now);
        let Some(version) = heartbeat_version(&message) else {
            return;
        };
        self.tracker.note_heartbeat(
            &sender.instance,
            message.incarnation,
            version,
            &message.seats,
            now,
        );
        if let (Some(config), Some(age)) = (&self.config, &mut self.config_age)
            && let Some(domain) = find_domain(config, &sender.failure_domain)
        {
            let reported = message.config_age_ms;
            let report = PeerConfigReport {
                domain,
                version,
                age: (reported != UNKNOWN_AGE_MS).then(|| Duration::from_millis(reported)),
                platform_reached: message.platform_reached,
                had_contact: message.platform_contact,
            };
            age.note_peer(&sender.instance, report, now);
        }
        let status = HeartbeatStatus {
            incarnation: message.incarnation,
            seats: message.seats,
            leaving: message.leaving,
            headroom_percent: message.headroom_percent,
        };
        let record = self.peers.find(&sender.instance);
        let is_unchanged = record.is_some_and(|record| {
            record.last_heartbeat.is_some()
                && record.leaving == status.leaving
                && record.seats == status.seats
        });
        self.peers.record_heartbeat(&sender.instance, status, now);
        if !is_unchanged {
            self.publish_entries(now);
            self.publish_replay_ownership(now);
        }
        if version.generation > GenerationNumber(0) {
            self.evaluate_peer_version(&sender.instance, version, now);
        }
    }

    /// Sends the state of this instance to all peers.
    pub(crate) fn send_heartbeats(&mut self, now: MonotonicTime) {
        let message = self.build_heartbeat(now);
        for record in self.peers.iter() {
            // A heartbeat for a peer whose queue is full is dropped; the next one replaces it.
            let _ = record
                .peer
                .handle
                .notify(PeerBody::Heartbeat(message.clone()));
        }
    }

    fn build_heartbeat(&mut self, now: MonotonicTime) -> HeartbeatMessage {
        let version = self.tracker.in_force().unwrap_or_default();
        let age = self
            .config_age
            .as_mut()
            .and_then(|age| age.age(version, now));
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        HeartbeatMessage {
            generation: version.generation.0,
            digest: version.digest.0.to_vec(),
            seats: self
                .seat
                .held()
                .map(|held| held.name.clone())
                .into_iter()
                .collect(),
            leaving: self.shared.is_leaving(),
            config_age_ms: age.map_or(UNKNOWN_AGE_MS, whole_millis),
            platform_reached: self
                .config_age
                .as_ref()
                .is_some_and(ConfigAge::platform_reached),
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            headroom_percent: self.headroom_percent(),
            known_peers: self.heartbeat_addresses(),
            incarnation: self.shared.incarnation,
            platform_contact: self.config_age.as_ref().is_some_and(ConfigAge::had_contact),
        }
    }

    /// Returns the addresses of this instance and of up to [`MAX_HEARTBEAT_PEERS`] connected peers, so that instances
    /// discover each other. The selection rotates with each period, so that every peer is included after some periods.
    fn heartbeat_addresses(&self) -> Vec<String> {
        let peers = self.peers.peer_addresses();
        let start = usize::try_from(self.elapsed_periods()).unwrap_or(0) % peers.len().max(1);
        let (before, after) = peers.split_at(start);
        let selected = after.iter().chain(before).take(MAX_HEARTBEAT_PEERS);
        let own = self.shared.settings.peer.advertise;
        selected
            .chain(std::iter::once(&own))
            .map(ToString::to_string)
            .collect()
    }

    fn handle_loan_request(
        &mut self,
        sender: &PeerSender,
        message: &LoanRequest,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        if self.shared.is_leaving() {
            // A loan granted now would delay the next holder of the seat until the loan has expired.
            return None;
        }
        let request = loan_messages::decode_request(message, &self.builder.limits)?;
        let borrower = Incarnation(sender.incarnation);
        let grant = self.builder.ledger.answer_request(borrower, request, now)?;
        Some(loan_messages::encode_grant(&grant, message.kind))
    }

    fn handle_return(&mut self, sender: &PeerSender, message: &LoanReturn, now: MonotonicTime) {
        if let Some(loan_return) = loan_messages::decode_return(message, &self.builder.limits) {
            let borrower = Incarnation(sender.incarnation);
            self.builder
                .ledger
                .handle_return(borrower, loan_return, now);
        }
    }

    /// Applies the answer of a lender to a loan request.
    pub(crate) fn handle_grant(&mut self, lender: u64, grant: &LoanGrant, now: MonotonicTime) {
        if let Some(grant) = loan_messages::decode_grant(grant) {
            self.builder
                .ledger
                .handle_grant(Incarnation(lender), grant, now);
        }
    }

    /// Sends the loan requests and loan returns of a tick of the ledger.
    pub(crate) fn send_loans(&self, output: LedgerOutput) {
        for outgoing in output.requests {
            let message = loan_messages::encode_request(&outgoing.message, &self.builder.limits);
            let handle = self.peers.find_handle(outgoing.to).cloned();
            let (Some(message), Some(handle)) = (message, handle) else {
                continue;
            };
            let shared = std::sync::Arc::clone(&self.shared);
            let lender = outgoing.to.0;
            tokio::spawn(async move {
                let answer = handle
                    .call(PeerBody::LoanRequest(message), GRANT_TIMEOUT)
                    .await;
                if let Ok(PeerBody::LoanGrant(grant)) = answer {
                    shared.send_event(ControlEvent::LoanGranted { lender, grant });
                }
            });
        }
        for outgoing in output.returns {
            let message = loan_messages::encode_return(&outgoing.message, &self.builder.limits);
            if let (Some(message), Some(handle)) = (message, self.peers.find_handle(outgoing.to)) {
                // If the message is lost, the lender regains the amount when the loan expires.
                let _ = handle.notify(PeerBody::LoanReturn(message));
            }
        }
    }

    /// Records a crash that this instance observed and reports it to the peers.
    pub(crate) fn handle_crash(&mut self, report: &CrashReport, now: MonotonicTime) {
        log::warn!(
            "health: Upstream {} closed a connection in the middle of a request and accepts no new one.",
            report.crash.upstream
        );
        if self.suspects.add_crash(now, report) {
            self.publish_suspects();
        }
        let notice = SuspectNotice {
            crash: Some(encode_crash_id(&report.crash)),
            fingerprints: report
                .fingerprints
                .iter()
                .map(|fingerprint| fingerprint.to_bytes().to_vec())
                .collect(),
        };
        self.broadcast(&PeerBody::SuspectNotice(notice));
    }

    /// Clears a suspect because a request with its fingerprint succeeded, and reports it to the peers.
    pub(crate) fn handle_suspect_success(&mut self, fingerprint: SuspectFingerprint) {
        let Some(report) = self.suspects.add_success(fingerprint) else {
            return;
        };
        self.publish_suspects();
        let clearance = SuspectClearance {
            fingerprint: report.fingerprint.to_bytes().to_vec(),
            crashes: report.crashes.iter().map(encode_crash_id).collect(),
        };
        self.broadcast(&PeerBody::SuspectClearance(clearance));
    }

    /// Reports to all peers that an upstream started to drain (`leaving` is `true`) or stopped draining.
    pub(crate) fn broadcast_drain(&self, upstream: &str, leaving: bool) {
        log::info!("drain: Upstream {upstream} is leaving: {leaving}.");
        self.broadcast(&PeerBody::DrainNotice(DrainNotice {
            upstream: upstream.to_string(),
            leaving,
        }));
    }

    fn broadcast(&self, body: &PeerBody) {
        for record in self.peers.iter() {
            let _ = record.peer.handle.notify(body.clone());
        }
    }
}

fn heartbeat_version(message: &HeartbeatMessage) -> Option<ConfigVersion> {
    let digest: [u8; 32] = message.digest.as_slice().try_into().ok()?;
    Some(ConfigVersion {
        generation: GenerationNumber(message.generation),
        digest: ContentDigest(digest),
    })
}

/// Returns a duration in whole milliseconds, the unit of messages and dumps, or `u64::MAX` if it does not fit.
pub(crate) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn encode_crash_id(crash: &CrashId) -> CrashNumber {
    CrashNumber {
        upstream: crash.upstream.clone(),
        number: crash.number,
    }
}

fn decode_crash_id(number: CrashNumber) -> CrashId {
    CrashId {
        upstream: number.upstream,
        number: number.number,
    }
}

fn decode_fingerprint(bytes: &[u8]) -> Option<SuspectFingerprint> {
    Some(SuspectFingerprint::from_bytes(bytes.try_into().ok()?))
}

fn decode_suspect_notice(notice: SuspectNotice) -> Option<CrashReport> {
    let fingerprints = notice
        .fingerprints
        .iter()
        .filter_map(|bytes| decode_fingerprint(bytes));
    Some(CrashReport {
        fingerprints: fingerprints.collect(),
        crash: decode_crash_id(notice.crash?),
    })
}

fn decode_clearance(clearance: SuspectClearance) -> Option<ClearReport> {
    Some(ClearReport {
        fingerprint: decode_fingerprint(&clearance.fingerprint)?,
        crashes: clearance.crashes.into_iter().map(decode_crash_id).collect(),
    })
}
