//! Events that other tasks and request threads send to the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_adapter::{ObjectEvent, ObjectKind, ObjectList};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::FleetHeartbeat;
use coltsfootkeel_steering::{PositionRange, StoredRequest};

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A list call returned all objects of a kind.
    Listed {
        /// The kind that was listed.
        kind: ObjectKind,
        /// The objects and the position of the list.
        list: ObjectList,
        /// When the list was requested, on the clock that includes suspension.
        requested_at: MonotonicTime,
        /// How long reading the kind failed before this list; zero without a failure.
        outage: Duration,
        /// Whether the kind was listed before, so that changes may have been missed in between.
        is_repeated: bool,
    },
    /// A watch call returned.
    Changed {
        /// The kind that was watched.
        kind: ObjectKind,
        /// The changes; empty if the watch ended without one.
        events: Vec<ObjectEvent>,
        /// The names of the objects whose changes cannot be decoded.
        unreadable: Vec<String>,
        /// The positions between which the changes are complete.
        range: PositionRange,
        /// A time up to which there are no other changes, on the clock that includes suspension.
        current_as_of: MonotonicTime,
    },
    /// A heartbeat of another instance was received.
    Heartbeat {
        /// The decoded heartbeat.
        message: Box<FleetHeartbeat>,
        /// The address of its sender.
        from: SocketAddr,
    },
    /// A health check of an upstream has ended.
    Checked {
        /// The id of the upstream.
        upstream: String,
        /// How long the upstream stays cold; `None` if the check failed.
        cold_start_remaining: Option<Duration>,
    },
    /// A request was answered whose fingerprint is in the table of suspected crashes.
    SuspectAnswered {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// An object in the store states that an instance has seen an era when everything was written again.
    EraSettled {
        /// The era.
        era: u64,
    },
    /// The requests were read that the store keeps because they crashed several upstreams.
    RefusedRead {
        /// The requests.
        requests: Vec<StoredRequest>,
    },
    /// The process received a stop signal.
    Shutdown,
}
