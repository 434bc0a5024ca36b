//! Tables of offered configurations and fetched documents, and of the generations that the fleet is known to run.

mod steering_fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{
    ConfigFault, ConfigSource, DocumentOutcome, GenerationTracker, OfferAction,
};
use coltsfootkeel_model::{ConfigVersion, ContentDigest, GenerationNumber};
use steering_fleet::at_s;

use ConfigSource::{Neighbour, Peer, Platform};

fn version(generation: u64, text: &str) -> ConfigVersion {
    ConfigVersion {
        generation: GenerationNumber(generation),
        digest: ContentDigest::of_text(text),
    }
}

/// Returns a tracker with generation 5 and content "five" in force.
fn tracker_at_five() -> GenerationTracker {
    let mut tracker = GenerationTracker::new(at_s(0));
    let outcome = tracker.handle_document(Platform, version(5, "five"), "five", None, at_s(1));
    assert_eq!(outcome, DocumentOutcome::InForce);
    tracker
}

/// An offered version, and the action that follows while generation 5 is in force.
struct OfferCase {
    name: &'static str,
    source: ConfigSource,
    generation: u64,
    text: &'static str,
    action: OfferAction,
    /// Whether the action confirms that no newer version was accepted.
    confirms_current: bool,
    /// The number of retained faults afterwards.
    faults: usize,
}

const OFFER_CASES: &[OfferCase] = &[
    OfferCase {
        name: "newer generation",
        source: Platform,
        generation: 6,
        text: "six",
        action: OfferAction::Fetch,
        confirms_current: false,
        faults: 0,
    },
    OfferCase {
        name: "several generations newer",
        source: Peer,
        generation: 9,
        text: "nine",
        action: OfferAction::Fetch,
        confirms_current: false,
        faults: 0,
    },
    OfferCase {
        name: "same version",
        source: Platform,
        generation: 5,
        text: "five",
        action: OfferAction::Current,
        confirms_current: true,
        faults: 0,
    },
    OfferCase {
        name: "same generation with other content",
        source: Platform,
        generation: 5,
        text: "5",
        action: OfferAction::Conflict,
        confirms_current: false,
        faults: 1,
    },
    OfferCase {
        name: "same generation with other content at a peer",
        source: Peer,
        generation: 5,
        text: "5",
        action: OfferAction::Conflict,
        confirms_current: false,
        faults: 1,
    },
    OfferCase {
        name: "a platform with older data",
        source: Platform,
        generation: 4,
        text: "four",
        action: OfferAction::OverwriteStale,
        confirms_current: false,
        faults: 0,
    },
    OfferCase {
        name: "a peer that is behind",
        source: Peer,
        generation: 4,
        text: "four",
        action: OfferAction::SendOurs,
        confirms_current: false,
        faults: 0,
    },
    OfferCase {
        name: "a neighbour that is behind",
        source: Neighbour,
        generation: 4,
        text: "four",
        action: OfferAction::SendOurs,
        confirms_current: false,
        faults: 0,
    },
    OfferCase {
        name: "content in force under an older generation",
        source: Platform,
        generation: 4,
        text: "five",
        action: OfferAction::OverwriteStale,
        confirms_current: false,
        faults: 0,
    },
];

/// Guards against a configuration that is replaced by an older one or by other content of the same generation, and
/// against one that counts as confirmed by a platform that does not hold it.
#[test]
fn offers_lead_to_the_right_action() {
    for case in OFFER_CASES {
        let mut tracker = tracker_at_five();
        for _ in 0..3 {
            let offered = version(case.generation, case.text);
            let action = tracker.evaluate_offer(case.source, offered, at_s(2));
            assert_eq!(action, case.action, "{}", case.name);
            assert_eq!(
                action.confirms_current(),
                case.confirms_current,
                "{}",
                case.name
            );
        }
        assert_eq!(tracker.faults().count(), case.faults, "{}", case.name);
        assert_eq!(
            tracker.in_force(),
            Some(version(5, "five")),
            "{}",
            case.name
        );
    }
}

