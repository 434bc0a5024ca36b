//! When an instance that has started may send requests, and whom it asks for crashes that it has missed.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{CrashReports, InquiryEnd, ReportCount, SuspectInquiry};

struct InquiryCase {
    name: &'static str,
    is_first_start: bool,
    /// Time at which the other registered instances, 1 and 2, are known, in milliseconds.
    others_known_ms: Option<u64>,
    /// Time at which the requests in the store are read, in milliseconds.
    store_read_ms: u64,
    /// Time, instance and awareness of each answer.
    answers: &'static [(u64, u64, bool)],
    /// Time and kind of the end; `None` if the inquiry is over from the start.
    end: Option<(u64, InquiryEnd)>,
}

/// Guards against an instance that sends requests before it was told which ones crash upstreams, and against one that
/// waits for an answer which nobody can give.
#[test]
fn requests_are_sent_once_the_suspects_are_known_or_nobody_can_tell() {
    let cases = [
        InquiryCase {
            name: "an instance that knows them answers",
            is_first_start: false,
            others_known_ms: Some(100),
            store_read_ms: 300,
            answers: &[(200, 1, false), (300, 2, true)],
            end: Some((300, InquiryEnd::Answered)),
        },
        InquiryCase {
            name: "all instances restart",
            is_first_start: false,
            others_known_ms: Some(100),
            store_read_ms: 300,
            answers: &[(200, 1, false), (400, 2, false)],
            end: Some((400, InquiryEnd::KnownToNone)),
        },
        InquiryCase {
            name: "all instances restart and the store answers late",
            is_first_start: false,
            others_known_ms: Some(100),
            store_read_ms: 700,
            answers: &[(200, 1, false), (400, 2, false)],
            end: Some((700, InquiryEnd::KnownToNone)),
        },
        InquiryCase {
            name: "one instance is away",
            is_first_start: false,
            others_known_ms: Some(100),
            store_read_ms: 300,
            answers: &[(200, 1, false)],
            end: Some((1_100, InquiryEnd::TimedOut)),
        },
        InquiryCase {
            name: "the registered instances cannot be read",
            is_first_start: false,
            others_known_ms: None,
            store_read_ms: 0,
            answers: &[],
            end: Some((3_000, InquiryEnd::TimedOut)),
        },
        InquiryCase {
            name: "a first start",
            is_first_start: true,
            others_known_ms: None,
            store_read_ms: 0,
            answers: &[],
            end: None,
        },
    ];
    for case in cases {
        let mut inquiry = SuspectInquiry::new(case.is_first_start, MonotonicTime::default());
        assert_eq!(inquiry.is_over(), case.end.is_none(), "{}", case.name);
        let mut ends = Vec::new();
        for now_ms in (0..5_000).step_by(100) {
            for (_, peer, is_aware) in case.answers.iter().filter(|answer| answer.0 == now_ms) {
                inquiry.record_answer(*peer, *is_aware);
            }
            if case.store_read_ms == now_ms {
                inquiry.record_store();
            }
            let is_known = case.others_known_ms.is_some_and(|known| known <= now_ms);
            let others: Option<&[u64]> = is_known.then_some(&[1, 2]);
            let end = inquiry.update(others, MonotonicTime::from_millis(now_ms));
            ends.extend(end.map(|end| (now_ms, end)));
        }
        assert_eq!(
            ends,
            case.end.into_iter().collect::<Vec<_>>(),
            "{}",
            case.name
        );
    }
    let mut alone = SuspectInquiry::new(false, MonotonicTime::default());
    let end = alone.update(Some(&[]), MonotonicTime::default());
    assert_eq!(end, None, "no other instance and an unread store");
    alone.record_store();
    let end = alone.update(Some(&[]), MonotonicTime::default());
    assert_eq!(end, Some(InquiryEnd::KnownToNone), "no other instance");
}

/// A heartbeat of instance 1 with its incarnation, the stated number of crashes and those that it carries.
struct ReportCase {
    name: &'static str,
    is_first_start: bool,
    heartbeats: &'static [(u64, u32, u32)],
    /// The stated number in an answer that arrives before the last heartbeat.
    answered: Option<u32>,
    is_missed: bool,
}

/// Guards against an instance that is never told of crashes because it was cut off, and against questions without a
/// missed report.
#[test]
fn an_instance_asks_for_reports_that_it_has_missed() {
    let case = |name, heartbeats, is_missed| ReportCase {
        name,
        is_first_start: false,
        heartbeats,
        answered: None,
        is_missed,
    };
    let cases = [
        case("no crash", &[(1, 0, 0)], false),
        case("every report", &[(1, 1, 1), (1, 1, 0), (1, 3, 2)], false),
        case("a lost report", &[(1, 1, 1), (1, 3, 1)], true),
        case("reports before the first heartbeat", &[(1, 2, 0)], true),
        case("a late heartbeat", &[(1, 3, 3), (1, 2, 0)], false),
        case("a restart", &[(1, 3, 3), (2, 0, 0)], false),
        case("reports after a restart", &[(1, 3, 3), (2, 1, 0)], true),
        ReportCase {
            answered: Some(3),
            ..case("an answer", &[(1, 3, 0), (1, 3, 0)], false)
        },
        ReportCase {
            answered: Some(3),
            ..case("a report after the answer", &[(1, 3, 0), (1, 4, 0)], true)
        },
        ReportCase {
            is_first_start: true,
            ..case("a first start", &[(1, 2, 0)], false)
        },
    ];
    for case in cases {
        let now = MonotonicTime::default();
        let mut reports = CrashReports::new(case.is_first_start, now);
        for (index, (incarnation, stated, carried)) in case.heartbeats.iter().enumerate() {
            if let Some(stated) = case.answered
                && index + 1 == case.heartbeats.len()
            {
                reports.record_answer(1, *incarnation, stated);
            }
            let count = ReportCount {
                incarnation: *incarnation,
                stated: *stated,
                carried: *carried,
            };
            reports.record(1, count, now);
        }
        let expected = case.is_missed.then_some(1);
        assert_eq!(reports.next_missed(), expected, "{}", case.name);
        assert_eq!(reports.next_missed(), None, "{}: asked twice", case.name);
    }
}
