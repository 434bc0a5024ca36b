//! Age of the configuration and the isolation decision: tables of what was heard.

mod steering_fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{ConfigAge, IsolationDecision, PeerConfigReport, StalenessGauge};
use coltsfootkeel_model::{
    ConfigVersion, ContentDigest, FleetConfig, GenerationNumber, IsolationMode, IsolationRule,
};
use steering_fleet::{FleetText, at_ms, at_s, domain, region};

fn version(generation: u64) -> ConfigVersion {
    ConfigVersion {
        generation: GenerationNumber(generation),
        digest: ContentDigest::of_text(&generation.to_string()),
    }
}

fn fleet() -> FleetConfig {
    FleetText::new(&[("od-0", "penang-a")]).check()
}

/// A heartbeat: second, instance, failure domain, generation, age in seconds, platform reached.
/// An instance whose name starts with "new" has had no contact with the platform.
type HeartbeatRow = (u64, &'static str, &'static str, u64, Option<u64>, bool);

struct AgeCase {
    name: &'static str,
    /// When this instance's last confirmation was asked for.
    confirmed: Option<u64>,
    heartbeats: &'static [HeartbeatRow],
    age_ms: Option<u64>,
}

/// The age at second 100 of an instance that runs generation 5.
const AGE_CASES: &[AgeCase] = &[
    AgeCase {
        name: "never confirmed",
        confirmed: None,
        heartbeats: &[],
        age_ms: None,
    },
    AgeCase {
        name: "own contact",
        confirmed: Some(97),
        heartbeats: &[],
        age_ms: Some(3_000),
    },
    AgeCase {
        name: "a younger peer",
        confirmed: Some(40),
        heartbeats: &[(98, "i1", "johor-a", 5, Some(1), true)],
        age_ms: Some(3_500),
    },
    AgeCase {
        name: "an older peer",
        confirmed: Some(97),
        heartbeats: &[(98, "i1", "johor-a", 5, Some(30), false)],
        age_ms: Some(3_000),
    },
    AgeCase {
        name: "the youngest of several",
        confirmed: None,
        heartbeats: &[
            (98, "i1", "johor-a", 5, Some(9), false),
            (99, "i2", "johor-b", 5, Some(4), false),
        ],
        age_ms: Some(5_500),
    },
    AgeCase {
        name: "a peer without contact",
        confirmed: None,
        heartbeats: &[(98, "i1", "johor-a", 5, None, false)],
        age_ms: None,
    },
    AgeCase {
        name: "a peer that runs an older version",
        confirmed: Some(40),
        heartbeats: &[(98, "i1", "johor-a", 4, Some(0), true)],
        age_ms: Some(60_000),
    },
    AgeCase {
        name: "a peer that runs a newer version",
        confirmed: Some(40),
        heartbeats: &[(98, "i1", "johor-a", 6, Some(0), true)],
        age_ms: Some(60_000),
    },
    AgeCase {
        name: "a confirmation before this process started",
        confirmed: None,
        heartbeats: &[(98, "i1", "johor-a", 5, Some(500), false)],
        age_ms: Some(502_500),
    },
];

fn heard(config: &FleetConfig, age: &mut ConfigAge, rows: &[HeartbeatRow]) {
    for (second, instance, domain_name, generation, reported, platform_reached) in rows {
        let report = PeerConfigReport {
            domain: domain(config, domain_name),
            version: version(*generation),
            age: reported.map(Duration::from_secs),
            platform_reached: *platform_reached,
            had_contact: !instance.starts_with("new"),
        };
        age.note_peer(instance, report, at_s(*second));
    }
}

/// Guards against an age that is younger than the last proof that no newer configuration exists.
#[test]
fn age_is_that_of_the_youngest_proof() {
    let config = fleet();
    for case in AGE_CASES {
        let mut age = ConfigAge::new(domain(&config, "kuching-a"));
        if let Some(second) = case.confirmed {
            age.note_confirmed(at_s(second));
        }
        heard(&config, &mut age, case.heartbeats);
        let found = age.age(version(5), at_s(100));
        assert_eq!(
            found,
            case.age_ms.map(Duration::from_millis),
            "{}",
            case.name
        );
    }
}

