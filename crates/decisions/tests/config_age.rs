//! Tables of the age of the configuration and of isolation decisions, given confirmations and heartbeats of peers.

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
    FleetText::new(&[("od-0", "penang-a")]).parse()
}

/// A heartbeat: the second at which it was received, the instance that sent it and its failure domain, generation, age
/// in seconds, and whether it reaches the platform. An instance whose name starts with "new" never had contact with the
/// platform.
type HeartbeatRow = (u64, &'static str, &'static str, u64, Option<u64>, bool);

/// The confirmations of a configuration, and the age that follows from them.
struct AgeCase {
    name: &'static str,
    /// The second at which this instance sent the request that the platform confirmed.
    confirmed_at_s: Option<u64>,
    heartbeats: &'static [HeartbeatRow],
    age_ms: Option<u64>,
}

/// Ages at second 100 of an instance that runs generation 5.
const AGE_CASES: &[AgeCase] = &[
    AgeCase {
        name: "never confirmed by the platform",
        confirmed_at_s: None,
        heartbeats: &[],
        age_ms: None,
    },
    AgeCase {
        name: "confirmed to this instance",
        confirmed_at_s: Some(97),
        heartbeats: &[],
        age_ms: Some(3_000),
    },
    AgeCase {
        name: "a peer with a lower age",
        confirmed_at_s: Some(40),
        heartbeats: &[(98, "i1", "johor-a", 5, Some(1), true)],
        age_ms: Some(3_500),
    },
    AgeCase {
        name: "a peer with a higher age",
        confirmed_at_s: Some(97),
        heartbeats: &[(98, "i1", "johor-a", 5, Some(30), false)],
        age_ms: Some(3_000),
    },
    AgeCase {
        name: "the peer with the lowest age of several",
        confirmed_at_s: None,
        heartbeats: &[
            (98, "i1", "johor-a", 5, Some(9), false),
            (99, "i2", "johor-b", 5, Some(4), false),
        ],
        age_ms: Some(5_500),
    },
    AgeCase {
        name: "a peer that had no contact with the platform",
        confirmed_at_s: None,
        heartbeats: &[(98, "i1", "johor-a", 5, None, false)],
        age_ms: None,
    },
    AgeCase {
        name: "a peer that runs an older version",
        confirmed_at_s: Some(40),
        heartbeats: &[(98, "i1", "johor-a", 4, Some(0), true)],
        age_ms: Some(60_000),
    },
    AgeCase {
        name: "a peer that runs a newer version",
        confirmed_at_s: Some(40),
        heartbeats: &[(98, "i1", "johor-a", 6, Some(0), true)],
        age_ms: Some(60_000),
    },
    AgeCase {
        name: "a peer that was confirmed before this process started",
        confirmed_at_s: None,
        heartbeats: &[(98, "i1", "johor-a", 5, Some(500), false)],
        age_ms: Some(502_500),
    },
];

/// Records heartbeats of peers.
fn record_heartbeats(config: &FleetConfig, age: &mut ConfigAge, rows: &[HeartbeatRow]) {
    for (received_at_s, instance, domain_name, generation, age_s, platform_reached) in rows {
        let report = PeerConfigReport {
            domain: domain(config, domain_name),
            version: version(*generation),
            age: age_s.map(Duration::from_secs),
            platform_reached: *platform_reached,
            had_contact: !instance.starts_with("new"),
        };
        age.record_peer_report(instance, report, at_s(*received_at_s));
    }
}

/// Guards against an age that is too low: counted from a confirmation of another version, or without the transit time
/// of the heartbeat that reported it. The instance would then accept a withdrawn key for too long.
#[test]
fn age_is_the_lowest_that_is_confirmed() {
    let config = fleet();
    for case in AGE_CASES {
        let mut age = ConfigAge::new(domain(&config, "kuching-a"));
        if let Some(confirmed_at_s) = case.confirmed_at_s {
            age.record_confirmation(at_s(confirmed_at_s));
        }
        record_heartbeats(&config, &mut age, case.heartbeats);
        let actual = age.age(version(5), at_s(100));
        assert_eq!(
            actual,
            case.age_ms.map(Duration::from_millis),
            "{}",
            case.name
        );
    }
}

