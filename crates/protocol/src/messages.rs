//! The messages that daemons exchange over connections.
//!
//! The types are written by hand with the derive macros of `prost`, so that the build needs no
//! `protoc`. Field numbers are never reused.

use prost::{Enumeration, Message, Oneof};

/// A message with the number that matches a reply to its request.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The number of the request, assigned by its sender and repeated in the reply; zero if no reply is expected.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// The message; `None` if the receiver does not support its kind.
    #[prost(
        oneof = "PeerBody",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub body: Option<PeerBody>,
}

impl PeerFrame {
    /// Creates a frame that carries `body`.
    #[must_use]
    pub fn new(request: u64, body: PeerBody) -> Self {
        Self {
            request,
            body: Some(body),
        }
    }
}

/// A message, by its kind.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Identifies the sender, in the first frame of each direction.
    #[prost(message, tag = "2")]
    Hello(HelloMessage),
    /// Reports the sender's state at regular intervals.
    #[prost(message, tag = "3")]
    Heartbeat(HeartbeatMessage),
    /// Requests a loan from the holder of another seat.
    #[prost(message, tag = "4")]
    LoanRequest(LoanRequest),
    /// Grants a loan, which may be empty.
    #[prost(message, tag = "5")]
    LoanGrant(LoanGrant),
    /// Returns a loan before its lifetime ends.
    #[prost(message, tag = "6")]
    LoanReturn(LoanReturn),
    /// Requests a part of a newer configuration.
    #[prost(message, tag = "7")]
    ConfigPull(ConfigPull),
    /// Carries a part of a configuration.
    #[prost(message, tag = "8")]
    ConfigPush(ConfigPush),
    /// Queries whether the receiver holds or has claimed a seat.
    #[prost(message, tag = "9")]
    SeatProbe(SeatProbe),
    /// Answers a probe of a seat.
    #[prost(message, tag = "10")]
    SeatAnswer(SeatAnswer),
    /// Requests permission to run a request from the owner of its idempotency key.
    #[prost(message, tag = "11")]
    ReplayBegin(ReplayBegin),
    /// Permits the run of a request, or reports why it may not run.
    #[prost(message, tag = "12")]
    ReplayVerdict(ReplayVerdict),
    /// Reports to the owner of an idempotency key how its request ended.
    #[prost(message, tag = "13")]
    ReplayFinish(ReplayFinish),
    /// Reports the requests that were running on an upstream when it crashed.
    #[prost(message, tag = "14")]
    SuspectNotice(SuspectNotice),
    /// Reports that an upstream starts or stops draining.
    #[prost(message, tag = "15")]
    DrainNotice(DrainNotice),
    /// Reports that a request did not cause crashes.
    #[prost(message, tag = "16")]
    SuspectClearance(SuspectClearance),
}

/// Identifies the daemon at one end of a connection.
#[derive(Clone, PartialEq, Message)]
pub struct HelloMessage {
    /// The SHA-256 digest of the fleet's token, without which a connection is refused.
    #[prost(bytes = "vec", tag = "1")]
    pub token_digest: Vec<u8>,
    /// The name of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// A number that differs for each start of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The name of the sender's failure domain.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// The address on which the sender takes requests of callers.
    #[prost(string, tag = "5")]
    pub entry_address: String,
    /// The address on which the sender accepts connections of other daemons.
    #[prost(string, tag = "6")]
    pub peer_address: String,
}

