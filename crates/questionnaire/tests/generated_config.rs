//! Tests of the derived values of a generated configuration. Guards against a value that does not follow from the
//! answers, and against an explanation that is missing or differs from the document.

use coltsfootkeel_model::{FleetConfig, PriorityClass, ShiftCap};
use coltsfootkeel_questionnaire::{
    DelayAnswer, DeliveryAnswer, DerivedValue, GeneratedConfig, generate, parse,
};

/// The answers that test cases vary. All other answers are constant.
struct AnswerCase {
    name: &'static str,
    peak_per_s: u64,
    calls_per_s: u64,
    usual_ms: u64,
    at_most_ms: u64,
    sends_kib: u64,
    link_mbit_per_s: u64,
    at_once_percent: u64,
    delivery: DeliveryAnswer,
    delay: DelayAnswer,
    open_to_all: bool,
}

const ON_TIME: DelayAnswer = DelayAnswer {
    may_be_late: false,
    may_wait: false,
};
const LATE: DelayAnswer = DelayAnswer {
    may_be_late: true,
    may_wait: false,
};
const WAITS: DelayAnswer = DelayAnswer {
    may_be_late: false,
    may_wait: true,
};
const NOT_LOST: DeliveryAnswer = DeliveryAnswer {
    must_not_run_twice: false,
    must_not_be_lost: true,
};
const NO_HARM: DeliveryAnswer = DeliveryAnswer {
    must_not_run_twice: false,
    must_not_be_lost: false,
};
const BASE: AnswerCase = AnswerCase {
    name: "base",
    peak_per_s: 100,
    calls_per_s: 50,
    usual_ms: 100,
    at_most_ms: 2_000,
    sends_kib: 1,
    link_mbit_per_s: 4_000,
    at_once_percent: 30,
    delivery: DeliveryAnswer {
        must_not_run_twice: true,
        must_not_be_lost: true,
    },
    delay: ON_TIME,
    open_to_all: false,
};

fn questionnaire(case: &AnswerCase) -> String {
    format!(
        "
team: two-hills
regions:
  - {{name: east, failure_domains: [{{name: east-a, entry_instances: 2}}, {{name: east-b, entry_instances: 1}}]}}
  - {{name: west, failure_domains: [{{name: west-a, entry_instances: 1}}, {{name: west-b, entry_instances: 1}}]}}
links:
  - {{between: [east, west], capacity_mbit_per_s: {link_mbit_per_s}, latency_ms: 35}}
departments:
  - name: orders
    departure: {{month: 2027-02, from: east, to: west, at_once_percent: {at_once_percent}}}
callers:
  - {{name: shop, department: orders, expected_per_s: 1, peak_per_s: {peak_per_s}}}
sites:
  - {{name: town, failure_domains: [east-a], blocks: [10.1.0.0/16, '2001:db8::/32']}}
pools:
  - name: desk
    slots: 10
    connections: 100
    upstreams:
      - {{failure_domain: east-a, addresses: ['127.0.0.1:9001']}}
      - {{failure_domain: east-b, addresses: ['127.0.0.1:9002']}}
      - {{failure_domain: west-a, addresses: ['127.0.0.1:9003']}}
      - {{failure_domain: west-b, addresses: ['127.0.0.1:9004']}}
services:
  - name: bookings
    department: orders
    path: '/bookings \"of {{today}}: #1'
    pool: desk
    open_to_all: {open_to_all}
    calls_per_s: {calls_per_s}
    sends_kib: {sends_kib}
    receives_kib: 1
    usual_ms: {usual_ms}
    at_most_ms: {at_most_ms}
    must_not_run_twice: {must_not_run_twice}
    must_not_be_lost: {must_not_be_lost}
    may_be_late: {may_be_late}
    may_wait: {may_wait}
",
        link_mbit_per_s = case.link_mbit_per_s,
        at_once_percent = case.at_once_percent,
        peak_per_s = case.peak_per_s,
        open_to_all = case.open_to_all,
        calls_per_s = case.calls_per_s,
        sends_kib = case.sends_kib,
        usual_ms = case.usual_ms,
        at_most_ms = case.at_most_ms,
        must_not_run_twice = case.delivery.must_not_run_twice,
        must_not_be_lost = case.delivery.must_not_be_lost,
        may_be_late = case.delay.may_be_late,
        may_wait = case.delay.may_wait,
    )
}

