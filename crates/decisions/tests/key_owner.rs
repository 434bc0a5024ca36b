//! Tests of the owner of an idempotency key, and of the time for which an owner may lack keys of former holders.

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

struct InvalidKeyCase {
    name: &'static str,
    text: String,
    error: IdempotencyKeyError,
}

/// Guards against keys of callers that exhaust the memory, because their length is not limited, or that cannot be
/// carried in a message, because they contain spaces or bytes outside ASCII.
#[test]
fn invalid_keys_are_refused() {
    let cases = [
        InvalidKeyCase {
            name: "an empty text",
            text: String::new(),
            error: IdempotencyKeyError::Empty,
        },
        InvalidKeyCase {
            name: "one byte too long",
            text: "x".repeat(MAX_KEY_BYTES + 1),
            error: IdempotencyKeyError::TooLong(MAX_KEY_BYTES + 1),
        },
        InvalidKeyCase {
            name: "a space",
            text: "a b".to_owned(),
            error: IdempotencyKeyError::NotVisible,
        },
        InvalidKeyCase {
            name: "a letter outside ASCII",
            text: "é".to_owned(),
            error: IdempotencyKeyError::NotVisible,
        },
    ];
    for case in cases {
        let found = IdempotencyKey::try_from(case.text);
        assert_eq!(found, Err(case.error), "{}", case.name);
    }
    assert!(IdempotencyKey::try_from("x".repeat(MAX_KEY_BYTES)).is_ok());
}

struct ParseCase {
    name: &'static str,
    text: String,
    owner: Option<KeyOwner>,
}

