//! The inner protocol: the messages that daemons exchange, and their framing.
//!
//! A connection carries [`PeerFrame`]s, each after a length prefix. The first frame in each direction is a
//! [`HelloMessage`]. Instances of `coltsfootkeel-entry` exchange [`FleetHeartbeat`] datagrams instead. No message
//! carries a point in time, only durations, because the clocks of two daemons cannot be compared.
//!
//! ```
//! use bytes::BytesMut;
//! use coltsfootkeel_protocol::{FrameCodec, PeerBody, PeerFrame, SeatProbe};
//! use tokio_util::codec::{Decoder, Encoder};
//!
//! let probe = SeatProbe { seat: "penang-a-1".to_string(), incarnation: 7, round: 0 };
//! let frame = PeerFrame::new(1, PeerBody::SeatProbe(probe));
//! let mut bytes = BytesMut::new();
//! let mut codec = FrameCodec::new();
//! codec.encode(frame.clone(), &mut bytes).unwrap();
//! assert_eq!(codec.decode(&mut bytes).unwrap(), Some(frame));
//! ```

mod capacity_messages;
mod demand_messages;
mod fleet_heartbeat;
mod frame_codec;
mod load_messages;
mod messages;
mod queue_messages;
mod spent_messages;

pub use capacity_messages::CapacityReport;
pub use demand_messages::DemandReport;
pub use fleet_heartbeat::{
    AccountUsage, ChangedObject, CrashSuspect, DomainOutage, FleetHeartbeat, HeartbeatStep,
    ListChanges, ListKind, ObjectPlacement, StatedLimit, UpstreamLoad,
};
pub use frame_codec::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub use load_messages::StatedLoad;
pub use messages::{
    AnswerHeader, ConfigPull, ConfigPush, CrashNumber, DrainNotice, HeartbeatMessage, HelloMessage,
    LimitKind, LoanGrant, LoanRequest, LoanReturn, PeerBody, PeerFrame, ReplayBegin, ReplayFinish,
    ReplayOutcome, ReplayVerdict, SeatAnswer, SeatProbe, SuspectClearance, SuspectNotice,
};
pub use queue_messages::{PoolQueue, RankQueue, UpstreamQueue};
pub use spent_messages::{KnownSuspect, SuspectStep};
