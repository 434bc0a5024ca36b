//! Load reports of upstreams that entry instances pass on to one another.

use prost::Message;

/// What an upstream stated about its load in an answer to the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatedLoad {
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// The number of running requests.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// The number of waiting requests.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// The number of slots.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// The present cost of work in percent.
    #[prost(uint32, tag = "5")]
    pub cost_percent: u32,
    /// The milliseconds since the sender received the answer.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
}
