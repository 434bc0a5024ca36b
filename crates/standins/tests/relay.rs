//! The relay that cuts, holds and delays connections.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{
    CallError, CallRequest, CrashMode, FaultRelay, OrderCounter, PersistentConnection, RelayFlow,
    RelayMode, UpstreamHandle, UpstreamOptions, UpstreamProfile, call_once,
};
use http::Method;

const SHORT_LIMIT: Duration = Duration::from_millis(300);
const POLL_PAUSE: Duration = Duration::from_millis(5);
const POLL_LIMIT: u32 = 2000;
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
    UpstreamHandle::start(options, OrderCounter::default()).expect("a free port")
}

fn echo(body: &'static str) -> CallRequest {
    CallRequest::new(Method::POST, "/echo").body(body)
}

/// Returns the number of started requests once it has reached `wanted`, or when waiting is given up.
async fn started_after(upstream: &UpstreamHandle, wanted: u64) -> u64 {
    for _ in 0..POLL_LIMIT {
        if upstream.state().totals().started >= wanted {
            break;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    upstream.state().totals().started
}

#[derive(Debug, PartialEq, Eq)]
enum Reached {
    Answered,
    ConnectFailed,
    Broken,
    TimedOut,
}

fn reached<T>(result: &Result<T, CallError>) -> Reached {
    match result {
        Ok(_) => Reached::Answered,
        Err(CallError::Connect(_)) => Reached::ConnectFailed,
        Err(CallError::TimedOut(_)) => Reached::TimedOut,
        Err(_) => Reached::Broken,
    }
}

struct ModeCase {
    label: &'static str,
    mode: RelayMode,
    kept: Reached,
    fresh: Reached,
    runs: u64,
}

/// Guards against a relay that lets through what a test cut, or cuts the direction that was left open.
#[tokio::test]
async fn modes_apply_to_kept_and_fresh_connections() {
    let cases = [
        ModeCase {
            label: "pass",
            mode: RelayMode::PASS,
            kept: Reached::Answered,
            fresh: Reached::Answered,
            runs: 2,
        },
        ModeCase {
            label: "delay in both directions",
            mode: RelayMode::both(RelayFlow::Delay(DELAY)),
            kept: Reached::Answered,
            fresh: Reached::Answered,
            runs: 2,
        },
        ModeCase {
            label: "closed",
            mode: RelayMode::Closed,
            kept: Reached::Broken,
            fresh: Reached::ConnectFailed,
            runs: 0,
        },
        ModeCase {
            label: "blackhole",
            mode: RelayMode::BLACKHOLE,
            kept: Reached::TimedOut,
            fresh: Reached::TimedOut,
            runs: 0,
        },
        ModeCase {
            label: "requests held",
            mode: RelayMode::Open {
                to_target: RelayFlow::Hold,
                to_caller: RelayFlow::Pass,
            },
            kept: Reached::TimedOut,
            fresh: Reached::TimedOut,
            runs: 0,
        },
        ModeCase {
            label: "answers held",
            mode: RelayMode::Open {
                to_target: RelayFlow::Pass,
                to_caller: RelayFlow::Hold,
            },
            kept: Reached::TimedOut,
            fresh: Reached::TimedOut,
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
        let limit = if case.kept == Reached::TimedOut {
            SHORT_LIMIT
        } else {
            Duration::from_secs(30)
        };
        let request = echo("after").timeout(limit);
        let kept = connection.call(&request).await;
        assert_eq!(reached(&kept), case.kept, "{} kept", case.label);
        let fresh = call_once(relay.address(), &request).await;
        assert_eq!(reached(&fresh), case.fresh, "{} fresh", case.label);
        let runs = started_after(&upstream, before + case.runs).await - before;
        assert_eq!(runs, case.runs, "{} runs", case.label);

        relay.set(RelayMode::PASS).await;
        let healed = call_once(relay.address(), &echo("healed")).await;
        assert_eq!(reached(&healed), Reached::Answered, "{}", case.label);
    }
}

struct HealCase {
    label: &'static str,
    held: RelayMode,
}

/// Guards against a blackhole that loses bytes, which TCP across a short partition does not.
#[tokio::test]
async fn held_bytes_arrive_after_the_hold() {
    let cases = [
        HealCase {
            label: "both directions",
            held: RelayMode::BLACKHOLE,
        },
        HealCase {
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
