//! Requests that crash upstreams, and instances that start after the others have learnt of them or have missed it.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_protocol::{FleetHeartbeat, HeartbeatStep, SuspectStep};
use coltsfootkeel_standins::{EntryOptions, SHOP_KEY, UpstreamFault, shop_request};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const PATH: &str = "/previews/crashing";
/// Time within which the owner of an affinity partition has written it: its period, and more on a busy machine.
const STORED_WITHIN: Duration = Duration::from_secs(10);
/// Time within which a datagram is answered.
const RECEIVED_WITHIN: Duration = Duration::from_secs(5);
/// Attempts within which an instance must refuse a request that crashes each upstream.
const MAX_ATTEMPTS: usize = 6;

/// Sends the request until the instance refuses it. Returns the number of attempts that were not refused.
async fn send_until_refused(fleet: &PlatformFleet, instance: usize) -> usize {
    for attempt in 0..MAX_ATTEMPTS {
        let id = format!("{instance}-{attempt}");
        let call = shop_request(Method::GET, PATH, &id, SHOP_KEY);
        let answer = fleet.call(instance, &call).await;
        if answer.is_ok_and(|answer| answer.status == 503) {
            return attempt;
        }
        sleep(Duration::from_millis(300)).await;
    }
    panic!("instance {instance} never refused the request");
}

struct StartCase {
    name: &'static str,
    is_first_start: bool,
    /// Whether the started instance must know the request.
    is_known: bool,
}

/// Guards against a request that crashes each upstream and crashes them again at each instance that starts later.
#[tokio::test(flavor = "multi_thread")]
async fn a_started_instance_refuses_a_request_that_crashed_upstreams() {
    let cases = [
        StartCase {
            name: "crash-restart",
            is_first_start: false,
            is_known: true,
        },
        StartCase {
            name: "crash-first-start",
            is_first_start: true,
            is_known: false,
        },
    ];
    for case in cases {
        let mut fleet = PlatformFleet::start(FleetSetup {
            name: case.name,
            instances: 2,
            upstreams: 4,
            ..FleetSetup::default()
        })
        .await;
        sleep(Duration::from_millis(500)).await;
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::CloseBeforeAnswer);
        }
        for instance in 0..2 {
            send_until_refused(&fleet, instance).await;
        }
        // The started instance is to learn of the request from the others only.
        wait_until_stored(&fleet).await;
        fleet.store.remove("warm-places", "0");
        let store = fleet.store.address();
        fleet.start_instance(EntryOptions {
            is_first_start: case.is_first_start,
            ..EntryOptions::on_loopback(2, store)
        });
        fleet.instances[2].wait_until_ready().await.unwrap();
        let runs = fleet.runs().len();
        let sent = send_until_refused(&fleet, 2).await;
        let new_runs = fleet.runs().len() - runs;
        assert_eq!(sent == 0, case.is_known, "{}: {sent} attempts", case.name);
        assert_eq!(
            new_runs == 0,
            case.is_known,
            "{}: {new_runs} runs",
            case.name
        );
    }
}

/// Waits until the store keeps the refused request.
async fn wait_until_stored(fleet: &PlatformFleet) {
    let is_stored = || {
        let spec = fleet.store.spec("warm-places", "0");
        spec.is_some_and(|spec| spec["refused"].is_array())
    };
    let started = Instant::now();
    while !is_stored() {
        assert!(started.elapsed() < STORED_WITHIN);
        sleep(Duration::from_millis(50)).await;
    }
}

async fn start_crashing(name: &'static str, instances: usize) -> PlatformFleet {
    let fleet = PlatformFleet::start(FleetSetup {
        name,
        instances,
        upstreams: 4,
        ..FleetSetup::default()
    })
    .await;
    for upstream in &fleet.upstreams {
        upstream.set_fault(UpstreamFault::CloseBeforeAnswer);
    }
    fleet
}

/// Guards against a request that crashes each upstream and crashes them again after a restart of all instances.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_stays_refused_when_all_instances_restart() {
    let mut fleet = start_crashing("crash-all-restart", 2).await;
    for instance in 0..2 {
        send_until_refused(&fleet, instance).await;
    }
    wait_until_stored(&fleet).await;
    for instance in 0..2 {
        fleet.signal(instance, Signal::SIGKILL);
    }
    for instance in 0..2 {
        fleet.restart_instance(instance);
    }
    let runs = fleet.runs().len();
    for instance in 0..2 {
        fleet.instances[instance].wait_until_ready().await.unwrap();
        assert_eq!(send_until_refused(&fleet, instance).await, 0, "{instance}");
    }
    assert_eq!(fleet.runs().len(), runs);
}

/// An instance that the test plays.
struct PlayedInstance {
    socket: UdpSocket,
    number: u64,
}

impl PlayedInstance {
    async fn send(&mut self, fleet: &PlatformFleet, message: FleetHeartbeat) {
        self.number += 1;
        let message = FleetHeartbeat {
            instance: "entry-9".to_string(),
            incarnation: 7,
            number: self.number,
            domain: "a-1".to_string(),
            entry_address: "127.0.0.1:9".to_string(),
            ..message
        };
        let to = fleet.instances[0].options.addresses.peer;
        let bytes = message.encode_to_vec();
        self.socket.send_to(&bytes, to).await.unwrap();
    }

    /// Returns the next message with a step.
    async fn receive(&self, step: SuspectStep) -> FleetHeartbeat {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let receiving = timeout(RECEIVED_WITHIN, self.socket.recv(&mut buffer));
            let length = receiving.await.unwrap().unwrap();
            let message = FleetHeartbeat::decode(&buffer[..length]).unwrap();
            if message.suspect_step() == step {
                return message;
            }
        }
    }

    /// Asks the instance of a fleet for the requests that crash upstreams.
    async fn ask(&mut self, fleet: &PlatformFleet) -> FleetHeartbeat {
        let question = FleetHeartbeat {
            suspect_step: SuspectStep::Question.into(),
            ..FleetHeartbeat::default()
        };
        self.send(fleet, question).await;
        self.receive(SuspectStep::Answer).await
    }
}

/// Guards against an instance that lets a request crash upstreams although the others refuse it, because it was cut off
/// when they reported the crashes. The first fleet learns which request it is, and the instance of the second is told.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_has_missed_reports_is_told_of_them() {
    let fleet = start_crashing("crash-told", 1).await;
    let cut = start_crashing("crash-cut", 1).await;
    send_until_refused(&fleet, 0).await;
    let mut peer = PlayedInstance {
        socket: UdpSocket::bind(("127.0.0.1", 0)).await.unwrap(),
        number: 0,
    };
    let known = peer.ask(&fleet).await;
    assert_eq!(known.suspects.len(), 1);
    assert!(known.reported_crashes >= 3, "{}", known.reported_crashes);
    let heartbeat = |reported_crashes| FleetHeartbeat {
        reported_crashes,
        ..FleetHeartbeat::default()
    };
    peer.send(&cut, heartbeat(0)).await;
    peer.send(&cut, heartbeat(known.reported_crashes)).await;
    peer.receive(SuspectStep::Question).await;
    let answer = FleetHeartbeat {
        suspect_step: SuspectStep::Answer.into(),
        step: HeartbeatStep::Acknowledgement.into(),
        ..known.clone()
    };
    peer.send(&cut, answer).await;
    assert_eq!(peer.ask(&cut).await.suspects.len(), 1);
    assert_eq!(send_until_refused(&cut, 0).await, 0);
    assert!(cut.runs().is_empty());
}
