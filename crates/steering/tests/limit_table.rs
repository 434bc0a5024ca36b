//! Rate limits that are exchanged between instances, each with a table and upstream states of its own.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    LimitStatement, LimitTable, RateLimit, SendingInstance, UpstreamInfo, UpstreamState,
};

/// The time between two exchanges of reports, in milliseconds.
const PERIOD_MS: u64 = 100;
const LIMIT_PER_S: f64 = 4.0;

/// One instance with its view of a single upstream.
struct LimitedInstance {
    identity: SendingInstance,
    table: LimitTable,
    upstream: UpstreamState,
}

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn instances(count: u64) -> Vec<LimitedInstance> {
    let region = RegionKey::from_index(0);
    let instance = |hash| LimitedInstance {
        identity: SendingInstance {
            hash,
            region: Some(region),
            size: 1.0,
        },
        table: LimitTable::default(),
        upstream: UpstreamState::new(
            UpstreamInfo {
                id: "u-1".to_string(),
                domain: DomainKey::from_index(0),
                region,
                slots: 3,
            },
            MonotonicTime::default(),
            false,
        ),
    };
    (0..count).map(instance).collect()
}

/// Lets every instance divide the limit and send its reports to all others. Returns the number of reports.
fn exchange(instances: &mut [LimitedInstance], turn: u64) -> usize {
    let now = at(turn * PERIOD_MS);
    let identities: Vec<SendingInstance> =
        instances.iter().map(|instance| instance.identity).collect();
    for instance in instances.iter_mut() {
        let own = instance.identity;
        let others: Vec<SendingInstance> = identities
            .iter()
            .copied()
            .filter(|other| *other != own)
            .collect();
        let upstreams = std::iter::once(&instance.upstream);
        instance.table.divide(upstreams, own, &others, now);
    }
    let mut count = 0;
    for sender in 0..instances.len() {
        let upstreams = std::iter::once(&instances[sender].upstream);
        let reports = instances[sender].table.reports(upstreams, turn);
        count += reports.len();
        for (receiver, instance) in instances.iter_mut().enumerate() {
            for report in reports.iter().filter(|_| receiver != sender) {
                instance.table.record(identities[sender].hash, *report);
            }
        }
    }
    count
}

fn state_limit(instance: &LimitedInstance, per_s: Option<f64>, turn: u64) {
    instance.upstream.rate_limit.record(LimitStatement {
        limit: per_s.map(|per_s| RateLimit::try_from(per_s).unwrap()),
        stated_at: at(turn * PERIOD_MS),
    });
}

/// Guards against instances without an answer of their own that do not keep the limit, and against reports that
/// instances cause in one another forever after the limit has ended.
#[test]
fn limits_and_their_ends_reach_all_instances_and_are_then_forgotten() {
    let mut fleet = instances(5);
    state_limit(&fleet[0], Some(LIMIT_PER_S), 10);
    for turn in 10..13 {
        exchange(&mut fleet, turn);
    }
    let is_limited = |instance: &LimitedInstance, turn: u64| {
        let limit = instance.upstream.rate_limit.limit(at(turn * PERIOD_MS));
        limit.is_some()
    };
    assert!(fleet.iter().all(|instance| is_limited(instance, 12)));
    state_limit(&fleet[3], None, 13);
    for turn in 13..16 {
        exchange(&mut fleet, turn);
    }
    assert!(!fleet.iter().any(|instance| is_limited(instance, 15)));
    for turn in 16..60 {
        exchange(&mut fleet, turn);
    }
    assert_eq!(exchange(&mut fleet, 60), 0);
}

/// Guards against instances that together send more than the limit while their demand differs, and against a limit that
/// lies idle at instances without demand.
#[test]
fn instances_together_send_at_the_limit_of_an_upstream() {
    let mut fleet = instances(5);
    state_limit(&fleet[0], Some(LIMIT_PER_S), 10);
    let mut sent = Vec::new();
    for turn in 10..210 {
        exchange(&mut fleet, turn);
        let now = at(turn * PERIOD_MS);
        state_limit(&fleet[0], Some(LIMIT_PER_S), turn);
        for (index, instance) in fleet.iter().enumerate() {
            // The instances get 0, 10, 20, 30 and 40 requests a second.
            for _ in 0..index {
                instance.upstream.rate_limit.count_demand();
                if instance.upstream.rate_limit.claim(now) {
                    sent.push(turn);
                }
            }
        }
    }
    let turns_in_period = 4_000 / PERIOD_MS;
    let counts = (10..170).map(|start| {
        let period = start..start + turns_in_period;
        sent.iter().filter(|turn| period.contains(turn)).count()
    });
    let counts: Vec<usize> = counts.collect();
    assert!(counts.iter().all(|count| *count <= 29), "{counts:?}");
    let settled = &counts[40..];
    assert!(settled.iter().all(|count| *count >= 12), "{settled:?}");
}