/// Guards against an age that never grows while two instances are cut off together: for ten minutes, each receives the
/// other's age 400 ms after it was sent, and would gain the transit time with each heartbeat.
#[test]
fn ages_reported_in_a_circle_keep_growing() {
    let config = fleet();
    let mut ages = ["penang-b", "kuching-a"].map(|name| ConfigAge::new(domain(&config, name)));
    for age in &mut ages {
        age.record_confirmation(at_s(1));
    }
    for now_s in 2..600 {
        let reports = ages.each_mut().map(|age| age.age(version(5), at_s(now_s)));
        for (receiver, age) in ages.iter_mut().enumerate() {
            let report = PeerConfigReport {
                domain: domain(&config, "johor-a"),
                version: version(5),
                age: reports[1 - receiver],
                platform_reached: false,
                had_contact: true,
            };
            age.record_peer_report("other", report, at_ms(now_s * 1_000 + 400));
        }
    }
    for age in &mut ages {
        assert_eq!(
            age.age(version(5), at_s(600)),
            Some(Duration::from_secs(599))
        );
    }
}

/// Guards against an age that is too low after a pause, because heartbeats that waited in system buffers during the
/// pause are treated as recent.
#[test]
fn heartbeats_from_before_a_pause_are_ignored() {
    let config = fleet();
    let mut age = ConfigAge::new(domain(&config, "kuching-a"));
    age.record_confirmation(at_s(10));
    age.record_pause(at_s(100));
    record_heartbeats(
        &config,
        &mut age,
        &[(101, "i1", "johor-a", 5, Some(1), true)],
    );
    assert_eq!(
        age.age(version(5), at_s(101)),
        Some(Duration::from_secs(91))
    );
    record_heartbeats(
        &config,
        &mut age,
        &[(102, "i1", "johor-a", 5, Some(1), true)],
    );
    assert_eq!(
        age.age(version(5), at_s(102)),
        Some(Duration::from_millis(1_500))
    );
}

/// The heartbeats of peers, and since when the platform counts as down.
struct PlatformDownCase {
    name: &'static str,
    own_domain: &'static str,
    /// Whether this instance reaches the platform.
    reaches_platform: bool,
    heartbeats: &'static [HeartbeatRow],
    /// The time at which the platform was last known to be down, as seen at second 100.
    down_at_ms: Option<u64>,
}

const PLATFORM_DOWN_CASES: &[PlatformDownCase] = &[
    PlatformDownCase {
        name: "heartbeats from each domain of the region",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (98, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: Some(97_500),
    },
    PlatformDownCase {
        name: "no heartbeat from one domain",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "i2", "johor-a", 5, None, false),
        ],
        down_at_ms: None,
    },
    PlatformDownCase {
        name: "last heartbeat of one domain is too old",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (96, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    PlatformDownCase {
        name: "one of two instances of a domain reaches the platform",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "i2", "penang-b", 5, None, false),
            (99, "i3", "penang-b", 5, Some(0), true),
        ],
        down_at_ms: None,
    },
    PlatformDownCase {
        name: "this instance reaches the platform",
        own_domain: "kuching-a",
        reaches_platform: true,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    PlatformDownCase {
        name: "an instance runs a newer version",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 6, None, false),
            (99, "i2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    PlatformDownCase {
        name: "the only instance of a domain was replaced",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (99, "new2", "penang-b", 5, None, false),
        ],
        down_at_ms: None,
    },
    PlatformDownCase {
        name: "one of two instances of a domain was replaced",
        own_domain: "kuching-a",
        reaches_platform: false,
        heartbeats: &[
            (99, "i1", "penang-a", 5, None, false),
            (98, "i2", "penang-b", 5, None, false),
            (99, "new3", "penang-b", 5, None, false),
        ],
        down_at_ms: Some(97_500),
    },
    PlatformDownCase {
        name: "this instance counts for its own domain",
        own_domain: "penang-a",
        reaches_platform: false,
        heartbeats: &[(98, "i2", "penang-b", 5, None, false)],
        down_at_ms: Some(97_500),
    },
    PlatformDownCase {
        name: "no heartbeat from the platform's region",
        own_domain: "penang-a",
        reaches_platform: false,
        heartbeats: &[(99, "i2", "johor-a", 5, None, false)],
        down_at_ms: None,
    },
];

/// Guards against an instance that keeps accepting withdrawn keys while it is cut off, because it takes the partition
/// for an outage of the platform.
#[test]
fn platform_counts_as_down_only_with_reports_of_its_whole_region() {
    let config = fleet();
    for case in PLATFORM_DOWN_CASES {
        let mut age = ConfigAge::new(domain(&config, case.own_domain));
        age.record_confirmation(at_s(1));
        age.record_platform_reached(case.reaches_platform);
        record_heartbeats(&config, &mut age, case.heartbeats);
        let down_at =
            age.platform_down_at(&config, region(&config, "penang"), version(5), at_s(100));
        assert_eq!(down_at, case.down_at_ms.map(at_ms), "{}", case.name);
    }
}

