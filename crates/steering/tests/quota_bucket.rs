//! Rate limits of client accounts over several instances that exchange reports.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    PeerContacts, QuotaBucket, QuotaBudget, QuotaExcess, QuotaLimit, QuotaReport,
};

const TICK_MS: u64 = 100;
/// Time without messages after which an instance is assumed to keep spending its share.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

struct FleetCase {
    name: &'static str,
    limit: QuotaLimit,
    /// Requests per second at each instance.
    requested: &'static [u64],
    /// Time from which the instances receive no reports, in milliseconds.
    partitioned_from_ms: Option<u64>,
    /// Time at which all instances restart, in milliseconds.
    restart_at_ms: Option<u64>,
    /// Time from the restart to the first reports, in milliseconds.
    first_report_delay_ms: u64,
    /// Excess over the limit that the requirements allow in any window of five seconds.
    excess: QuotaExcess,
    /// Minimum fraction of min(requested, rate) that must be admitted in steady state.
    min_admitted_fraction: f64,
}

struct FleetInstance {
    budget: QuotaBudget,
    bucket: QuotaBucket,
    contacts: PeerContacts,
    incarnation: u64,
}

const EXCESS: QuotaExcess = QuotaExcess {
    window: Duration::from_secs(5),
    tolerance: 0.1,
    slack: 20.0,
};

fn start_instance(
    case: &FleetCase,
    is_first: bool,
    incarnation: u64,
    now: MonotonicTime,
) -> FleetInstance {
    let initial_tokens = if is_first {
        case.limit.burst
    } else {
        case.excess.initial_tokens(case.limit)
    };
    FleetInstance {
        budget: QuotaBudget::default(),
        bucket: QuotaBucket::new(case.limit, initial_tokens, now),
        contacts: PeerContacts::default(),
        incarnation,
    }
}

/// Simulates 20 s and returns the admitted requests of each tick.
fn simulate(case: &FleetCase) -> Vec<u64> {
    let mut fleet: Vec<FleetInstance> = (case.requested.iter())
        .map(|_| start_instance(case, true, 1, MonotonicTime::default()))
        .collect();
    let mut admitted = Vec::new();
    for tick in 0..200_u64 {
        let now_ms = tick * TICK_MS;
        let now = MonotonicTime::from_millis(now_ms);
        if case.restart_at_ms == Some(now_ms) {
            fleet = (case.requested.iter())
                .map(|_| start_instance(case, false, 2, now))
                .collect();
        }
        // Reports are one tick old when they are applied, as with a long network delay.
        let reports: Vec<QuotaReport> = fleet
            .iter()
            .map(|instance| QuotaReport {
                admitted: instance.budget.admitted(),
                demand: instance.bucket.local_demand(),
            })
            .collect();
        let before: u64 = fleet
            .iter()
            .map(|instance| instance.budget.admitted())
            .sum();
        for (instance, requested) in fleet.iter_mut().zip(case.requested) {
            let silent = instance.contacts.silent(SILENCE_TIMEOUT, now);
            instance
                .bucket
                .refill(&instance.budget, case.requested.len(), &silent, now);
            let due = requested * (now_ms + TICK_MS) / 1_000 - requested * now_ms / 1_000;
            for _ in 0..due {
                instance.budget.count_demand();
                instance.budget.try_admit();
            }
        }
        let after: u64 = fleet
            .iter()
            .map(|instance| instance.budget.admitted())
            .sum();
        admitted.push(after - before);
        let is_restarting = case
            .restart_at_ms
            .is_some_and(|at| now_ms >= at && now_ms < at + case.first_report_delay_ms);
        if is_restarting
            || case
                .partitioned_from_ms
                .is_some_and(|partitioned_from| now_ms >= partitioned_from)
        {
            continue;
        }
        for (peer, report) in reports.iter().enumerate() {
            for own in 0..fleet.len() {
                let incarnation = fleet[peer].incarnation;
                if own != peer {
                    let instance = &mut fleet[own];
                    if instance.contacts.record(peer as u64, incarnation, now) {
                        instance.bucket.mark_restarted(peer as u64, incarnation);
                    }
                    instance
                        .bucket
                        .apply_report(peer as u64, incarnation, *report);
                }
            }
        }
    }
    admitted
}

