//! What the control thread is told by request threads, peers and the platform.

use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ConfigSource, CrashReport, LoadReport, ProbeResult, SuspectFingerprint,
};
use coltsfootkeel_model::{ConfigVersion, FindingList, FleetConfig};
use coltsfootkeel_platform::{InstanceEntry, LoadedConfig, StoredManifest, StoredSeat};
use coltsfootkeel_protocol::{PeerBody, SeatAnswer};
use tokio::sync::oneshot;

use crate::admin_control::AdminQuery;
use crate::peer_client::PeerEvent;
use crate::peer_server::PeerSender;
use crate::state_dump::StateDump;

/// A document that was fetched and checked on another thread.
#[derive(Debug)]
pub struct FetchedDocument {
    /// Where it came from.
    pub source: ConfigSource,
    /// Its version.
    pub version: ConfigVersion,
    /// The manifest and the text.
    pub loaded: Arc<LoadedConfig>,
    /// The checked configuration, or its faults.
    pub checked: Result<FleetConfig, FindingList>,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A peer connected or disconnected.
    Peer(PeerEvent),
    /// A peer sent a message.
    Message {
        /// The peer.
        sender: PeerSender,
        /// The message.
        body: PeerBody,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<PeerBody>>,
    },
    /// A peer granted a loan.
    Granted {
        /// The incarnation of the lender.
        lender: u64,
        /// The grant.
        grant: coltsfootkeel_protocol::LoanGrant,
    },
    /// The platform was asked for its manifest at the given time and answered.
    Manifest {
        /// When the question was sent.
        asked: MonotonicTime,
        /// The manifest, or nothing before the first commit.
        stored: Option<Box<StoredManifest>>,
    },
    /// The platform did not answer.
    PlatformFailed,
    /// A document was fetched.
    Document(Box<FetchedDocument>),
    /// A fetch ended without a document.
    FetchFailed(ConfigVersion),
    /// The platform's list of instances.
    Instances(Vec<InstanceEntry>),
    /// What the platform says about a seat.
    Seat(SeatNews),
    /// A request's upstream crashed.
    Crash {
        /// The crash and the request.
        report: CrashReport,
        /// Answered when request threads see the crash in the table of suspects.
        published: oneshot::Sender<()>,
    },
    /// A request that is like a suspect was answered in full.
    Success(SuspectFingerprint),
    /// An upstream was seen leaving.
    UpstreamDraining(String),
    /// An upstream answered a probe, or did not.
    Probe {
        /// The upstream.
        upstream: String,
        /// The result of the health endpoint.
        result: ProbeResult,
        /// The result of the load endpoint.
        load: Option<LoadReport>,
    },
    /// Somebody wants a dump of the state.
    Dump(oneshot::Sender<StateDump>),
    /// The administration API asks.
    Admin(AdminQuery),
    /// The process is stopping: tell peers, leave the look-up.
    Leave,
    /// The process has stopped taking requests: release the seat, then answer.
    Release(oneshot::Sender<()>),
}

/// What the platform or a peer says about a seat.
#[derive(Debug)]
pub enum SeatNews {
    /// The seat was read.
    Read {
        /// The name of the seat.
        seat: String,
        /// What the platform holds.
        stored: StoredSeat,
    },
    /// A seat could not be read.
    ReadFailed,
    /// A claim of this instance took effect.
    Claimed {
        /// What the platform holds now.
        stored: StoredSeat,
    },
    /// A claim did not take effect and will not.
    ClaimLost,
    /// It cannot be told whether a claim took effect.
    ClaimUnknown,
    /// The holder's rewrite of its seat ended.
    Rewritten {
        /// The number of the confirmation.
        round: u64,
        /// What the platform holds now.
        stored: StoredSeat,
        /// Whether this instance still holds the seat.
        is_own: bool,
    },
    /// A peer answered a probe.
    Answered {
        /// The incarnation of the peer.
        peer: u64,
        /// The answer.
        answer: SeatAnswer,
    },
    /// The seat was released.
    Released,
}
