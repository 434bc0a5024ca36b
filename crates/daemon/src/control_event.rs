//! Events that request threads, peer connections and platform calls send to the control thread.

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
    /// The source that the document was fetched from.
    pub source: ConfigSource,
    /// The version in the manifest of the document.
    pub version: ConfigVersion,
    /// The manifest and the text of the document.
    pub loaded: Arc<LoadedConfig>,
    /// The parsed configuration, or the findings of the checks that failed.
    pub checked: Result<FleetConfig, FindingList>,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A peer connected or disconnected.
    Peer(PeerEvent),
    /// A peer sent a message.
    Message {
        /// The peer that sent the message.
        sender: PeerSender,
        /// The message.
        body: PeerBody,
        /// Receives the answer, or `None` for a message without one.
        reply: oneshot::Sender<Option<PeerBody>>,
    },
    /// A peer answered a loan request.
    LoanGranted {
        /// The incarnation of the lender.
        lender: u64,
        /// The grant.
        grant: coltsfootkeel_protocol::LoanGrant,
    },
    /// The platform answered a request for its manifest.
    Manifest {
        /// When the request was sent.
        requested_at: MonotonicTime,
        /// The manifest; `None` before the first commit.
        stored: Option<Box<StoredManifest>>,
    },
    /// A call to the platform for the manifest failed.
    PlatformFailed,
    /// A document was fetched and checked.
    Document(Box<FetchedDocument>),
    /// The fetch of this version ended without a document.
    FetchFailed(ConfigVersion),
    /// The platform returned its list of instances.
    Instances(Vec<InstanceEntry>),
    /// The platform or a peer reported on a seat.
    Seat(SeatEvent),
    /// An upstream crashed while it ran a request of this instance.
    Crash {
        /// The crash and the fingerprint of the request.
        report: CrashReport,
        /// Signalled once the crash is in the published table of suspects.
        published: oneshot::Sender<()>,
    },
    /// A request with the fingerprint of a suspect was answered completely.
    SuspectSucceeded(SuspectFingerprint),
    /// An answer of the upstream with this name marks it as draining.
    UpstreamDraining(String),
    /// A probe of an upstream ended.
    Probe {
        /// The name of the upstream.
        upstream: String,
        /// The result of the request to the health endpoint.
        result: ProbeResult,
        /// The load that the load endpoint reported; `None` if the probe received none.
        load: Option<LoadReport>,
    },
    /// The administration API requests a dump of the state.
    Dump(oneshot::Sender<StateDump>),
    /// The administration API requests other state of the control thread.
    Admin(AdminQuery),
    /// The process is stopping: inform the peers, and mark this instance as leaving in look-ups.
    Leave,
    /// The process accepts no more requests: release the seat, then signal the end of the release.
    Release(oneshot::Sender<()>),
}

/// A report of the platform or of a peer on a seat.
#[derive(Debug)]
pub enum SeatEvent {
    /// The seat was read.
    Read {
        /// The name of the seat.
        seat: String,
        /// The state of the seat on the platform.
        stored: StoredSeat,
    },
    /// A seat could not be read.
    ReadFailed,
    /// The claim of this instance took effect.
    Claimed {
        /// The state of the seat on the platform after the update.
        stored: StoredSeat,
    },
    /// The claim of this instance did not and will not take effect.
    ClaimLost,
    /// It is unknown whether the claim of this instance took effect.
    ClaimUnknown,
    /// The platform answered the rewrite with which this instance confirms its seat.
    Rewritten {
        /// The number of the confirmation that the rewrite was sent for.
        round: u64,
        /// The state of the seat on the platform after the update.
        stored: StoredSeat,
        /// Whether this instance still holds the seat.
        is_own: bool,
    },
    /// A peer answered a probe of a seat.
    Answered {
        /// The incarnation of the peer.
        peer: u64,
        /// The answer.
        answer: SeatAnswer,
    },
    /// The release of the seat ended, successfully or not.
    Released,
}
