//! Tests of what the experiment concludes from the records of its callers.

use std::time::Duration;

use coltsfootkeel_model::{AccountKey, ArenaKey};
use coltsfootkeel_standins::{CallEnd, CallRecord, RecoveryTime, judge_calls, recovery_time};

fn call(sent_ms: u64, end: CallEnd) -> CallRecord {
    CallRecord {
        number: 0,
        account: AccountKey::from_index(0),
        route: "orders".to_owned(),
        entry: "entry-1".to_owned(),
        sent: Duration::from_millis(sent_ms),
        latency: Duration::from_millis(1),
        failovers: 0,
        end,
    }
}

fn refused(not_run: bool) -> CallEnd {
    CallEnd::Refused {
        code: "over_rate".to_owned(),
        not_run,
    }
}

/// Guards against refusals that are blamed on the wrong side: an account within its rate that is refused must count,
/// and an account over its rate must not.
#[test]
fn reference_buckets_judge_refusals() {
    struct Case {
        name: &'static str,
        rate_per_s: f64,
        burst: f64,
        calls: Vec<(u64, CallEnd)>,
        entitled: Vec<bool>,
        wrongful: Vec<bool>,
    }
    let cases = [
        Case {
            name: "a refusal within the burst is wrongful",
            rate_per_s: 1.0,
            burst: 2.0,
            calls: vec![(0, CallEnd::Answered), (0, refused(true))],
            entitled: vec![true, true],
            wrongful: vec![false, true],
        },
        Case {
            name: "a refusal beyond the burst is rightful",
            rate_per_s: 1.0,
            burst: 2.0,
            calls: vec![
                (0, CallEnd::Answered),
                (0, CallEnd::Answered),
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
                (0, CallEnd::Answered),
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
                (0, CallEnd::Answered),
                (5_000, CallEnd::Answered),
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
                (0, CallEnd::Broken("timed out")),
                (0, refused(false)),
                (0, refused(true)),
            ],
            entitled: vec![true, true, false],
            wrongful: vec![false, false, false],
        },
        Case {
            name: "one token explains one wrongful refusal",
            rate_per_s: 1.0,
            burst: 1.0,
            calls: vec![(0, refused(true)), (0, refused(true))],
            entitled: vec![true, false],
            wrongful: vec![true, false],
        },
        Case {
            name: "a request that is served beyond the bucket is a debt",
            rate_per_s: 1.0,
            burst: 1.0,
            calls: vec![
                (0, CallEnd::Answered),
                (0, CallEnd::Answered),
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
            .map(|(sent_ms, end)| call(sent_ms, end))
            .collect();
        let records: Vec<&CallRecord> = records.iter().collect();
        let judged = judge_calls(&records, case.rate_per_s, case.burst);
        let entitled: Vec<bool> = judged.iter().map(|call| call.entitled).collect();
        let wrongful: Vec<bool> = judged.iter().map(|call| call.wrongful).collect();
        assert_eq!(entitled, case.entitled, "{}: entitled", case.name);
        assert_eq!(wrongful, case.wrongful, "{}: wrongful", case.name);
    }
}

/// Guards against a recovery that is reported too short because of a pause among the bad answers, or that is reported
/// although the run ended too early to tell.
#[test]
fn recovery_ends_before_a_quiet_second() {
    struct Case {
        name: &'static str,
        bad_ms: Vec<u64>,
        end_ms: u64,
        recovery: RecoveryTime,
    }
    let within = |ms| RecoveryTime::Within(Duration::from_millis(ms));
    let cases = [
        Case {
            name: "nothing bad",
            bad_ms: vec![],
            end_ms: 9_000,
            recovery: within(0),
        },
        Case {
            name: "bad answers before the event do not count",
            bad_ms: vec![100, 900],
            end_ms: 9_000,
            recovery: within(0),
        },
        Case {
            name: "pauses shorter than the quiet time belong to the recovery",
            bad_ms: vec![1_100, 2_000, 2_900],
            end_ms: 9_000,
            recovery: within(1_900),
        },
        Case {
            name: "a bad answer after the quiet time does not extend it",
            bad_ms: vec![1_100, 2_200],
            end_ms: 9_000,
            recovery: within(100),
        },
        Case {
            name: "the observation ends within the quiet time",
            bad_ms: vec![1_500, 2_500],
            end_ms: 3_000,
            recovery: RecoveryTime::NotWithin(Duration::from_secs(2)),
        },
    ];
    for case in cases {
        let bad: Vec<Duration> = case.bad_ms.into_iter().map(Duration::from_millis).collect();
        let recovery = recovery_time(
            Duration::from_secs(1),
            &bad,
            Duration::from_secs(1),
            Duration::from_millis(case.end_ms),
        );
        assert_eq!(recovery, case.recovery, "{}", case.name);
    }
}