fn generate_config(case: &AnswerCase) -> GeneratedConfig {
    match parse(case.name, &questionnaire(case)) {
        Ok(answers) => generate(&answers),
        Err(findings) => panic!("{findings}"),
    }
}

fn parse_fleet(config: &GeneratedConfig) -> FleetConfig {
    match FleetConfig::parse("generated", &config.document) {
        Ok(fleet) => fleet,
        Err(findings) => panic!("{findings}"),
    }
}

fn find_explanation<'a>(config: &'a GeneratedConfig, field: &str) -> &'a DerivedValue {
    let explanations = &config.explanations;
    let found = explanations.iter().find(|value| value.field == field);
    found.unwrap_or_else(|| panic!("{field} has no explanation"))
}

/// Guards against a wrong class, deadline or retry of POST, which could shed urgent requests or run one twice.
#[test]
fn class_deadline_and_retries_follow_from_the_answers() {
    struct ClassCase {
        answers: AnswerCase,
        class: PriorityClass,
        deadline_ms: u128,
        is_post_idempotent: bool,
    }
    let cases = [
        ClassCase {
            answers: AnswerCase {
                name: "not twice",
                ..BASE
            },
            class: PriorityClass::Urgent,
            deadline_ms: 7_100,
            is_post_idempotent: false,
        },
        ClassCase {
            answers: AnswerCase {
                name: "not lost",
                delivery: NOT_LOST,
                ..BASE
            },
            class: PriorityClass::Standard,
            deadline_ms: 4_100,
            is_post_idempotent: true,
        },
        ClassCase {
            answers: AnswerCase {
                name: "not lost, but late",
                delivery: NOT_LOST,
                delay: LATE,
                ..BASE
            },
            class: PriorityClass::Standard,
            deadline_ms: 4_100,
            is_post_idempotent: true,
        },
        ClassCase {
            answers: AnswerCase {
                name: "late",
                delivery: NO_HARM,
                delay: LATE,
                ..BASE
            },
            class: PriorityClass::Preview,
            deadline_ms: 2_600,
            is_post_idempotent: false,
        },
        ClassCase {
            answers: AnswerCase {
                name: "nothing",
                delivery: NO_HARM,
                ..BASE
            },
            class: PriorityClass::Standard,
            deadline_ms: 4_100,
            is_post_idempotent: false,
        },
        ClassCase {
            answers: AnswerCase {
                name: "waits, but not twice",
                delay: WAITS,
                ..BASE
            },
            class: PriorityClass::Overnight,
            deadline_ms: 32_100,
            is_post_idempotent: false,
        },
        ClassCase {
            answers: AnswerCase {
                name: "longest",
                at_most_ms: 540_000,
                delay: WAITS,
                ..BASE
            },
            class: PriorityClass::Overnight,
            deadline_ms: 570_100,
            is_post_idempotent: false,
        },
    ];
    for case in cases {
        let name = case.answers.name;
        let config = generate_config(&case.answers);
        let fleet = parse_fleet(&config);
        let (_, route) = fleet.routes.iter().next().unwrap();
        assert_eq!(route.class, case.class, "{name}");
        assert_eq!(route.deadline.as_millis(), case.deadline_ms, "{name}");
        assert_eq!(
            route.is_idempotent("POST"),
            case.is_post_idempotent,
            "{name}"
        );
        let deadline = find_explanation(&config, "routes.bookings.deadline_ms");
        assert_eq!(deadline.value, case.deadline_ms.to_string(), "{name}");
    }
}

