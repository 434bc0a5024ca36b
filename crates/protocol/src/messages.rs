//! The messages that daemons exchange.
//!
//! The types are written by hand with the derive macros of `prost`, so that the build needs no
//! `protoc`. Field numbers are never reused.

use prost::{Enumeration, Message, Oneof};

/// One message with the number that connects a reply with its request. Zero means "no reply wanted".
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The number of the request, chosen by its sender and repeated in the reply.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The message.
    #[prost(
        oneof = "PeerBody",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub body: Option<PeerBody>,
}

impl PeerFrame {
    /// Makes a frame.
    #[must_use]
    pub fn new(request: u64, body: PeerBody) -> Self {
        Self {
            request,
            body: Some(body),
        }
    }
}

/// The kinds of messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// First frame of a connection.
    #[prost(message, tag = "2")]
    Hello(HelloMessage),
    /// Sign of life with a summary of the sender's state.
    #[prost(message, tag = "3")]
    Heartbeat(HeartbeatMessage),
    /// Asks for a loan.
    #[prost(message, tag = "4")]
    LoanRequest(LoanRequest),
    /// Grants a loan, possibly of nothing.
    #[prost(message, tag = "5")]
    LoanGrant(LoanGrant),
    /// Ends a loan early.
    #[prost(message, tag = "6")]
    LoanReturn(LoanReturn),
    /// Asks for a newer configuration.
    #[prost(message, tag = "7")]
    ConfigPull(ConfigPull),
    /// Carries a part of a configuration.
    #[prost(message, tag = "8")]
    ConfigPush(ConfigPush),
    /// Asks whether a seat's holder is alive.
    #[prost(message, tag = "9")]
    SeatProbe(SeatProbe),
    /// Answers a probe.
    #[prost(message, tag = "10")]
    SeatAnswer(SeatAnswer),
    /// Asks the owner of an idempotency key whether a request may run.
    #[prost(message, tag = "11")]
    ReplayBegin(ReplayBegin),
    /// Answers whether a request may run.
    #[prost(message, tag = "12")]
    ReplayVerdict(ReplayVerdict),
    /// Tells the owner of an idempotency key how its request ended.
    #[prost(message, tag = "13")]
    ReplayFinish(ReplayFinish),
    /// Reports requests that ran on an upstream when it crashed.
    #[prost(message, tag = "14")]
    SuspectNotice(SuspectNotice),
    /// Reports an upstream that is leaving.
    #[prost(message, tag = "15")]
    DrainNotice(DrainNotice),
    /// Reports that a request did not cause crashes.
    #[prost(message, tag = "16")]
    SuspectClearance(SuspectClearance),
}

/// Who is at the other end of a connection.
#[derive(Clone, PartialEq, Message)]
pub struct HelloMessage {
    /// The SHA-256 digest of the fleet's token, so that a stranger is refused.
    #[prost(bytes = "vec", tag = "1")]
    pub token_digest: Vec<u8>,
    /// The name of the instance.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// A number that is new for each start of a process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The name of the failure domain.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// The address callers use.
    #[prost(string, tag = "5")]
    pub entry_address: String,
    /// The address peers use.
    #[prost(string, tag = "6")]
    pub peer_address: String,
}

/// Sign of life.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// The generation in force at the sender.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The digest of its document.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The seats the sender holds.
    #[prost(string, repeated, tag = "3")]
    pub seats: Vec<String>,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The milliseconds since the sender, or a peer it heard, last confirmed its configuration with the platform.
    #[prost(uint64, tag = "5")]
    pub config_age_ms: u64,
    /// Whether the sender reaches the platform itself.
    #[prost(bool, tag = "6")]
    pub platform_reached: bool,
    /// The requests the sender is carrying.
    #[prost(uint32, tag = "7")]
    pub in_flight: u32,
    /// The share of its capacity that is free, in percent.
    #[prost(uint32, tag = "8")]
    pub headroom_percent: u32,
    /// The addresses of other daemons the sender knows, so that a new instance finds them.
    #[prost(string, repeated, tag = "9")]
    pub known_peers: Vec<String>,
    /// The incarnation of the sender, so that a replaced instance is noticed on an old connection.
    #[prost(uint64, tag = "10")]
    pub incarnation: u64,
    /// Whether the sender has reached the platform itself since it started or was last paused.
    #[prost(bool, tag = "11")]
    pub platform_contact: bool,
}

/// What a loan is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum LimitKind {
    /// The rate and burst of a client account.
    AccountRate = 0,
    /// The slots of an upstream.
    UpstreamSlots = 1,
    /// The rate cap of a shift.
    ShiftRate = 2,
}

/// Asks for a loan.
#[derive(Clone, PartialEq, Message)]
pub struct LoanRequest {
    /// The number of the ask, unique for the borrower's incarnation.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// The number of the first ask of the loan that this ask renews, or its own number.
    #[prost(uint64, tag = "2")]
    pub line: u64,
    /// What is asked for.
    #[prost(enumeration = "LimitKind", tag = "3")]
    pub kind: i32,
    /// The name of the account, upstream or shift.
    #[prost(string, tag = "4")]
    pub name: String,
    /// The rate wanted in milli-tokens per second, or the slots wanted.
    #[prost(int64, tag = "5")]
    pub amount: i64,
    /// The burst wanted in milli-tokens.
    #[prost(int64, tag = "6")]
    pub burst: i64,
    /// The life of the loan in milliseconds, counted from when this request was sent.
    #[prost(uint64, tag = "7")]
    pub life_ms: u64,
}

