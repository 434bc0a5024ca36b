//! What an instance has and uses, by which look-ups weigh it.

use prost::Message;

/// The capacity in the sender's settings, and what is in use there.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CapacityReport {
    /// The processors in thousandths of a core.
    #[prost(uint32, tag = "1")]
    pub processors_milli: u32,
    /// The speed of the link in kbit/s.
    #[prost(uint32, tag = "2")]
    pub link_kbps: u32,
    /// The memory in megabytes.
    #[prost(uint32, tag = "3")]
    pub memory_mb: u32,
    /// The number of file descriptors.
    #[prost(uint32, tag = "4")]
    pub descriptors: u32,
    /// The requests of callers in progress.
    #[prost(uint32, tag = "5")]
    pub in_flight: u32,
    /// The used part of the memory for requests in thousandths.
    #[prost(uint32, tag = "6")]
    pub used_milli: u32,
    /// The used part of the processors in thousandths.
    #[prost(uint32, tag = "7")]
    pub processor_milli: u32,
    /// The open connections of callers per connection that may be open, in thousandths.
    #[prost(uint32, tag = "8")]
    pub connection_milli: u32,
    /// The average of the requests of callers in progress in thousandths.
    #[prost(uint32, tag = "9")]
    pub in_flight_milli: u32,
}
