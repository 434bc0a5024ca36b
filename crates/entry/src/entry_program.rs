//! Starts the threads, tasks and listeners of the process, and stops them in order.

use std::collections::HashSet;
use std::io::ErrorKind;
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
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::affinity_persistence::persist_affinity;
use crate::control_event::ControlEvent;
use crate::control_loop::ControlLoop;
use crate::heartbeat_socket::receive_heartbeats;
use crate::http_services::{CallerService, DiagnosticsService, LookupService};
use crate::process_signals::listen_for_signals;
use crate::settings_reload::reload_settings;
use crate::shared_state::SharedState;
use crate::store_watch::{WatchConfig, watch_kind};

/// Threads that process requests. An instance has a fraction of one core, so more threads would only compete for it.
const REQUEST_THREADS: usize = 2;
/// The timeout of a call to the store, which answers in milliseconds, or within some tenths of a second when it is
/// slow.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How each kind of objects is watched. The return of a watch on the configuration confirms that no key was withdrawn;
/// the heartbeats of its reader carry the age of that confirmation to the others. A dead connection is detected when
/// its watch times out, and the other watches are then renewed as well. So the shortest wait, with the timeout of a
/// call, bounds how long a draining upstream or an evacuated failure domain may be missed: it stays below the 2.5 s
/// within which requests to a draining one must end. Upstreams and instances often change many at a time, and the delay
/// after a change batches them.
const WATCHED_KINDS: [WatchConfig; 4] = [
    WatchConfig {
        kind: ObjectKind::Config,
        wait: Duration::from_millis(1_200),
        batch_delay: Duration::ZERO,
        is_spread: true,
    },
    WatchConfig {
        kind: ObjectKind::Upstreams,
        wait: Duration::from_millis(2_400),
        batch_delay: Duration::from_millis(150),
        is_spread: false,
    },
    WatchConfig {
        kind: ObjectKind::Evacuations,
        wait: Duration::from_millis(2_400),
        batch_delay: Duration::ZERO,
        is_spread: false,
    },
    WatchConfig {
        kind: ObjectKind::Instances,
        wait: Duration::from_secs(8),
        batch_delay: Duration::from_millis(300),
        is_spread: false,
    },
];
/// The limit of connections for readiness checks, look-ups and diagnostics.
const INTERNAL_CONNECTIONS: usize = 400;
/// How long after the stop signal new connections are accepted: callers with a cached look-up still arrive in this
/// time.
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(3_200);
/// The time before the end of the grace period at which the process ends in any case.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);
/// How long an address that is in use is waited for at the start.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two tries to use such an address.
const ADDRESS_RETRY_PERIOD: Duration = Duration::from_millis(50);
/// The smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Why the process could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address of the listener or socket.
        address: SocketAddr,
        /// The traffic that the address is for, as printed in the message.
        purpose: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The zones in the settings are invalid.
    #[error("settings: zones: {0}")]
    Topology(#[from] TopologyError),
    /// The failure domain of this instance is not among the zones in the settings.
    #[error("settings: the failure domain {0:?} is not among the zones")]
    UnknownDomain(String),
    /// Threads or signals could not be set up.
    #[error("cannot set up the process: {0}")]
    Setup(#[from] std::io::Error),
}

/// Runs the daemon until it receives SIGTERM or SIGINT. The file at `settings_path` is reloaded when it changes.
///
/// # Errors
///
/// Returns an error if the settings are invalid, an address cannot be bound, or threads or signals cannot be set up.
pub fn run_entry(settings: LocalSettings, settings_path: String) -> Result<(), StartError> {
    runtime::Builder::new_multi_thread()
        .worker_threads(REQUEST_THREADS)
        .thread_name("request")
        .enable_all()
        .build()?
        .block_on(run(settings, settings_path))
}

async fn run(settings: LocalSettings, settings_path: String) -> Result<(), StartError> {
    let topology = FleetTopology::try_from(&settings.region_of)?;
    let (events, event_queue) = mpsc::unbounded_channel();
    let unknown_domain = StartError::UnknownDomain(settings.domain.clone());
    // Zero would be read as "no incarnation" in heartbeats.
    let incarnation = fastrand::u64(1..);
    let shared = SharedState::new(settings, topology, incarnation, events);
    let shared = Arc::new(shared.ok_or(unknown_domain)?);
    let (mut stop_signals, reload_signal) = listen_for_signals()?;
    let start = async {
        start_control(&shared, event_queue).await?;
        start_listeners(&shared).await
    };
    tokio::select! {
        started = start => started?,
        () = stop_signals.received() => {
            log::info!("process: Stopped before the start was complete.");
            return Ok(());
        }
    }
    let reload = reload_settings(Arc::clone(&shared), settings_path, reload_signal);
    tokio::spawn(reload);
    log::info!(
        instance = shared.settings.instance.as_str(),
        incarnation,
        entry:% = shared.settings.entry;
        "process: Started."
    );
    stop_signals.received().await;
    shut_down(&shared).await;
    log::info!("process: Stopped.");
    Ok(())
}

async fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    open_socket(address, purpose, || TcpListener::bind(address)).await
}