/// The sender's state, sent to every peer at regular intervals.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// The generation of the configuration in force at the sender.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The digest of that configuration's document.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The names of the seats that the sender holds.
    #[prost(string, repeated, tag = "3")]
    pub seats: Vec<String>,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The milliseconds since the platform last confirmed the sender's configuration, to the sender or to a peer that
    /// reported it; `u64::MAX` if unknown.
    #[prost(uint64, tag = "5")]
    pub config_age_ms: u64,
    /// Whether the platform answered the sender's last call.
    #[prost(bool, tag = "6")]
    pub platform_reached: bool,
    /// The number of requests in flight at the sender.
    #[prost(uint32, tag = "7")]
    pub in_flight: u32,
    /// The fraction of the sender's capacity that is free, in percent.
    #[prost(uint32, tag = "8")]
    pub headroom_percent: u32,
    /// The addresses of the sender and of the daemons that it has discovered, so that new instances discover them.
    #[prost(string, repeated, tag = "9")]
    pub known_peers: Vec<String>,
    /// The incarnation of the sender, so that a restart is detected on an old connection.
    #[prost(uint64, tag = "10")]
    pub incarnation: u64,
    /// Whether the sender has reached the platform itself since it started or was last paused.
    #[prost(bool, tag = "11")]
    pub platform_contact: bool,
}

/// The kind of limit of which a fraction is lent.
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

/// Requests a loan of a fraction of a limit.
#[derive(Clone, PartialEq, Message)]
pub struct LoanRequest {
    /// The number of this request, unique within the borrower's incarnation.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// The number of the first request for the loan that this request renews; the same as `loan` in a first request.
    #[prost(uint64, tag = "2")]
    pub line: u64,
    /// The kind of limit, a [`LimitKind`].
    #[prost(enumeration = "LimitKind", tag = "3")]
    pub kind: i32,
    /// The name of the account, upstream or shift.
    #[prost(string, tag = "4")]
    pub name: String,
    /// The requested rate in milli-tokens per second, or the requested number of slots.
    #[prost(int64, tag = "5")]
    pub amount: i64,
    /// The requested burst in milli-tokens.
    #[prost(int64, tag = "6")]
    pub burst: i64,
    /// The lifetime of the loan in milliseconds, counted from the sending of this request.
    #[prost(uint64, tag = "7")]
    pub life_ms: u64,
}

/// Answers a [`LoanRequest`]. A loan of zero is a refusal.
#[derive(Clone, PartialEq, Message)]
pub struct LoanGrant {
    /// The number of the request, from [`LoanRequest::loan`].
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// The kind of limit, a [`LimitKind`].
    #[prost(enumeration = "LimitKind", tag = "2")]
    pub kind: i32,
    /// The granted rate in milli-tokens per second, or the granted number of slots.
    #[prost(int64, tag = "3")]
    pub amount: i64,
    /// The granted burst in milli-tokens.
    #[prost(int64, tag = "4")]
    pub burst: i64,
    /// The tokens that move to the borrower with the grant, in milli-tokens.
    #[prost(int64, tag = "5")]
    pub tokens: i64,
}

/// Returns a loan before its lifetime ends.
#[derive(Clone, PartialEq, Message)]
pub struct LoanReturn {
    /// The number of the first request for the loan, from [`LoanRequest::line`].
    #[prost(uint64, tag = "1")]
    pub line: u64,
    /// The kind of limit, a [`LimitKind`].
    #[prost(enumeration = "LimitKind", tag = "2")]
    pub kind: i32,
    /// The name of the account, upstream or shift.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The unused tokens that move back to the lender, in milli-tokens.
    #[prost(int64, tag = "4")]
    pub tokens: i64,
}

/// Requests one part of the configuration in force at the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPull {
    /// The requested generation.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The index of the requested part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}

/// Carries one part of a configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPush {
    /// The generation in force at the sender. The part is empty if another one was requested.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The index of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// The number of parts of the configuration.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The bytes of this part. A part may end within a character.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
    /// The manifest of the generation in the platform's form, in the first part only.
    #[prost(string, tag = "5")]
    pub manifest: String,
}

