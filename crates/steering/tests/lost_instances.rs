//! Look-ups while instances fall silent: a lost failure domain, late heartbeats, and an instance that hears nobody.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    DomainSilence, HeardInstance, InstanceRoom, InstanceView, KnownInstance, nameable_instances,
};

const PERIOD_MS: u64 = 700;
const STEP_MS: u64 = 100;
const START_MS: u64 = 10_000;
const DOMAINS: usize = 6;

struct SilenceCase {
    name: &'static str,
    /// Instances of each domain.
    instances: usize,
    /// Domains that fall silent at [`START_MS`].
    silent_domains: usize,
    /// Instances of these domains that keep sending.
    kept: usize,
    /// Time after which all heartbeats of the silent domains are received at once; `None` if they are lost.
    received_after_ms: Option<u64>,
    /// Time in which this instance does not run, from [`START_MS`] on.
    held_up_ms: u64,
    /// Time after which all silent instances are left out; `None` if none may be left out at any time.
    lost_within_ms: Option<u64>,
}

/// Guards against look-ups that name a lost domain's instances until the last timeout, and against a domain that is
/// left out because heartbeats are late, this instance did not run or is itself cut off.
#[test]
fn instances_are_lost_with_their_domain() {
    let base = SilenceCase {
        name: "a domain loses power",
        instances: 10,
        silent_domains: 1,
        kept: 0,
        received_after_ms: None,
        held_up_ms: 0,
        lost_within_ms: Some(900),
    };
    let cases = [
        SilenceCase {
            name: "a region loses power",
            silent_domains: 2,
            ..base
        },
        SilenceCase {
            name: "one instance of a lost domain is still heard",
            kept: 1,
            ..base
        },
        SilenceCase {
            name: "half of a domain is silent",
            kept: 5,
            lost_within_ms: None,
            ..base
        },
        SilenceCase {
            name: "a domain of two instances",
            instances: 2,
            lost_within_ms: None,
            ..base
        },
        SilenceCase {
            name: "heartbeats of a domain arrive late in a batch",
            received_after_ms: Some(600),
            lost_within_ms: None,
            ..base
        },
        SilenceCase {
            name: "this instance is suspended",
            silent_domains: 0,
            held_up_ms: 3_000,
            lost_within_ms: None,
            ..base
        },
        SilenceCase {
            name: "this instance hears only its own domain",
            silent_domains: 5,
            lost_within_ms: None,
            ..base
        },
        base,
    ];
    for case in cases {
        let lost_at_ms = run_silence(&case);
        match case.lost_within_ms {
            Some(bound) => assert!(
                lost_at_ms.is_some_and(|lost| lost <= START_MS + bound),
                "{}: {lost_at_ms:?}",
                case.name
            ),
            None => assert_eq!(lost_at_ms, None, "{}", case.name),
        }
    }
}

/// Returns when all silent instances are left out, or any if the case allows none. Panics if one that sends is left out.
fn run_silence(case: &SilenceCase) -> Option<u64> {
    let mut silence = DomainSilence::default();
    let mut heard_ms = vec![START_MS; DOMAINS * case.instances];
    let is_silent = |index: usize| {
        index / case.instances < case.silent_domains && index % case.instances >= case.kept
    };
    let silent_count = (0..heard_ms.len())
        .filter(|index| is_silent(*index))
        .count();
    for now_ms in (START_MS - 3_000..START_MS + 3_000).step_by(100) {
        let is_held_up = (START_MS..START_MS + case.held_up_ms).contains(&now_ms);
        for (index, heard) in heard_ms.iter_mut().enumerate() {
            let phase_ms = index as u64 * 3 % (PERIOD_MS / STEP_MS) * STEP_MS;
            let is_due = (now_ms + phase_ms).is_multiple_of(PERIOD_MS);
            let is_late = case
                .received_after_ms
                .is_some_and(|after| now_ms >= START_MS + after);
            let is_sent = !is_silent(index) || now_ms < START_MS || is_late;
            let is_batch = is_late && now_ms < START_MS + PERIOD_MS && is_silent(index);
            if !is_held_up && is_sent && (is_due || is_batch) {
                *heard = now_ms;
            }
        }
        if is_held_up {
            continue;
        }
        let heard: Vec<HeardInstance> = heard_ms
            .iter()
            .enumerate()
            .map(|(index, heard_ms)| HeardInstance {
                domain: DomainKey::from_index(index / case.instances),
                heard_at: MonotonicTime::from_millis(*heard_ms),
                period: Duration::from_millis(PERIOD_MS),
            })
            .collect();
        let is_lost = silence.observe(
            &heard,
            DomainKey::from_index(DOMAINS - 1),
            MonotonicTime::from_millis(now_ms),
        );
        let lost: Vec<usize> = (0..heard.len()).filter(|index| is_lost[*index]).collect();
        assert!(
            case.lost_within_ms.is_none() || lost.iter().all(|index| is_silent(*index)),
            "{}",
            case.name
        );
        let expected = if case.lost_within_ms.is_some() {
            silent_count
        } else {
            1
        };
        if lost.len() >= expected {
            return Some(now_ms);
        }
    }
    None
}