/// Guards against a burst that is too small for the peak rate or for the number of entry instances.
#[test]
fn rate_and_burst_follow_from_the_peak() {
    struct RateCase {
        peak_per_s: u64,
        burst: u64,
    }
    // The questionnaire has five entry instances, so a burst is at least 5.
    let cases = [
        RateCase {
            peak_per_s: 1,
            burst: 5,
        },
        RateCase {
            peak_per_s: 10,
            burst: 5,
        },
        RateCase {
            peak_per_s: 11,
            burst: 6,
        },
        RateCase {
            peak_per_s: 10_000_000,
            burst: 5_000_000,
        },
    ];
    for case in cases {
        let config = generate_config(&AnswerCase {
            peak_per_s: case.peak_per_s,
            calls_per_s: 1,
            ..BASE
        });
        let fleet = parse_fleet(&config);
        let (_, account) = fleet.accounts.iter().next().unwrap();
        assert_eq!(account.rate_per_s, case.peak_per_s);
        assert_eq!(account.burst, case.burst, "peak {}", case.peak_per_s);
        let burst = find_explanation(&config, "client_accounts.shop.burst");
        assert_eq!(burst.value, case.burst.to_string());
    }
}

/// Guards against a cap with which a departure overloads the slots of the destination or the link to it.
#[test]
fn shift_moves_no_more_than_the_destination_can_carry() {
    struct CapCase {
        answers: AnswerCase,
        percent: u32,
    }
    // The destination has 20 slots, of which 10 are reserved for the loss of a failure domain. Each region has half of
    // the calls, so a demand of 2 × n slots moves n slots to a region that already uses n.
    let cases = [
        CapCase {
            answers: AnswerCase {
                name: "answer limits",
                ..BASE
            },
            percent: 30,
        },
        CapCase {
            answers: AnswerCase {
                name: "slots limit",
                calls_per_s: 80,
                usual_ms: 200,
                at_once_percent: 100,
                ..BASE
            },
            percent: 25,
        },
        CapCase {
            answers: AnswerCase {
                name: "no slot is free",
                calls_per_s: 100,
                usual_ms: 200,
                ..BASE
            },
            percent: 0,
        },
        CapCase {
            answers: AnswerCase {
                name: "overload",
                calls_per_s: 100,
                usual_ms: 2_000,
                ..BASE
            },
            percent: 0,
        },
        // 25 calls/s of 1,024 KiB are 209.7 Mbit/s, and the usable half of the link is 50 Mbit/s.
        CapCase {
            answers: AnswerCase {
                name: "link limits",
                sends_kib: 1_024,
                link_mbit_per_s: 100,
                ..BASE
            },
            percent: 23,
        },
    ];
    for case in cases {
        let name = case.answers.name;
        let config = generate_config(&case.answers);
        let fleet = parse_fleet(&config);
        let (_, shift) = fleet.shifts.iter().next().unwrap();
        assert_eq!(shift.cap, ShiftCap::Share(case.percent), "{name}");
        let cap = find_explanation(&config, "shifts.bookings-2027-02.cap.share_percent");
        assert_eq!(cap.value, case.percent.to_string(), "{name}");
    }
}

/// Guards against a path whose special characters are not quoted, and against a route that is closed to callers without
/// an access key although the questionnaire opens it.
#[test]
fn quoted_paths_and_open_routes_are_read_back() {
    let config = generate_config(&AnswerCase {
        open_to_all: true,
        ..BASE
    });
    let fleet = parse_fleet(&config);
    let (_, route) = fleet.routes.iter().next().unwrap();
    assert_eq!(route.path_prefix, "/bookings \"of {today}: #1");
    assert!(route.open);
}

/// Guards against a generated configuration that grants an access key, and against a missing instruction for adding
/// one.
#[test]
fn no_access_key_is_generated() {
    let config = generate_config(&BASE);
    assert_eq!(parse_fleet(&config).access.iter().count(), 0);
    let keys = find_explanation(&config, "client_accounts.access_keys");
    assert!(keys.reason.contains("sha256sum"));
}

/// Guards against output that differs between runs, for example through the iteration order of a hash map.
#[test]
fn same_answers_give_the_same_document() {
    let (one, other) = (generate_config(&BASE), generate_config(&BASE));
    assert_eq!(one.document, other.document);
    let reasons = |config: &GeneratedConfig| -> Vec<String> {
        config
            .explanations
            .iter()
            .map(ToString::to_string)
            .collect()
    };
    assert_eq!(reasons(&one), reasons(&other));
}
