//! Runs upstream stand-ins, each on a thread and runtime of its own.
//!
//! A crash drops the runtime, and with it the listener and all connections of one upstream.
//! `Server::run` of `volo-http` installs handlers for SIGINT, SIGTERM and SIGHUP; a program that runs upstreams
//! therefore has to end itself on these signals.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use volo_http::server::Server;

use crate::backoff_incoming::BackoffIncoming;
use crate::upstream_crash::{CrashMode, CrashSwitch, ThreadOrder};
use crate::upstream_service::UpstreamService;
use crate::upstream_state::{OrderCounter, UpstreamProfile, UpstreamState};

const LISTEN_BACKLOG: u32 = 1024;
const REBIND_LIMIT: Duration = Duration::from_secs(10);
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// Where and how an upstream stand-in runs.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// What the upstream does.
    pub profile: UpstreamProfile,
    /// The address to listen on; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// What a crash does.
    pub crash: CrashMode,
    /// The number of threads that serve requests.
    pub threads: usize,
}

/// The reason why an upstream stand-in did not start.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The address cannot be listened on.
    #[error("upstream {name}: cannot listen on {address}: {source}")]
    Listen {
        /// The name of the upstream.
        name: String,
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// No thread or runtime could be started.
    #[error("upstream {name}: cannot start a thread: {source}")]
    Thread {
        /// The name of the upstream.
        name: String,
        /// The error of the system.
        source: io::Error,
    },
}

/// A running upstream stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct UpstreamHandle {
    address: SocketAddr,
    state: Arc<UpstreamState>,
    switch: CrashSwitch,
    orders: watch::Sender<ThreadOrder>,
    thread: Option<JoinHandle<()>>,
}

impl UpstreamHandle {
    /// Starts an upstream and returns when it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on or no thread can be started.
    pub fn start(options: UpstreamOptions, order: OrderCounter) -> Result<Self, UpstreamError> {
        let state = Arc::new(UpstreamState::new(options.profile.clone(), order));
        let (orders, receiver) = watch::channel(ThreadOrder::Serve);
        let switch = CrashSwitch::new(options.crash, orders.clone());
        let (bound, wait_bound) = mpsc::channel();
        let name = options.profile.name.clone();
        let listen = options.listen;
        let worker = UpstreamThread {
            options,
            service: UpstreamService::new(state.clone(), switch.clone()),
            state: state.clone(),
            orders: orders.clone(),
            receiver,
        };
        let thread = std::thread::Builder::new()
            .name(format!("upstream-{name}"))
            .spawn(move || worker.run(&bound))
            .map_err(|source| thread_error(&name, source))?;
        let address = match wait_bound.recv() {
            Ok(result) => result.map_err(|source| UpstreamError::Listen {
                name,
                address: listen,
                source,
            })?,
            Err(_) => return Err(thread_error(&name, io::Error::other("no runtime"))),
        };
        Ok(Self {
            address,
            state,
            switch,
            orders,
            thread: Some(thread),
        })
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its state with the record.
    #[must_use]
    pub fn state(&self) -> &Arc<UpstreamState> {
        &self.state
    }

    /// Crashes it as a request with the crash mark does.
    pub fn crash(&self) {
        self.switch.crash();
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.orders.send_replace(ThreadOrder::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already reported on its standard error.
            let _ = thread.join();
        }
    }
}

fn thread_error(name: &str, source: io::Error) -> UpstreamError {
    UpstreamError::Thread {
        name: name.to_owned(),
        source,
    }
}

/// What the thread of an upstream works with.
struct UpstreamThread {
    options: UpstreamOptions,
    service: UpstreamService,
    state: Arc<UpstreamState>,
    orders: watch::Sender<ThreadOrder>,
    receiver: watch::Receiver<ThreadOrder>,
}

impl UpstreamThread {
    fn run(mut self, bound: &mpsc::Sender<io::Result<SocketAddr>>) {
        let Some(address) = self.serve_first(bound) else {
            return;
        };
        while self.next_order() == ThreadOrder::Crash && self.recover(address) {}
    }

    fn serve_first(&mut self, bound: &mpsc::Sender<io::Result<SocketAddr>>) -> Option<SocketAddr> {
        let runtime = self.runtime()?;
        match runtime.block_on(async { listen(self.options.listen) }) {
            Ok((listener, address)) => {
                bound.send(Ok(address)).ok()?;
                self.serve(&runtime, listener);
                Some(address)
            }
            Err(error) => {
                // The caller that waits for this message also receives the error.
                let _ = bound.send(Err(error));
                None
            }
        }
    }

    /// Serves again after the down time; returns false if that is not possible or not wanted.
    fn recover(&mut self, address: SocketAddr) -> bool {
        let CrashMode::Soft(down) = self.options.crash else {
            return false;
        };
        let Some(runtime) = self.runtime() else {
            return false;
        };
        if runtime.block_on(self.is_stopped_within(down)) {
            return false;
        }
        let Ok(listener) = runtime.block_on(listen_again(address)) else {
            eprintln!("upstream: cannot listen on {address} again");
            return false;
        };
        self.state.restart();
        self.orders.send_if_modified(|order| {
            let crashed = *order == ThreadOrder::Crash;
            if crashed {
                *order = ThreadOrder::Serve;
            }
            crashed
        });
        self.serve(&runtime, listener);
        true
    }

    /// Serves until an order ends it. The connections end with the runtime, which the caller drops.
    fn serve(&mut self, runtime: &Runtime, listener: TcpListener) {
        let mut server = Server::new(self.service.clone()).http1_only();
        server.http1_config().set_keep_alive(true);
        let incoming = BackoffIncoming::new(listener);
        let receiver = &mut self.receiver;
        runtime.block_on(async move {
            tokio::select! {
                _ = receiver.wait_for(|order| *order != ThreadOrder::Serve) => {}
                _ = server.run(incoming) => {}
            }
        });
    }

    fn next_order(&self) -> ThreadOrder {
        *self.receiver.borrow()
    }

    async fn is_stopped_within(&mut self, time: Duration) -> bool {
        let stop = self.receiver.wait_for(|order| *order == ThreadOrder::Stop);
        tokio::time::timeout(time, stop).await.is_ok()
    }

    fn runtime(&self) -> Option<Runtime> {
        let mut builder = if self.options.threads > 1 {
            Builder::new_multi_thread()
        } else {
            Builder::new_current_thread()
        };
        builder
            .worker_threads(self.options.threads.max(1))
            .enable_all()
            .build()
            .ok()
    }
}

fn listen(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    let end = Instant::now() + REBIND_LIMIT;
    loop {
        match listen(address) {
            Ok((listener, _)) => return Ok(listener),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}
