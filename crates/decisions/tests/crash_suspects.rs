//! Requests that crash upstreams are stopped, and those that ran beside them are not.

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

fn print_of(number: u8) -> SuspectFingerprint {
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

struct PrintCase {
    name: &'static str,
    head: RequestHead<'static>,
    body: BodyDigest,
    same_head: bool,
}

/// Guards against two requests that are taken for one, and against a head check that misses a suspect.
#[test]
fn fingerprint_covers_each_part_of_a_request() {
    let body = BodyDigest([1; 32]);
    let cases = [
        PrintCase {
            name: "account",
            head: RequestHead {
                account: "sawmill",
                ..HEAD
            },
            body,
            same_head: false,
        },
        PrintCase {
            name: "method",
            head: RequestHead {
                method: "PUT",
                ..HEAD
            },
            body,
            same_head: false,
        },
        PrintCase {
            name: "query",
            head: RequestHead {
                target: "/artwork?size=3",
                ..HEAD
            },
            body,
            same_head: false,
        },
        PrintCase {
            name: "length",
            head: RequestHead {
                content_length: Some(8),
                ..HEAD
            },
            body,
            same_head: false,
        },
        PrintCase {
            name: "no length",
            head: RequestHead {
                content_length: None,
                ..HEAD
            },
            body,
            same_head: false,
        },
        PrintCase {
            name: "text moved from one part to the next",
            head: RequestHead {
                account: "hotel-groupP",
                method: "OST",
                ..HEAD
            },
            body,
            same_head: false,
        },
        PrintCase {
            name: "body",
            head: HEAD,
            body: BodyDigest([2; 32]),
            same_head: true,
        },
    ];
    let known = HEAD.with_body(body);
    assert_eq!(known, HEAD.with_body(body));
    assert_eq!(known.head(), HEAD.fingerprint());
    assert_eq!(SuspectFingerprint::from_bytes(known.to_bytes()), known);
    for case in &cases {
        let other = case.head.with_body(case.body);
        assert_ne!(other, known, "{}", case.name);
        let same_head = case.head.fingerprint() == known.head();
        assert_eq!(same_head, case.same_head, "{}", case.name);
    }
}

/// What the control thread of one instance hears, at the given millisecond.
enum Heard {
    Crash(u64, &'static str, u64),
    Success,
    Cleared(u64, &'static str, u64),
    Expire(u64),
}

struct RefusalCase {
    name: &'static str,
    heard: &'static [Heard],
    refused: bool,
}

const LIFE_MS: u64 = 600_000;

const REFUSAL_CASES: [RefusalCase; 16] = [
    RefusalCase {
        name: "one crash",
        heard: &[Heard::Crash(0, "u1", 1)],
        refused: false,
    },
    RefusalCase {
        name: "crashes of two upstreams",
        heard: &[Heard::Crash(0, "u1", 1), Heard::Crash(0, "u2", 2)],
        refused: true,
    },
    RefusalCase {
        name: "a repeated notice",
        heard: &[Heard::Crash(0, "u1", 1), Heard::Crash(60_000, "u1", 1)],
        refused: false,
    },
    RefusalCase {
        name: "one crash that two instances saw",
        heard: &[Heard::Crash(0, "u1", 1), Heard::Crash(1_000, "u1", 2)],
        refused: false,
    },
    RefusalCase {
        name: "two crashes of one upstream",
        heard: &[Heard::Crash(0, "u1", 1), Heard::Crash(10_000, "u1", 2)],
        refused: true,
    },
    RefusalCase {
        name: "an upstream that crashes again and again",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Crash(1_500, "u1", 2),
            Heard::Crash(3_000, "u1", 3),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a success between two crashes",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Success,
            Heard::Crash(5_000, "u2", 2),
        ],
        refused: false,
    },
    RefusalCase {
        name: "two crashes after a success",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Success,
            Heard::Crash(5_000, "u2", 2),
            Heard::Crash(9_000, "u3", 3),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a success before any crash",
        heard: &[
            Heard::Success,
            Heard::Crash(0, "u1", 1),
            Heard::Crash(0, "u2", 2),
        ],
        refused: true,
    },
    RefusalCase {
        name: "a success of a request that was running at the second crash",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Crash(10, "u2", 2),
            Heard::Success,
        ],
        refused: false,
    },
    RefusalCase {
        name: "a peer's success between the crashes, heard last",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Crash(10, "u2", 2),
            Heard::Cleared(20, "u1", 1),
        ],
        refused: false,
    },
    RefusalCase {
        name: "a peer's success, heard before the crash it clears",
        heard: &[
            Heard::Cleared(0, "u1", 1),
            Heard::Crash(10, "u1", 1),
            Heard::Crash(20, "u2", 2),
        ],
        refused: false,
    },
    RefusalCase {
        name: "a peer's success that clears an earlier crash only",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Cleared(10, "u1", 1),
            Heard::Crash(20, "u2", 2),
            Heard::Crash(30, "u3", 3),
        ],
        refused: true,
    },
    RefusalCase {
        name: "refused until the life of the last crash has passed",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Crash(1_000, "u2", 2),
            Heard::Expire(LIFE_MS + 999),
        ],
        refused: true,
    },
    RefusalCase {
        name: "forgotten after that",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Crash(1_000, "u2", 2),
            Heard::Expire(LIFE_MS + 1_000),
        ],
        refused: false,
    },
    RefusalCase {
        name: "a crash that was forgotten does not count",
        heard: &[
            Heard::Crash(0, "u1", 1),
            Heard::Expire(LIFE_MS),
            Heard::Crash(LIFE_MS, "u2", 2),
        ],
        refused: false,
    },
];

