//! Which instance remembers an idempotency key, and when nobody can be sure to.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    IdempotencyKey, IdempotencyKeyError, KEY_RETENTION, KeyOwner, MAX_KEY_BYTES, OWNER_OVERLAP,
    SeatRoster, SeatTenure, find_key_owner,
};

const SEATS: [&str; 4] = ["johor-a-1", "kuching.b.1", "penang-a-1", "penang-b-1"];

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::try_from(text.to_owned()).expect("the key is valid")
}

fn names(seats: &[&str]) -> Vec<String> {
    seats.iter().map(|&seat| seat.to_owned()).collect()
}

fn incarnation(seat: &str, incarnation: u64) -> KeyOwner {
    KeyOwner::Incarnation {
        seat: seat.to_owned(),
        incarnation,
    }
}

struct FaultCase {
    name: &'static str,
    text: String,
    fault: IdempotencyKeyError,
}

/// Guards against keys that exhaust the memory or cannot be carried in a message.
#[test]
fn faulty_keys_are_refused() {
    let cases = [
        FaultCase {
            name: "empty",
            text: String::new(),
            fault: IdempotencyKeyError::Empty,
        },
        FaultCase {
            name: "too long",
            text: "x".repeat(MAX_KEY_BYTES + 1),
            fault: IdempotencyKeyError::TooLong(MAX_KEY_BYTES + 1),
        },
        FaultCase {
            name: "a space",
            text: "a b".to_owned(),
            fault: IdempotencyKeyError::NotVisible,
        },
        FaultCase {
            name: "not ASCII",
            text: "é".to_owned(),
            fault: IdempotencyKeyError::NotVisible,
        },
    ];
    for case in cases {
        let found = IdempotencyKey::try_from(case.text);
        assert_eq!(found, Err(case.fault), "{}", case.name);
    }
    assert!(IdempotencyKey::try_from("x".repeat(MAX_KEY_BYTES)).is_ok());
}

struct ParseCase {
    name: &'static str,
    text: String,
    owner: Option<KeyOwner>,
}

/// Guards against a key that is sent to the wrong owner, which would run its request again.
#[test]
fn prefix_names_the_owner() {
    let prefix = KeyOwner::prefix("penang-a-1", 0x2f);
    let dotted = KeyOwner::prefix("kuching.b.1", u64::MAX);
    let cases = [
        ParseCase {
            name: "a prefix that was given out",
            text: format!("{prefix}order-7"),
            owner: Some(incarnation("penang-a-1", 0x2f)),
        },
        ParseCase {
            name: "a seat with dots in its name",
            text: format!("{dotted}order.7"),
            owner: Some(incarnation("kuching.b.1", u64::MAX)),
        },
        ParseCase {
            name: "a key that contains another prefix",
            text: format!("{prefix}{dotted}x"),
            owner: Some(incarnation("penang-a-1", 0x2f)),
        },
        ParseCase {
            name: "a prefix without the rest of a key",
            text: prefix.clone(),
            owner: Some(incarnation("penang-a-1", 0x2f)),
        },
        ParseCase {
            name: "too few digits",
            text: "penang-a-1.2f.order-7".to_owned(),
            owner: None,
        },
        ParseCase {
            name: "upper-case digits",
            text: "penang-a-1.000000000000002F.order-7".to_owned(),
            owner: None,
        },
        ParseCase {
            name: "no seat",
            text: ".000000000000002f.order-7".to_owned(),
            owner: None,
        },
        ParseCase {
            name: "no dot after the digits",
            text: "penang-a-1.000000000000002f".to_owned(),
            owner: None,
        },
        ParseCase {
            name: "a key of the caller",
            text: "3f6c1a52-7a55-4c1e-9c0e-2b8f4b7d8a11".to_owned(),
            owner: None,
        },
    ];
    for case in &cases {
        assert_eq!(
            KeyOwner::parse(&key(&case.text)),
            case.owner,
            "{}",
            case.name
        );
    }
}

