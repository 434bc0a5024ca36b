//! The demand that an instance reports, by which the instances divide requests over the regions.

use prost::Message;

/// The demand of the sender's callers for the upstreams of one pool, as far as it may run in the same regions.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DemandReport {
    /// The short hash of the pool's name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The regions where the requests may run, one bit each in the order in which the settings name them; all bits if they
    /// may run everywhere.
    #[prost(fixed64, tag = "2")]
    pub regions: u64,
    /// The slots that the requests would occupy if all were served, in thousandths of a slot.
    #[prost(uint32, tag = "3")]
    pub slots_milli: u32,
}
