//! Accepts HTTP connections and serves them with a `volo-http` service.
//!
//! `volo-http`'s own `Server::run` is not used: it installs signal handlers and aborts requests that run
//! longer than about 30 s after SIGTERM, spins when accepting fails, listens with `SO_REUSEPORT`, and does not limit
//! the time in which a caller has to send a request's head.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::caller_connection::{
    ConnectionEnd, close_connection, drive_connection, wait_between_requests,
};
use crate::shared_stream::SharedStream;

/// Delay after a failed accept, so that running out of file descriptors does not keep a core busy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits of a listener's connections and requests.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// The largest number of open connections; further ones stay in the operating system's accept queue.
    pub max_connections: usize,
    /// The time in which a caller has to send the head of a request, and the longest time a connection may be idle.
    pub header_timeout: Duration,
    /// The maximum size of a request head in bytes; a larger one is answered with status 431.
    pub max_head_bytes: usize,
}

/// A handle that stops a listener and waits until its connections are closed.
#[derive(Debug, Clone, Default)]
pub struct ListenerStop {
    token: CancellationToken,
    connections: TaskTracker,
}

impl ListenerStop {
    /// Stops accepting connections and closes idle ones. Requests finish that are running or partly received.
    pub fn stop(&self) {
        self.token.cancel();
        self.connections.close();
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Waits until every connection is closed. Call [`stop`](Self::stop) first.
    pub async fn finished(&self) {
        self.connections.wait().await;
    }
}

/// Answers the HTTP requests that a listener receives.
pub trait HttpService: Send + Sync + 'static {
    /// Answers a request that arrived from the address `peer`.
    fn call(&self, peer: SocketAddr, request: Request) -> impl Future<Output = Response> + Send;
}

/// Answers requests by a `volo-http` router.
#[derive(Clone)]
pub struct RouterService {
    router: Arc<volo_http::server::Router>,
}

impl RouterService {
    /// Creates a service that passes each request to `router`.
    #[must_use]
    pub fn new(router: volo_http::server::Router) -> Self {
        Self {
            router: Arc::new(router),
        }
    }
}

impl HttpService for RouterService {
    async fn call(&self, peer: SocketAddr, request: Request) -> Response {
        let mut context = ServerContext::new(Address::from(peer));
        let Ok(response) = volo::Service::call(&*self.router, &mut context, request).await;
        response
    }
}

/// Accepts and serves connections until the listener is stopped.
///
/// `limits` is called for each connection, because the limits may change while the listener runs. The
/// value of `max_connections` at the start stays in force.
pub async fn serve<S: HttpService>(
    listener: TcpListener,
    service: Arc<S>,
    limits: impl Fn() -> ListenerLimits,
    stop: ListenerStop,
) {
    let permits = Arc::new(Semaphore::new(limits().max_connections));
    loop {
        let accepted = tokio::select! {
            // Connections that are established when the listener stops are still accepted.
            biased;
            accepted = accept(&listener, &permits) => accepted,
            () = stop.token.cancelled() => return,
        };
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("listener: Accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let service = Arc::clone(&service);
        let token = stop.token.clone();
        let limits = limits();
        stop.connections.spawn(async move {
            serve_connection(accepted.stream, accepted.peer, service, limits, token).await;
            drop(accepted.permit);
        });
    }
}

/// An accepted connection and its permit. At most `max_connections` permits exist.
struct AcceptedStream {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<AcceptedStream> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(std::io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok(AcceptedStream {
        stream,
        peer,
        permit,
    })
}

async fn serve_connection<S: HttpService>(
    stream: TcpStream,
    peer: SocketAddr,
    service: Arc<S>,
    limits: ListenerLimits,
    token: CancellationToken,
) {
    let stream = SharedStream::new(stream);
    let service = ConnectionService {
        service,
        peer,
        stream: stream.clone(),
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream.clone()), service);
    let mut connection = Box::pin(connection);
    let end = tokio::select! {
        end = drive_connection(connection.as_mut(), &stream) => end,
        () = wait_until_stoppable(&token, &stream) => {
            connection.as_mut().graceful_shutdown();
            drive_connection(connection.as_mut(), &stream).await
        }
    };
    // Ends a request that is still running, and releases the stream.
    drop(connection);
    match end {
        ConnectionEnd::Finished(Ok(())) => {}
        ConnectionEnd::Finished(Err(error)) => {
            log::debug!("listener: Connection of {peer} ended: {error}");
        }
        ConnectionEnd::Abandoned => {
            log::debug!("listener: {peer} left before all of its requests were answered");
        }
    }
    close_connection(stream).await;
}

/// Waits until the listener stops and the connection has no partly received request.
async fn wait_until_stoppable(token: &CancellationToken, stream: &SharedStream) {
    token.cancelled().await;
    wait_between_requests(stream).await;
}

struct ConnectionService<S> {
    service: Arc<S>,
    peer: SocketAddr,
    stream: SharedStream,
}

impl<S: HttpService> hyper::service::Service<hyper::Request<Incoming>> for ConnectionService<S> {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, request: hyper::Request<Incoming>) -> Self::Future {
        let service = Arc::clone(&self.service);
        let peer = self.peer;
        let stream = self.stream.clone();
        stream.end_head();
        Box::pin(async move {
            let response = service.call(peer, request.map(Body::from_incoming)).await;
            // The body of the request was received after its head.
            stream.end_head();
            Ok(response)
        })
    }
}