/// The isolation rule of a route, and the decision at a time after the last confirmation.
struct IsolationCase {
    name: &'static str,
    mode: IsolationMode,
    limit_s: u64,
    /// The second of the last confirmation by the platform.
    confirmed_at_s: Option<u64>,
    /// The second of the decision.
    now_s: u64,
    decision: IsolationDecision,
}

use IsolationDecision::{Refuse, Serve};

const ISOLATION_CASES: &[IsolationCase] = &[
    IsolationCase {
        name: "within the propagation time",
        mode: IsolationMode::Refuse,
        limit_s: 0,
        confirmed_at_s: Some(100),
        now_s: 105,
        decision: Serve,
    },
    IsolationCase {
        name: "after the propagation time, limit of zero",
        mode: IsolationMode::Refuse,
        limit_s: 0,
        confirmed_at_s: Some(100),
        now_s: 106,
        decision: Refuse,
    },
    IsolationCase {
        name: "exactly at the limit",
        mode: IsolationMode::Refuse,
        limit_s: 60,
        confirmed_at_s: Some(100),
        now_s: 165,
        decision: Serve,
    },
    IsolationCase {
        name: "after the limit",
        mode: IsolationMode::Refuse,
        limit_s: 60,
        confirmed_at_s: Some(100),
        now_s: 166,
        decision: Refuse,
    },
    IsolationCase {
        name: "never confirmed by the platform",
        mode: IsolationMode::Refuse,
        limit_s: 60,
        confirmed_at_s: None,
        now_s: 1,
        decision: Refuse,
    },
    IsolationCase {
        name: "mode serve ignores the limit",
        mode: IsolationMode::Serve,
        limit_s: 0,
        confirmed_at_s: Some(100),
        now_s: 9_000,
        decision: Serve,
    },
    IsolationCase {
        name: "mode serve without a confirmation",
        mode: IsolationMode::Serve,
        limit_s: 0,
        confirmed_at_s: None,
        now_s: 9_000,
        decision: Serve,
    },
];

/// Guards against an isolated instance that accepts keys for longer than the limit of the route, and against one that
/// refuses requests before.
#[test]
fn isolation_decision_follows_the_rule_of_the_route() {
    let config = fleet();
    for case in ISOLATION_CASES {
        let gauge = StalenessGauge::new();
        let mut age = ConfigAge::new(domain(&config, "kuching-a"));
        if let Some(confirmed_at_s) = case.confirmed_at_s {
            age.record_confirmation(at_s(confirmed_at_s));
            age.record_platform_reached(false);
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
            gauge.decide(rule, at_s(case.now_s)),
            case.decision,
            "{}",
            case.name
        );
    }
}

/// Guards against a paused instance whose lack of contact counts as evidence of an outage of the platform, although it
/// missed the changes that the platform accepted during the pause.
#[test]
fn contact_from_before_a_pause_does_not_count() {
    let config = fleet();
    let mut age = ConfigAge::new(domain(&config, "penang-a"));
    age.record_confirmation(at_s(1));
    age.record_pause(at_s(90));
    age.record_platform_reached(false);
    assert!(!age.had_contact());
    record_heartbeats(&config, &mut age, &[(99, "i2", "penang-b", 5, None, false)]);
    let penang = region(&config, "penang");
    assert_eq!(
        age.platform_down_at(&config, penang, version(5), at_s(100)),
        None
    );
}

/// Guards against a fleet that refuses requests with a key during a long outage of the platform, and against an
/// instance that keeps serving them when it no longer receives heartbeats of that fleet.
#[test]
fn platform_outage_is_served_and_isolation_is_refused() {
    let config = fleet();
    let rule = IsolationRule {
        mode: IsolationMode::Refuse,
        limit: Duration::from_mins(1),
    };
    let gauge = StalenessGauge::new();
    let mut age = ConfigAge::new(domain(&config, "kuching-a"));
    age.record_confirmation(at_s(1));
    age.record_platform_reached(false);
    let publish = |age: &mut ConfigAge, now_s| {
        age.publish(
            &gauge,
            &config,
            region(&config, "penang"),
            version(5),
            at_s(now_s),
        );
        gauge.decide(rule, at_s(now_s))
    };
    for now_s in 2..4_000 {
        let reported_age_s = Some(now_s);
        record_heartbeats(
            &config,
            &mut age,
            &[
                (now_s, "i1", "penang-a", 5, reported_age_s, false),
                (now_s, "i2", "penang-b", 5, reported_age_s, false),
            ],
        );
        assert_eq!(publish(&mut age, now_s), Serve, "{now_s}");
    }
    assert_eq!(publish(&mut age, 4_063), Serve);
    assert_eq!(publish(&mut age, 4_064), Refuse);
}
