//! Requests of competing accounts and kinds that wait for too little room.

#![expect(clippy::cast_precision_loss, reason = "all counts and times are small")]

mod load_replay;

use load_replay::{LOAD_MS, RUN_MS, Replay, Sender, Setup};

/// Usual accounts.
const ACCOUNTS: u64 = 12;
/// One instance with one upstream, and several with as many slots in all.
const ONE: Setup = Setup {
    instances: 1,
    upstreams: 1,
    slots: 26,
    heartbeat_ticks: 1,
    begins_ms: 1_000,
};
const SEVERAL: Setup = Setup {
    instances: 6,
    upstreams: 2,
    slots: 13,
    ..ONE
};

struct LoadCase {
    name: &'static str,
    setup: Setup,
    /// Factors of the accounts that send more than usual, through all instances.
    heavy: &'static [f64],
    /// Factor of the requests of rank 0, of which each account sends as many as of rank 1; 0 without such requests.
    urgent: f64,
    is_impatient: bool,
    /// Percentage of the requests that only the first upstream suits.
    hot_percent: usize,
    /// The least that each usual account must get of its other requests.
    usual_served: f64,
}

const LOAD: LoadCase = LoadCase {
    name: "usual",
    setup: ONE,
    heavy: &[],
    urgent: 0.0,
    is_impatient: false,
    hot_percent: 0,
    usual_served: 0.0,
};

fn senders(case: &LoadCase) -> Vec<Sender> {
    let mut senders = Vec::new();
    for account in 1..=ACCOUNTS {
        let index = usize::try_from(account).unwrap() - 1;
        let times = case.heavy.get(index).copied().unwrap_or(1.0);
        let is_heavy = index < case.heavy.len();
        let sender = Sender {
            account,
            rank: 1,
            times,
            is_impatient: case.is_impatient && is_heavy,
            is_spread: is_heavy,
            hot_percent: case.hot_percent,
        };
        senders.push(sender);
        if case.urgent > 0.0 {
            senders.push(Sender {
                rank: 0,
                times: case.urgent * times,
                ..sender
            });
        }
    }
    senders
}

/// Guards against a heavy account that fills the queue or gets a share at each instance, a rank that starves behind a
/// more urgent one, an urgent rank that is served less than another, callers that gain by repeating at once, refusals
/// after half of the objective, waits for room which others take, and slots that stay idle while requests wait that
/// they suit.
#[test]
fn competing_callers_get_their_shares() {
    let case = |name, heavy, urgent, is_impatient, usual_served| LoadCase {
        name,
        heavy,
        urgent,
        is_impatient,
        usual_served,
        ..LOAD
    };
    let several = |name, heavy, hot_percent, setup| LoadCase {
        name,
        setup,
        heavy,
        hot_percent,
        ..LOAD
    };
    let three: &[f64] = &[4.0, 5.5, 7.0];
    let late = Setup {
        heartbeat_ticks: 20,
        ..SEVERAL
    };
    let cut = Setup {
        heartbeat_ticks: 0,
        ..SEVERAL
    };
    let restarted = Setup {
        begins_ms: 0,
        ..SEVERAL
    };
    let cases = [
        case("usual", &[], 0.0, false, 0.99),
        case("one account at 7 times", &[7.0], 0.0, false, 0.95),
        case("three at 4 to 7 times", three, 0.0, false, 0.95),
        case("impatient ones", &[7.0, 7.0, 7.0], 0.0, true, 0.95),
        case("a kind at 2.4 times", &[], 2.4, false, 0.0),
        case("both at once", &[4.0, 7.0], 2.4, false, 0.0),
        several("three through all instances", three, 0, SEVERAL),
        several("late heartbeats", three, 0, late),
        several("no heartbeats", three, 0, cut),
        several("just restarted", three, 0, restarted),
        several("a hot object", &[], 90, SEVERAL),
        several("a hot object and three", three, 50, SEVERAL),
    ];
    for case in cases {
        check(&case);
    }
}

fn check(case: &LoadCase) {
    let mut replay = Replay::new(case.setup);
    replay.run(&senders(case));
    let all = replay.sum(|_| true);
    assert!(
        all.refused_late * 1_000 <= all.sent,
        "{}: {all:?}",
        case.name
    );
    assert_eq!(all.idle, 0, "{}: {all:?}", case.name);
    let usual = replay.sum(|key| key.account > case.heavy.len() as u64 && !key.is_hot);
    assert!(
        usual.frequency() >= all.frequency(),
        "{}: {usual:?} of {all:?}",
        case.name
    );
    for account in (case.heavy.len() as u64 + 1)..=ACCOUNTS {
        let usual = replay.sum(|key| key.account == account && !key.is_hot);
        let least = case.usual_served.max(all.frequency() / 4.0);
        assert!(
            usual.frequency() >= least,
            "{}: {usual:?} of {all:?}",
            case.name
        );
    }
    let ranks = [0, 1].map(|rank| replay.sum(|key| key.rank == rank));
    for rank in ranks.iter().filter(|rank| rank.sent > 0) {
        assert!(
            rank.frequency() >= all.frequency() / 4.0,
            "{}: {ranks:?}",
            case.name
        );
    }
    let is_ordered = ranks[0].sent == 0 || ranks[0].frequency() >= ranks[1].frequency();
    assert!(is_ordered, "{}: {ranks:?}", case.name);
    if case.hot_percent == 0 {
        // The slots are in use throughout the load where it exceeds them.
        let slots = case.setup.slots * case.setup.upstreams;
        let possible = u64::from(all.sent).min(LOAD_MS * slots as u64 / RUN_MS);
        assert!(
            u64::from(all.served) * 100 >= possible * 95,
            "{}: {all:?}",
            case.name
        );
    }
}