/// Guards against two instances that are cut off and keep each other young: each hears the other's age
/// 400 ms after it was sent, for ten minutes.
#[test]
fn repeated_ages_do_not_stay_young() {
    let config = fleet();
    let mut ages = ["penang-b", "kuching-a"].map(|name| ConfigAge::new(domain(&config, name)));
    for age in &mut ages {
        age.note_confirmed(at_s(1));
    }
    for second in 2..600 {
        let reports = ages.each_mut().map(|age| age.age(version(5), at_s(second)));
        for (to, age) in ages.iter_mut().enumerate() {
            let report = PeerConfigReport {
                domain: domain(&config, "johor-a"),
                version: version(5),
                age: reports[1 - to],
                platform_reached: false,
                had_contact: true,
            };
            age.note_peer("other", report, at_ms(second * 1_000 + 400));
        }
    }
    for age in &mut ages {
        assert_eq!(
            age.age(version(5), at_s(600)),
            Some(Duration::from_secs(599))
        );
    }
}

/// Guards against heartbeats that waited while the process was paused and are taken as new.
#[test]
fn backlog_after_a_pause_is_ignored() {
    let config = fleet();
    let mut age = ConfigAge::new(domain(&config, "kuching-a"));
    age.note_confirmed(at_s(10));
    age.note_pause(at_s(100));
    heard(
        &config,
        &mut age,
        &[(101, "i1", "johor-a", 5, Some(1), true)],
    );
    assert_eq!(
        age.age(version(5), at_s(101)),
        Some(Duration::from_secs(91))
    );
    heard(
        &config,
        &mut age,
        &[(102, "i1", "johor-a", 5, Some(1), true)],
    );
    assert_eq!(
        age.age(version(5), at_s(102)),
        Some(Duration::from_millis(1_500))
    );
}

struct DownCase {
    name: &'static str,
    own_domain: &'static str,
    own_reached: bool,
    heartbeats: &'static [HeartbeatRow],
    /// Since when the platform is known to be down at second 100.
    down_at_ms: Option<u64>,
}

const DOWN_CASES: &[DownCase] = &[
    DownCase {
        name: "every domain of the region is heard",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (98, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: Some(97_500),
    },
    DownCase {
        name: "one domain is not heard",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "i2", "johor-a", 5, None, false),
        ],
        down_at_ms: None,
    },
    DownCase {
        name: "one domain was heard too long ago",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (96, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    DownCase {
        name: "one of two instances reaches it",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "i2", "penang-b", 5, None, false),
            (99, "i3", "penang-b", 5, Some(0), true),
        ],
        down_at_ms: None,
    },
    DownCase {
        name: "this instance reaches it",
        own_domain: "kuching-a",
        own_reached: true,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    DownCase {
        name: "an instance runs a newer version",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 6, None, false),
            (99, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    DownCase {
        name: "the only instance of a domain was replaced",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "new2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    DownCase {
        name: "one of two instances of a domain was replaced",
        own_domain: "kuching-a",
        own_reached: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (98, "i2", "penang-b", 5, None, false),
            (99, "new3", "penang-b", 5, None, false),
        ],
        down_at_ms: Some(97_500),
    },
    DownCase {
        name: "this instance stands for its own domain",
        own_domain: "penang-a",
        own_reached: false,
        heartbeats: &[(98, "i2", "penang-b", 5, None, false)],
        down_at_ms: Some(97_500),
    },
    DownCase {
        name: "nobody is heard in the platform's region",
        own_domain: "penang-a",
        own_reached: false,
        heartbeats: &[(99, "i2", "johor-a", 5, None, false)],
        down_at_ms: None,
    },
];

/// Guards against an instance that is cut off and takes its own silence for an outage of the platform.
#[test]
fn outage_of_the_platform_needs_its_whole_region() {
    let config = fleet();
    for case in DOWN_CASES {
        let mut age = ConfigAge::new(domain(&config, case.own_domain));
        age.note_confirmed(at_s(1));
        age.note_reached(case.own_reached);
        heard(&config, &mut age, case.heartbeats);
        let down = age.platform_down_at(&config, region(&config, "penang"), version(5), at_s(100));
        assert_eq!(down, case.down_at_ms.map(at_ms), "{}", case.name);
    }
}

