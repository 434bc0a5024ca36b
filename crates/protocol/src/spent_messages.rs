//! What an instance that has started is told by the others.

use prost::Message;

/// A request that crashed upstreams, as an instance knows it.
#[derive(Clone, PartialEq, Message)]
pub struct KnownSuspect {
    /// The fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The short hashes of the ids of the upstreams that crashed.
    #[prost(fixed32, repeated, tag = "2")]
    pub upstreams: Vec<u32>,
    /// The milliseconds since the last crash.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// The part of a message in the exchange of requests that crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SuspectStep {
    /// The message has no part in it.
    Unrelated = 0,
    /// The sender has started and asks the receiver for these requests.
    Question = 1,
    /// The answer of an instance that knows them as well as it can.
    Answer = 2,
    /// The answer of an instance that has started as well and has not been told yet.
    UnawareAnswer = 3,
}
