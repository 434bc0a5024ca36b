//! Staleness of the configuration. While an instance cannot rule out that an access key was
//! withdrawn, the isolation rule of a route decides whether requests with a key are served.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{
    ConfigVersion, DomainKey, FleetConfig, IsolationMode, IsolationRule, RegionKey,
};

/// A change is in force everywhere within this time, so a younger configuration is not considered
/// stale.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// The assumed transit time of a heartbeat. Without it, two instances that are cut off and report
/// each other's age would gain the transit time with each heartbeat, and the age would never grow.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(500);

/// A peer counts as reachable until three heartbeats are missed.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The time within which heartbeats that waited in system buffers during a pause of the process are
/// read. They are no evidence of the current state.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Records of peers without a heartbeat for this long are dropped.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// The time of a confirmation that has not taken place, earlier than any other time.
const NEVER: i64 = i64::MIN;

/// Whether a request with an access key is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolationDecision {
    /// The request is served.
    Serve,
    /// The request is refused, because its key may have been withdrawn.
    Refuse,
}

/// The last time at which no withdrawal of a key can have been missed. The control thread writes
/// it, request threads read it.
///
/// It is a time and not a flag, so that the staleness grows even if the control thread stops.
#[derive(Debug)]
pub struct StalenessGauge {
    fresh_at_ns: AtomicI64,
}

impl StalenessGauge {
    /// Creates a gauge for a configuration that was never confirmed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            fresh_at_ns: AtomicI64::new(NEVER),
        }
    }

    /// Returns whether a request with an access key is served on a route with `rule`.
    #[must_use]
    pub fn decide(&self, rule: IsolationRule, now: MonotonicTime) -> IsolationDecision {
        let may_serve = match rule.mode {
            IsolationMode::Serve => true,
            IsolationMode::Refuse => self.is_fresh_within(MAX_PROPAGATION_TIME + rule.limit, now),
        };
        if may_serve {
            IsolationDecision::Serve
        } else {
            IsolationDecision::Refuse
        }
    }

    /// Returns the time since the last moment at which no withdrawal can have been missed, or `None`
    /// if the configuration was never confirmed.
    #[must_use]
    pub fn staleness(&self, now: MonotonicTime) -> Option<Duration> {
        let fresh_at = self.fresh_at_ns.load(Ordering::Acquire);
        (fresh_at != NEVER).then(|| elapsed(fresh_at, now))
    }

    fn is_fresh_within(&self, limit: Duration, now: MonotonicTime) -> bool {
        self.staleness(now)
            .is_some_and(|staleness| staleness <= limit)
    }

    fn raise(&self, fresh_at: i64) {
        self.fresh_at_ns.fetch_max(fresh_at, Ordering::AcqRel);
    }
}

impl Default for StalenessGauge {
    fn default() -> Self {
        Self::new()
    }
}

/// The part of a heartbeat that reports on the sender's configuration.
#[derive(Debug, Clone, Copy)]
pub struct PeerConfigReport {
    /// The failure domain of the sender.
    pub domain: DomainKey,
    /// The configuration version in force at the sender.
    pub version: ConfigVersion,
    /// The age of the sender's configuration; `None` if the sender never had contact with the
    /// platform.
    pub age: Option<Duration>,
    /// Whether the sender itself reaches the platform.
    pub platform_reached: bool,
    /// Whether the sender itself has reached the platform since it started or was last paused.
    pub had_contact: bool,
}

/// Age of the configuration: the time since the platform confirmed it as the newest, to this
/// instance or to a peer with the same version. Owned by the control thread.
#[derive(Debug)]
pub struct ConfigAge {
    own_domain: DomainKey,
    platform_reached: bool,
    had_contact: bool,
    /// The time of the last confirmation in nanoseconds, negative if it precedes the start of this
    /// process; [`NEVER`] if there was none.
    confirmed_at: i64,
    peers: BTreeMap<String, PeerRecord>,
    heartbeats_ignored_until: MonotonicTime,
}

#[derive(Debug)]
struct PeerRecord {
    report: PeerConfigReport,
    received_at: MonotonicTime,
}

impl ConfigAge {
    /// Creates the age for an instance that has had no contact with the platform.
    #[must_use]
    pub fn new(own_domain: DomainKey) -> Self {
        Self {
            own_domain,
            platform_reached: false,
            had_contact: false,
            confirmed_at: NEVER,
            peers: BTreeMap::new(),
            heartbeats_ignored_until: MonotonicTime::default(),
        }
    }

    /// Applies a new configuration. Keys may be numbered differently, so reports of peers are
    /// dropped until their next heartbeat. The time of the last confirmation stays valid: what was
    /// confirmed as the newest then is not newer than what is in force now.
    pub fn apply(&mut self, own_domain: DomainKey) {
        self.own_domain = own_domain;
        self.peers.clear();
    }

    /// Records that the platform confirmed the version in force. `requested_at` is when the request
    /// was sent, because a withdrawal may have been accepted while the answer was in transit.
    pub fn record_confirmation(&mut self, requested_at: MonotonicTime) {
        self.platform_reached = true;
        self.had_contact = true;
        self.confirmed_at = self.confirmed_at.max(time_nanos(requested_at));
    }