/// A fetched document, and its outcome while generation 5 is in force.
struct DocumentCase {
    name: &'static str,
    generation: u64,
    /// The text whose digest was offered.
    announced: &'static str,
    /// The text that was fetched.
    received: &'static str,
    /// The findings of the checks; `None` if the document passed them.
    findings: Option<&'static str>,
    outcome: DocumentOutcome,
    /// The generation in force afterwards.
    in_force: u64,
    /// The action when the same version is offered again.
    action_if_offered_again: OfferAction,
    /// The number of retained faults afterwards.
    faults: usize,
}

const DOCUMENT_CASES: &[DocumentCase] = &[
    DocumentCase {
        name: "valid",
        generation: 6,
        announced: "six",
        received: "six",
        findings: None,
        outcome: DocumentOutcome::InForce,
        in_force: 6,
        action_if_offered_again: OfferAction::Current,
        faults: 0,
    },
    DocumentCase {
        name: "failed its checks",
        generation: 6,
        announced: "six",
        received: "six",
        findings: Some("6:1: seats: expected at least one seat"),
        outcome: DocumentOutcome::Bad,
        in_force: 5,
        action_if_offered_again: OfferAction::KnownBad,
        faults: 1,
    },
    DocumentCase {
        name: "damaged in transit",
        generation: 6,
        announced: "six",
        received: "sis",
        findings: Some("1:1: document: expected a mapping"),
        outcome: DocumentOutcome::WrongContent,
        in_force: 5,
        action_if_offered_again: OfferAction::Fetch,
        faults: 1,
    },
    DocumentCase {
        name: "valid, but not the announced one",
        generation: 6,
        announced: "six",
        received: "five",
        findings: None,
        outcome: DocumentOutcome::WrongContent,
        in_force: 5,
        action_if_offered_again: OfferAction::Fetch,
        faults: 1,
    },
    DocumentCase {
        name: "newer version came into force during the fetch",
        generation: 4,
        announced: "four",
        received: "four",
        findings: None,
        outcome: DocumentOutcome::NotWanted(OfferAction::OverwriteStale),
        in_force: 5,
        action_if_offered_again: OfferAction::OverwriteStale,
        faults: 0,
    },
    DocumentCase {
        name: "conflict found after the fetch",
        generation: 5,
        announced: "5",
        received: "5",
        findings: None,
        outcome: DocumentOutcome::NotWanted(OfferAction::Conflict),
        in_force: 5,
        action_if_offered_again: OfferAction::Conflict,
        faults: 1,
    },
];

/// Guards against an invalid document that replaces a valid one or is fetched again and again, and against a valid
/// document that is rejected permanently because one transfer damaged it.
#[test]
fn documents_come_into_force_or_are_rejected() {
    for case in DOCUMENT_CASES {
        let mut tracker = tracker_at_five();
        let offered = version(case.generation, case.announced);
        let findings = case.findings.map(ToString::to_string);
        let outcome = tracker.handle_document(Platform, offered, case.received, findings, at_s(2));
        assert_eq!(outcome, case.outcome, "{}", case.name);
        let generation = tracker.in_force().map(|version| version.generation.0);
        assert_eq!(generation, Some(case.in_force), "{}", case.name);
        assert_eq!(
            tracker.evaluate_offer(Platform, offered, at_s(3)),
            case.action_if_offered_again,
            "{}",
            case.name
        );
        assert_eq!(tracker.faults().count(), case.faults, "{}", case.name);
    }
}