struct DecisionCase {
    name: &'static str,
    mode: IsolationMode,
    limit_s: u64,
    /// When the instance was last sure.
    confirmed: Option<u64>,
    second: u64,
    decision: IsolationDecision,
}

use IsolationDecision::{Refuse, Serve};

const DECISION_CASES: &[DecisionCase] = &[
    DecisionCase {
        name: "not in doubt",
        mode: IsolationMode::Refuse,
        limit_s: 0,
        confirmed: Some(100),
        second: 105,
        decision: Serve,
    },
    DecisionCase {
        name: "in doubt without a limit",
        mode: IsolationMode::Refuse,
        limit_s: 0,
        confirmed: Some(100),
        second: 106,
        decision: Refuse,
    },
    DecisionCase {
        name: "at the limit",
        mode: IsolationMode::Refuse,
        limit_s: 60,
        confirmed: Some(100),
        second: 165,
        decision: Serve,
    },
    DecisionCase {
        name: "past the limit",
        mode: IsolationMode::Refuse,
        limit_s: 60,
        confirmed: Some(100),
        second: 166,
        decision: Refuse,
    },
    DecisionCase {
        name: "never confirmed",
        mode: IsolationMode::Refuse,
        limit_s: 60,
        confirmed: None,
        second: 1,
        decision: Refuse,
    },
    DecisionCase {
        name: "serve ignores the limit",
        mode: IsolationMode::Serve,
        limit_s: 0,
        confirmed: Some(100),
        second: 9_000,
        decision: Serve,
    },
    DecisionCase {
        name: "serve without any contact",
        mode: IsolationMode::Serve,
        limit_s: 0,
        confirmed: None,
        second: 9_000,
        decision: Serve,
    },
];

/// Guards against keys that work beyond the limit, and against refusals before it.
#[test]
fn isolation_follows_the_route() {
    let config = fleet();
    for case in DECISION_CASES {
        let gauge = StalenessGauge::new();
        let mut age = ConfigAge::new(domain(&config, "kuching-a"));
        if let Some(second) = case.confirmed {
            age.note_confirmed(at_s(second));
            age.note_reached(false);
        }
        age.publish(
            &gauge,
            &config,
            region(&config, "penang"),
            version(5),
            at_s(100),
        );
        let rule = IsolationRule {
            mode: case.mode,
            limit: Duration::from_secs(case.limit_s),
        };
        assert_eq!(
            gauge.decide(rule, at_s(case.second)),
            case.decision,
            "{}",
            case.name
        );
    }
}

/// Guards against an instance that was paused and vouches for what it has missed.
#[test]
fn contact_before_a_pause_proves_nothing() {
    let config = fleet();
    let mut age = ConfigAge::new(domain(&config, "penang-a"));
    age.note_confirmed(at_s(1));
    age.note_pause(at_s(90));
    age.note_reached(false);
    assert!(!age.had_contact());
    heard(&config, &mut age, &[(99, "i2", "penang-b", 5, None, false)]);
    let penang = region(&config, "penang");
    assert_eq!(
        age.platform_down_at(&config, penang, version(5), at_s(100)),
        None
    );
}

/// Guards against a fleet that refuses its callers during a long outage of the platform, and against an
/// instance that goes on serving when it is cut off from that fleet.
#[test]
fn outage_keeps_serving_and_isolation_does_not() {
    let config = fleet();
    let rule = IsolationRule {
        mode: IsolationMode::Refuse,
        limit: Duration::from_mins(1),
    };
    let gauge = StalenessGauge::new();
    let mut age = ConfigAge::new(domain(&config, "kuching-a"));
    age.note_confirmed(at_s(1));
    age.note_reached(false);
    let publish = |age: &mut ConfigAge, second| {
        age.publish(
            &gauge,
            &config,
            region(&config, "penang"),
            version(5),
            at_s(second),
        );
        gauge.decide(rule, at_s(second))
    };
    for second in 2..4_000 {
        let age_there = Some(second);
        heard(
            &config,
            &mut age,
            &[
                (second, "i1", "penang-a", 5, age_there, false),
                (second, "i2", "penang-b", 5, age_there, false),
            ],
        );
        assert_eq!(publish(&mut age, second), Serve, "{second}");
    }
    assert_eq!(publish(&mut age, 4_063), Serve);
    assert_eq!(publish(&mut age, 4_064), Refuse);
}
