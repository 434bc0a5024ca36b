//! When an instance that has started may send requests.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{InquiryEnd, SuspectInquiry};

struct InquiryCase {
    name: &'static str,
    is_first_start: bool,
    /// Time at which the other registered instances, 1 and 2, are known, in milliseconds.
    others_known_ms: Option<u64>,
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
            answers: &[(200, 1, false), (300, 2, true)],
            end: Some((300, InquiryEnd::Answered)),
        },
        InquiryCase {
            name: "all instances restart",
            is_first_start: false,
            others_known_ms: Some(100),
            answers: &[(200, 1, false), (400, 2, false)],
            end: Some((400, InquiryEnd::KnownToNone)),
        },
        InquiryCase {
            name: "one instance is away",
            is_first_start: false,
            others_known_ms: Some(100),
            answers: &[(200, 1, false)],
            end: Some((1_100, InquiryEnd::TimedOut)),
        },
        InquiryCase {
            name: "the registered instances cannot be read",
            is_first_start: false,
            others_known_ms: None,
            answers: &[],
            end: Some((3_000, InquiryEnd::TimedOut)),
        },
        InquiryCase {
            name: "a first start",
            is_first_start: true,
            others_known_ms: None,
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
    assert_eq!(end, Some(InquiryEnd::Answered), "no other instance");
}