/// Guards against an invalid document that is fetched again because its rejection was not retained, and against memory
/// that grows with each such document.
#[test]
fn rejected_documents_are_retained_within_bounds() {
    let mut tracker = tracker_at_five();
    for generation in 6..1_006 {
        let text = format!("bad {generation}");
        let offered = version(generation, &text);
        let findings = Some("1:1: document: expected a mapping".to_string());
        tracker.handle_document(Platform, offered, &text, findings, at_s(generation));
        assert_eq!(
            tracker.evaluate_offer(Peer, offered, at_s(generation)),
            OfferAction::KnownBad
        );
    }
    assert!(tracker.faults().count() <= 64);
    let last_fault = tracker.faults().last().map(|reported| &reported.fault);
    assert!(matches!(last_fault, Some(ConfigFault::ChecksFailed { .. })));
    assert_eq!(tracker.in_force(), Some(version(5, "five")));
}

/// Guards against a platform that lost its data and to which no instance writes the configuration back, and against a
/// new instance without a configuration that writes to it.
#[test]
fn empty_platform_gets_the_version_in_force() {
    assert_eq!(
        GenerationTracker::new(at_s(0)).evaluate_empty_platform(),
        None
    );
    let action = tracker_at_five().evaluate_empty_platform();
    assert_eq!(action, Some(OfferAction::OverwriteStale));
}

/// A heartbeat: instance, incarnation, generation, seats held, and the second at which it was received.
type HeartbeatRow = (&'static str, u64, u64, &'static [&'static str], u64);

/// Returns a tracker with generation 5 in force that has received heartbeats.
fn tracker_with_heartbeats(rows: &[HeartbeatRow]) -> GenerationTracker {
    let mut tracker = tracker_at_five();
    for (instance, incarnation, generation, seats, received_at_s) in rows {
        let seats: Vec<String> = seats.iter().map(ToString::to_string).collect();
        let running = version(*generation, "any");
        tracker.record_heartbeat(
            instance,
            *incarnation,
            running,
            &seats,
            at_s(*received_at_s),
        );
    }
    tracker
}

/// The heartbeats of a fleet, and the status of the rollout of generation 5 at second 100.
struct RolloutCase {
    name: &'static str,
    heartbeats: &'static [HeartbeatRow],
    /// The live instances on the platform's list.
    expected: &'static [&'static str],
    in_force: usize,
    known: usize,
    behind: &'static [&'static str],
    unheard: &'static [&'static str],
}

const ROLLOUT_CASES: &[RolloutCase] = &[
    RolloutCase {
        name: "no other instance",
        heartbeats: &[],
        expected: &["own"],
        in_force: 1,
        known: 1,
        behind: &[],
        unheard: &[],
    },
    RolloutCase {
        name: "one newer, one older, one without a heartbeat",
        heartbeats: &[("i1", 1, 6, &[], 100), ("i2", 1, 4, &[], 100)],
        expected: &["own", "i1", "i2", "i3"],
        in_force: 2,
        known: 4,
        behind: &["i2"],
        unheard: &["i3"],
    },
    RolloutCase {
        name: "heartbeat that is too old",
        heartbeats: &[("i1", 1, 5, &[], 96)],
        expected: &["own", "i1"],
        in_force: 1,
        known: 2,
        behind: &[],
        unheard: &["i1"],
    },
    RolloutCase {
        name: "instance that is not on the platform's list yet",
        heartbeats: &[("i1", 1, 5, &[], 99)],
        expected: &["own"],
        in_force: 2,
        known: 2,
        behind: &[],
        unheard: &[],
    },
    RolloutCase {
        name: "restarted instance, which counts once by its new process",
        heartbeats: &[("i1", 1, 5, &[], 99), ("i1", 2, 4, &[], 100)],
        expected: &["own", "i1"],
        in_force: 1,
        known: 2,
        behind: &["i1"],
        unheard: &[],
    },
];

