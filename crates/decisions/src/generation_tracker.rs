//! Which configuration an instance accepts, and what the fleet is known to run.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ConfigVersion, ContentDigest, GenerationNumber};

/// Faults remembered; an endless series of rejected documents must not fill the memory.
const MAX_FAULTS: usize = 64;

/// Three heartbeats missed.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Records of peers that have been silent for this long are dropped.
const PEER_RETENTION: Duration = Duration::from_mins(10);

/// Who offers a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSource {
    /// The platform's object API.
    Platform,
    /// A daemon of the fleet.
    Peer,
    /// The neighbour that a new instance asks when it cannot reach the platform.
    Neighbour,
}

/// What to do with a version that is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferAction {
    /// It is newer: its document is to be fetched and checked.
    Fetch,
    /// It is in force.
    Current,
    /// It is older and came from the platform: ours is to be written over it, on condition that the
    /// platform still holds the stale one.
    OverwriteStale,
    /// It is older and came from an instance, which is to be sent ours.
    SendOurs,
    /// It has our generation and other content. Ours stays in force.
    Conflict,
    /// It failed its checks before.
    KnownBad,
}

impl OfferAction {
    /// Tells whether this answer of the platform confirms that no newer configuration was accepted.
    ///
    /// A document that fails its checks was never accepted. Data that is older than ours proves
    /// nothing until ours is written back: a commit may have been made on top of it.
    #[must_use]
    pub fn confirms_current(self) -> bool {
        matches!(self, Self::Current | Self::KnownBad)
    }
}

/// Why a document was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigFault {
    /// Two documents have the same generation.
    Conflict {
        /// The version in force.
        ours: ConfigVersion,
        /// The version offered.
        offered: ConfigVersion,
    },
    /// The document failed its checks.
    ChecksFailed {
        /// The version offered.
        offered: ConfigVersion,
        /// The findings.
        findings: String,
    },
    /// The document is not the one that its version names. It may arrive intact from another source.
    DigestMismatch {
        /// The version offered.
        offered: ConfigVersion,
    },
}

/// A fault with where it came from and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedFault {
    /// Who offered the document.
    pub source: ConfigSource,
    /// What was wrong.
    pub fault: ConfigFault,
    /// When it was first seen.
    pub seen: MonotonicTime,
}

/// What one instance knows about configurations, owned by its control thread.
#[derive(Debug)]
pub struct GenerationTracker {
    started: MonotonicTime,
    in_force: Option<ConfigVersion>,
    rejected: VecDeque<ContentDigest>,
    faults: VecDeque<ReportedFault>,
    peers: BTreeMap<(String, u64), PeerRecord>,
}

#[derive(Debug)]
struct PeerRecord {
    version: ConfigVersion,
    seats: Vec<String>,
    received_at: MonotonicTime,
}

impl GenerationTracker {
    /// Makes a tracker without a configuration.
    #[must_use]
    pub fn new(started: MonotonicTime) -> Self {
        Self {
            started,
            in_force: None,
            rejected: VecDeque::new(),
            faults: VecDeque::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.in_force
    }

    /// Returns the documents that were not taken, oldest first.
    pub fn faults(&self) -> impl Iterator<Item = &ReportedFault> {
        self.faults.iter()
    }

    /// Judges a version before its document is fetched.
    pub fn evaluate_offer(
        &mut self,
        source: ConfigSource,
        offered: ConfigVersion,
        now: MonotonicTime,
    ) -> OfferAction {
        let action = self.action_for(source, offered);
        if let (OfferAction::Conflict, Some(ours)) = (action, self.in_force) {
            self.report(source, ConfigFault::Conflict { ours, offered }, now);
        }
        action
    }

    /// Judges a platform that holds no manifest: one that lost its data is to be given ours.
    #[must_use]
    pub fn evaluate_empty_platform(&self) -> Option<OfferAction> {
        self.in_force.map(|_| OfferAction::OverwriteStale)
    }

    /// Takes in a document that was fetched and checked. `findings` is empty if it passed.
    ///
    /// Only after [`DocumentOutcome::InForce`] is the snapshot to be replaced. The version is judged
    /// again, because a newer one may have come into force while the document was fetched.
    pub fn handle_document(
        &mut self,
        source: ConfigSource,
        offered: ConfigVersion,
        text: &str,
        findings: Option<String>,
        now: MonotonicTime,
    ) -> DocumentOutcome {
        let action = self.evaluate_offer(source, offered, now);
        if action != OfferAction::Fetch {
            return DocumentOutcome::NotWanted(action);
        }
        if ContentDigest::of_text(text) != offered.digest {
            self.report(source, ConfigFault::DigestMismatch { offered }, now);
            return DocumentOutcome::WrongContent;
        }
        if let Some(findings) = findings {
            self.record_rejected(offered.digest);
            self.report(source, ConfigFault::ChecksFailed { offered, findings }, now);
            return DocumentOutcome::Bad;
        }
        self.in_force = Some(offered);
        DocumentOutcome::InForce
    }

    /// Takes in a heartbeat.
    pub fn note_heartbeat(
        &mut self,
        instance: &str,
        incarnation: u64,
        version: ConfigVersion,
        seats: &[String],
        now: MonotonicTime,
    ) {
        let record = PeerRecord {
            version,
            seats: seats.to_vec(),
            received_at: now,
        };
        let key = (instance.to_string(), incarnation);
        if self.peers.insert(key, record).is_none() {
            self.peers
                .retain(|_, record| now.since(record.received_at) <= PEER_RETENTION);
        }
    }

    /// Tells on how many instances `generation` is in force.
    ///
    /// `expected` names the live instances by the platform's list. Instances that are received_at but not
    /// on that list count as well, because the list lags. `own` is the name of this instance.
    #[must_use]
    pub fn rollout_status(
        &self,
        own: &str,
        expected: &[String],
        generation: GenerationNumber,
        now: MonotonicTime,
    ) -> RolloutStatus {
        let mut view = RolloutStatus::default();
        let own_generation = self.in_force.map(|version| version.generation);
        view.count(own, own_generation, generation);
        let mut names: Vec<&str> = expected.iter().map(String::as_str).collect();
        names.extend(self.recent_instances(now));
        names.retain(|name| *name != own);
        names.sort_unstable();
        names.dedup();
        for name in names {
            view.count(name, self.recent_generation(name, now), generation);
        }
        view
    }

    /// Tells whether every seat is known to run at least `generation`, or has been silent for `silence`.
    ///
    /// Each incarnation that was received_at with a seat counts by itself: a paused holder may still spend
    /// the seat's old share after another one has claimed the seat.
    #[must_use]
    pub fn seats_have_reached<'a>(
        &self,
        seats: impl IntoIterator<Item = &'a str>,
        own_seats: &[String],
        generation: GenerationNumber,
        silence: Duration,
        now: MonotonicTime,
    ) -> bool {
        let own_reached = self
            .in_force
            .is_some_and(|version| version.generation >= generation);
        seats.into_iter().all(|seat| {
            if own_seats.iter().any(|own| own == seat) {
                own_reached && self.no_holder_is_behind(seat, generation, silence, now)
            } else {
                self.seat_has_reached(seat, generation, silence, now)
            }
        })
    }

