//! The rate limits that upstreams state, and their division among the instances.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    InstanceDemand, LimitStatement, RateLimit, UpstreamLimit, limited_send_interval,
};

/// The period, in seconds, in which an upstream counts the requests that it gets.
const COUNTED_PERIOD_S: f64 = 4.0;

/// The hash of the upstream.
const UPSTREAM: u64 = 7;

fn rate(per_s: f64) -> RateLimit {
    RateLimit::try_from(per_s).unwrap()
}

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

/// Returns the intervals of all instances, each as it computes its own.
fn intervals(limit: RateLimit, demands: &[Option<f64>]) -> Vec<Option<Duration>> {
    let all: Vec<InstanceDemand> = demands
        .iter()
        .enumerate()
        .map(|(index, per_s)| InstanceDemand {
            instance: index as u64,
            is_near: index < 3,
            size: 1.0,
            per_s: *per_s,
        })
        .collect();
    let others = |own: usize| {
        let mut others = all.clone();
        others.remove(own);
        others
    };
    (0..all.len())
        .map(|own| limited_send_interval(limit, UPSTREAM, all[own], &others(own)))
        .collect()
}

struct DivisionCase {
    name: &'static str,
    limit_per_s: f64,
    demands: Vec<Option<f64>>,
    /// Lowest fraction of the limit that all instances together may send.
    min_used: f64,
    /// Lowest fraction of the limit that the first instance may send.
    min_first: f64,
}

/// Guards against instances that together send more than the limit, with or without reports of each other, against a
/// burst of many instances that each send one request, and against a limit that lies idle at instances without demand.
#[test]
fn instances_together_send_at_the_limit() {
    let cases = [
        DivisionCase {
            name: "equal demand",
            limit_per_s: 7.0,
            demands: vec![Some(3.0); 7],
            min_used: 0.99,
            min_first: 0.14,
        },
        DivisionCase {
            name: "all demand at one instance",
            limit_per_s: 4.0,
            demands: vec![Some(20.0), Some(0.0), Some(0.0), Some(0.0)],
            min_used: 0.99,
            min_first: 0.95,
        },
        DivisionCase {
            name: "no reports yet",
            limit_per_s: 4.0,
            demands: vec![None; 7],
            min_used: 0.8,
            min_first: 0.0,
        },
        DivisionCase {
            name: "a large fleet and a low limit",
            limit_per_s: 2.0,
            demands: (0..36).map(|index| Some(f64::from(index))).collect(),
            min_used: 0.99,
            min_first: 0.0,
        },
        DivisionCase {
            name: "a large fleet of equal demand",
            limit_per_s: 5.0,
            demands: vec![Some(0.3); 36],
            min_used: 0.99,
            min_first: 0.0,
        },
        DivisionCase {
            name: "the lowest limit",
            limit_per_s: 0.0,
            demands: vec![Some(1.0); 7],
            min_used: 0.99,
            min_first: 0.0,
        },
    ];
    for case in cases {
        let limit = rate(case.limit_per_s);
        let intervals = intervals(limit, &case.demands);
        let rates = intervals
            .iter()
            .map(|interval| interval.map_or(0.0, |interval| 1.0 / interval.as_secs_f64()));
        let rates: Vec<f64> = rates.collect();
        let used = rates.iter().sum::<f64>() / limit.per_second();
        let first = rates[0] / limit.per_second();
        assert!(used < 1.01, "{}: {used}", case.name);
        assert!(used >= case.min_used, "{}: {used}", case.name);
        assert!(first >= case.min_first, "{}: {first}", case.name);
        // Each sender may send one request at once after a pause.
        let senders = intervals.iter().flatten().count();
        #[expect(clippy::cast_precision_loss)]
        let burst = limit.per_second() * COUNTED_PERIOD_S + senders as f64;
        let allowed = limit.per_second() * COUNTED_PERIOD_S * 1.5 + 5.0;
        assert!(burst <= allowed, "{}: {burst} of {allowed}", case.name);
    }
}

struct StatementCase {
    name: &'static str,
    /// Limit in requests per second and time of each statement in the order of their arrival.
    statements: &'static [(Option<f64>, u64)],
    now_ms: u64,
    limit_per_s: Option<f64>,
}