/// Guards against a report "in force on k of n" that counts instances without a recent heartbeat among the k, or counts
/// a restarted instance twice.
#[test]
fn rollout_status_counts_only_recent_reports() {
    for case in ROLLOUT_CASES {
        let tracker = tracker_with_heartbeats(case.heartbeats);
        let expected: Vec<String> = case.expected.iter().map(ToString::to_string).collect();
        let status = tracker.rollout_status("own", &expected, GenerationNumber(5), at_s(100));
        assert_eq!(
            (status.in_force, status.known),
            (case.in_force, case.known),
            "{}",
            case.name
        );
        assert_eq!(status.behind, case.behind, "{}", case.name);
        assert_eq!(status.unheard, case.unheard, "{}", case.name);
    }
}

/// The heartbeats of a fleet with seats "s1" and "s2", and whether all seats run a generation.
struct SeatGenerationCase {
    name: &'static str,
    heartbeats: &'static [HeartbeatRow],
    /// The seats that this instance holds.
    own_seats: &'static [&'static str],
    generation: u64,
    now_s: u64,
    /// Whether each seat runs at least `generation` or its holder was silent for [`SILENCE_TIMEOUT`].
    has_reached: bool,
}

const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

const SEAT_GENERATION_CASES: &[SeatGenerationCase] = &[
    SeatGenerationCase {
        name: "all seats run the generation",
        heartbeats: &[("i1", 1, 5, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: true,
    },
    SeatGenerationCase {
        name: "one seat runs an older generation",
        heartbeats: &[("i1", 1, 4, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: false,
    },
    SeatGenerationCase {
        name: "older generation, silent for just less than the timeout",
        heartbeats: &[("i1", 1, 4, &["s2"], 93)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: false,
    },
    SeatGenerationCase {
        name: "older generation, silent for the timeout",
        heartbeats: &[("i1", 1, 4, &["s2"], 92)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: true,
    },
    SeatGenerationCase {
        name: "no heartbeat for the timeout since the start",
        heartbeats: &[],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: true,
    },
    SeatGenerationCase {
        name: "no heartbeat, started recently",
        heartbeats: &[],
        own_seats: &["s1"],
        generation: 5,
        now_s: 7,
        has_reached: false,
    },
    SeatGenerationCase {
        name: "new holder, recent heartbeat of the former holder",
        heartbeats: &[("i1", 1, 4, &["s2"], 99), ("i2", 1, 5, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: false,
    },
    SeatGenerationCase {
        name: "restarted holder, recent heartbeat of its former process",
        heartbeats: &[("i1", 1, 4, &["s2"], 99), ("i1", 2, 5, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: false,
    },
    SeatGenerationCase {
        name: "former holder reported that it no longer holds the seat",
        heartbeats: &[
            ("i1", 1, 4, &["s2"], 98),
            ("i1", 1, 4, &[], 99),
            ("i2", 1, 5, &["s2"], 100),
        ],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: true,
    },
    SeatGenerationCase {
        name: "this instance runs an older generation",
        heartbeats: &[("i1", 1, 6, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 6,
        now_s: 100,
        has_reached: false,
    },
    SeatGenerationCase {
        name: "recent heartbeat of the former holder of this instance's seat",
        heartbeats: &[("i1", 1, 5, &["s2"], 100), ("i2", 1, 4, &["s1"], 99)],
        own_seats: &["s1"],
        generation: 5,
        now_s: 100,
        has_reached: false,
    },
];

/// Guards against shares that add up to more than the limit: a seat uses its share of the new generation while the
/// holder or a former holder of another seat may still use a larger share of the old one.
#[test]
fn seats_reach_a_generation_only_when_old_holders_are_silent() {
    for case in SEAT_GENERATION_CASES {
        let tracker = tracker_with_heartbeats(case.heartbeats);
        let own_seats: Vec<String> = case.own_seats.iter().map(ToString::to_string).collect();
        let generation = GenerationNumber(case.generation);
        let has_reached = tracker.seats_have_reached(
            ["s1", "s2"],
            &own_seats,
            generation,
            SILENCE_TIMEOUT,
            at_s(case.now_s),
        );
        assert_eq!(has_reached, case.has_reached, "{}", case.name);
    }
}