/// Guards against accounts that are admitted more than their rate and burst over all instances together, and against
/// refusals within the rate if the demand is at a single instance or spread over many.
#[test]
fn instances_together_admit_the_rate_and_stay_within_the_tolerance() {
    let limit = |rate_per_s: f64| QuotaLimit {
        rate_per_s,
        burst: rate_per_s,
    };
    let cases = [
        FleetCase {
            name: "an overloaded account at all instances",
            limit: limit(200.0),
            requested: &[150, 150, 150, 150, 150, 150, 150],
            partitioned_from_ms: None,
            restart_at_ms: None,
            first_report_delay_ms: 0,
            excess: EXCESS,
            min_admitted_fraction: 0.93,
        },
        FleetCase {
            name: "an overloaded account at one instance",
            limit: limit(200.0),
            requested: &[900, 0, 0, 0, 0, 0, 0],
            partitioned_from_ms: None,
            restart_at_ms: None,
            first_report_delay_ms: 0,
            excess: EXCESS,
            min_admitted_fraction: 0.85,
        },
        FleetCase {
            name: "a small account below its rate, spread over all instances",
            limit: limit(14.0),
            requested: &[1, 2, 1, 2, 1, 1, 1],
            partitioned_from_ms: None,
            restart_at_ms: None,
            first_report_delay_ms: 0,
            excess: EXCESS,
            min_admitted_fraction: 0.99,
        },
        FleetCase {
            name: "all instances partitioned from each other",
            limit: limit(200.0),
            requested: &[150, 150, 150, 150, 150, 150, 150],
            partitioned_from_ms: Some(8_000),
            restart_at_ms: None,
            first_report_delay_ms: 0,
            excess: EXCESS,
            min_admitted_fraction: 0.8,
        },
        FleetCase {
            name: "all instances restart",
            limit: limit(200.0),
            requested: &[150, 150, 150, 150, 150, 150, 150],
            partitioned_from_ms: None,
            restart_at_ms: Some(9_000),
            first_report_delay_ms: 0,
            excess: EXCESS,
            min_admitted_fraction: 0.9,
        },
        FleetCase {
            name: "all instances restart and receive their first reports late",
            limit: limit(108.0),
            requested: &[150, 150, 150, 150, 150, 150, 150],
            partitioned_from_ms: None,
            restart_at_ms: Some(9_000),
            first_report_delay_ms: 400,
            excess: EXCESS,
            min_admitted_fraction: 0.9,
        },
    ];
    for case in cases {
        let admitted = simulate(&case);
        let window_ticks = 50;
        let allowed = case.limit.rate_per_s * 5.0 + case.limit.burst;
        let max_admitted = allowed * (1.0 + EXCESS.tolerance) + EXCESS.slack;
        for (first, window) in admitted.windows(window_ticks).enumerate() {
            let sum: u64 = window.iter().sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            assert!(
                sum <= max_admitted,
                "{}: {sum} from tick {first}, at most {max_admitted}",
                case.name
            );
        }
        let steady: u64 = admitted[100..].iter().sum();
        let requested: u64 = case.requested.iter().sum();
        #[expect(clippy::cast_precision_loss)]
        let (steady, requested) = (steady as f64 / 10.0, requested as f64);
        let min_rate = requested.min(case.limit.rate_per_s) * case.min_admitted_fraction;
        assert!(
            steady >= min_rate,
            "{}: {steady} a second, at least {min_rate}",
            case.name
        );
    }
}

/// Guards against charging an account for a request that was not sent to any upstream.
#[test]
fn a_refunded_request_can_be_admitted_again() {
    let limit = QuotaLimit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    let budget = QuotaBudget::default();
    let mut bucket = QuotaBucket::new(limit, 10.0, MonotonicTime::default());
    bucket.refill(&budget, 1, &[], MonotonicTime::from_millis(100));
    let first = std::iter::from_fn(|| budget.try_admit().then_some(())).count();
    budget.refund();
    assert!(first > 0);
    assert!(budget.try_admit());
    assert_eq!(budget.admitted(), first as u64);
}

struct SpreadCase {
    name: &'static str,
    limit: QuotaLimit,
    /// Requests per second of the account over all instances in the first half of the run.
    initial_rate: f64,
    /// Requests per second of the account over all instances in the second half of the run.
    later_rate: f64,
    /// Maximum fraction of the requests in the first half of the run that may be refused.
    max_refused_fraction: f64,
}

/// Number of instances in [`simulate_spread`].
const SPREAD_INSTANCES: u32 = 36;
/// Time between two reports in [`simulate_spread`].
const SPREAD_PERIOD: Duration = Duration::from_millis(360);

