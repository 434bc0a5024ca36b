//! Tracks configuration generations: decides which configuration an instance accepts, and records
//! which generation each instance of the fleet runs.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ConfigVersion, ContentDigest, GenerationNumber};

/// The maximum number of retained faults and rejected digests, which bounds the memory that a
/// series of invalid documents takes.
const MAX_FAULTS: usize = 64;

/// A peer counts as reachable until three heartbeats are missed.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Records of peers without a heartbeat for this long are dropped.
const PEER_RETENTION: Duration = Duration::from_mins(10);

/// The source of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSource {
    /// The platform's object API.
    Platform,
    /// Another instance of the fleet.
    Peer,
    /// The neighbour from which a new instance fetches the configuration while it cannot reach the
    /// platform.
    Neighbour,
}

/// The action that follows from an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferAction {
    /// The version is newer: fetch and check its document.
    Fetch,
    /// The version is in force already.
    Current,
    /// The version is older and came from the platform: write the version in force over it, on
    /// condition that the platform still holds the stale one.
    OverwriteStale,
    /// The version is older and came from an instance: send the version in force to that instance.
    SendOurs,
    /// The version has the generation in force but other content. The version in force stays.
    Conflict,
    /// The document of this version failed its checks before.
    KnownBad,
}

impl OfferAction {
    /// Returns whether this action, following from an answer of the platform, confirms that no
    /// newer configuration was accepted.
    ///
    /// A document that fails its checks was never accepted. Older data confirms nothing until it is
    /// overwritten: a commit may have been made on top of it.
    #[must_use]
    pub fn confirms_current(self) -> bool {
        matches!(self, Self::Current | Self::KnownBad)
    }
}

/// The reason why a document was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigFault {
    /// Two documents have the same generation.
    Conflict {
        /// The version in force.
        ours: ConfigVersion,
        /// The offered version.
        offered: ConfigVersion,
    },
    /// The document failed its checks.
    ChecksFailed {
        /// The offered version.
        offered: ConfigVersion,
        /// The findings of the checks.
        findings: String,
    },
    /// The digest of the document differs from the one in its version. Another source may have the
    /// intact document.
    DigestMismatch {
        /// The offered version.
        offered: ConfigVersion,
    },
}

/// A fault with its source and time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedFault {
    /// The source that offered the document.
    pub source: ConfigSource,
    /// The reason why the document was rejected.
    pub fault: ConfigFault,
    /// When the fault was first found.
    pub seen: MonotonicTime,
}

/// The configuration version in force and the versions reported by other instances. Owned by the
/// control thread.
#[derive(Debug)]
pub struct GenerationTracker {
    started: MonotonicTime,
    in_force: Option<ConfigVersion>,
    rejected: VecDeque<ContentDigest>,
    faults: VecDeque<ReportedFault>,
    /// The last heartbeat of each process, by the name of its instance and its incarnation.
    peers: BTreeMap<(String, u64), PeerRecord>,
}

#[derive(Debug)]
struct PeerRecord {
    version: ConfigVersion,
    seats: Vec<String>,
    received_at: MonotonicTime,
}

impl GenerationTracker {
    /// Creates a tracker without a configuration.
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

    /// Returns the version in force; `None` until a document was accepted.
    #[must_use]
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.in_force
    }

    /// Returns the faults of rejected documents, oldest first.
    pub fn faults(&self) -> impl Iterator<Item = &ReportedFault> {
        self.faults.iter()
    }

    /// Returns the action for an offered version whose document was not fetched yet.
    pub fn evaluate_offer(
        &mut self,
        source: ConfigSource,
        offered: ConfigVersion,
        now: MonotonicTime,
    ) -> OfferAction {
        let action = self.action_for(source, offered);
        if let (OfferAction::Conflict, Some(ours)) = (action, self.in_force) {
            self.record_fault(source, ConfigFault::Conflict { ours, offered }, now);
        }
        action
    }

    /// Returns the action for a platform that holds no manifest: if a version is in force here, the
    /// platform lost its data and that version is written back.
    #[must_use]
    pub fn evaluate_empty_platform(&self) -> Option<OfferAction> {
        self.in_force.map(|_| OfferAction::OverwriteStale)
    }

    /// Handles a document that was fetched and checked. `findings` is `None` if it passed the
    /// checks.
    ///
    /// The caller replaces its snapshot only after [`DocumentOutcome::InForce`]. The version is
    /// evaluated again, because a newer one may have come into force while the document was
    /// fetched.
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
            self.record_fault(source, ConfigFault::DigestMismatch { offered }, now);
            return DocumentOutcome::WrongContent;
        }
        if let Some(findings) = findings {
            self.record_rejected(offered.digest);
            self.record_fault(source, ConfigFault::ChecksFailed { offered, findings }, now);
            return DocumentOutcome::Bad;
        }
        self.in_force = Some(offered);
        DocumentOutcome::InForce
    }

    /// Records a heartbeat: the version in force at `instance` and the seats it holds.
    pub fn record_heartbeat(
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

    /// Returns the instances on which `generation` is in force.
    ///
    /// `expected` names the live instances according to the platform's list. Instances that sent a
    /// heartbeat within `PEER_TIMEOUT` but are not on that list count as well, because the list
    /// lags behind. `own` is the name of this instance.
    #[must_use]
    pub fn rollout_status(
        &self,
        own: &str,
        expected: &[String],
        generation: GenerationNumber,
        now: MonotonicTime,
    ) -> RolloutStatus {
        let mut status = RolloutStatus::default();
        let own_generation = self.in_force.map(|version| version.generation);
        status.count(own, own_generation, generation);
        let mut names: Vec<&str> = expected.iter().map(String::as_str).collect();
        names.extend(self.recent_instances(now));
        names.retain(|name| *name != own);
        names.sort_unstable();
        names.dedup();
        for name in names {
            status.count(name, self.recent_generation(name, now), generation);
        }
        status
    }

    /// Returns whether the holder of each seat is known to run at least `generation`, or was silent
    /// for `silence`.
    ///
    /// Each process that reported a seat counts separately: a paused holder may still use the
    /// seat's old share after another instance has claimed the seat.
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
        // An instance that started less than `silence` ago may have received no heartbeat yet, so
        // the lack of one is no evidence.
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

    /// Returns the generation of the process with the most recent heartbeat, or `None` if that
    /// heartbeat is not recent.
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

    fn record_fault(&mut self, source: ConfigSource, fault: ConfigFault, now: MonotonicTime) {
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

/// Outcome of handling a fetched document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// The document is in force now.
    InForce,
    /// The version is no longer newer than the one in force, or was rejected before.
    NotWanted(OfferAction),
    /// The document failed its checks and is not fetched again.
    Bad,
    /// The digest of the document differs from the one in its version. It may be fetched again,
    /// preferably from another source.
    WrongContent,
}

/// The instances on which a generation is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The number of instances that run the generation or a newer one.
    pub in_force: usize,
    /// The number of instances, with or without a recent heartbeat.
    pub known: usize,
    /// The instances that report an older generation.
    pub behind: Vec<String>,
    /// The instances without a recent heartbeat.
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
