//! Tests of the relay that closes, holds and delays connections.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{
    CallError, CallRequest, CrashMode, FaultRelay, PersistentConnection, RelayFlow, RelayMode,
    SequenceCounter, UpstreamHandle, UpstreamOptions, UpstreamProfile, call_once,
};
use http::Method;

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLLS: u32 = 2000;
const DELAY: Duration = Duration::from_millis(20);

fn start_upstream() -> UpstreamHandle {
    let options = UpstreamOptions {
        profile: UpstreamProfile {
            name: "behind".to_owned(),
            slots: 9,
            work: Duration::ZERO,
            cold_requests: 0,
            cold_extra: Duration::ZERO,
        },
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        crash: CrashMode::Soft(Duration::from_millis(100)),
        threads: 1,
    };
    UpstreamHandle::start(options, SequenceCounter::default()).expect("a free port")
}

fn echo(body: &'static str) -> CallRequest {
    CallRequest::new(Method::POST, "/echo").body(body)
}

/// Returns the number of started requests as soon as it reaches `expected`, or after [`MAX_POLLS`] polls.
async fn started_after(upstream: &UpstreamHandle, expected: u64) -> u64 {
    for _ in 0..MAX_POLLS {
        if upstream.state().totals().started >= expected {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    upstream.state().totals().started
}

#[derive(Debug, PartialEq, Eq)]
enum CallOutcome {
    Answered,
    ConnectFailed,
    Broken,
    TimedOut,
}

fn outcome<T>(result: &Result<T, CallError>) -> CallOutcome {
    match result {
        Ok(_) => CallOutcome::Answered,
        Err(CallError::Connect(_)) => CallOutcome::ConnectFailed,
        Err(CallError::TimedOut(_)) => CallOutcome::TimedOut,
        Err(_) => CallOutcome::Broken,
    }
}

struct ModeCase {
    label: &'static str,
    mode: RelayMode,
    existing: CallOutcome,
    new: CallOutcome,
    runs: u64,
}

/// Guards against a relay that forwards a direction that is held or closed, or holds the direction that is open, on
/// connections from before the change of the mode as well as on new ones.
#[tokio::test]
async fn modes_apply_to_existing_and_new_connections() {
    let cases = [
        ModeCase {
            label: "pass",
            mode: RelayMode::PASS,
            existing: CallOutcome::Answered,
            new: CallOutcome::Answered,
            runs: 2,
        },
        ModeCase {
            label: "delay in both directions",
            mode: RelayMode::both(RelayFlow::Delay(DELAY)),
            existing: CallOutcome::Answered,
            new: CallOutcome::Answered,
            runs: 2,
        },
        ModeCase {
            label: "closed",
            mode: RelayMode::Closed,
            existing: CallOutcome::Broken,
            new: CallOutcome::ConnectFailed,
            runs: 0,
        },
        ModeCase {
            label: "blackhole",
            mode: RelayMode::BLACKHOLE,
            existing: CallOutcome::TimedOut,
            new: CallOutcome::TimedOut,
            runs: 0,
        },
        ModeCase {
            label: "requests held",
            mode: RelayMode::Open {
                to_target: RelayFlow::Hold,
                to_caller: RelayFlow::Pass,
            },
            existing: CallOutcome::TimedOut,
            new: CallOutcome::TimedOut,
            runs: 0,
        },
        ModeCase {
            label: "answers held",
            mode: RelayMode::Open {
                to_target: RelayFlow::Pass,
                to_caller: RelayFlow::Hold,
            },
            existing: CallOutcome::TimedOut,
            new: CallOutcome::TimedOut,
            runs: 2,
        },
    ];
    for case in cases {
        let upstream = start_upstream();
        let mut relay = FaultRelay::start(upstream.address()).await.unwrap();
        let mut connection = PersistentConnection::open(relay.address()).await.unwrap();
        connection.call(&echo("before")).await.unwrap();
        let before = upstream.state().totals().started;

        relay.set(case.mode).await;
        let timeout = if case.existing == CallOutcome::TimedOut {
            SHORT_TIMEOUT
        } else {
            Duration::from_secs(30)
        };
        let request = echo("after").timeout(timeout);
        let existing = connection.call(&request).await;
        assert_eq!(outcome(&existing), case.existing, "{} existing", case.label);
        let new = call_once(relay.address(), &request).await;
        assert_eq!(outcome(&new), case.new, "{} new", case.label);
        let runs = started_after(&upstream, before + case.runs).await - before;
        assert_eq!(runs, case.runs, "{} runs", case.label);

        relay.set(RelayMode::PASS).await;
        let reopened = call_once(relay.address(), &echo("healed")).await;
        assert_eq!(outcome(&reopened), CallOutcome::Answered, "{}", case.label);
    }
}

struct HoldCase {
    label: &'static str,
    held: RelayMode,
}

/// Guards against a relay that loses held bytes. TCP retransmits them after a short partition.
#[tokio::test]
async fn held_bytes_arrive_after_the_hold() {
    let cases = [
        HoldCase {
            label: "both directions",
            held: RelayMode::BLACKHOLE,
        },
        HoldCase {
            label: "answers only",
            held: RelayMode::Open {
                to_target: RelayFlow::Pass,
                to_caller: RelayFlow::Hold,
            },
        },
    ];
    for case in cases {
        let upstream = start_upstream();
        let mut relay = FaultRelay::start(upstream.address()).await.unwrap();
        relay.set(case.held).await;
        let address = relay.address();
        let call = tokio::spawn(async move { call_once(address, &echo("held")).await });
        tokio::time::sleep(DELAY).await;
        relay.set(RelayMode::PASS).await;
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.body, "held", "{}", case.label);
        assert_eq!(upstream.state().totals().started, 1, "{}", case.label);
    }
}
