//! Assembles the parts of the process and stops them in order.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use coltsfootkeel_adapter::{LocalSettings, ObjectKind, StoreClient};
use coltsfootkeel_steering::{CallerLimits, FleetTopology, TopologyError};
use coltsfootkeel_transport::{HttpService, ListenerLimits, ListenerStop, serve};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control_event::ControlEvent;
use crate::control_loop::ControlLoop;
use crate::heartbeat_socket::receive_heartbeats;
use crate::http_services::{CallerService, InsightService, OwnService};
use crate::settings_follow::follow_settings;
use crate::shared_state::SharedState;
use crate::store_watch::{FollowPlan, follow_kind};
use crate::warm_keeper::keep_warm_places;

/// Threads that carry requests. Instances have a part of one core, so more would only wait for one another.
const REQUEST_THREADS: usize = 2;
/// Time a call to the store may take. It answers in milliseconds, or within some tenths of a second when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How the kinds of objects are followed. The return of a watch on the configuration confirms that no key was withdrawn.
/// A connection that went silent is noticed when a watch is over, so the waits bound how long a leaving upstream or an
/// emptied failure domain may be missed then. Upstreams and instances change many at a time, and a pause after a change
/// takes several together.
const FOLLOWED_KINDS: [FollowPlan; 4] = [
    FollowPlan {
        kind: ObjectKind::Config,
        wait: Duration::from_millis(2_400),
        settle: Duration::ZERO,
        is_shared: false,
    },
    FollowPlan {
        kind: ObjectKind::Upstreams,
        wait: Duration::from_millis(2_400),
        settle: Duration::from_millis(150),
        is_shared: true,
    },
    FollowPlan {
        kind: ObjectKind::Evacuations,
        wait: Duration::from_millis(2_400),
        settle: Duration::ZERO,
        is_shared: true,
    },
    FollowPlan {
        kind: ObjectKind::Instances,
        wait: Duration::from_secs(8),
        settle: Duration::from_millis(300),
        is_shared: true,
    },
];
/// Descriptors for files, the store, other instances and upstreams.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// Connections for readiness checks, look-ups and insight.
const OWN_CONNECTIONS: usize = 400;
/// Callers that hold an old answer to a look-up come for this long after the stop signal.
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(3_200);
/// The time before the kill at which the process ends in any case.
const END_MARGIN: Duration = Duration::from_millis(250);
/// The smallest head buffer that the HTTP library takes.
const LEAST_HEAD_BYTES: usize = 8 * 1024;
/// The pause between two looks at the requests that still run.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The places of the settings cannot be used.
    #[error("settings: zones: {0}")]
    Places(#[from] TopologyError),
    /// The settings do not name this instance's failure domain.
    #[error("settings: the failure domain {0:?} is not among the zones")]
    UnknownDomain(String),
    /// Threads or signals could not be set up.
    #[error("cannot set up the process: {0}")]
    Setup(#[from] std::io::Error),
}

/// Runs the daemon until it is told to stop. `settings_path` is followed for changes.
///
/// # Errors
///
/// Returns why it could not start.
pub fn run_entry(settings: LocalSettings, settings_path: String) -> Result<(), StartError> {
    runtime::Builder::new_multi_thread()
        .worker_threads(REQUEST_THREADS)
        .thread_name("request")
        .enable_all()
        .build()?
        .block_on(run(settings, settings_path))
}

async fn run(settings: LocalSettings, settings_path: String) -> Result<(), StartError> {
    let places = FleetTopology::try_from(&settings.region_of)?;
    let (events, event_queue) = mpsc::unbounded_channel();
    let unknown_domain = StartError::UnknownDomain(settings.domain.clone());
    // Nonzero, because zero would look like "no incarnation" in messages.
    let incarnation = fastrand::u64(1..);
    let shared = SharedState::new(settings, places, incarnation, events);
    let shared = Arc::new(shared.ok_or(unknown_domain)?);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    start_control(&shared, event_queue)?;
    let stop = ListenerStop::default();
    start_listeners(&shared, &stop).await?;
    tokio::spawn(follow_settings(Arc::clone(&shared), settings_path));
    log::info!(
        instance = shared.settings.instance.as_str(),
        incarnation,
        entry:% = shared.settings.entry;
        "process: Started."
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave(&shared, &stop).await;
    log::info!("process: Stopped.");
    Ok(())
}

async fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen {
            address,
            purpose,
            source,
        })
}

