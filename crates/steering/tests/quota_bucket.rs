//! Rates of client accounts over several instances that report to one another.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{QuotaBucket, QuotaBudget, QuotaExcess, QuotaLimit, QuotaReport};

const TICK_MS: u64 = 100;

struct FleetCase {
    name: &'static str,
    limit: QuotaLimit,
    /// Requests a second at each instance.
    asked: &'static [u64],
    /// From when on the instances do not hear one another, in milliseconds.
    cut_from_ms: Option<u64>,
    /// All instances start anew at this time, in milliseconds.
    restart_at_ms: Option<u64>,
    /// How long after that they hear one another first, in milliseconds.
    heard_after_ms: u64,
    /// What the users allow in any window of five seconds beyond the limit, as they state it.
    excess: QuotaExcess,
    /// The least part of min(asked, rate) that must be admitted in steady state.
    least_part: f64,
}

struct FleetInstance {
    gate: QuotaBudget,
    account: QuotaBucket,
    incarnation: u64,
}

const EXCESS: QuotaExcess = QuotaExcess {
    window: Duration::from_secs(5),
    tolerance: 0.1,
    slack: 20.0,
};

fn start(case: &FleetCase, is_first: bool, incarnation: u64, now: MonotonicTime) -> FleetInstance {
    let content = if is_first {
        case.limit.burst
    } else {
        case.excess.initial_tokens(case.limit)
    };
    FleetInstance {
        gate: QuotaBudget::default(),
        account: QuotaBucket::new(case.limit, content, now),
        incarnation,
    }
}

/// Plays 20 s and returns the admitted requests of each tick.
fn play(case: &FleetCase) -> Vec<u64> {
    let mut fleet: Vec<FleetInstance> = (case.asked.iter())
        .map(|_| start(case, true, 1, MonotonicTime::default()))
        .collect();
    let mut admitted = Vec::new();
    for tick in 0..200_u64 {
        let now_ms = tick * TICK_MS;
        let now = MonotonicTime::from_millis(now_ms);
        if case.restart_at_ms == Some(now_ms) {
            fleet = (case.asked.iter())
                .map(|_| start(case, false, 2, now))
                .collect();
        }
        // Reports are one tick old when they are used, as on a long way.
        let reports: Vec<QuotaReport> = fleet
            .iter()
            .map(|instance| QuotaReport {
                admitted: instance.gate.admitted(),
                demand: instance.account.local_demand(),
            })
            .collect();
        let before: u64 = fleet.iter().map(|instance| instance.gate.admitted()).sum();
        for (instance, asked) in fleet.iter_mut().zip(case.asked) {
            instance
                .account
                .refill(&instance.gate, case.asked.len(), now);
            let due = asked * (now_ms + TICK_MS) / 1_000 - asked * now_ms / 1_000;
            for _ in 0..due {
                instance.gate.count_demand();
                instance.gate.try_admit();
            }
        }
        let after: u64 = fleet.iter().map(|instance| instance.gate.admitted()).sum();
        admitted.push(after - before);
        let is_restarting = case
            .restart_at_ms
            .is_some_and(|at| now_ms >= at && now_ms < at + case.heard_after_ms);
        if is_restarting || case.cut_from_ms.is_some_and(|cut| now_ms >= cut) {
            continue;
        }
        for (peer, report) in reports.iter().enumerate() {
            for own in 0..fleet.len() {
                let incarnation = fleet[peer].incarnation;
                if own != peer {
                    let account = &mut fleet[own].account;
                    account.apply_report(peer as u64, incarnation, *report, now);
                }
            }
        }
    }
    admitted
}