/// Guards against instances that disagree on the owner of a key because their lists differ in order,
/// and against an owner that has most of the keys.
#[test]
fn rendezvous_owner_is_the_same_everywhere_and_evenly_spread() {
    let roster = SeatRoster::new(names(&SEATS));
    let mut reversed = names(&SEATS);
    reversed.reverse();
    let other = SeatRoster::new(reversed);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for number in 0..4_000 {
        let key = key(&format!("order-{number}"));
        let owner = find_key_owner(at(0), "hotel-group", &key, &roster);
        assert_eq!(owner, find_key_owner(at(0), "hotel-group", &key, &other));
        let KeyOwner::Seat(seat) = owner else {
            panic!("{owner:?}");
        };
        *counts.entry(seat).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a changed hash: two releases that run at the same time must agree on the owners.
#[test]
fn rendezvous_owner_is_the_same_in_every_release() {
    let roster = SeatRoster::new(names(&SEATS));
    let owners: Vec<KeyOwner> = ["order-1", "order-2", "order-3", "order-4"]
        .iter()
        .map(|text| find_key_owner(at(0), "hotel-group", &key(text), &roster))
        .collect();
    let expected = EXPECTED_OWNERS.map(|seat| KeyOwner::Seat(seat.to_owned()));
    assert_eq!(owners, expected);
}

/// Computed with the `hashlib` of Python from the definition of the weight.
const EXPECTED_OWNERS: [&str; 4] = ["penang-b-1", "penang-a-1", "johor-a-1", "johor-a-1"];

/// Guards against a key that moves to another owner while its first owner still remembers it.
#[test]
fn moved_keys_are_unknown_until_the_earlier_owner_has_forgotten_them() {
    let before = SeatRoster::new(names(&SEATS[..3]));
    let after = before.updated(at(100), names(&SEATS));
    let settled = at(100) + OWNER_OVERLAP + KEY_RETENTION;
    let mut moved = 0;
    for number in 0..400 {
        let key = key(&format!("order-{number}"));
        let first = find_key_owner(at(0), "hotel-group", &key, &before);
        let during = find_key_owner(at(101), "hotel-group", &key, &after);
        let then = find_key_owner(settled, "hotel-group", &key, &after);
        assert!(during == first || during == KeyOwner::Moved);
        assert_eq!(during == KeyOwner::Moved, then != first);
        assert_ne!(then, KeyOwner::Moved);
        moved += u32::from(during == KeyOwner::Moved);
    }
    assert!((70..130).contains(&moved), "a quarter moves: {moved}");
    let passed = Duration::from_secs(1);
    assert_eq!(
        after.overlap_remaining(at(101)) + passed,
        OWNER_OVERLAP + KEY_RETENTION
    );
    assert_eq!(after.overlap_remaining(settled), Duration::ZERO);
}

/// Guards against a list that is forgotten because a second change follows, or that never ends
/// because the same list is announced again.
#[test]
fn each_change_of_the_seats_counts_by_itself() {
    let life = OWNER_OVERLAP + KEY_RETENTION;
    let roster = SeatRoster::new(names(&SEATS[..2]))
        .updated(at(0), names(&SEATS[..3]))
        .updated(at(300), names(&SEATS[..2]))
        .updated(at(400), names(&SEATS[..2]));
    assert_eq!(
        roster.overlap_remaining(at(400)) + Duration::from_secs(100),
        life
    );
}

/// Guards against two owners of one key while instances differ on which seats are configured.
#[test]
fn prefix_counts_whether_or_not_its_seat_is_configured() {
    let few = SeatRoster::new(names(&SEATS[..3]));
    let all = few.updated(at(0), names(&SEATS));
    let key = key(&(KeyOwner::prefix(SEATS[3], 7) + "order-1"));
    for (now, roster) in [(at(1), &few), (at(1), &all), (at(1_000_000), &few)] {
        let owner = find_key_owner(now, "hotel-group", &key, roster);
        assert_eq!(owner, incarnation(SEATS[3], 7));
    }
}

/// Guards against a roster without seats that selects an owner.
#[test]
fn empty_roster_has_no_owner() {
    let roster = SeatRoster::new(Vec::new());
    let owner = find_key_owner(at(0), "hotel-group", &key("order-1"), &roster);
    assert_eq!(owner, KeyOwner::Moved);
}

struct TenureCase {
    name: &'static str,
    tenure: SeatTenure,
    owner: KeyOwner,
    now: MonotonicTime,
    remembers: bool,
}

fn seat() -> String {
    "penang-a-1".to_owned()
}

fn tenure_cases() -> Vec<TenureCase> {
    let first = SeatTenure::for_new_fleet(at(0), seat(), 1);
    let claimed = SeatTenure::claimed(at(1_000), seat(), 2);
    let life = KEY_RETENTION + OWNER_OVERLAP;
    let handed = SeatTenure::claimed(at(1_000), seat(), 2).with_hand_over(
        at(1_001),
        &first.incarnations(),
        first.time_until_complete(at(1_001)),
    );
    let partly = SeatTenure::claimed(at(1_100), seat(), 3).with_hand_over(
        at(1_100),
        &claimed.incarnations(),
        claimed.time_until_complete(at(1_100)),
    );
    let mut cases = vec![
        TenureCase {
            name: "the first holder knows every key of its seat",
            tenure: first,
            owner: KeyOwner::Seat(seat()),
            now: at(0),
            remembers: true,
        },
        TenureCase {
            name: "a claimant does not know earlier keys of its seat",
            tenure: claimed.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + life - Duration::from_secs(1),
            remembers: false,
        },
        TenureCase {
            name: "a claimant knows all keys once earlier ones are forgotten",
            tenure: claimed.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + life,
            remembers: true,
        },
        TenureCase {
            name: "a claimant knows the keys of its own prefix at once",
            tenure: claimed.clone(),
            owner: incarnation("penang-a-1", 2),
            now: at(1_000),
            remembers: true,
        },
        TenureCase {
            name: "an earlier incarnation is gone, however long ago",
            tenure: claimed.clone(),
            owner: incarnation("penang-a-1", 1),
            now: at(1_000_000),
            remembers: false,
        },
    ];
    cases.extend(foreign_cases(&claimed));
    cases.extend([
        TenureCase {
            name: "a successor knows the keys of the seat after a hand-over",
            tenure: handed.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_001),
            remembers: true,
        },
        TenureCase {
            name: "a successor knows the keys of the incarnation it succeeds",
            tenure: handed,
            owner: incarnation("penang-a-1", 1),
            now: at(1_001),
            remembers: true,
        },
        TenureCase {
            name: "a successor does not know what its predecessor did not",
            tenure: partly.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + life - Duration::from_secs(1),
            remembers: false,
        },
        TenureCase {
            name: "a successor waits no longer than its predecessor",
            tenure: partly,
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + life,
            remembers: true,
        },
    ]);
    cases
}

/// Cases of keys that no holder of the seat remembers.
fn foreign_cases(claimed: &SeatTenure) -> [TenureCase; 3] {
    [
        TenureCase {
            name: "keys of another seat are not known",
            tenure: claimed.clone(),
            owner: KeyOwner::Seat("penang-b-1".to_owned()),
            now: at(1_000_000),
            remembers: false,
        },
        TenureCase {
            name: "the same number at another seat is not known",
            tenure: claimed.clone(),
            owner: incarnation("penang-b-1", 2),
            now: at(1_000_000),
            remembers: false,
        },
        TenureCase {
            name: "moved keys are not known",
            tenure: claimed.clone(),
            owner: KeyOwner::Moved,
            now: at(1_000_000),
            remembers: false,
        },
    ]
}

/// Guards against a new holder that takes a key for new because its predecessor's memory is gone.
#[test]
fn tenure_tells_which_absent_keys_are_new() {
    for case in &tenure_cases() {
        let remembers = case.tenure.has_all_keys_of(case.now, &case.owner);
        assert_eq!(remembers, case.remembers, "{}", case.name);
    }
}

/// Guards against a second run of a key that the earlier owner accepted because it learned of its
/// replacement, or of a change of the seats, up to a minute late.
#[test]
fn key_accepted_late_by_an_earlier_owner_stays_unknown_for_its_retention() {
    let accepted = at(1_060);
    let repeated = accepted + KEY_RETENTION - Duration::from_secs(1);
    let claimed = SeatTenure::claimed(at(1_000), seat(), 2);
    assert!(!claimed.has_all_keys_of(repeated, &KeyOwner::Seat(seat())));
    let before = SeatRoster::new(names(&SEATS[..1]));
    let after = before.updated(at(1_000), names(&SEATS[1..2]));
    let owner = find_key_owner(repeated, "hotel-group", &key("order-1"), &after);
    assert_eq!(owner, KeyOwner::Moved);
}