/// Simulates 100 s. Returns the admitted requests of each period and the refused fraction of the requests in the first
/// half of the run.
fn simulate_spread(case: &SpreadCase) -> (Vec<u64>, f64) {
    const PERIODS: u32 = 280;
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet: Vec<(QuotaBudget, QuotaBucket)> = (0..SPREAD_INSTANCES)
        .map(|_| {
            let bucket = QuotaBucket::new(case.limit, case.limit.burst, MonotonicTime::default());
            (QuotaBudget::default(), bucket)
        })
        .collect();
    let (mut requested, mut refused) = (0_u32, 0_u32);
    let mut admitted = Vec::new();
    let mut reports: Vec<QuotaReport> = Vec::new();
    for number in 0..PERIODS {
        let now = MonotonicTime::default() + SPREAD_PERIOD * number;
        // Reports are one period old when they are applied.
        for (own, (_, bucket)) in fleet.iter_mut().enumerate() {
            for (peer, report) in reports.iter().enumerate().filter(|(peer, _)| *peer != own) {
                bucket.apply_report(peer as u64, 1, *report);
            }
        }
        let report = |(budget, bucket): &(QuotaBudget, QuotaBucket)| QuotaReport {
            admitted: budget.admitted(),
            demand: bucket.local_demand(),
        };
        reports = fleet.iter().map(report).collect();
        let is_initial_phase = number < PERIODS / 2;
        let rate = if is_initial_phase {
            case.initial_rate
        } else {
            case.later_rate
        };
        let rate_per_period = rate * SPREAD_PERIOD.as_secs_f64() / f64::from(SPREAD_INSTANCES);
        let before: u64 = fleet.iter().map(|(budget, _)| budget.admitted()).sum();
        for (budget, bucket) in &mut fleet {
            bucket.refill(budget, SPREAD_INSTANCES as usize, &[], now);
            // The time to the next request of a Poisson process is exponentially distributed.
            let mut time = -rng.f64().ln() / rate_per_period;
            while time < 1.0 {
                time -= rng.f64().ln() / rate_per_period;
                budget.count_demand();
                let is_refused = !budget.try_admit();
                if is_initial_phase {
                    requested += 1;
                    // With headroom in the bucket, the request waits for the next refill instead of being refused.
                    refused += u32::from(is_refused && !budget.has_headroom());
                }
            }
        }
        let after: u64 = fleet.iter().map(|(budget, _)| budget.admitted()).sum();
        admitted.push(after - before);
    }
    (admitted, f64::from(refused) / f64::from(requested))
}

/// Guards against refusals of accounts well within their rate whose requests are spread over many instances, and
/// against admitting too many requests when such an account suddenly sends many times its usual rate.
#[test]
fn thinly_spread_accounts_are_served_and_bounded() {
    let limit = |rate_per_s: f64| QuotaLimit {
        rate_per_s,
        burst: rate_per_s,
    };
    let cases = [
        SpreadCase {
            name: "a small account, then 7.5 times the rate",
            limit: limit(15.0),
            initial_rate: 8.0,
            later_rate: 60.0,
            max_refused_fraction: 0.005,
        },
        SpreadCase {
            name: "a medium account, then 7.5 times the rate",
            limit: limit(50.0),
            initial_rate: 27.0,
            later_rate: 203.0,
            max_refused_fraction: 0.005,
        },
        SpreadCase {
            name: "a very small account",
            limit: limit(5.0),
            initial_rate: 2.5,
            later_rate: 2.5,
            max_refused_fraction: 0.01,
        },
    ];
    for case in cases {
        let (admitted, refused) = simulate_spread(&case);
        let allowed = case.limit.rate_per_s * 5.0 + case.limit.burst;
        let max_admitted = allowed * (1.0 + EXCESS.tolerance) + EXCESS.slack;
        let periods = 14;
        for window in admitted.windows(periods) {
            let sum: u64 = window.iter().sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            assert!(
                sum <= max_admitted,
                "{}: {sum}, at most {max_admitted}",
                case.name
            );
        }
        assert!(
            refused <= case.max_refused_fraction,
            "{}: {refused} refused",
            case.name
        );
    }
}

struct CutCase {
    name: &'static str,
    rate_per_s: f64,
    /// Requests per second at each instance before the account presses.
    usual: [u64; 7],
    /// Requests per second at each instance while the account presses, from one second after the cut on.
    pressing: [u64; 7],
    /// Instances in the smaller part of the cut, which are the first ones.
    cut_off: usize,
    /// Minimum fraction of min(requested, rate) that must be admitted in the second before the account presses.
    min_usual_fraction: f64,
    /// The same in the last five seconds of the cut.
    min_pressing_fraction: f64,
}

