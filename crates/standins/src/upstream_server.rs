//! Server of upstream stand-ins, each with its own thread and runtime.
//!
//! A crash drops the runtime of one upstream, which closes its listener and all its connections.
//! `Server::run` of `volo-http` installs handlers for SIGINT, SIGTERM and SIGHUP. A program that runs upstreams must
//! therefore handle these signals itself in order to end.

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
use crate::upstream_crash::{CrashMode, CrashSwitch, ThreadCommand};
use crate::upstream_service::UpstreamService;
use crate::upstream_state::{SequenceCounter, UpstreamProfile, UpstreamState};

const LISTEN_BACKLOG: u32 = 1024;
const REBIND_TIMEOUT: Duration = Duration::from_secs(10);
const REBIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings of an upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// Name, slots and work times of the upstream.
    pub profile: UpstreamProfile,
    /// Address to listen on. With port 0, the system chooses a port.
    pub listen: SocketAddr,
    /// Effect of a crash.
    pub crash: CrashMode,
    /// Number of threads that serve requests; 0 counts as 1.
    pub threads: usize,
}

/// Reason why an upstream stand-in could not start.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The upstream cannot listen on its address.
    #[error("upstream {name}: cannot listen on {address}: {source}")]
    Listen {
        /// Name of the upstream.
        name: String,
        /// Address to listen on.
        address: SocketAddr,
        /// I/O error of the system.
        source: io::Error,
    },
    /// The thread or its runtime could not be started.
    #[error("upstream {name}: cannot start a thread: {source}")]
    Thread {
        /// Name of the upstream.
        name: String,
        /// I/O error of the system.
        source: io::Error,
    },
}

/// A running upstream stand-in. Dropping the handle stops the upstream and joins its thread.
#[derive(Debug)]
pub struct UpstreamHandle {
    address: SocketAddr,
    state: Arc<UpstreamState>,
    switch: CrashSwitch,
    commands: watch::Sender<ThreadCommand>,
    thread: Option<JoinHandle<()>>,
}

impl UpstreamHandle {
    /// Starts an upstream and waits until it listens. Starts and ends of requests are numbered by `sequence`.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cannot listen on its address or its thread cannot be started.
    pub fn start(
        options: UpstreamOptions,
        sequence: SequenceCounter,
    ) -> Result<Self, UpstreamError> {
        let state = Arc::new(UpstreamState::new(options.profile.clone(), sequence));
        let (commands, receiver) = watch::channel(ThreadCommand::Serve);
        let switch = CrashSwitch::new(options.crash, commands.clone());
        let (bound, bound_receiver) = mpsc::channel();
        let name = options.profile.name.clone();
        let listen = options.listen;
        let worker = UpstreamThread {
            options,
            service: UpstreamService::new(state.clone(), switch.clone()),
            state: state.clone(),
            commands: commands.clone(),
            receiver,
        };
        let thread = std::thread::Builder::new()
            .name(format!("upstream-{name}"))
            .spawn(move || worker.run(&bound))
            .map_err(|source| thread_error(&name, source))?;
        let address = match bound_receiver.recv() {
            Ok(result) => result.map_err(|source| UpstreamError::Listen {
                name,
                address: listen,
                source,
            })?,
            Err(_) => {
                return Err(thread_error(
                    &name,
                    io::Error::other("the runtime could not be created"),
                ));
            }
        };
        Ok(Self {
            address,
            state,
            switch,
            commands,
            thread: Some(thread),
        })
    }

    /// Returns the address that the upstream listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state of the upstream, which contains the record of its requests.
    #[must_use]
    pub fn state(&self) -> &Arc<UpstreamState> {
        &self.state
    }

    /// Crashes the upstream, as a request with the crash mark does.
    pub fn crash(&self) {
        self.switch.crash();
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.commands.send_replace(ThreadCommand::Stop);
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked. The panic message is already on standard error.
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

/// State owned by the thread of an upstream.
struct UpstreamThread {
    options: UpstreamOptions,
    service: UpstreamService,
    state: Arc<UpstreamState>,
    commands: watch::Sender<ThreadCommand>,
    receiver: watch::Receiver<ThreadCommand>,
}

impl UpstreamThread {
    fn run(mut self, bound: &mpsc::Sender<io::Result<SocketAddr>>) {
        let Some(address) = self.serve_first(bound) else {
            return;
        };
        while self.current_command() == ThreadCommand::Crash && self.recover(address) {}
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
                // The send fails only if the caller, which would return the error, no longer waits for it.
                let _ = bound.send(Err(error));
                None
            }
        }
    }

    /// Serves again after the time of [`CrashMode::Soft`]. Returns false if the upstream is stopped or cannot listen
    /// again.
    fn recover(&mut self, address: SocketAddr) -> bool {
        let CrashMode::Soft(down_time) = self.options.crash else {
            return false;
        };
        let Some(runtime) = self.runtime() else {
            return false;
        };
        if runtime.block_on(self.is_stopped_within(down_time)) {
            return false;
        }
        let Ok(listener) = runtime.block_on(listen_again(address)) else {
            eprintln!("upstream: cannot listen on {address} again");
            return false;
        };
        self.state.restart();
        self.commands.send_if_modified(|command| {
            let is_crashed = *command == ThreadCommand::Crash;
            if is_crashed {
                *command = ThreadCommand::Serve;
            }
            is_crashed
        });
        self.serve(&runtime, listener);
        true
    }

    /// Serves until a command to crash or stop. The connections close when the caller drops the runtime.
    fn serve(&mut self, runtime: &Runtime, listener: TcpListener) {
        let mut server = Server::new(self.service.clone()).http1_only();
        server.http1_config().set_keep_alive(true);
        let incoming = BackoffIncoming::new(listener);
        let receiver = &mut self.receiver;
        runtime.block_on(async move {
            tokio::select! {
                _ = receiver.wait_for(|command| *command != ThreadCommand::Serve) => {}
                _ = server.run(incoming) => {}
            }
        });
    }

    fn current_command(&self) -> ThreadCommand {
        *self.receiver.borrow()
    }

    async fn is_stopped_within(&mut self, time: Duration) -> bool {
        let stop = self
            .receiver
            .wait_for(|command| *command == ThreadCommand::Stop);
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
    let deadline = Instant::now() + REBIND_TIMEOUT;
    loop {
        match listen(address) {
            Ok((listener, _)) => return Ok(listener),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => tokio::time::sleep(REBIND_RETRY_DELAY).await,
        }
    }
}