    fn seat_has_reached(
        &self,
        seat: &str,
        generation: GenerationNumber,
        silence: Duration,
        now: MonotonicTime,
    ) -> bool {
        let is_recent = self
            .holders(seat)
            .any(|holder| now.since(holder.received_at) < silence);
        // An instance that has just started has received_at nobody yet, which is no proof of silence.
        let has_evidence = is_recent || now.since(self.started) >= silence;
        has_evidence && self.no_holder_is_behind(seat, generation, silence, now)
    }

    fn no_holder_is_behind(
        &self,
        seat: &str,
        generation: GenerationNumber,
        silence: Duration,
        now: MonotonicTime,
    ) -> bool {
        self.holders(seat).all(|holder| {
            holder.version.generation >= generation || now.since(holder.received_at) >= silence
        })
    }

    fn holders<'a>(&'a self, seat: &'a str) -> impl Iterator<Item = &'a PeerRecord> {
        self.peers
            .values()
            .filter(move |record| record.seats.iter().any(|held| held == seat))
    }

    fn recent_instances(&self, now: MonotonicTime) -> impl Iterator<Item = &str> {
        self.peers
            .iter()
            .filter(move |(_, record)| now.since(record.received_at) <= PEER_TIMEOUT)
            .map(|((name, _), _)| name.as_str())
    }

    /// Returns the generation of the incarnation received_at last, if it was received_at lately.
    fn recent_generation(&self, name: &str, now: MonotonicTime) -> Option<GenerationNumber> {
        self.peers
            .iter()
            .filter(|((known, _), _)| known == name)
            .max_by_key(|((_, incarnation), record)| (record.received_at, *incarnation))
            .filter(|(_, record)| now.since(record.received_at) <= PEER_TIMEOUT)
            .map(|(_, record)| record.version.generation)
    }

    fn action_for(&self, source: ConfigSource, offered: ConfigVersion) -> OfferAction {
        let Some(ours) = self.in_force else {
            return self.fetch_unless_rejected(offered);
        };
        if offered == ours {
            return OfferAction::Current;
        }
        if offered.generation == ours.generation {
            return OfferAction::Conflict;
        }
        if offered.generation > ours.generation {
            return self.fetch_unless_rejected(offered);
        }
        match source {
            ConfigSource::Platform => OfferAction::OverwriteStale,
            ConfigSource::Peer | ConfigSource::Neighbour => OfferAction::SendOurs,
        }
    }

    fn fetch_unless_rejected(&self, offered: ConfigVersion) -> OfferAction {
        if self.rejected.contains(&offered.digest) {
            OfferAction::KnownBad
        } else {
            OfferAction::Fetch
        }
    }

    fn record_rejected(&mut self, digest: ContentDigest) {
        self.rejected.push_back(digest);
        if self.rejected.len() > MAX_FAULTS {
            self.rejected.pop_front();
        }
    }

    fn report(&mut self, source: ConfigSource, fault: ConfigFault, now: MonotonicTime) {
        let is_known = |known: &ReportedFault| known.source == source && known.fault == fault;
        if self.faults.iter().any(is_known) {
            return;
        }
        self.faults.push_back(ReportedFault {
            source,
            fault,
            seen: now,
        });
        if self.faults.len() > MAX_FAULTS {
            self.faults.pop_front();
        }
    }
}

/// What became of a document that was fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// It is in force now.
    InForce,
    /// It is no longer newer than ours, or was rejected before.
    NotWanted(OfferAction),
    /// It failed its checks and is not fetched again.
    Bad,
    /// It is not the document that the version names. It may be fetched again, best from another source.
    WrongContent,
}

/// On which instances a generation is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The number of instances that run it or a newer one.
    pub in_force: usize,
    /// The number of instances.
    pub known: usize,
    /// The instances that report an older one.
    pub behind: Vec<String>,
    /// The instances that have not been received_at lately.
    pub unheard: Vec<String>,
}

impl RolloutStatus {
    fn count(
        &mut self,
        name: &str,
        running: Option<GenerationNumber>,
        generation: GenerationNumber,
    ) {
        self.known += 1;
        match running {
            Some(running) if running >= generation => self.in_force += 1,
            Some(_) => self.behind.push(name.to_string()),
            None => self.unheard.push(name.to_string()),
        }
    }
}
