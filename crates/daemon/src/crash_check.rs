//! Detects whether an upstream that closed a connection in the middle of a request has crashed.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_decisions::{CrashId, CrashReport};
use coltsfootkeel_model::UpstreamKey;
use tokio::sync::oneshot;

use crate::caller_request::CallerBody;
use crate::control_event::ControlEvent;
use crate::request_context::RequestContext;

/// Delays before the connection attempts that show whether an upstream still accepts connections.
const CONNECT_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// Time for one connection attempt. A new connection takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which the request waits until the control thread has published the crash.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(100);

/// Reports the request as a suspect if its upstream no longer accepts connections. Waits until the report is published
/// to request threads, so that the next attempt takes it into account.
pub async fn report_crash(context: &RequestContext, body: &CallerBody, upstream: UpstreamKey) {
    let record = &context.snapshot.config.upstreams[upstream];
    if accepts_connections(record.address).await {
        return;
    }
    let digest = body.fingerprint_digest();
    let (published, acknowledged) = oneshot::channel();
    context.shared.send_event(ControlEvent::Crash {
        report: CrashReport {
            crash: CrashId {
                upstream: record.name.clone(),
                number: fastrand::u64(..),
            },
            fingerprints: vec![context.fingerprint(digest)],
        },
        published,
    });
    let _ = tokio::time::timeout(PUBLISH_TIMEOUT, acknowledged).await;
}

/// Returns whether an upstream accepts a new connection on each attempt. A process that is terminating may accept one
/// more connection before its listener closes, so one success is not conclusive.
async fn accepts_connections(address: SocketAddr) -> bool {
    for delay in CONNECT_DELAYS {
        tokio::time::sleep(delay).await;
        let connect = tokio::net::TcpStream::connect(address);
        if !matches!(
            tokio::time::timeout(CONNECT_TIMEOUT, connect).await,
            Ok(Ok(_))
        ) {
            return false;
        }
    }
    true
}
