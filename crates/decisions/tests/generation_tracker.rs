//! Acceptance of configurations: tables of offers, and what the fleet is known to run.

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

/// A tracker with generation 5 and content "five" in force.
fn tracker_at_five() -> GenerationTracker {
    let mut tracker = GenerationTracker::new(at_s(0));
    let outcome = tracker.handle_document(Platform, version(5, "five"), "five", None, at_s(1));
    assert_eq!(outcome, DocumentOutcome::InForce);
    tracker
}

struct OfferCase {
    name: &'static str,
    source: ConfigSource,
    generation: u64,
    text: &'static str,
    verdict: OfferAction,
    confirms: bool,
    faults: usize,
}

const OFFER_CASES: &[OfferCase] = &[
    OfferCase {
        name: "newer",
        source: Platform,
        generation: 6,
        text: "six",
        verdict: OfferAction::Fetch,
        confirms: false,
        faults: 0,
    },
    OfferCase {
        name: "newer by several",
        source: Peer,
        generation: 9,
        text: "nine",
        verdict: OfferAction::Fetch,
        confirms: false,
        faults: 0,
    },
    OfferCase {
        name: "the same",
        source: Platform,
        generation: 5,
        text: "five",
        verdict: OfferAction::Current,
        confirms: true,
        faults: 0,
    },
    OfferCase {
        name: "other content",
        source: Platform,
        generation: 5,
        text: "5",
        verdict: OfferAction::Conflict,
        confirms: false,
        faults: 1,
    },
    OfferCase {
        name: "other content at a peer",
        source: Peer,
        generation: 5,
        text: "5",
        verdict: OfferAction::Conflict,
        confirms: false,
        faults: 1,
    },
    OfferCase {
        name: "a platform with older data",
        source: Platform,
        generation: 4,
        text: "four",
        verdict: OfferAction::OverwriteStale,
        confirms: false,
        faults: 0,
    },
    OfferCase {
        name: "a peer that is behind",
        source: Peer,
        generation: 4,
        text: "four",
        verdict: OfferAction::SendOurs,
        confirms: false,
        faults: 0,
    },
    OfferCase {
        name: "a neighbour that is behind",
        source: Neighbour,
        generation: 4,
        text: "four",
        verdict: OfferAction::SendOurs,
        confirms: false,
        faults: 0,
    },
    OfferCase {
        name: "our content under an older number",
        source: Platform,
        generation: 4,
        text: "five",
        verdict: OfferAction::OverwriteStale,
        confirms: false,
        faults: 0,
    },
];

