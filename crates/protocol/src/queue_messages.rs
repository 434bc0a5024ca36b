//! What waits for the pools at an entry instance.

use prost::Message;

/// The queue of one pool at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct PoolQueue {
    /// The short hash of the pool's name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The waiting requests by rank.
    #[prost(message, repeated, tag = "2")]
    pub ranks: Vec<RankQueue>,
    /// The milliseconds for which the oldest of them has waited.
    #[prost(uint32, tag = "3")]
    pub oldest_wait_ms: u32,
    /// The completed requests in thousandths of a request per second.
    #[prost(uint32, tag = "4")]
    pub completed_milli: u32,
    /// The upstreams for which most of them wait because few suit them.
    #[prost(message, repeated, tag = "5")]
    pub upstreams: Vec<UpstreamQueue>,
}

/// The waiting requests of one rank.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RankQueue {
    /// The rank; zero is the most urgent.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// The number of waiting requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
}

/// The waiting requests that few upstreams suit, at one of them.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UpstreamQueue {
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// The waiting requests in thousandths. A request that several upstreams suit counts at each with its part.
    #[prost(uint32, tag = "2")]
    pub waiting_milli: u32,
}
