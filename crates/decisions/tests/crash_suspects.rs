//! Tests of the detection of requests that crash upstreams.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    BodyDigest, CRASH_RETENTION, ClearReport, CrashId, CrashReport, RequestHead,
    SuspectFingerprint, SuspectList,
};

const HEAD: RequestHead = RequestHead {
    account: "hotel-group",
    method: "POST",
    target: "/artwork?size=2",
    content_length: Some(7),
};

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn fingerprint_of(number: u8) -> SuspectFingerprint {
    HEAD.with_body(BodyDigest([number; 32]))
}

fn crash_of(upstream: &str, number: u64) -> CrashId {
    CrashId {
        upstream: upstream.to_owned(),
        number,
    }
}

fn report(upstream: &str, number: u64, fingerprints: &[SuspectFingerprint]) -> CrashReport {
    CrashReport {
        crash: crash_of(upstream, number),
        fingerprints: fingerprints.to_vec(),
    }
}

struct FingerprintCase {
    name: &'static str,
    head: RequestHead<'static>,
    body: BodyDigest,
    /// Whether the fingerprint of the head equals that of [`HEAD`].
    same_head: bool,
}

/// Guards against a harmless request that is refused because it has the fingerprint of a crashing one, as happens if a
/// part of the request is not hashed or if text can move from one part to the next. Also guards against a crashing
/// request that passes the check of its head, as happens if the fingerprint of the head depends on the body.
#[test]
fn fingerprint_covers_each_part_of_a_request() {
    let body = BodyDigest([1; 32]);
    let cases = [
        FingerprintCase {
            name: "account",
            head: RequestHead {
                account: "sawmill",
                ..HEAD
            },
            body,
            same_head: false,
        },
        FingerprintCase {
            name: "method",
            head: RequestHead {
                method: "PUT",
                ..HEAD
            },
            body,
            same_head: false,
        },
        FingerprintCase {
            name: "query",
            head: RequestHead {
                target: "/artwork?size=3",
                ..HEAD
            },
            body,
            same_head: false,
        },
        FingerprintCase {
            name: "content length",
            head: RequestHead {
                content_length: Some(8),
                ..HEAD
            },
            body,
            same_head: false,
        },
        FingerprintCase {
            name: "no content length",
            head: RequestHead {
                content_length: None,
                ..HEAD
            },
            body,
            same_head: false,
        },
        FingerprintCase {
            name: "the last letter of the account instead of the first one of the method",
            head: RequestHead {
                account: "hotel-groupP",
                method: "OST",
                ..HEAD
            },
            body,
            same_head: false,
        },
        FingerprintCase {
            name: "body",
            head: HEAD,
            body: BodyDigest([2; 32]),
            same_head: true,
        },
    ];
    let original = HEAD.with_body(body);
    assert_eq!(original, HEAD.with_body(body));
    assert_eq!(original.head(), HEAD.fingerprint());
    assert_eq!(
        SuspectFingerprint::from_bytes(original.to_bytes()),
        original
    );
    for case in &cases {
        let other = case.head.with_body(case.body);
        assert_ne!(other, original, "{}", case.name);
        let same_head = case.head.fingerprint() == original.head();
        assert_eq!(same_head, case.same_head, "{}", case.name);
    }
}

/// An input of the suspect list of one instance. The first number is the time in milliseconds.
enum SuspectEvent {
    /// A report that the named upstream crashed, with the number of the crash.
    Crash(u64, &'static str, u64),
    /// A request with the fingerprint was answered.
    Success,
    /// A peer's report that a success cleared the crash of the named upstream with the number.
    Cleared(u64, &'static str, u64),
    /// Suspects whose retention has passed are removed.
    Expire(u64),
}

struct RefusalCase {
    name: &'static str,
    events: &'static [SuspectEvent],
    /// Whether the request is refused after the events.
    refused: bool,
}

/// [`CRASH_RETENTION`] in milliseconds.
const CRASH_RETENTION_MS: u64 = 600_000;

const REFUSAL_CASES: [RefusalCase; 16] = [
    RefusalCase {
        name: "one crash",
        events: &[SuspectEvent::Crash(0, "u1", 1)],
        refused: false,
    },
    RefusalCase {
        name: "crashes of two upstreams at the same time",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(0, "u2", 2),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a repeated report of one crash",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(60_000, "u1", 1),
        ],
        refused: false,
    },
    RefusalCase {
        name: "one crash that two instances report under different numbers",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(1_000, "u1", 2),
        ],
        refused: false,
    },
    RefusalCase {
        name: "two crashes of one upstream 10 s apart",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(10_000, "u1", 2),
        ],
        refused: true,
    },
    RefusalCase {
        name: "three crashes of one upstream 1.5 s apart",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(1_500, "u1", 2),
            SuspectEvent::Crash(3_000, "u1", 3),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a success between two crashes",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Success,
            SuspectEvent::Crash(5_000, "u2", 2),
        ],
        refused: false,
    },
    RefusalCase {
        name: "two crashes after a success",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Success,
            SuspectEvent::Crash(5_000, "u2", 2),
            SuspectEvent::Crash(9_000, "u3", 3),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a success before any crash",
        events: &[
            SuspectEvent::Success,
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(0, "u2", 2),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a success that arrives after the second crash",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(10, "u2", 2),
            SuspectEvent::Success,
        ],
        refused: false,
    },
    RefusalCase {
        name: "a peer's clearance of the first crash that arrives after the second one",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(10, "u2", 2),
            SuspectEvent::Cleared(20, "u1", 1),
        ],
        refused: false,
    },
    RefusalCase {
        name: "a peer's clearance that arrives before the report of its crash",
        events: &[
            SuspectEvent::Cleared(0, "u1", 1),
            SuspectEvent::Crash(10, "u1", 1),
            SuspectEvent::Crash(20, "u2", 2),
        ],
        refused: false,
    },
    RefusalCase {
        name: "a peer's clearance of the first of three crashes",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Cleared(10, "u1", 1),
            SuspectEvent::Crash(20, "u2", 2),
            SuspectEvent::Crash(30, "u3", 3),
        ],
        refused: true,
    },
    RefusalCase {
        name: "1 ms before the retention of the last crash ends",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(1_000, "u2", 2),
            SuspectEvent::Expire(CRASH_RETENTION_MS + 999),
        ],
        refused: true,
    },
    RefusalCase {
        name: "at the end of the retention of the last crash",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Crash(1_000, "u2", 2),
            SuspectEvent::Expire(CRASH_RETENTION_MS + 1_000),
        ],
        refused: false,
    },
    RefusalCase {
        name: "a second crash after the retention of the first one has ended",
        events: &[
            SuspectEvent::Crash(0, "u1", 1),
            SuspectEvent::Expire(CRASH_RETENTION_MS),
            SuspectEvent::Crash(CRASH_RETENTION_MS, "u2", 2),
        ],
        refused: false,
    },
];