/// Queries whether the receiver holds or has claimed a seat. A holder that answers is live.
#[derive(Clone, PartialEq, Message)]
pub struct SeatProbe {
    /// The name of the seat.
    #[prost(string, tag = "1")]
    pub seat: String,
    /// The incarnation of the holder to which the probe refers.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the confirmation that the sender, a holder, collects; zero from a claimant. The answer repeats it.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Answers a [`SeatProbe`].
#[derive(Clone, PartialEq, Message)]
pub struct SeatAnswer {
    /// The name of the seat.
    #[prost(string, tag = "1")]
    pub seat: String,
    /// Whether the sender holds the seat.
    #[prost(bool, tag = "2")]
    pub held: bool,
    /// Whether the sender has claimed, or may have claimed, the seat from the holder named in the probe.
    #[prost(bool, tag = "3")]
    pub claimed: bool,
    /// The number from [`SeatProbe::round`].
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Requests permission to run a request from the owner of its idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct ReplayBegin {
    /// The name of the client account to which the key belongs.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// A digest of the method, the path with its query and a body that was read completely, so that one key is not used
    /// for two different requests.
    #[prost(uint64, tag = "3")]
    pub request_digest: u64,
    /// The milliseconds until the request's deadline.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
}

/// Whether a request with an idempotency key may run, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum ReplayOutcome {
    /// The key is new: the requesting instance may run the request once.
    Run = 0,
    /// The first request with this key has not ended.
    InProgress = 1,
    /// It is unknown whether the first request with this key ran.
    Unknown = 2,
    /// The first request with this key has ended, and the message contains its answer.
    Answered = 3,
    /// The first request with this key has ended, and its answer was too large to keep.
    AnswerNotKept = 4,
    /// The key was used for a different request.
    Mismatch = 5,
    /// The owner's memory for keys is full.
    Full = 6,
    /// The owner has transferred its records to another instance and accepts no new keys.
    HandedOver = 7,
}

/// A header of an answer that is kept for repeats of its request.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHeader {
    /// The header's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The header's value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Answers a [`ReplayBegin`].
#[derive(Clone, PartialEq, Message)]
pub struct ReplayVerdict {
    /// Whether the request may run, a [`ReplayOutcome`].
    #[prost(enumeration = "ReplayOutcome", tag = "1")]
    pub outcome: i32,
    /// The HTTP status of the kept answer; zero without one.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers of the kept answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<AnswerHeader>,
    /// The body of the kept answer.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// The incarnation of the instance that permits the run.
    #[prost(uint64, tag = "5")]
    pub ticket_incarnation: u64,
    /// The number of the permission, unique within that incarnation.
    #[prost(uint64, tag = "6")]
    pub ticket_number: u64,
}

/// Reports to the owner of an idempotency key how its request ended.
#[derive(Clone, PartialEq, Message)]
pub struct ReplayFinish {
    /// The name of the client account to which the key belongs.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// How the request ended: `Answered`, `AnswerNotKept` or `Unknown`. `Run` means that it did not run, so the key is
    /// free again.
    #[prost(enumeration = "ReplayOutcome", tag = "3")]
    pub outcome: i32,
    /// The HTTP status of the answer.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// The headers of the answer.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<AnswerHeader>,
    /// The body of the answer.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
    /// The incarnation of the instance that permitted the run.
    #[prost(uint64, tag = "7")]
    pub ticket_incarnation: u64,
    /// The number of the permission, unique within that incarnation.
    #[prost(uint64, tag = "8")]
    pub ticket_number: u64,
}

/// Reports the requests that were running on an upstream when it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectNotice {
    /// The crash; `None` only in a malformed message.
    #[prost(message, optional, tag = "1")]
    pub crash: Option<CrashNumber>,
    /// The fingerprints of the requests, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub fingerprints: Vec<Vec<u8>>,
}

/// Identifies a crash of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CrashNumber {
    /// The name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The number of the crash, unique among all instances.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Reports that a request did not cause crashes, because a request with the same fingerprint succeeded.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectClearance {
    /// The fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// The crashes that the request did not cause.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashNumber>,
}

/// Reports that an upstream starts or stops draining.
#[derive(Clone, PartialEq, Message)]
pub struct DrainNotice {
    /// The name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Whether the upstream is draining; `false` if it takes new requests again.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
}