/// Opens a socket on `address`. An address that is in use is waited for: the process before this one may still hold it,
/// or a connection that happens to have its port.
async fn open_socket<S, F: Future<Output = std::io::Result<S>>>(
    address: SocketAddr,
    purpose: &'static str,
    open: impl Fn() -> F,
) -> Result<S, StartError> {
    let deadline = Instant::now() + ADDRESS_TIMEOUT;
    let mut is_logged = false;
    loop {
        match open().await {
            Ok(socket) => return Ok(socket),
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                if !is_logged {
                    log::warn!(address:%, purpose; "process: The address is in use, waiting for it.");
                    is_logged = true;
                }
                tokio::time::sleep(ADDRESS_RETRY_PERIOD).await;
            }
            Err(source) => {
                return Err(StartError::Listen {
                    address,
                    purpose,
                    source,
                });
            }
        }
    }
}

async fn start_listeners(shared: &Arc<SharedState>) -> Result<(), StartError> {
    let settings = &shared.settings;
    let caller_listener = listen(settings.entry, "callers").await?;
    let service = Arc::new(CallerService::new(Arc::clone(shared)));
    let state = Arc::clone(shared);
    let limits = move || caller_limits(&state);
    let stop = shared.caller_listener.clone();
    tokio::spawn(serve(caller_listener, service, limits, stop));
    let internal_addresses = HashSet::from([settings.ready, settings.lookup]);
    for address in internal_addresses {
        let listener = listen(address, "look-ups and readiness checks").await?;
        serve_internal(listener, LookupService::new(Arc::clone(shared)));
    }
    let metrics_listener = listen(settings.metrics, "metrics").await?;
    serve_internal(
        metrics_listener,
        DiagnosticsService::new(Arc::clone(shared)),
    );
    Ok(())
}

/// Serves calls that are still answered while the instance stops.
fn serve_internal<S: HttpService>(listener: TcpListener, service: S) {
    let limits = || listener_limits(CallerLimits::default(), INTERNAL_CONNECTIONS);
    let stop = ListenerStop::default();
    tokio::spawn(serve(listener, Arc::new(service), limits, stop));
}

fn caller_limits(shared: &SharedState) -> ListenerLimits {
    let snapshot = shared.snapshot.load();
    let limits = snapshot.as_ref().map(|snapshot| snapshot.plan.limits);
    listener_limits(limits.unwrap_or_default(), shared.max_connections())
}

fn listener_limits(limits: CallerLimits, max_connections: usize) -> ListenerLimits {
    ListenerLimits {
        max_connections,
        // The HTTP library has one timer for idle connections and slow heads, so it is set to the longer of the two
        // bounds. The bound may also be raised while a connection is open.
        header_timeout: limits.idle_timeout * 2,
        max_head_bytes: limits.max_head_bytes.max(MIN_HEAD_BYTES),
    }
}

async fn start_control(
    shared: &Arc<SharedState>,
    events: mpsc::UnboundedReceiver<ControlEvent>,
) -> Result<(), StartError> {
    let address = shared.settings.peer;
    let open = async || std::net::UdpSocket::bind(address);
    let socket = open_socket(address, "other instances", open).await?;
    socket.set_nonblocking(true)?;
    let shared = Arc::clone(shared);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let control_thread = move || {
        runtime.block_on(async move {
            let socket = match UdpSocket::from_std(socket) {
                Ok(socket) => Arc::new(socket),
                Err(error) => {
                    log::error!("peers: The socket cannot be used: {error}.");
                    return;
                }
            };
            let client = Arc::new(StoreClient::new(shared.settings.store, STORE_CALL_TIMEOUT));
            for config in WATCHED_KINDS {
                let client = Arc::clone(&client);
                tokio::spawn(watch_kind(Arc::clone(&shared), client, config));
            }
            tokio::spawn(persist_affinity(Arc::clone(&shared), Arc::clone(&client)));
            tokio::spawn(receive_heartbeats(Arc::clone(&shared), Arc::clone(&socket)));
            ControlLoop::new(shared, client, socket).run(events).await;
        });
    };
    thread::Builder::new()
        .name("control".to_string())
        .spawn(control_thread)?;
    Ok(())
}

/// Shuts down without interrupting a request: look-ups first direct callers to other instances, and the listener closes
/// after callers have stopped arriving.
async fn shut_down(shared: &Arc<SharedState>) {
    let stop = &shared.caller_listener;
    log::info!("process: Stopping.");
    shared.begin_shutdown();
    shared.send_event(ControlEvent::Shutdown);
    let grace = shared.bounds.load().grace_period;
    let deadline = Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN);
    tokio::time::sleep(STOP_ACCEPTING_AFTER.min(grace / 2)).await;
    stop.stop();
    // A connection stays open while a part of a request is received, a request is running or its answer is not written.
    let is_finished = tokio::time::timeout_at(deadline, stop.finished()).await;
    if is_finished.is_err() {
        log::warn!(
            connections = stop.open_connections(),
            requests = shared.in_flight.load(Ordering::Acquire);
            "process: Connections are still open at the end of the grace period."
        );
    }
}
