//! Drives one connection of a caller from the first request to the close.

use std::future::Future;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep, timeout};

use crate::shared_stream::SharedStream;

/// The time between two checks whether a caller has left whose connection the HTTP library does not read.
const DEPARTURE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long bytes of a caller are discarded after the last answer. The answer is on its way in this time, and closing the
/// connection with unread bytes would reset it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The most bytes of a caller that are discarded after the last answer.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;
/// How long a stopping listener waits for the first bytes of a connection. A caller that has just connected is about to
/// send a request.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(200);
/// The time between two checks whether the head of a request is complete while the listener stops.
const INPUT_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// How a connection ended.
#[derive(Debug)]
pub(crate) enum ConnectionEnd<E> {
    /// The HTTP library has ended it.
    Finished(Result<(), E>),
    /// The caller has left before all of its requests were answered.
    Abandoned,
}

/// Polls `connection` until it ends or its caller has left. `start_early` is called after each poll and starts requests
/// that were received before their turn.
pub(crate) async fn drive_connection<E>(
    mut connection: Pin<&mut impl Future<Output = Result<(), E>>>,
    stream: &SharedStream,
    start_early: impl Fn(),
) -> ConnectionEnd<E> {
    let mut next_check: Option<Pin<Box<Sleep>>> = None;
    std::future::poll_fn(|context| {
        stream.clear_awaiting_bytes();
        if let Poll::Ready(result) = connection.as_mut().poll(context) {
            return Poll::Ready(ConnectionEnd::Finished(result));
        }
        start_early();
        if stream.is_awaiting_bytes() {
            next_check = None;
            return Poll::Pending;
        }
        loop {
            let check = next_check.get_or_insert_with(|| Box::pin(sleep(DEPARTURE_CHECK_PERIOD)));
            std::task::ready!(check.as_mut().poll(context));
            if stream.is_closed_by_peer() {
                return Poll::Ready(ConnectionEnd::Abandoned);
            }
            next_check = None;
        }
    })
    .await
}

/// Waits until no request is partly received, and none was started before its turn. The HTTP library closes a connection
/// that waits for a request, also if a part of it has arrived.
pub(crate) async fn wait_between_requests(stream: &SharedStream) {
    let first_bytes = async {
        while !stream.has_received() {
            sleep(INPUT_CHECK_PERIOD).await;
        }
    };
    // A connection without a byte after the timeout is idle.
    let _ = timeout(FIRST_BYTES_TIMEOUT, first_bytes).await;
    while stream.is_within_head() || stream.has_started_early() {
        sleep(INPUT_CHECK_PERIOD).await;
    }
}

/// Closes a connection so that the last answer reaches the caller although further requests of it are unread.
pub(crate) async fn close_connection(stream: SharedStream) {
    if stream.is_closed_by_peer() {
        return;
    }
    let Some(mut stream) = stream.into_inner() else {
        return;
    };
    if stream.shutdown().await.is_ok() {
        // After the timeout the connection is reset.
        let _ = timeout(LINGER_TIMEOUT, pin!(discard_input(&mut stream))).await;
    }
}

async fn discard_input(stream: &mut TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => discarded_bytes += count,
        }
    }
}
