//! What the control thread is told.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_adapter::{ObjectEvent, ObjectKind, ObjectList};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::FleetHeartbeat;

/// An event.
#[derive(Debug)]
pub enum ControlEvent {
    /// All objects of a kind were listed.
    Listed {
        /// The kind.
        kind: ObjectKind,
        /// The objects.
        list: ObjectList,
        /// When the list was asked for, suspension included.
        requested_at: MonotonicTime,
        /// For how long the kind could not be read before.
        outage: Duration,
        /// Whether the kind was listed before, so that there may be changes that nobody saw.
        is_repeated: bool,
    },
    /// A watch returned.
    Changed {
        /// The kind.
        kind: ObjectKind,
        /// The changes; none if the wait was over.
        events: Vec<ObjectEvent>,
        /// The store's revision of the answer.
        revision: u64,
        /// A time up to which nothing else changed, suspension included.
        current_as_of: MonotonicTime,
    },
    /// Another instance sent a message.
    Heartbeat {
        /// The message.
        message: Box<FleetHeartbeat>,
        /// Where it came from.
        from: SocketAddr,
    },
    /// A health check of an upstream has ended.
    Checked {
        /// The id of the upstream.
        upstream: String,
        /// How long it stays cold, if it answered that it is well.
        cold_for: Option<Duration>,
    },
    /// A request was answered whose fingerprint was remembered as a crash.
    SuspectAnswered {
        /// The fingerprint.
        fingerprint: u64,
    },
    /// The process was told to stop.
    Shutdown,
}