/// Guards against a configuration that reverts, is swapped, or is taken as confirmed by a platform
/// that does not hold it.
#[test]
fn offers_are_judged() {
    for case in OFFER_CASES {
        let mut tracker = tracker_at_five();
        for _ in 0..3 {
            let offered = version(case.generation, case.text);
            let verdict = tracker.evaluate_offer(case.source, offered, at_s(2));
            assert_eq!(verdict, case.verdict, "{}", case.name);
            assert_eq!(verdict.confirms_current(), case.confirms, "{}", case.name);
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

struct DocumentCase {
    name: &'static str,
    generation: u64,
    named: &'static str,
    received: &'static str,
    findings: Option<&'static str>,
    outcome: DocumentOutcome,
    /// The generation in force afterwards.
    in_force: u64,
    /// What is said when the same version is offered again.
    again: OfferAction,
    faults: usize,
}

const DOCUMENT_CASES: &[DocumentCase] = &[
    DocumentCase {
        name: "good",
        generation: 6,
        named: "six",
        received: "six",
        findings: None,
        outcome: DocumentOutcome::InForce,
        in_force: 6,
        again: OfferAction::Current,
        faults: 0,
    },
    DocumentCase {
        name: "failed its checks",
        generation: 6,
        named: "six",
        received: "six",
        findings: Some("6:1: seats: expected at least one seat"),
        outcome: DocumentOutcome::Bad,
        in_force: 5,
        again: OfferAction::KnownBad,
        faults: 1,
    },
    DocumentCase {
        name: "damaged on the way",
        generation: 6,
        named: "six",
        received: "sis",
        findings: Some("1:1: document: expected a mapping"),
        outcome: DocumentOutcome::WrongContent,
        in_force: 5,
        again: OfferAction::Fetch,
        faults: 1,
    },
    DocumentCase {
        name: "valid but not the one that was named",
        generation: 6,
        named: "six",
        received: "five",
        findings: None,
        outcome: DocumentOutcome::WrongContent,
        in_force: 5,
        again: OfferAction::Fetch,
        faults: 1,
    },
    DocumentCase {
        name: "overtaken while it was fetched",
        generation: 4,
        named: "four",
        received: "four",
        findings: None,
        outcome: DocumentOutcome::NotWanted(OfferAction::OverwriteStale),
        in_force: 5,
        again: OfferAction::OverwriteStale,
        faults: 0,
    },
    DocumentCase {
        name: "conflict found only when it arrived",
        generation: 5,
        named: "5",
        received: "5",
        findings: None,
        outcome: DocumentOutcome::NotWanted(OfferAction::Conflict),
        in_force: 5,
        again: OfferAction::Conflict,
        faults: 1,
    },
];

/// Guards against a bad document that replaces a good one or is fetched for ever, and against one
/// damaged transfer that blocks a good document.
#[test]
fn documents_are_taken_or_refused() {
    for case in DOCUMENT_CASES {
        let mut tracker = tracker_at_five();
        let offered = version(case.generation, case.named);
        let findings = case.findings.map(ToString::to_string);
        let outcome = tracker.handle_document(Platform, offered, case.received, findings, at_s(2));
        assert_eq!(outcome, case.outcome, "{}", case.name);
        let generation = tracker.in_force().map(|version| version.generation.0);
        assert_eq!(generation, Some(case.in_force), "{}", case.name);
        assert_eq!(
            tracker.evaluate_offer(Platform, offered, at_s(3)),
            case.again,
            "{}",
            case.name
        );
        assert_eq!(tracker.faults().count(), case.faults, "{}", case.name);
    }
}

/// Guards against a bad document that is forgotten, and against memory that grows with each one.
#[test]
fn bad_documents_are_remembered_within_bounds() {
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
    let last = tracker.faults().last().map(|reported| &reported.fault);
    assert!(matches!(last, Some(ConfigFault::ChecksFailed { .. })));
    assert_eq!(tracker.in_force(), Some(version(5, "five")));
}

/// Guards against a platform that lost everything and is never given the configuration back, and
/// against a new instance that writes nothing over it.
#[test]
fn empty_platform_is_given_ours() {
    assert_eq!(
        GenerationTracker::new(at_s(0)).evaluate_empty_platform(),
        None
    );
    let verdict = tracker_at_five().evaluate_empty_platform();
    assert_eq!(verdict, Some(OfferAction::OverwriteStale));
}

/// A heartbeat: instance, incarnation, generation, seats, and when it was heard.
type HeartbeatRow = (&'static str, u64, u64, &'static [&'static str], u64);

fn heard(rows: &[HeartbeatRow]) -> GenerationTracker {
    let mut tracker = tracker_at_five();
    for (instance, incarnation, generation, seats, second) in rows {
        let seats: Vec<String> = seats.iter().map(ToString::to_string).collect();
        let running = version(*generation, "any");
        tracker.note_heartbeat(instance, *incarnation, running, &seats, at_s(*second));
    }
    tracker
}

struct ViewCase {
    name: &'static str,
    heartbeats: &'static [HeartbeatRow],
    expected: &'static [&'static str],
    in_force: usize,
    known: usize,
    behind: &'static [&'static str],
    unheard: &'static [&'static str],
}

const VIEW_CASES: &[ViewCase] = &[
    ViewCase {
        name: "alone",
        heartbeats: &[],
        expected: &["own"],
        in_force: 1,
        known: 1,
        behind: &[],
        unheard: &[],
    },
    ViewCase {
        name: "one ahead, one behind, one unheard",
        heartbeats: &[("i1", 1, 6, &[], 100), ("i2", 1, 4, &[], 100)],
        expected: &["own", "i1", "i2", "i3"],
        in_force: 2,
        known: 4,
        behind: &["i2"],
        unheard: &["i3"],
    },
    ViewCase {
        name: "a report that is too old",
        heartbeats: &[("i1", 1, 5, &[], 96)],
        expected: &["own", "i1"],
        in_force: 1,
        known: 2,
        behind: &[],
        unheard: &["i1"],
    },
    ViewCase {
        name: "an instance that the list does not name yet",
        heartbeats: &[("i1", 1, 5, &[], 99)],
        expected: &["own"],
        in_force: 2,
        known: 2,
        behind: &[],
        unheard: &[],
    },
    ViewCase {
        name: "a restarted instance counts once, by its new incarnation",
        heartbeats: &[("i1", 1, 5, &[], 99), ("i1", 2, 4, &[], 100)],
        expected: &["own", "i1"],
        in_force: 1,
        known: 2,
        behind: &["i1"],
        unheard: &[],
    },
];

/// Guards against "in force on k of n" that counts instances which have not reported.
#[test]
fn fleet_view_names_the_unheard() {
    for case in VIEW_CASES {
        let tracker = heard(case.heartbeats);
        let expected: Vec<String> = case.expected.iter().map(ToString::to_string).collect();
        let view = tracker.rollout_status("own", &expected, GenerationNumber(5), at_s(100));
        assert_eq!(
            (view.in_force, view.known),
            (case.in_force, case.known),
            "{}",
            case.name
        );
        assert_eq!(view.behind, case.behind, "{}", case.name);
        assert_eq!(view.unheard, case.unheard, "{}", case.name);
    }
}

struct SeatCase {
    name: &'static str,
    heartbeats: &'static [HeartbeatRow],
    own_seats: &'static [&'static str],
    generation: u64,
    second: u64,
    reached: bool,
}

const SILENCE: Duration = Duration::from_secs(8);

const SEAT_CASES: &[SeatCase] = &[
    SeatCase {
        name: "all known",
        heartbeats: &[("i1", 1, 5, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: true,
    },
    SeatCase {
        name: "one behind",
        heartbeats: &[("i1", 1, 4, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: false,
    },
    SeatCase {
        name: "behind and just not silent enough",
        heartbeats: &[("i1", 1, 4, &["s2"], 93)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: false,
    },
    SeatCase {
        name: "behind and silent",
        heartbeats: &[("i1", 1, 4, &["s2"], 92)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: true,
    },
    SeatCase {
        name: "never heard since a long time",
        heartbeats: &[],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: true,
    },
    SeatCase {
        name: "never heard, but just started",
        heartbeats: &[],
        own_seats: &["s1"],
        generation: 5,
        second: 7,
        reached: false,
    },
    SeatCase {
        name: "a new holder, and the old one was heard lately",
        heartbeats: &[("i1", 1, 4, &["s2"], 99), ("i2", 1, 5, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: false,
    },
    SeatCase {
        name: "a restarted holder, and its old incarnation was heard lately",
        heartbeats: &[("i1", 1, 4, &["s2"], 99), ("i1", 2, 5, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: false,
    },
    SeatCase {
        name: "the old holder gave the seat up",
        heartbeats: &[
            ("i1", 1, 4, &["s2"], 98),
            ("i1", 1, 4, &[], 99),
            ("i2", 1, 5, &["s2"], 100),
        ],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: true,
    },
    SeatCase {
        name: "this instance is behind",
        heartbeats: &[("i1", 1, 6, &["s2"], 100)],
        own_seats: &["s1"],
        generation: 6,
        second: 100,
        reached: false,
    },
    SeatCase {
        name: "the holder before this instance was heard lately",
        heartbeats: &[("i1", 1, 5, &["s2"], 100), ("i2", 1, 4, &["s1"], 99)],
        own_seats: &["s1"],
        generation: 5,
        second: 100,
        reached: false,
    },
];

/// Guards against shares of a new generation that are used while another seat still spends its old
/// and larger share.
#[test]
fn seats_are_known_to_run_a_generation() {
    for case in SEAT_CASES {
        let tracker = heard(case.heartbeats);
        let own_seats: Vec<String> = case.own_seats.iter().map(ToString::to_string).collect();
        let generation = GenerationNumber(case.generation);
        let reached = tracker.seats_have_reached(
            ["s1", "s2"],
            &own_seats,
            generation,
            SILENCE,
            at_s(case.second),
        );
        assert_eq!(reached, case.reached, "{}", case.name);
    }
}