async fn start_listeners(shared: &Arc<SharedState>, stop: &ListenerStop) -> Result<(), StartError> {
    let settings = &shared.settings;
    let callers = listen(settings.entry, "callers").await?;
    let service = Arc::new(CallerService::new(Arc::clone(shared)));
    let state = Arc::clone(shared);
    let limits = move || caller_limits(&state);
    tokio::spawn(serve(callers, service, limits, stop.clone()));
    let own_addresses = HashSet::from([settings.ready, settings.lookup]);
    for address in own_addresses {
        let listener = listen(address, "look-ups and readiness checks").await?;
        serve_own(listener, OwnService::new(Arc::clone(shared)));
    }
    let insight = listen(settings.insight, "metrics").await?;
    serve_own(insight, InsightService::new(Arc::clone(shared)));
    Ok(())
}

/// Serves calls that go on while the instance leaves.
fn serve_own<S: HttpService>(listener: TcpListener, service: S) {
    let limits = || listener_limits(CallerLimits::default(), OWN_CONNECTIONS);
    let stop = ListenerStop::default();
    tokio::spawn(serve(listener, Arc::new(service), limits, stop));
}

fn caller_limits(shared: &SharedState) -> ListenerLimits {
    let snapshot = shared.snapshot.load();
    let limits = snapshot.as_ref().map(|snapshot| snapshot.plan.limits);
    let descriptors = shared.settings.max_descriptors;
    let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    listener_limits(limits.unwrap_or_default(), connections.max(OWN_CONNECTIONS))
}

fn listener_limits(limits: CallerLimits, max_connections: usize) -> ListenerLimits {
    ListenerLimits {
        max_connections,
        // The HTTP library has one timer for idle connections and slow heads, so the longer bound holds for both. It may
        // also be raised while a connection is open.
        header_timeout: limits.idle_timeout * 2,
        max_head_bytes: limits.max_head_bytes.max(LEAST_HEAD_BYTES),
    }
}

fn start_control(
    shared: &Arc<SharedState>,
    events: mpsc::UnboundedReceiver<ControlEvent>,
) -> Result<(), StartError> {
    let address = shared.settings.peer;
    let socket = std::net::UdpSocket::bind(address).map_err(|source| StartError::Listen {
        address,
        purpose: "other instances",
        source,
    })?;
    socket.set_nonblocking(true)?;
    let shared = Arc::clone(shared);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let work = move || {
        runtime.block_on(async move {
            let socket = match UdpSocket::from_std(socket) {
                Ok(socket) => Arc::new(socket),
                Err(error) => {
                    log::error!("peers: The socket cannot be used: {error}.");
                    return;
                }
            };
            let client = Arc::new(StoreClient::new(shared.settings.store, STORE_TIMEOUT));
            for plan in FOLLOWED_KINDS {
                let client = Arc::clone(&client);
                tokio::spawn(follow_kind(Arc::clone(&shared), client, plan));
            }
            tokio::spawn(keep_warm_places(Arc::clone(&shared), Arc::clone(&client)));
            tokio::spawn(receive_heartbeats(Arc::clone(&shared), Arc::clone(&socket)));
            ControlLoop::new(shared, client, socket).run(events).await;
        });
    };
    thread::Builder::new()
        .name("control".to_string())
        .spawn(work)?;
    Ok(())
}

/// Leaves the fleet without cutting a request: callers are sent elsewhere first, and stop coming before the listener
/// closes.
async fn leave(shared: &Arc<SharedState>, stop: &ListenerStop) {
    log::info!("process: Stopping.");
    shared.leave();
    shared.report(ControlEvent::Leave);
    let grace = shared.bounds.load().grace;
    let end = Instant::now() + grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(STOP_ACCEPTING_AFTER.min(grace / 2)).await;
    stop.stop();
    while shared.in_flight.load(Ordering::Acquire) > 0 && Instant::now() < end {
        tokio::time::sleep(STOP_POLL).await;
    }
    // Answers that are complete still have to leave the sockets.
    let last = end.min(Instant::now() + Duration::from_millis(200));
    if tokio::time::timeout_at(last, stop.finished())
        .await
        .is_err()
    {
        log::warn!("process: Connections are still open at the end of the grace period.");
    }
}