    /// Records whether this instance reaches the platform.
    pub fn record_platform_reached(&mut self, reached: bool) {
        self.platform_reached = reached;
    }

    /// Records the report in a heartbeat of `instance`.
    pub fn record_peer_report(
        &mut self,
        instance: &str,
        report: PeerConfigReport,
        now: MonotonicTime,
    ) {
        if now < self.heartbeats_ignored_until {
            return;
        }
        let record = PeerRecord {
            report,
            received_at: now,
        };
        if self.peers.insert(instance.to_string(), record).is_none() {
            self.peers
                .retain(|_, peer| now.since(peer.received_at) <= PEER_RETENTION);
        }
    }

    /// Records that the process was paused, so that heartbeats from before the pause are not taken
    /// as recent.
    ///
    /// Changes that the platform accepted during the pause were missed, so contact from before the
    /// pause no longer counts.
    pub fn record_pause(&mut self, now: MonotonicTime) {
        self.had_contact = false;
        self.peers.clear();
        self.heartbeats_ignored_until = now + BACKLOG_DRAIN_TIME;
    }

    /// Returns whether this instance reaches the platform, for its heartbeat.
    #[must_use]
    pub fn platform_reached(&self) -> bool {
        self.platform_reached
    }

    /// Returns whether this instance has reached the platform since it started or was last paused,
    /// for its heartbeat.
    #[must_use]
    pub fn had_contact(&self) -> bool {
        self.had_contact
    }

    /// Returns the age for this instance's heartbeat and status, or `None` if the configuration was
    /// never confirmed. Called each second.
    ///
    /// The age of a peer counts only if it runs the same version: a peer with an older version may
    /// be connected to a platform that restarted with older data.
    pub fn age(&mut self, own_version: ConfigVersion, now: MonotonicTime) -> Option<Duration> {
        let best = self
            .peers
            .values()
            .filter(|peer| peer.report.version == own_version)
            .filter_map(|peer| {
                Some(time_nanos(peer.received_at).saturating_sub(duration_nanos(peer.report.age?)))
            })
            .map(|confirmed| confirmed.saturating_sub(duration_nanos(HEARTBEAT_TRANSIT)))
            .max();
        self.confirmed_at = self.confirmed_at.max(best.unwrap_or(NEVER));
        (self.confirmed_at != NEVER).then(|| elapsed(self.confirmed_at, now))
    }

    /// Returns the time at which the platform was last known to be down for all instances, or
    /// `None` if that is not known.
    ///
    /// The platform counts as down if an instance in each failure domain of `platform_region` sends
    /// heartbeats and none of them reaches the platform. In each domain, one of these instances must
    /// have reached the platform since it started: an instance that was replaced during the outage
    /// has no information about changes accepted before. An instance with a newer version than `own_version`
    /// proves that a change was accepted. The returned time is when the oldest heartbeat behind the
    /// conclusion was sent.
    #[must_use]
    pub fn platform_down_at(
        &self,
        config: &FleetConfig,
        platform_region: RegionKey,
        own_version: ConfigVersion,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if self.platform_reached {
            return None;
        }
        let mut oldest = now;
        for domain in &config.regions[platform_region].domains {
            oldest = oldest.min(self.unreached_at(*domain, own_version, now)?);
        }
        Some(oldest)
    }

    /// Publishes to request threads the time until which no withdrawal can have been missed. Called
    /// each second.
    pub fn publish(
        &mut self,
        gauge: &StalenessGauge,
        config: &FleetConfig,
        platform_region: RegionKey,
        own_version: ConfigVersion,
        now: MonotonicTime,
    ) {
        self.age(own_version, now);
        gauge.raise(self.confirmed_at);
        if let Some(at) = self.platform_down_at(config, platform_region, own_version, now) {
            gauge.raise(time_nanos(at));
        }
    }

    /// Returns when an instance in `domain` that had reached the platform before was last known not
    /// to reach it, or `None` if there is no such instance, or if an instance in `domain` reaches the
    /// platform or has a newer version.
    fn unreached_at(
        &self,
        domain: DomainKey,
        own_version: ConfigVersion,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let mut latest = (domain == self.own_domain && self.had_contact).then_some(now);
        for peer in self.peers.values() {
            let is_recent = now.since(peer.received_at) <= PEER_TIMEOUT;
            if peer.report.domain != domain || !is_recent {
                continue;
            }
            let is_newer = peer.report.version.generation > own_version.generation;
            if peer.report.platform_reached || is_newer {
                return None;
            }
            if peer.report.had_contact {
                latest = latest.max(Some(peer.received_at - HEARTBEAT_TRANSIT));
            }
        }
        latest
    }
}

fn time_nanos(time: MonotonicTime) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}

fn duration_nanos(time: Duration) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}

fn elapsed(since: i64, now: MonotonicTime) -> Duration {
    let nanoseconds = time_nanos(now).saturating_sub(since);
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(0))
}