/// Guards against a request that continues to crash upstreams because its crashes are not counted together. Also guards
/// against a request that is refused for a crash that it did not cause, because reports are repeated or arrive out of
/// order, several instances report the same crash, or a success is ignored.
#[test]
fn second_crash_refuses_and_success_clears() {
    assert_eq!(CRASH_RETENTION, Duration::from_millis(CRASH_RETENTION_MS));
    let fingerprint = fingerprint_of(1);
    for case in &REFUSAL_CASES {
        let mut list = SuspectList::new();
        for event in case.events {
            match *event {
                SuspectEvent::Crash(ms, upstream, number) => {
                    list.add_crash(at(ms), &report(upstream, number, &[fingerprint]));
                }
                SuspectEvent::Success => {
                    list.add_success(fingerprint);
                }
                SuspectEvent::Cleared(ms, upstream, number) => list.add_clearance(
                    at(ms),
                    &ClearReport {
                        fingerprint,
                        crashes: vec![crash_of(upstream, number)],
                    },
                ),
                SuspectEvent::Expire(ms) => {
                    list.expire(at(ms));
                }
            }
        }
        let table = list.build_table();
        assert_eq!(table.is_refused(fingerprint), case.refused, "{}", case.name);
        let head_refused = table.may_refuse_head(|| HEAD.fingerprint());
        assert_eq!(head_refused, case.refused, "{}", case.name);
        assert!(!table.is_refused(fingerprint_of(2)), "{}", case.name);
    }
}

/// Guards against requests that are slowed down without a reason, because their fingerprints are computed or their
/// bodies are read although no request is refused.
#[test]
fn empty_table_needs_no_fingerprint() {
    let mut list = SuspectList::new();
    assert!(list.build_table().is_empty());
    let panic_if_computed = || panic!("the fingerprint is computed although nothing is refused");
    assert!(!list.build_table().may_refuse_head(panic_if_computed));
    list.add_crash(at(0), &report("u1", 1, &[fingerprint_of(1)]));
    assert!(!list.build_table().is_empty());
    assert!(
        !list.build_table().may_refuse_head(panic_if_computed),
        "nothing is refused"
    );
    assert!(list.build_table().needs_success_report(fingerprint_of(1)));
    assert!(!list.build_table().needs_success_report(fingerprint_of(2)));
}

/// Guards against peers that still refuse a harmless request because its success is not reported to them, and against
/// a report with each of its successes, which comes about if cleared crashes are reported again.
#[test]
fn success_is_reported_to_peers_once() {
    let mut list = SuspectList::new();
    assert_eq!(list.add_success(fingerprint_of(1)), None);
    list.add_crash(
        at(0),
        &report("u1", 1, &[fingerprint_of(1), fingerprint_of(2)]),
    );
    let cleared = ClearReport {
        fingerprint: fingerprint_of(1),
        crashes: vec![crash_of("u1", 1)],
    };
    assert_eq!(list.add_success(fingerprint_of(1)), Some(cleared));
    assert_eq!(list.add_success(fingerprint_of(1)), None);
    assert!(!list.build_table().needs_success_report(fingerprint_of(1)));
    assert!(list.build_table().needs_success_report(fingerprint_of(2)));
}

/// Guards against a list that exhausts the memory while upstreams crash under many different requests, and against a
/// crashing request that is let through again because newer suspects have evicted its fingerprint.
#[test]
fn list_is_bounded_and_keeps_refused_fingerprints() {
    let mut list = SuspectList::new();
    for (upstream, number) in [("u1", 1), ("u2", 2)] {
        list.add_crash(at(0), &report(upstream, number, &[fingerprint_of(1)]));
    }
    for number in 0..10_000_u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&number.to_be_bytes());
        let fingerprint = SuspectFingerprint::from_bytes(bytes);
        list.add_crash(at(number), &report("u3", number + 10, &[fingerprint]));
    }
    assert!(list.len() <= 4_096);
    assert!(list.len() > 3_000);
    assert!(list.build_table().is_refused(fingerprint_of(1)));
}