/// Guards against a limit that an old report of another instance brings back or ends, and against one that lasts forever
/// because nothing is sent any more.
#[test]
fn the_newest_statement_about_a_limit_holds() {
    let cases = [
        StatementCase {
            name: "stated",
            statements: &[(Some(4.0), 1_000)],
            now_ms: 1_100,
            limit_per_s: Some(4.0),
        },
        StatementCase {
            name: "changed",
            statements: &[(Some(4.0), 1_000), (Some(2.0), 1_200)],
            now_ms: 1_300,
            limit_per_s: Some(2.0),
        },
        StatementCase {
            name: "ended",
            statements: &[(Some(4.0), 1_000), (None, 1_200)],
            now_ms: 1_300,
            limit_per_s: None,
        },
        StatementCase {
            name: "an older end is reported later",
            statements: &[(Some(4.0), 1_000), (None, 800)],
            now_ms: 1_300,
            limit_per_s: Some(4.0),
        },
        StatementCase {
            name: "an older limit is reported after the end",
            statements: &[(None, 1_000), (Some(4.0), 800)],
            now_ms: 1_300,
            limit_per_s: None,
        },
        StatementCase {
            name: "not stated again for a long time",
            statements: &[(Some(4.0), 1_000)],
            now_ms: 12_000,
            limit_per_s: None,
        },
    ];
    for case in cases {
        let upstream = UpstreamLimit::default();
        for (per_s, stated_ms) in case.statements {
            upstream.record(LimitStatement {
                limit: per_s.map(rate),
                stated_at: at(*stated_ms),
            });
        }
        let limit = upstream.limit(at(case.now_ms)).map(RateLimit::per_second);
        assert_eq!(limit, case.limit_per_s, "{}", case.name);
    }
}

/// Guards against instances that each send a first request at once because the demand, and with it the selection of the
/// sending instances, changes all the time. Found by `limits.toml` on a site of 36 instances, seed 31: 28 requests in
/// four seconds, 27 allowed.
#[test]
fn the_same_instances_send_while_the_demand_changes() {
    let limit = rate(3.8);
    let selection = |seed: u64| -> Vec<bool> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let demands: Vec<Option<f64>> = (0..36).map(|_| Some(rng.f64())).collect();
        let intervals = intervals(limit, &demands);
        intervals.iter().map(Option::is_some).collect()
    };
    let first = selection(1);
    assert!(first[..3].iter().all(|is_sender| *is_sender), "{first:?}");
    for seed in 2..20 {
        assert_eq!(selection(seed), first);
    }
}

/// Guards against requests that are sent before a new limit is divided, and against two requests in one interval.
#[test]
fn requests_to_a_limited_upstream_keep_the_interval() {
    let upstream = UpstreamLimit::default();
    assert!(upstream.claim(at(900)));
    assert!(upstream.claim(at(900)));
    upstream.record(LimitStatement {
        limit: Some(rate(4.0)),
        stated_at: at(1_000),
    });
    assert!(!upstream.claim(at(1_000)));
    upstream.set_interval(Some(Duration::from_millis(500)), at(1_100));
    assert!(upstream.claim(at(1_100)));
    assert!(!upstream.claim(at(1_500)));
    assert_eq!(
        upstream.time_until_send(at(1_500)),
        Duration::from_millis(100)
    );
    assert!(upstream.claim(at(1_600)));
    // A higher share also shortens the current interval.
    upstream.set_interval(Some(Duration::from_millis(100)), at(1_700));
    assert!(upstream.claim(at(1_800)));
    assert_eq!(upstream.retry_delay(at(1_850)), Duration::from_millis(50));
    upstream.set_interval(None, at(1_900));
    assert!(!upstream.claim(at(5_000)));
    // Another instance sends a request every quarter of a second, so a refused caller need not wait for this one.
    assert_eq!(upstream.retry_delay(at(5_000)), Duration::from_millis(250));
}

/// Guards against small instances that get the right to send while the requests arrive at the large ones, and against
/// more senders than the limit allows.
#[test]
fn large_instances_send_to_a_limited_upstream() {
    let instance = |index: u64| InstanceDemand {
        instance: index,
        is_near: true,
        size: if index < 8 { 8.0 } else { 1.0 },
        per_s: Some(1.0),
    };
    let all: Vec<InstanceDemand> = (0..40).map(instance).collect();
    let mut rate_sum = 0.0;
    let mut large_senders = 0;
    for own in &all {
        let others = all.iter().copied().filter(|other| other != own);
        let others: Vec<InstanceDemand> = others.collect();
        if let Some(interval) = limited_send_interval(rate(6.0), UPSTREAM, *own, &others) {
            rate_sum += 1.0 / interval.as_secs_f64();
            large_senders += u32::from(own.instance < 8);
        }
    }
    assert!(rate_sum < 6.01, "{rate_sum} a second");
    assert!((4..=8).contains(&large_senders), "{large_senders}");
}
