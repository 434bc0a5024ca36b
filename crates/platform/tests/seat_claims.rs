//! Tests of claims and releases of seats: races, lost answers and outages.

mod support;

use coltsfootkeel_platform::{ClaimOutcome, ReleaseOutcome, SeatHolder, SeatStore, StoredSeat};
use support::{LONG_TIMEOUT, NO_FAULT, SHORT_TIMEOUT, SLOW_FAULT, TestPlatform};

const SEAT: &str = "penang-a-1";

fn holder(number: u64) -> SeatHolder {
    SeatHolder {
        instance: format!("i-{number}"),
        incarnation: number,
        peer_address: "127.0.0.1:9301".parse().unwrap(),
        failure_domain: "domain-a".to_string(),
    }
}

async fn claim(seats: &SeatStore, last_read: &StoredSeat, number: u64) -> StoredSeat {
    match seats.claim(SEAT, last_read, holder(number)).await.unwrap() {
        ClaimOutcome::Claimed(seat) => seat,
        outcome => panic!("claim of {number}: {outcome:?}"),
    }
}

/// Guards against concurrent claims of one seat of which several succeed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_race_of_claims_has_one_winner() {
    const CLAIMANTS: u64 = 8;
    const ROUNDS: u64 = 20;
    let platform = TestPlatform::start().await;
    for round in 0..ROUNDS {
        let last_read = platform.seats().read(SEAT).await.unwrap();
        let claims: Vec<_> = (0..CLAIMANTS)
            .map(|number| {
                let (seats, last_read) = (platform.seats(), last_read.clone());
                tokio::spawn(
                    async move { seats.claim(SEAT, &last_read, holder(number)).await.unwrap() },
                )
            })
            .collect();
        let (mut claimed, mut lost) = (Vec::new(), Vec::new());
        for claim in claims {
            match claim.await.unwrap() {
                ClaimOutcome::Claimed(seat) => claimed.push(seat),
                ClaimOutcome::Lost(seat) => lost.push(seat),
                ClaimOutcome::Unknown => panic!("no answer was lost"),
            }
        }
        let stored = platform.seats().read(SEAT).await.unwrap();
        assert_eq!(claimed.len(), 1, "round {round}");
        assert_eq!(claimed[0], stored, "round {round}");
        assert_eq!(lost.len() as u64, CLAIMANTS - 1);
        assert!(lost.iter().all(|seat| *seat == stored), "round {round}");
        assert_eq!(stored.occupancy.epoch, round + 1);
    }
}

struct ClaimCase {
    name: &'static str,
    faults: &'static str,
    /// Whether another instance claims the seat after it was read.
    is_claimed_by_other: bool,
    expected: fn(&ClaimOutcome) -> bool,
    epoch: u64,
    holder: u64,
}