/// Simulates 30 s with a cut from 8 s to 20 s. Returns the admitted requests of each tick.
fn simulate_cut(case: &CutCase) -> Vec<u64> {
    let limit = QuotaLimit {
        rate_per_s: case.rate_per_s,
        burst: case.rate_per_s,
    };
    let mut fleet: Vec<FleetInstance> = (case.usual.iter())
        .map(|_| FleetInstance {
            budget: QuotaBudget::default(),
            bucket: QuotaBucket::new(limit, limit.burst, MonotonicTime::default()),
            contacts: PeerContacts::default(),
            incarnation: 1,
        })
        .collect();
    let mut admitted = Vec::new();
    for tick in 0..300_u64 {
        let now_ms = tick * TICK_MS;
        let now = MonotonicTime::from_millis(now_ms);
        let is_cut = (8_000..20_000).contains(&now_ms);
        let reports: Vec<QuotaReport> = fleet
            .iter()
            .map(|instance| QuotaReport {
                admitted: instance.budget.admitted(),
                demand: instance.bucket.local_demand(),
            })
            .collect();
        let rates = if now_ms < 9_000 {
            &case.usual
        } else {
            &case.pressing
        };
        let mut admitted_in_tick = 0;
        for (instance, rate) in fleet.iter_mut().zip(rates) {
            let silent = instance.contacts.silent(SILENCE_TIMEOUT, now);
            instance
                .bucket
                .refill(&instance.budget, case.usual.len(), &silent, now);
            for _ in (rate * now_ms / 1_000)..(rate * (now_ms + TICK_MS) / 1_000) {
                instance.budget.count_demand();
                admitted_in_tick += u64::from(instance.budget.try_admit());
            }
        }
        admitted.push(admitted_in_tick);
        for (peer, report) in reports.iter().enumerate() {
            for (own, instance) in fleet.iter_mut().enumerate() {
                let is_cut_off = |index: usize| index < case.cut_off;
                if own != peer && !(is_cut && is_cut_off(own) != is_cut_off(peer)) {
                    instance.contacts.record(peer as u64, 1, now);
                    instance.bucket.apply_report(peer as u64, 1, *report);
                }
            }
        }
    }
    admitted
}

/// Guards against a burst that each part of a cut fleet spends, and against a part that refuses an account within its rate
/// because it cannot hear the others.
#[test]
fn parts_of_a_cut_fleet_share_one_burst() {
    let cases = [
        CutCase {
            name: "an account presses at all instances after the cut",
            rate_per_s: 317.0,
            usual: [20; 7],
            pressing: [150; 7],
            cut_off: 2,
            min_usual_fraction: 0.99,
            min_pressing_fraction: 0.9,
        },
        CutCase {
            name: "one instance is cut off",
            rate_per_s: 150.0,
            usual: [10; 7],
            pressing: [75; 7],
            cut_off: 1,
            min_usual_fraction: 0.99,
            min_pressing_fraction: 0.9,
        },
        CutCase {
            name: "an account that was idle before the cut",
            rate_per_s: 200.0,
            usual: [0; 7],
            pressing: [150; 7],
            cut_off: 3,
            min_usual_fraction: 0.0,
            min_pressing_fraction: 0.9,
        },
        CutCase {
            name: "callers move to the other part",
            rate_per_s: 100.0,
            usual: [30, 0, 0, 0, 0, 0, 0],
            pressing: [0, 30, 0, 0, 0, 0, 0],
            cut_off: 1,
            min_usual_fraction: 0.99,
            min_pressing_fraction: 0.99,
        },
    ];
    for case in cases {
        let admitted = simulate_cut(&case);
        let allowed = case.rate_per_s * 6.0;
        let max_admitted = allowed * (1.0 + EXCESS.tolerance) + EXCESS.slack;
        for (first, window) in admitted.windows(50).enumerate() {
            let sum: u64 = window.iter().sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            assert!(
                sum <= max_admitted,
                "{}: {sum} from tick {first}, at most {max_admitted}",
                case.name
            );
        }
        let phases = [
            (&case.usual, 80..90, case.min_usual_fraction),
            (&case.pressing, 150..200, case.min_pressing_fraction),
        ];
        for (rates, ticks, min_fraction) in phases {
            #[expect(clippy::cast_precision_loss)]
            let seconds = ticks.len() as f64 / 10.0;
            let (served, requested): (u64, u64) =
                (admitted[ticks].iter().sum(), rates.iter().sum());
            #[expect(clippy::cast_precision_loss)]
            let (served, requested) = (served as f64 / seconds, requested as f64);
            let min_rate = requested.min(case.rate_per_s) * min_fraction;
            assert!(
                served >= min_rate,
                "{}: {served} a second, at least {min_rate}",
                case.name
            );
        }
    }
}