/// Guards against a request that goes on crashing upstreams, and against one that is refused for a crash
/// it did not cause.
#[test]
fn second_crash_refuses_and_success_clears() {
    assert_eq!(CRASH_RETENTION, Duration::from_millis(LIFE_MS));
    let print = print_of(1);
    for case in &REFUSAL_CASES {
        let mut list = SuspectList::new();
        for heard in case.heard {
            match *heard {
                Heard::Crash(ms, upstream, number) => {
                    list.add_crash(at(ms), &report(upstream, number, &[print]));
                }
                Heard::Success => {
                    list.add_success(print);
                }
                Heard::Cleared(ms, upstream, number) => list.add_clearance(
                    at(ms),
                    &ClearReport {
                        fingerprint: print,
                        crashes: vec![crash_of(upstream, number)],
                    },
                ),
                Heard::Expire(ms) => {
                    list.expire(at(ms));
                }
            }
        }
        let table = list.build_table();
        assert_eq!(table.is_refused(print), case.refused, "{}", case.name);
        let suspected = table.may_refuse_head(|| HEAD.fingerprint());
        assert_eq!(suspected, case.refused, "{}", case.name);
        assert!(!table.is_refused(print_of(2)), "{}", case.name);
    }
}

/// Guards against fingerprints that are computed, or bodies that are read, while nothing is suspect.
#[test]
fn empty_table_needs_no_fingerprint() {
    let mut list = SuspectList::new();
    assert!(list.build_table().is_empty());
    let must_not = || panic!("the fingerprint is computed");
    assert!(!list.build_table().may_refuse_head(must_not));
    list.add_crash(at(0), &report("u1", 1, &[print_of(1)]));
    assert!(!list.build_table().is_empty());
    assert!(
        !list.build_table().may_refuse_head(must_not),
        "nothing is refused"
    );
    assert!(list.build_table().needs_success_report(print_of(1)));
    assert!(!list.build_table().needs_success_report(print_of(2)));
}

/// Guards against clearances that are sent without end, or never.
#[test]
fn success_is_reported_to_peers_once() {
    let mut list = SuspectList::new();
    assert_eq!(list.add_success(print_of(1)), None);
    list.add_crash(at(0), &report("u1", 1, &[print_of(1), print_of(2)]));
    let cleared = ClearReport {
        fingerprint: print_of(1),
        crashes: vec![crash_of("u1", 1)],
    };
    assert_eq!(list.add_success(print_of(1)), Some(cleared));
    assert_eq!(list.add_success(print_of(1)), None);
    assert!(!list.build_table().needs_success_report(print_of(1)));
    assert!(list.build_table().needs_success_report(print_of(2)));
}

/// Guards against a list that grows without bound, or that drops refused fingerprints for new suspects.
#[test]
fn list_is_bounded_and_keeps_refused_fingerprints() {
    let mut list = SuspectList::new();
    for (upstream, number) in [("u1", 1), ("u2", 2)] {
        list.add_crash(at(0), &report(upstream, number, &[print_of(1)]));
    }
    for number in 0..10_000_u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&number.to_be_bytes());
        let print = SuspectFingerprint::from_bytes(bytes);
        list.add_crash(at(number), &report("u3", number + 10, &[print]));
    }
    assert!(list.len() <= 4_096);
    assert!(list.len() > 3_000);
    assert!(list.build_table().is_refused(print_of(1)));
}
