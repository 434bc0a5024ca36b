//! The datagram by which entry instances tell one another of themselves, several times a second.

use prost::Message;

/// A sign of life with everything the other instances decide by.
#[derive(Clone, PartialEq, Message)]
pub struct FleetHeartbeat {
    /// The name of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The number of the sender's start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Counts the sender's messages, so that one that was overtaken is ignored.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The sender's address for callers.
    #[prost(string, tag = "4")]
    pub entry_address: String,
    /// The sender's failure domain.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Whether the sender takes requests of callers.
    #[prost(bool, tag = "6")]
    pub is_open: bool,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "7")]
    pub is_leaving: bool,
    /// The version of the sender's routing plan; zero without one.
    #[prost(uint64, tag = "8")]
    pub plan_version: u64,
    /// Milliseconds since the sender knew that its plan was the newest.
    #[prost(uint32, optional, tag = "9")]
    pub plan_age_ms: Option<u32>,
    /// Whether the sender itself reaches the store.
    #[prost(bool, tag = "10")]
    pub reaches_store: bool,
    /// Requests in flight at upstreams.
    #[prost(message, repeated, tag = "11")]
    pub loads: Vec<UpstreamLoad>,
    /// What was admitted for client accounts of which something has changed, and for some others in turn.
    #[prost(message, repeated, tag = "12")]
    pub accounts: Vec<AccountUsage>,
    /// Where objects were sent since the last message.
    #[prost(message, repeated, tag = "13")]
    pub objects: Vec<ObjectPlacement>,
    /// The number of the receiver's last message, for the round trip.
    #[prost(uint64, tag = "14")]
    pub echo_number: u64,
    /// Microseconds since that message was received.
    #[prost(uint32, tag = "15")]
    pub echo_held_us: u32,
    /// Milliseconds for which the sender has read the list of upstreams without a failure.
    #[prost(uint32, tag = "17")]
    pub store_steady_ms: u32,
    /// The store's revision of the newest change of the upstreams that the sender knows of.
    #[prost(uint64, tag = "18")]
    pub upstreams_revision: u64,
    /// The same of the failure domains that are emptied.
    #[prost(uint64, tag = "19")]
    pub evacuations_revision: u64,
    /// The same of the registered instances.
    #[prost(uint64, tag = "20")]
    pub instances_revision: u64,
    /// Kinds of objects of which the sender's last call to the store failed: the configuration, and the lists together.
    #[prost(uint32, tag = "21")]
    pub failing_kinds: u32,
    /// Fingerprints of requests that were running on upstreams when they crashed.
    #[prost(message, repeated, tag = "16")]
    pub crashes: Vec<CrashSuspect>,
}

/// Requests in flight at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLoad {
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
}

/// What the sender admitted for one client account.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AccountUsage {
    /// The hash of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Requests admitted since the sender's start.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// Requests asked for, in thousandths a second.
    #[prost(uint32, tag = "3")]
    pub demand_milli: u32,
}

/// An object that was sent to an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectPlacement {
    /// The hash of the object.
    #[prost(fixed64, tag = "1")]
    pub object: u64,
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "2")]
    pub upstream: u32,
}

/// A request that was running on an upstream when it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct CrashSuspect {
    /// The fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "2")]
    pub upstream: u32,
}