struct CutCase {
    name: &'static str,
    /// Silence of the instances of the own domain, which send twice as often, in milliseconds.
    own_silence_ms: u64,
    is_lost: bool,
}

/// Guards against an instance that takes another domain for lost in the moment in which it is itself cut off.
#[test]
fn no_domain_is_lost_while_the_own_one_is_silent() {
    let case = |name, own_silence_ms, is_lost| CutCase {
        name,
        own_silence_ms,
        is_lost,
    };
    let cases = [
        case("the other domain loses power", 100, true),
        case("this instance is cut off", 450, false),
    ];
    for case in cases {
        let own_domain = DomainKey::from_index(0);
        let now = MonotonicTime::from_millis(START_MS);
        let heard = |(domain, silence_ms, period_ms)| HeardInstance {
            domain: DomainKey::from_index(domain),
            heard_at: now - Duration::from_millis(silence_ms),
            period: Duration::from_millis(period_ms),
        };
        let domains = [(0, case.own_silence_ms, 350), (1, 900, 700), (2, 500, 700)];
        let all = [domains; 3].concat();
        let heard: Vec<HeardInstance> = all.into_iter().map(heard).collect();
        let mut silence = DomainSilence::default();
        for observed_ms in (START_MS - 2_000..START_MS).step_by(100) {
            silence.observe(&[], own_domain, MonotonicTime::from_millis(observed_ms));
        }
        let is_lost = silence.observe(&heard, own_domain, now);
        assert_eq!(is_lost[1], case.is_lost, "{}", case.name);
        assert!(!is_lost[0] && !is_lost[2], "{}", case.name);
    }
}

/// Silence of each instance in milliseconds, and whether it accepted requests in its last heartbeat.
type Silences = &'static [(u64, bool)];

const CUT_WITH_ANOTHER: Silences = &[
    (100, true),
    (3_000, true),
    (3_100, true),
    (3_200, true),
    (3_300, true),
    (3_400, true),
];

struct NamedCase {
    name: &'static str,
    silences: Silences,
    /// Accepting instances that a look-up names.
    named: &'static [usize],
}

/// Guards against a look-up that names only itself when it is cut off, and against one that names instances that died or
/// stopped before that.
#[test]
fn a_look_up_that_is_cut_off_names_what_it_heard_last() {
    let case = |name, silences: Silences, named| NamedCase {
        name,
        silences,
        named,
    };
    let cases = [
        case("one is late", &[(100, true), (1_900, true)], &[0]),
        case("nobody is heard", &[(5_000, true), (5_900, true)], &[0, 1]),
        case("one died before", &[(5_000, true), (9_000, true)], &[0]),
        case("one stopped before", &[(5_000, true), (5_300, false)], &[0]),
        case("half a minute", &[(30_000, true), (30_400, true)], &[]),
        case("nobody was ever heard", &[], &[]),
        case(
            "one of six is cut off with it",
            CUT_WITH_ANOTHER,
            &[0, 1, 2, 3, 4, 5],
        ),
    ];
    let address =
        |index: usize| SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap()));
    for case in cases {
        let known = |(index, (silence_ms, is_accepting)): (usize, &(u64, bool))| KnownInstance {
            view: InstanceView {
                address: address(index),
                domain: DomainKey::from_index(0),
                region: RegionKey::from_index(0),
                is_accepting: *is_accepting,
                room: InstanceRoom::default(),
            },
            silence: Duration::from_millis(*silence_ms),
            timeout: Duration::from_millis(1_600),
            is_lost: false,
        };
        let known: Vec<KnownInstance> = case.silences.iter().enumerate().map(known).collect();
        let accepting = |view: &InstanceView| view.is_accepting;
        let views = nameable_instances(&known)
            .views
            .into_iter()
            .filter(accepting);
        let named: Vec<SocketAddr> = views.map(|view| view.address).collect();
        let expected: Vec<SocketAddr> = case.named.iter().copied().map(address).collect();
        assert_eq!(named, expected, "{}", case.name);
    }
}
