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

use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Version};
use hyper::body::{Body as _, Incoming};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::caller_connection::{
    ConnectionEnd, close_connection, drive_connection, wait_between_requests,
};
use crate::read_ahead::{EarlyAnswer, ReadAheadLimits};
use crate::request_head::keeps_connection;
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

/// What happened to requests that were started before their turn on their connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlyEvent {
    /// Requests were started.
    Started,
    /// An answer was ready before its turn.
    Held,
    /// Requests were ended because their connection has ended.
    TakenBack,
}

/// Answers the HTTP requests that a listener receives.
pub trait HttpService: Send + Sync + 'static {
    /// Answers a request that arrived from the address `peer`.
    fn call(&self, peer: SocketAddr, request: Request) -> impl Future<Output = Response> + Send;

    /// Returns how much of a connection is read while an answer is outstanding; `None` if each request starts only after
    /// the previous one is answered.
    fn read_ahead_limits(&self) -> Option<ReadAheadLimits> {
        None
    }

    /// Returns whether a request may start although `started` others before it on its connection, besides the running
    /// one, have been started and not answered. An answer before it may close the connection: it is then ended, and its
    /// caller sends it again.
    fn may_start_early(&self, _head: &Parts, _started: usize) -> bool {
        false
    }

    /// Returns whether connections are closed after their last started request is answered.
    fn closes_connections(&self) -> bool {
        false
    }

    /// Records what happened to `_count` requests that were started before their turn.
    fn record_early(&self, _event: EarlyEvent, _count: usize) {}
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
    let stream = SharedStream::new(stream, service.read_ahead_limits());
    let connection_service = ConnectionService {
        service: Arc::clone(&service),
        peer,
        stream: stream.clone(),
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream.clone()), connection_service);
    let mut connection = Box::pin(connection);
    let start_early = || start_early_requests(&stream, &service, peer);
    let end = tokio::select! {
        end = drive_connection(connection.as_mut(), &stream, start_early) => end,
        () = wait_until_stoppable(&token, &stream) => {
            connection.as_mut().graceful_shutdown();
            drive_connection(connection.as_mut(), &stream, start_early).await
        }
    };
    // The requests behind the running one end first, so that none of them takes the slot that it releases.
    end_early_requests(&stream, &*service);
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

fn start_early_requests<S: HttpService>(stream: &SharedStream, service: &Arc<S>, peer: SocketAddr) {
    let Some(mut read_ahead) = stream.read_ahead() else {
        return;
    };
    let start = |parts| {
        let service = Arc::clone(service);
        let request = Request::from_parts(parts, Body::empty());
        let answering = async move { service.call(peer, request).await };
        AbortOnDropHandle::new(tokio::spawn(answering))
    };
    let may_start = |head: &Parts, started| service.may_start_early(head, started);
    let count = read_ahead.start_due(may_start, start);
    if count > 0 {
        service.record_early(EarlyEvent::Started, count);
    }
}

fn end_early_requests<S: HttpService>(stream: &SharedStream, service: &S) {
    let count = stream
        .read_ahead()
        .map_or(0, |mut read_ahead| read_ahead.end_all());
    if count > 0 {
        service.record_early(EarlyEvent::TakenBack, count);
    }
}

/// Waits for the answer of a request that was started before its turn.
async fn finish_early<S: HttpService>(answer: EarlyAnswer, service: &S) -> Response {
    if answer.is_finished() {
        service.record_early(EarlyEvent::Held, 1);
    }
    match answer.await {
        Ok(response) => response,
        Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
        // The runtime is shutting down.
        Err(_) => std::future::pending().await,
    }
}

struct ConnectionService<S> {
    service: Arc<S>,
    peer: SocketAddr,
    stream: SharedStream,
}

impl<S: HttpService> ConnectionService<S> {
    /// Tells the stream that the head of `request` was read. Returns the answer that was started for it.
    fn begin_request(&self, request: &hyper::Request<Incoming>) -> Option<EarlyAnswer> {
        self.stream.end_head();
        let mut read_ahead = self.stream.read_ahead()?;
        let is_plain = request.body().is_end_stream()
            && request.version() == Version::HTTP_11
            && keeps_connection(request.headers());
        read_ahead.begin_request(request, is_plain)
    }
}

/// Records that the answer to a request is known, and adds `Connection: close` if it is the last one.
fn end_request<S: HttpService>(service: &S, stream: &SharedStream, response: &mut Response) {
    // The body of the request was received after its head.
    stream.end_head();
    if service.closes_connections() && !stream.has_started_early() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(mut read_ahead) = stream.read_ahead() {
        read_ahead.end_request();
    }
}

impl<S: HttpService> hyper::service::Service<hyper::Request<Incoming>> for ConnectionService<S> {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, request: hyper::Request<Incoming>) -> Self::Future {
        let early_answer = self.begin_request(&request);
        let service = Arc::clone(&self.service);
        let peer = self.peer;
        let stream = self.stream.clone();
        Box::pin(async move {
            let mut response = match early_answer {
                Some(answer) => finish_early(answer, &*service).await,
                None => service.call(peer, request.map(Body::from_incoming)).await,
            };
            end_request(&*service, &stream, &mut response);
            Ok(response)
        })
    }
}