/// Guards against a key that is sent to the wrong owner, which treats it as new and runs its request again. This comes
/// about if the prefix is cut at the wrong dot, or if a key that a caller chose is mistaken for one with a prefix.
#[test]
fn owner_is_parsed_from_the_prefix() {
    let prefix = KeyOwner::prefix("penang-a-1", 0x2f);
    let dotted = KeyOwner::prefix("kuching.b.1", u64::MAX);
    let cases = [
        ParseCase {
            name: "a prefix that an instance issued",
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
            name: "a prefix without further text",
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
            name: "a key that the caller chose",
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

/// Guards against instances that select different owners for a key because their lists of seats differ in order, so
/// that its request runs twice. Also guards against an owner that has most of the keys, as with a poorly mixed hash.
#[test]
fn rendezvous_owner_is_the_same_everywhere_and_evenly_spread() {
    let roster = SeatRoster::new(names(&SEATS));
    let mut reversed = names(&SEATS);
    reversed.reverse();
    let reversed_roster = SeatRoster::new(reversed);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for number in 0..4_000 {
        let key = key(&format!("order-{number}"));
        let owner = find_key_owner(at(0), "hotel-group", &key, &roster);
        assert_eq!(
            owner,
            find_key_owner(at(0), "hotel-group", &key, &reversed_roster)
        );
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

/// Guards against a change of the hash. Two releases run beside each other during an upgrade, and if they selected
/// different owners for a key, its request would run twice.
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

/// Guards against a second run of a key that moves to a new owner when a seat is added: the new owner takes the key for
/// new although its former owner retains it, or still accepts it because it has not received the change.
#[test]
fn moved_keys_are_unknown_until_the_former_owner_has_removed_them() {
    let before = SeatRoster::new(names(&SEATS[..3]));
    let after = before.updated(at(100), names(&SEATS));
    let overlap_end = at(100) + OWNER_OVERLAP + KEY_RETENTION;
    let mut moved = 0;
    for number in 0..400 {
        let key = key(&format!("order-{number}"));
        let owner_before = find_key_owner(at(0), "hotel-group", &key, &before);
        let owner_during = find_key_owner(at(101), "hotel-group", &key, &after);
        let owner_after = find_key_owner(overlap_end, "hotel-group", &key, &after);
        assert!(owner_during == owner_before || owner_during == KeyOwner::Moved);
        assert_eq!(owner_during == KeyOwner::Moved, owner_after != owner_before);
        assert_ne!(owner_after, KeyOwner::Moved);
        moved += u32::from(owner_during == KeyOwner::Moved);
    }
    assert!(
        (70..130).contains(&moved),
        "about a quarter of the keys moves: {moved}"
    );
    let passed = Duration::from_secs(1);
    assert_eq!(
        after.overlap_remaining(at(101)) + passed,
        OWNER_OVERLAP + KEY_RETENTION
    );
    assert_eq!(after.overlap_remaining(overlap_end), Duration::ZERO);
}

/// Guards against a former list of seats that is dropped when a second change follows within its overlap, so that its
/// owners' keys are treated as new. Also guards against an overlap that never ends, because receiving the same list
/// again restarts it.
#[test]
fn each_change_of_the_seats_has_its_own_overlap() {
    let overlap = OWNER_OVERLAP + KEY_RETENTION;
    let roster = SeatRoster::new(names(&SEATS[..2]))
        .updated(at(0), names(&SEATS[..3]))
        .updated(at(300), names(&SEATS[..2]))
        .updated(at(400), names(&SEATS[..2]));
    assert_eq!(
        roster.overlap_remaining(at(400)) + Duration::from_secs(100),
        overlap
    );
}

/// Guards against two owners of one key while some instances have received a new seat and others have not: those
/// without the seat would select an owner by rendezvous hashing although the key has a prefix.
#[test]
fn prefix_is_used_whether_or_not_its_seat_is_configured() {
    let former = SeatRoster::new(names(&SEATS[..3]));
    let current = former.updated(at(0), names(&SEATS));
    let key = key(&(KeyOwner::prefix(SEATS[3], 7) + "order-1"));
    for (now, roster) in [
        (at(1), &former),
        (at(1), &current),
        (at(1_000_000), &former),
    ] {
        let owner = find_key_owner(now, "hotel-group", &key, roster);
        assert_eq!(owner, incarnation(SEATS[3], 7));
    }
}

/// Guards against a panic or an arbitrary owner before the first list of seats is received.
#[test]
fn empty_roster_has_no_owner() {
    let roster = SeatRoster::new(Vec::new());
    let owner = find_key_owner(at(0), "hotel-group", &key("order-1"), &roster);
    assert_eq!(owner, KeyOwner::Moved);
}

struct TenureCase {
    name: &'static str,
    tenure: SeatTenure,
    /// The owner that was found for a key.
    owner: KeyOwner,
    now: MonotonicTime,
    /// Whether the holder of the tenure has all keys of the owner, so that an absent key is new.
    has_all_keys: bool,
}

fn seat() -> String {
    "penang-a-1".to_owned()
}

fn tenure_cases() -> Vec<TenureCase> {
    let first_holder = SeatTenure::for_new_fleet(at(0), seat(), 1);
    let claimed = SeatTenure::claimed(at(1_000), seat(), 2);
    let overlap = KEY_RETENTION + OWNER_OVERLAP;
    let handed_over = SeatTenure::claimed(at(1_000), seat(), 2).with_hand_over(
        at(1_001),
        &first_holder.incarnations(),
        first_holder.time_until_complete(at(1_001)),
    );
    let partly_handed_over = SeatTenure::claimed(at(1_100), seat(), 3).with_hand_over(
        at(1_100),
        &claimed.incarnations(),
        claimed.time_until_complete(at(1_100)),
    );
    let mut cases = vec![
        TenureCase {
            name: "the first holder in a new fleet has every key of its seat",
            tenure: first_holder,
            owner: KeyOwner::Seat(seat()),
            now: at(0),
            has_all_keys: true,
        },
        TenureCase {
            name: "a claimant may lack earlier keys of its seat",
            tenure: claimed.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + overlap - Duration::from_secs(1),
            has_all_keys: false,
        },
        TenureCase {
            name: "a claimant has every key once the retention of earlier ones has passed",
            tenure: claimed.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + overlap,
            has_all_keys: true,
        },
        TenureCase {
            name: "a claimant has the keys of its own prefix at once",
            tenure: claimed.clone(),
            owner: incarnation("penang-a-1", 2),
            now: at(1_000),
            has_all_keys: true,
        },
        TenureCase {
            name: "a claimant never has the keys of an earlier incarnation",
            tenure: claimed.clone(),
            owner: incarnation("penang-a-1", 1),
            now: at(1_000_000),
            has_all_keys: false,
        },
    ];
    cases.extend(cases_without_keys(&claimed));
    cases.extend([
        TenureCase {
            name: "a successor has the keys of the seat after a hand-over",
            tenure: handed_over.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_001),
            has_all_keys: true,
        },
        TenureCase {
            name: "a successor has the keys of the incarnation that handed over",
            tenure: handed_over,
            owner: incarnation("penang-a-1", 1),
            now: at(1_001),
            has_all_keys: true,
        },
        TenureCase {
            name: "a successor may lack the keys that its predecessor lacked",
            tenure: partly_handed_over.clone(),
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + overlap - Duration::from_secs(1),
            has_all_keys: false,
        },
        TenureCase {
            name: "a successor has every key at the same time as its predecessor would",
            tenure: partly_handed_over,
            owner: KeyOwner::Seat(seat()),
            now: at(1_000) + overlap,
            has_all_keys: true,
        },
    ]);
    cases
}

/// Returns the cases of keys that no holder of the seat ever has.
fn cases_without_keys(claimed: &SeatTenure) -> [TenureCase; 3] {
    [
        TenureCase {
            name: "a claimant does not have the keys of another seat",
            tenure: claimed.clone(),
            owner: KeyOwner::Seat("penang-b-1".to_owned()),
            now: at(1_000_000),
            has_all_keys: false,
        },
        TenureCase {
            name: "a claimant does not have the keys of an equal incarnation at another seat",
            tenure: claimed.clone(),
            owner: incarnation("penang-b-1", 2),
            now: at(1_000_000),
            has_all_keys: false,
        },
        TenureCase {
            name: "a claimant does not have moved keys",
            tenure: claimed.clone(),
            owner: KeyOwner::Moved,
            now: at(1_000_000),
            has_all_keys: false,
        },
    ]
}

/// Guards against a second run of a key by a new holder of a seat, which treats the key as new because it did not
/// receive the keys of its predecessor or received only a part of them.
#[test]
fn absent_key_is_new_only_if_the_holder_has_all_keys_of_its_owner() {
    for case in &tenure_cases() {
        let has_all_keys = case.tenure.has_all_keys_of(case.now, &case.owner);
        assert_eq!(has_all_keys, case.has_all_keys, "{}", case.name);
    }
}

/// Guards against a second run of a key that its former owner accepted 60 s after it was replaced, because it received
/// the claim of its seat, or the change of the seats, that late. Retention counted from the change would end too early.
#[test]
fn key_accepted_late_by_a_former_owner_stays_unknown_for_its_retention() {
    let accepted = at(1_060);
    let repeated = accepted + KEY_RETENTION - Duration::from_secs(1);
    let claimed = SeatTenure::claimed(at(1_000), seat(), 2);
    assert!(!claimed.has_all_keys_of(repeated, &KeyOwner::Seat(seat())));
    let before = SeatRoster::new(names(&SEATS[..1]));
    let after = before.updated(at(1_000), names(&SEATS[1..2]));
    let owner = find_key_owner(repeated, "hotel-group", &key("order-1"), &after);
    assert_eq!(owner, KeyOwner::Moved);
}
