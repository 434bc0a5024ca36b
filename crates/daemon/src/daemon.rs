//! Starts the listeners and the control thread, and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use coltsfootkeel_protocol::HelloMessage;
use coltsfootkeel_settings::DaemonSettings;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::admin_router::admin_service;
use crate::control_event::ControlEvent;
use crate::control_loop::ControlLoop;
use crate::daemon_metrics::DaemonMetrics;
use crate::entry_service::EntryService;
use crate::peer_message_handler::PeerMessageHandler;
use crate::peer_server::serve_peers;
use crate::shared_state::{LOOKUP_TTL, SharedState};
use crate::snapshot_builder::longest_deadline;
use coltsfootkeel_transport::{ListenerLimits, ListenerStop, serve};

/// Added to the time that callers have to stop sending, and to the longest deadline, for requests and answers that are
/// still in transit.
const LEAVE_MARGIN: Duration = Duration::from_secs(1);

/// Time that the platform has to accept the release of the seat. If it does not, another instance can claim the seat
/// only after its lease has expired.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The maximum number of connections to the administration listener.
const MAX_ADMIN_CONNECTIONS: usize = 256;

/// The reason why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error(
        "cannot listen on {address} for {clients}: {source}; free the address or change '{field}' in the settings"
    )]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The clients that the listener serves, in the plural.
        clients: &'static str,
        /// The path of the field in the settings that sets the address.
        field: &'static str,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// A thread, a signal handler or a socket could not be set up.
    #[error("cannot set up the process: {0}")]
    Setup(#[from] std::io::Error),
}

/// Runs the daemon until it receives SIGTERM or SIGINT and has left the fleet.
///
/// # Errors
///
/// Returns an error if a listener, a thread, a signal handler or a socket could not be set up.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), StartError> {
    let request_runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("request")
        .enable_all()
        .build()?;
    request_runtime.block_on(run(settings))
}

async fn run(settings: DaemonSettings) -> Result<(), StartError> {
    let entry_listener = listen(settings.entry.listen, "callers", "entry.listen").await?;
    let peer_listener = listen(settings.peer.listen, "peers", "peer.listen").await?;
    let admin_listener = listen(settings.admin.listen, "operators", "admin.listen").await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (events, event_queue) = mpsc::unbounded_channel();
    let metrics = DaemonMetrics::new(settings.statsd)?;
    // Never zero, because messages use zero for "no incarnation".
    let incarnation = fastrand::u64(1..);
    let shared = Arc::new(SharedState::new(settings, incarnation, metrics, events));
    let stop = CancellationToken::new();
    let control = start_control_thread(&shared, peer_listener, event_queue, stop.clone())?;
    let entry_stop = ListenerStop::default();
    let admin_stop = ListenerStop::default();
    start_listeners(
        &shared,
        entry_listener,
        admin_listener,
        &entry_stop,
        &admin_stop,
    );
    log::info!(
        instance = shared.settings.instance.as_str(), entry:% = shared.settings.entry.listen;
        "entry: Listening for callers."
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave_fleet(&shared, &entry_stop).await;
    admin_stop.stop();
    stop.cancel();
    // The result is ignored: the panic handler has already logged a panic of the control thread.
    let _ = tokio::task::spawn_blocking(move || control.join()).await;
    log::info!("drain: Stopped.");
    Ok(())
}

async fn listen(
    address: SocketAddr,
    clients: &'static str,
    field: &'static str,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen {
            address,
            clients,
            field,
            source,
        })
}

fn start_listeners(
    shared: &Arc<SharedState>,
    entry_listener: TcpListener,
    admin_listener: TcpListener,
    entry_stop: &ListenerStop,
    admin_stop: &ListenerStop,
) {
    let limits = ListenerLimits {
        max_connections: shared.settings.entry.max_connections,
        header_timeout: shared.settings.entry.header_timeout,
        max_head_bytes: MAX_HEAD_BYTES,
    };
    let admin_limits = ListenerLimits {
        max_connections: MAX_ADMIN_CONNECTIONS,
        ..limits
    };
    let entry_service = Arc::new(EntryService::new(Arc::clone(shared)));
    let admin_service = Arc::new(admin_service(Arc::clone(shared)));
    tokio::spawn(serve(
        entry_listener,
        entry_service,
        move || limits,
        entry_stop.clone(),
    ));
    tokio::spawn(serve(
        admin_listener,
        admin_service,
        move || admin_limits,
        admin_stop.clone(),
    ));
}

fn start_control_thread(
    shared: &Arc<SharedState>,
    peer_listener: TcpListener,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    stop: CancellationToken,
) -> Result<thread::JoinHandle<()>, StartError> {
    let hello = hello_message(shared);
    let shared = Arc::clone(shared);
    let peer_listener = peer_listener.into_std()?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let work = move || {
        runtime.block_on(async move {
            let Ok(listener) = TcpListener::from_std(peer_listener) else {
                log::error!("peers: The control thread cannot use the listener for peers.");
                return;
            };
            let handler = Arc::new(PeerMessageHandler::new(Arc::clone(&shared)));
            tokio::spawn(serve_peers(listener, hello.clone(), handler, stop.clone()));
            ControlLoop::new(shared, hello, stop).run(events).await;
        });
    };
    let thread = thread::Builder::new()
        .name("control".to_string())
        .spawn(work)?;
    Ok(thread)
}

fn hello_message(shared: &SharedState) -> HelloMessage {
    let settings = &shared.settings;
    HelloMessage {
        token_digest: settings.peer.token_digest.to_string().into_bytes(),
        instance: settings.instance.clone(),
        incarnation: shared.incarnation,
        failure_domain: settings.failure_domain.clone(),
        entry_address: settings.entry.advertise.to_string(),
        peer_address: settings.peer.advertise.to_string(),
    }
}

/// Leaves the fleet without interrupting a request: look-ups name this instance as leaving, callers stop sending
/// requests when their cached look-ups expire, and only then is the listener closed.
async fn leave_fleet(shared: &Arc<SharedState>, entry_stop: &ListenerStop) {
    log::info!("drain: Leaving the fleet.");
    shared.leaving.store(true, Ordering::Release);
    shared.send_event(ControlEvent::Leave);
    tokio::time::sleep(LOOKUP_TTL + LEAVE_MARGIN).await;
    entry_stop.stop();
    let snapshot = shared.snapshot.load_full();
    let longest = snapshot.map_or(Duration::ZERO, |snapshot| {
        longest_deadline(&snapshot.config)
    });
    if tokio::time::timeout(longest + LEAVE_MARGIN, entry_stop.finished())
        .await
        .is_err()
    {
        log::warn!("drain: Connections are still open after the longest deadline.");
    }
    let (done, released) = oneshot::channel();
    shared.send_event(ControlEvent::Release(done));
    let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
}