/// Guards against accounts that get more than their rate and burst over all instances together, and against refusals
/// within the rate where the demand is at one instance or spread thinly.
#[test]
fn instances_together_admit_the_rate_and_no_more_than_the_users_allow() {
    let limit = |rate_per_s: f64| QuotaLimit {
        rate_per_s,
        burst: rate_per_s,
    };
    let cases = [
        FleetCase {
            name: "a hot account through all instances",
            limit: limit(200.0),
            asked: &[150, 150, 150, 150, 150, 150, 150],
            cut_from_ms: None,
            restart_at_ms: None,
            heard_after_ms: 0,
            excess: EXCESS,
            least_part: 0.93,
        },
        FleetCase {
            name: "a hot account through one instance",
            limit: limit(200.0),
            asked: &[900, 0, 0, 0, 0, 0, 0],
            cut_from_ms: None,
            restart_at_ms: None,
            heard_after_ms: 0,
            excess: EXCESS,
            least_part: 0.85,
        },
        FleetCase {
            name: "a small account below its rate, spread thinly",
            limit: limit(14.0),
            asked: &[1, 2, 1, 2, 1, 1, 1],
            cut_from_ms: None,
            restart_at_ms: None,
            heard_after_ms: 0,
            excess: EXCESS,
            least_part: 0.99,
        },
        FleetCase {
            name: "every instance cut off from every other",
            limit: limit(200.0),
            asked: &[150, 150, 150, 150, 150, 150, 150],
            cut_from_ms: Some(8_000),
            restart_at_ms: None,
            heard_after_ms: 0,
            excess: EXCESS,
            least_part: 0.8,
        },
        FleetCase {
            name: "all instances start anew",
            limit: limit(200.0),
            asked: &[150, 150, 150, 150, 150, 150, 150],
            cut_from_ms: None,
            restart_at_ms: Some(9_000),
            heard_after_ms: 0,
            excess: EXCESS,
            least_part: 0.9,
        },
        FleetCase {
            name: "all instances start anew and hear one another late",
            limit: limit(108.0),
            asked: &[150, 150, 150, 150, 150, 150, 150],
            cut_from_ms: None,
            restart_at_ms: Some(9_000),
            heard_after_ms: 400,
            excess: EXCESS,
            least_part: 0.9,
        },
    ];
    for case in cases {
        let admitted = play(&case);
        let window_ticks = 50;
        let allowed = case.limit.rate_per_s * 5.0 + case.limit.burst;
        let most = allowed * (1.0 + EXCESS.tolerance) + EXCESS.slack;
        for (first, window) in admitted.windows(window_ticks).enumerate() {
            let sum: u64 = window.iter().sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            assert!(
                sum <= most,
                "{}: {sum} from tick {first}, at most {most}",
                case.name
            );
        }
        let steady: u64 = admitted[100..].iter().sum();
        let asked: u64 = case.asked.iter().sum();
        #[expect(clippy::cast_precision_loss)]
        let (steady, asked) = (steady as f64 / 10.0, asked as f64);
        let least = asked.min(case.limit.rate_per_s) * case.least_part;
        assert!(
            steady >= least,
            "{}: {steady} a second, at least {least}",
            case.name
        );
    }
}

/// Guards against a request that no upstream was sent but that was charged all the same.
#[test]
fn a_charge_that_is_given_back_can_be_spent_again() {
    let limit = QuotaLimit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    let gate = QuotaBudget::default();
    let mut account = QuotaBucket::new(limit, 10.0, MonotonicTime::default());
    account.refill(&gate, 1, MonotonicTime::from_millis(100));
    let first = std::iter::from_fn(|| gate.try_admit().then_some(())).count();
    gate.refund();
    assert!(first > 0);
    assert!(gate.try_admit());
    assert_eq!(gate.admitted(), first as u64);
}

struct ThinCase {
    name: &'static str,
    limit: QuotaLimit,
    /// Requests a second of the whole account, spread over all instances.
    usual: f64,
    /// The same from the middle of the run on.
    later: f64,
    /// The largest part of the usual requests that may be refused.
    most_refused: f64,
}

/// The fleet of [`ThinCase`].
const THIN_INSTANCES: u32 = 36;
/// Its period between two reports.
const THIN_PERIOD: Duration = Duration::from_millis(360);

