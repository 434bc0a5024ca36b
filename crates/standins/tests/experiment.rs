//! Evaluation of the callers' records by the experiment.

use std::time::Duration;

use coltsfootkeel_model::{AccountKey, ArenaKey};
use coltsfootkeel_standins::{
    CallOutcome, CallRecord, RecoveryTime, evaluate_calls, recovery_time,
};

fn call_record(sent_ms: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        number: 0,
        account: AccountKey::from_index(0),
        route: "orders".to_owned(),
        entry: "entry-1".to_owned(),
        sent: Duration::from_millis(sent_ms),
        latency: Duration::from_millis(1),
        failovers: 0,
        outcome,
    }
}

fn refused(not_run: bool) -> CallOutcome {
    CallOutcome::Refused {
        code: "over_rate".to_owned(),
        not_run,
    }
}

/// Guards against refusals that are classified wrongly: a refusal of an account within its rate is wrongful, and one of
/// an account over its rate is not.
#[test]
fn reference_buckets_find_wrongful_refusals() {
    struct Case {
        name: &'static str,
        rate_per_s: f64,
        burst: f64,
        calls: Vec<(u64, CallOutcome)>,
        entitled: Vec<bool>,
        wrongful: Vec<bool>,
    }
    let cases = [
        Case {
            name: "a refusal within the burst is wrongful",
            rate_per_s: 1.0,
            burst: 2.0,
            calls: vec![(0, CallOutcome::Answered), (0, refused(true))],
            entitled: vec![true, true],
            wrongful: vec![false, true],
        },
        Case {
            name: "a refusal beyond the burst is not wrongful",
            rate_per_s: 1.0,
            burst: 2.0,
            calls: vec![
                (0, CallOutcome::Answered),
                (0, CallOutcome::Answered),
                (0, refused(true)),
            ],
            entitled: vec![true, true, false],
            wrongful: vec![false, false, false],
        },
        Case {
            name: "the bucket refills at the rate",
            rate_per_s: 2.0,
            burst: 1.0,
            calls: vec![
                (0, CallOutcome::Answered),
                (400, refused(true)),
                (500, refused(true)),
            ],
            entitled: vec![true, false, true],
            wrongful: vec![false, false, true],
        },
        Case {
            name: "the bucket holds no more than the burst",
            rate_per_s: 10.0,
            burst: 1.0,
            calls: vec![
                (0, CallOutcome::Answered),
                (5_000, CallOutcome::Answered),
                (5_000, refused(true)),
            ],
            entitled: vec![true, true, false],
            wrongful: vec![false, false, false],
        },
        Case {
            name: "a request that may have run spends a token",
            rate_per_s: 1.0,
            burst: 2.0,
            calls: vec![
                (0, CallOutcome::Broken("timed out")),
                (0, refused(false)),
                (0, refused(true)),
            ],
            entitled: vec![true, true, false],
            wrongful: vec![false, false, false],
        },
        Case {
            name: "one unused token makes one refusal wrongful",
            rate_per_s: 1.0,
            burst: 1.0,
            calls: vec![(0, refused(true)), (0, refused(true))],
            entitled: vec![true, false],
            wrongful: vec![true, false],
        },
        Case {
            name: "a request that is served from an empty bucket uses up a later token",
            rate_per_s: 1.0,
            burst: 1.0,
            calls: vec![
                (0, CallOutcome::Answered),
                (0, CallOutcome::Answered),
                (1_000, refused(true)),
                (2_000, refused(true)),
            ],
            entitled: vec![true, false, true, true],
            wrongful: vec![false, false, false, true],
        },
    ];
    for case in cases {
        let records: Vec<CallRecord> = case
            .calls
            .into_iter()
            .map(|(sent_ms, outcome)| call_record(sent_ms, outcome))
            .collect();
        let records: Vec<&CallRecord> = records.iter().collect();
        let evaluations = evaluate_calls(&records, case.rate_per_s, case.burst);
        let entitled: Vec<bool> = evaluations.iter().map(|call| call.is_entitled).collect();
        let wrongful: Vec<bool> = evaluations.iter().map(|call| call.is_wrongful).collect();
        assert_eq!(entitled, case.entitled, "{}: entitled", case.name);
        assert_eq!(wrongful, case.wrongful, "{}: wrongful", case.name);
    }
}

/// Guards against a recovery time that ends at a short pause between failures, and against one that is reported
/// although the run ended before the quiet time had passed.
#[test]
fn recovery_ends_before_a_second_without_failures() {
    struct Case {
        name: &'static str,
        failures_ms: Vec<u64>,
        end_ms: u64,
        recovery: RecoveryTime,
    }
    let within = |ms| RecoveryTime::Within(Duration::from_millis(ms));
    let cases = [
        Case {
            name: "no failures",
            failures_ms: vec![],
            end_ms: 9_000,
            recovery: within(0),
        },
        Case {
            name: "failures before the event are ignored",
            failures_ms: vec![100, 900],
            end_ms: 9_000,
            recovery: within(0),
        },
        Case {
            name: "pauses shorter than the quiet time belong to the recovery",
            failures_ms: vec![1_100, 2_000, 2_900],
            end_ms: 9_000,
            recovery: within(1_900),
        },
        Case {
            name: "a failure after the quiet time does not extend the recovery",
            failures_ms: vec![1_100, 2_200],
            end_ms: 9_000,
            recovery: within(100),
        },
        Case {
            name: "the observation ends within the quiet time",
            failures_ms: vec![1_500, 2_500],
            end_ms: 3_000,
            recovery: RecoveryTime::NotWithin(Duration::from_secs(2)),
        },
    ];
    for case in cases {
        let failure_times: Vec<Duration> = case
            .failures_ms
            .into_iter()
            .map(Duration::from_millis)
            .collect();
        let recovery = recovery_time(
            Duration::from_secs(1),
            &failure_times,
            Duration::from_secs(1),
            Duration::from_millis(case.end_ms),
        );
        assert_eq!(recovery, case.recovery, "{}", case.name);
    }
}