/// Grants a loan.
#[derive(Clone, PartialEq, Message)]
pub struct LoanGrant {
    /// The number of the ask.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// What is granted.
    #[prost(enumeration = "LimitKind", tag = "2")]
    pub kind: i32,
    /// The rate granted in milli-tokens per second, or the slots granted.
    #[prost(int64, tag = "3")]
    pub amount: i64,
    /// The burst granted in milli-tokens.
    #[prost(int64, tag = "4")]
    pub burst: i64,
    /// The tokens handed over at once, in milli-tokens.
    #[prost(int64, tag = "5")]
    pub tokens: i64,
}

/// Ends a loan early.
#[derive(Clone, PartialEq, Message)]
pub struct LoanReturn {
    /// The number of the first ask of the loan.
    #[prost(uint64, tag = "1")]
    pub line: u64,
    /// What is returned.
    #[prost(enumeration = "LimitKind", tag = "2")]
    pub kind: i32,
    /// The name of the account, upstream or shift.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The tokens handed back, in milli-tokens.
    #[prost(int64, tag = "4")]
    pub tokens: i64,
}

/// Asks for one part of the configuration in force at the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPull {
    /// The generation wanted.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The position of the part wanted, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}

/// Carries a part of a configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPush {
    /// The generation in force at the sender; the part is empty if it is not the one wanted.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The position of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// The number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The bytes of this part. A part may end within a character.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
    /// The manifest of the generation as the platform stores it, with the first part only.
    #[prost(string, tag = "5")]
    pub manifest: String,
}

/// Asks whether a seat's holder is alive.
#[derive(Clone, PartialEq, Message)]
pub struct SeatProbe {
    /// The name of the seat.
    #[prost(string, tag = "1")]
    pub seat: String,
    /// The incarnation of the holder the sender has in mind.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the sender's confirmation, repeated in the answer.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Answers a probe.
#[derive(Clone, PartialEq, Message)]
pub struct SeatAnswer {
    /// The name of the seat.
    #[prost(string, tag = "1")]
    pub seat: String,
    /// Whether the sender holds the seat.
    #[prost(bool, tag = "2")]
    pub held: bool,
    /// Whether the sender has claimed the seat, or may have, from the holder in the question.
    #[prost(bool, tag = "3")]
    pub claimed: bool,
    /// The number of the confirmation from the question.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Asks the owner of an idempotency key whether a request may run.
#[derive(Clone, PartialEq, Message)]
pub struct ReplayBegin {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// A digest of method and path, so that one key is not used for two requests.
    #[prost(uint64, tag = "3")]
    pub request_digest: u64,
    /// The milliseconds until the request's deadline.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
}

/// Whether a request with an idempotency key may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum ReplayOutcome {
    /// The key is new: the asking instance may run the request once.
    Run = 0,
    /// The first request with this key has not ended.
    InProgress = 1,
    /// It cannot be told whether the first request ran.
    Unknown = 2,
    /// The first request has ended and its answer is enclosed.
    Answered = 3,
    /// The first request has ended and its answer was too large to keep.
    AnswerNotKept = 4,
    /// The key was used for a different request.
    Mismatch = 5,
    /// The owner has no room to remember the key.
    Full = 6,
    /// The owner has handed its memory over and takes no new key.
    HandedOver = 7,
}

/// A header of a kept answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHeader {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Answers whether a request may run.
#[derive(Clone, PartialEq, Message)]
pub struct ReplayVerdict {
    /// The verdict.
    #[prost(enumeration = "ReplayOutcome", tag = "1")]
    pub outcome: i32,
    /// The status of the kept answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers of the kept answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<AnswerHeader>,
    /// The body of the kept answer.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// The incarnation that permits the run.
    #[prost(uint64, tag = "5")]
    pub ticket_incarnation: u64,
    /// The number of the permission within that incarnation.
    #[prost(uint64, tag = "6")]
    pub ticket_number: u64,
}

/// Tells the owner of an idempotency key how its request ended.
#[derive(Clone, PartialEq, Message)]
pub struct ReplayFinish {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// `Run`: the request did not run and the key is free again. `Answered`, `AnswerNotKept` or `Unknown`: how it ended.
    #[prost(enumeration = "ReplayOutcome", tag = "3")]
    pub outcome: i32,
    /// The status of the answer.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// The headers of the answer.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<AnswerHeader>,
    /// The body of the answer.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
    /// The incarnation that permitted the run.
    #[prost(uint64, tag = "7")]
    pub ticket_incarnation: u64,
    /// The number of the permission within that incarnation.
    #[prost(uint64, tag = "8")]
    pub ticket_number: u64,
}

/// Reports requests that ran on an upstream when it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectNotice {
    /// The crash.
    #[prost(message, optional, tag = "1")]
    pub crash: Option<CrashNumber>,
    /// The fingerprints of the requests, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub fingerprints: Vec<Vec<u8>>,
}

/// One crash of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CrashNumber {
    /// The name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// A number for the crash, unique among all instances.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Reports that a request did not cause crashes, because one like it succeeded.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectClearance {
    /// The fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// The crashes.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashNumber>,
}

/// Reports an upstream that is leaving.
#[derive(Clone, PartialEq, Message)]
pub struct DrainNotice {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Whether it is leaving or has come back.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
}