/// Guards against a claim that fails or is applied twice because its answer was lost, and against a
/// claim that succeeds although another instance claimed the seat after it was read.
#[tokio::test]
async fn claims_depend_on_the_seat_as_it_was_read() {
    let cases = [
        ClaimCase {
            name: "unchanged",
            faults: NO_FAULT,
            is_claimed_by_other: false,
            expected: |outcome| matches!(outcome, ClaimOutcome::Claimed(_)),
            epoch: 2,
            holder: 9,
        },
        ClaimCase {
            name: "answer lost",
            faults: r#"{"lose_answers": 1, "lose_answer_prefix": "seats/"}"#,
            is_claimed_by_other: false,
            expected: |outcome| matches!(outcome, ClaimOutcome::Claimed(_)),
            epoch: 2,
            holder: 9,
        },
        ClaimCase {
            name: "claimed by another",
            faults: NO_FAULT,
            is_claimed_by_other: true,
            expected: |outcome| matches!(outcome, ClaimOutcome::Lost(_)),
            epoch: 2,
            holder: 5,
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let seats = platform.seats();
        let last_read = claim(&seats, &StoredSeat::default(), 1).await;
        if case.is_claimed_by_other {
            claim(&seats, &last_read, 5).await;
        }
        platform.set_faults(case.faults).await;
        let outcome = seats.claim(SEAT, &last_read, holder(9)).await.unwrap();
        assert!((case.expected)(&outcome), "{}: {outcome:?}", case.name);
        let stored = seats.read(SEAT).await.unwrap();
        assert_eq!(stored.occupancy.epoch, case.epoch, "{}", case.name);
        assert_eq!(
            stored.occupancy.holder,
            Some(holder(case.holder)),
            "{}",
            case.name
        );
        if let ClaimOutcome::Claimed(seat) | ClaimOutcome::Lost(seat) = outcome {
            assert_eq!(seat, stored, "{}", case.name);
        }
    }
}

struct ReleaseCase {
    name: &'static str,
    faults: &'static str,
    /// Whether another instance claims the seat before its holder releases it.
    is_claimed_by_other: bool,
    expected: fn(&ReleaseOutcome) -> bool,
    holder: Option<u64>,
}

/// Guards against a release that frees a seat which another instance has claimed since.
#[tokio::test]
async fn a_release_frees_only_a_seat_still_held() {
    let cases = [
        ReleaseCase {
            name: "held",
            faults: NO_FAULT,
            is_claimed_by_other: false,
            expected: |outcome| matches!(outcome, ReleaseOutcome::Released),
            holder: None,
        },
        ReleaseCase {
            name: "answer lost",
            faults: r#"{"lose_answers": 1, "lose_answer_prefix": "seats/"}"#,
            is_claimed_by_other: false,
            expected: |outcome| matches!(outcome, ReleaseOutcome::Released),
            holder: None,
        },
        ReleaseCase {
            name: "claimed by another",
            faults: NO_FAULT,
            is_claimed_by_other: true,
            expected: |outcome| matches!(outcome, ReleaseOutcome::NotHeld(_)),
            holder: Some(5),
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let seats = platform.seats();
        let held = claim(&seats, &StoredSeat::default(), 1).await;
        if case.is_claimed_by_other {
            claim(&seats, &held, 5).await;
        }
        platform.set_faults(case.faults).await;
        let outcome = seats.release(SEAT, &held, true).await.unwrap();
        assert!((case.expected)(&outcome), "{}: {outcome:?}", case.name);
        let stored = seats.read(SEAT).await.unwrap();
        assert_eq!(
            stored.occupancy.holder,
            case.holder.map(holder),
            "{}",
            case.name
        );
        let next = claim(&seats, &stored, 7).await;
        assert_eq!(
            next.occupancy.epoch,
            stored.occupancy.epoch + 1,
            "{}",
            case.name
        );
    }
}

struct OutageCase {
    name: &'static str,
    faults: &'static str,
    is_known_not_applied: bool,
}

/// Guards against a claim that is reported as failed although it was sent and may have taken effect.
#[tokio::test]
async fn a_claim_during_an_outage_is_not_applied_or_unknown() {
    let cases = [
        OutageCase {
            name: "answered with 503",
            faults: r#"{"down": "unavailable"}"#,
            is_known_not_applied: true,
        },
        OutageCase {
            name: "closed connections",
            faults: r#"{"down": "closed"}"#,
            is_known_not_applied: false,
        },
        OutageCase {
            name: "slow",
            faults: SLOW_FAULT,
            is_known_not_applied: false,
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        platform.set_faults(case.faults).await;
        let timeout = if case.faults == SLOW_FAULT {
            SHORT_TIMEOUT
        } else {
            LONG_TIMEOUT
        };
        let seats = SeatStore::new(platform.client(timeout));
        let result = seats.claim(SEAT, &StoredSeat::default(), holder(1)).await;
        match result {
            Err(_) => assert!(case.is_known_not_applied, "{}", case.name),
            Ok(ClaimOutcome::Unknown) => assert!(!case.is_known_not_applied, "{}", case.name),
            Ok(outcome) => panic!("{}: {outcome:?}", case.name),
        }
    }
}
