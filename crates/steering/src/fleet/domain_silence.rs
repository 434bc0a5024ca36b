//! Detects failure domains whose instances fall silent together.
//!
//! Load pattern: a domain or region loses power under load. Each of its instances alone could be late, so they would be
//! left out one after the other, and callers connect to dead ones meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;

/// Smallest number of instances of a domain whose silence together means a loss.
const MIN_INSTANCES: usize = 3;
/// Part of a domain's instances that have to be overdue.
const MIN_OVERDUE_PART: f64 = 0.75;
/// Silence, in heartbeat periods, after which an instance is overdue.
const OVERDUE_PERIODS: f64 = 1.25;
/// Silence, in heartbeat periods, up to which an instance of a lost domain counts as heard after the loss.
const HEARD_PERIODS: f64 = 0.5;
/// Shortest heartbeat period that is assumed. The delays of a busy instance exceed shorter ones.
const MIN_PERIOD: Duration = Duration::from_millis(300);
/// Time between two observations above which this instance itself was held up.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(500);

/// When another instance was last heard.
#[derive(Debug, Clone, Copy)]
pub struct HeardInstance {
    /// Failure domain of the instance.
    pub domain: DomainKey,
    /// When its latest heartbeat was received.
    pub heard_at: MonotonicTime,
    /// Longest time between two of its heartbeats if none is lost.
    pub period: Duration,
}

/// Observes the heartbeats of the other instances for domains that are lost.
#[derive(Debug, Default)]
pub struct DomainSilence {
    observed_at: MonotonicTime,
    /// Silence counts from this time on.
    counted_from: MonotonicTime,
}

/// An instance of a domain with its silence in heartbeat periods.
#[derive(Debug, Clone, Copy)]
struct SilentInstance {
    index: usize,
    periods: f64,
}

impl DomainSilence {
    /// Returns for each of the instances whether it is lost with its domain. Those of `own_domain`, in which this
    /// instance is, never are: if they are overdue, this instance is cut off.
    pub fn observe(
        &mut self,
        heard: &[HeardInstance],
        own_domain: DomainKey,
        now: MonotonicTime,
    ) -> Vec<bool> {
        if now.since(self.observed_at) > MAX_OBSERVATION_GAP {
            // Heartbeats of the time in which this instance was held up may not be read yet.
            self.counted_from = now;
        }
        self.observed_at = now;
        let silent = |(index, instance): (usize, &HeardInstance)| {
            let silence = now.since(instance.heard_at.max(self.counted_from));
            let period = instance.period.max(MIN_PERIOD);
            SilentInstance {
                index,
                periods: silence.as_secs_f64() / period.as_secs_f64(),
            }
        };
        let all: Vec<SilentInstance> = heard.iter().enumerate().map(silent).collect();
        let mut is_lost = vec![false; heard.len()];
        let mut by_domain: BTreeMap<DomainKey, Vec<SilentInstance>> = BTreeMap::new();
        for (instance, silent) in heard.iter().zip(&all) {
            by_domain.entry(instance.domain).or_default().push(*silent);
        }
        let own = by_domain.remove(&own_domain).unwrap_or_default();
        let is_mostly_overdue =
            |instances: &[SilentInstance]| count_overdue(instances) * 2 > instances.len();
        if is_mostly_overdue(&all) || is_mostly_overdue(&own) {
            return is_lost;
        }
        let lost_domains = by_domain.into_values().filter(|domain| has_failed(domain));
        for silent in lost_domains.flatten() {
            is_lost[silent.index] = silent.periods > HEARD_PERIODS;
        }
        is_lost
    }
}

fn count_overdue(instances: &[SilentInstance]) -> usize {
    let periods = instances.iter().map(|silent| silent.periods);
    periods.filter(|periods| *periods > OVERDUE_PERIODS).count()
}

fn has_failed(domain: &[SilentInstance]) -> bool {
    #[expect(clippy::cast_precision_loss)]
    let overdue_part = count_overdue(domain) as f64 / domain.len() as f64;
    domain.len() >= MIN_INSTANCES && overdue_part >= MIN_OVERDUE_PART
}