/// Plays 100 s. Returns the admitted requests of each period and the part of the usual requests that was refused.
fn play_thin(case: &ThinCase) -> (Vec<u64>, f64) {
    const PERIODS: u32 = 280;
    let mut draw = fastrand::Rng::with_seed(7);
    let mut fleet: Vec<(QuotaBudget, QuotaBucket)> = (0..THIN_INSTANCES)
        .map(|_| {
            let account = QuotaBucket::new(case.limit, case.limit.burst, MonotonicTime::default());
            (QuotaBudget::default(), account)
        })
        .collect();
    let (mut asked, mut refused) = (0_u32, 0_u32);
    let mut admitted = Vec::new();
    let mut reports: Vec<QuotaReport> = Vec::new();
    for number in 0..PERIODS {
        let now = MonotonicTime::default() + THIN_PERIOD * number;
        // Reports are one period old when they are used.
        for (own, (_, account)) in fleet.iter_mut().enumerate() {
            for (peer, report) in reports.iter().enumerate().filter(|(peer, _)| *peer != own) {
                account.apply_report(peer as u64, 1, *report, now);
            }
        }
        let report = |(gate, account): &(QuotaBudget, QuotaBucket)| QuotaReport {
            admitted: gate.admitted(),
            demand: account.local_demand(),
        };
        reports = fleet.iter().map(report).collect();
        let is_usual = number < PERIODS / 2;
        let rate = if is_usual { case.usual } else { case.later };
        let each = rate * THIN_PERIOD.as_secs_f64() / f64::from(THIN_INSTANCES);
        let before: u64 = fleet.iter().map(|(gate, _)| gate.admitted()).sum();
        for (gate, account) in &mut fleet {
            account.refill(gate, THIN_INSTANCES as usize, now);
            // The time to the next request of a Poisson process is exponential.
            let mut time = -draw.f64().ln() / each;
            while time < 1.0 {
                time -= draw.f64().ln() / each;
                gate.count_demand();
                let is_refused = !gate.try_admit();
                if is_usual {
                    asked += 1;
                    // While the bucket is ample, the request waits for the next refill.
                    refused += u32::from(is_refused && !gate.has_headroom());
                }
            }
        }
        let after: u64 = fleet.iter().map(|(gate, _)| gate.admitted()).sum();
        admitted.push(after - before);
    }
    (admitted, f64::from(refused) / f64::from(asked))
}

/// Guards against refusals of accounts well within their rate whose requests are spread over many instances, and against too
/// many admissions when such an account suddenly sends many times as much.
#[test]
fn thinly_spread_accounts_are_served_and_bounded() {
    let limit = |rate_per_s: f64| QuotaLimit {
        rate_per_s,
        burst: rate_per_s,
    };
    let cases = [
        ThinCase {
            name: "a small account, then 7.5 times as much",
            limit: limit(15.0),
            usual: 8.0,
            later: 60.0,
            most_refused: 0.005,
        },
        ThinCase {
            name: "a middling account, then 7.5 times as much",
            limit: limit(50.0),
            usual: 27.0,
            later: 203.0,
            most_refused: 0.005,
        },
        ThinCase {
            name: "a tiny account",
            limit: limit(5.0),
            usual: 2.5,
            later: 2.5,
            most_refused: 0.01,
        },
    ];
    for case in cases {
        let (admitted, refused) = play_thin(&case);
        let allowed = case.limit.rate_per_s * 5.0 + case.limit.burst;
        let most = allowed * (1.0 + EXCESS.tolerance) + EXCESS.slack;
        let periods = 14;
        for window in admitted.windows(periods) {
            let sum: u64 = window.iter().sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            assert!(sum <= most, "{}: {sum}, at most {most}", case.name);
        }
        assert!(
            refused <= case.most_refused,
            "{}: {refused} refused",
            case.name
        );
    }
}
