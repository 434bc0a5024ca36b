//! The heartbeat datagram that entry instances send one another several times a second.

use prost::Message;

use crate::capacity_messages::CapacityReport;
use crate::demand_messages::DemandReport;
use crate::load_messages::StatedLoad;
use crate::queue_messages::PoolQueue;
use crate::spent_messages::{KnownSuspect, SuspectStep};

/// The state of one entry instance on which decisions of the other instances depend.
#[derive(Clone, PartialEq, Message)]
pub struct FleetHeartbeat {
    /// The name of the instance that sends the heartbeat.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// A number that differs for each start of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The sequence number of the sender's heartbeats, so that one that arrives after a newer one is ignored.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The address on which the sender accepts requests of callers.
    #[prost(string, tag = "4")]
    pub entry_address: String,
    /// The name of the sender's failure domain.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Whether the sender accepts requests of callers.
    #[prost(bool, tag = "6")]
    pub is_open: bool,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "7")]
    pub is_leaving: bool,
    /// The version of the sender's routing plan; zero if it has none.
    #[prost(uint64, tag = "8")]
    pub plan_version: u64,
    /// The milliseconds since the sender last had confirmation that its plan is the newest; `None` without a plan.
    #[prost(uint32, optional, tag = "9")]
    pub plan_age_ms: Option<u32>,
    /// Whether the sender reaches the store itself.
    #[prost(bool, tag = "10")]
    pub reaches_store: bool,
    /// The requests that the sender has in flight, by upstream.
    #[prost(message, repeated, tag = "11")]
    pub loads: Vec<UpstreamLoad>,
    /// The usage of client accounts: those whose usage has changed, and a rotating subset of the others.
    #[prost(message, repeated, tag = "12")]
    pub accounts: Vec<AccountUsage>,
    /// The upstreams to which the sender has sent requests for objects since its last heartbeat.
    #[prost(message, repeated, tag = "13")]
    pub objects: Vec<ObjectPlacement>,
    /// The number of the last heartbeat that the sender has received from the receiver, for measuring the round trip;
    /// zero if it has received none.
    #[prost(uint64, tag = "14")]
    pub echo_number: u64,
    /// The microseconds between the receipt of the heartbeat `echo_number` and the sending of this one.
    #[prost(uint32, tag = "15")]
    pub echo_held_us: u32,
    /// The milliseconds for which the sender has read the list of upstreams without a failure.
    #[prost(uint32, tag = "17")]
    pub store_steady_ms: u32,
    /// The store's revision of the newest change to the registered upstreams that has reached the sender.
    #[prost(uint64, tag = "18")]
    pub upstreams_revision: u64,
    /// The store's revision of the newest change to the evacuated failure domains that has reached the sender.
    #[prost(uint64, tag = "19")]
    pub evacuations_revision: u64,
    /// The store's revision of the newest change to the registered entry instances that has reached the sender.
    #[prost(uint64, tag = "20")]
    pub instances_revision: u64,
    /// The number of object kinds for which the sender's last call to the store failed. The configuration is one kind,
    /// and all lists together are another.
    #[prost(uint32, tag = "21")]
    pub failing_kinds: u32,
    /// The requests that the sender had in flight at upstreams that crashed.
    #[prost(message, repeated, tag = "16")]
    pub crashes: Vec<CrashSuspect>,
    /// A rotating subset of the upstreams that state a rate limit, or did so until recently.
    #[prost(message, repeated, tag = "22")]
    pub limits: Vec<StatedLimit>,
    /// What the datagram is for; replies and acknowledgements leave out most of the state.
    #[prost(enumeration = "HeartbeatStep", tag = "23")]
    pub step: i32,
    /// Heartbeats of instances in other failure domains that the sender passes on.
    #[prost(message, repeated, tag = "24")]
    pub relayed: Vec<FleetHeartbeat>,
    /// The failure domains none of whose instances reaches the store, as the sender knows.
    #[prost(message, repeated, tag = "25")]
    pub outages: Vec<DomainOutage>,
    /// Changes of the lists in the store that the sender has watched, in the order in which it received them.
    #[prost(message, repeated, tag = "26")]
    pub changes: Vec<ListChanges>,
    /// The load reports that the sender has received since its last heartbeat, the newest of each upstream.
    #[prost(message, repeated, tag = "28")]
    pub load_reports: Vec<StatedLoad>,
    /// The queues of the sender for the pools whose upstreams state the cost of work; idle pools are left out.
    #[prost(message, repeated, tag = "29")]
    pub queues: Vec<PoolQueue>,
    /// The demand of the sender's callers for pools that are divided by demand.
    #[prost(message, repeated, tag = "30")]
    pub demands: Vec<DemandReport>,
    /// The newest era of the store that the sender knows; zero if the store states none. The revisions of the lists are
    /// of this era.
    #[prost(uint64, tag = "32")]
    pub store_era: u64,
    /// The milliseconds since the era is known to have begun.
    #[prost(uint32, tag = "35")]
    pub store_era_age_ms: u32,
    /// The requests that crash upstreams, in an answer to [`SuspectStep::Question`].
    #[prost(message, repeated, tag = "27")]
    pub suspects: Vec<KnownSuspect>,
    /// Whether the sender asks for these requests or answers such a question.
    #[prost(enumeration = "SuspectStep", tag = "33")]
    pub suspect_step: i32,
    /// The number of crashes of requests that the sender has reported since its start.
    #[prost(uint32, tag = "34")]
    pub reported_crashes: u32,
    /// What the sender has and uses; `None` if its settings do not state it.
    #[prost(message, optional, tag = "31")]
    pub capacity: Option<CapacityReport>,
}

/// The changes of one list in the store between two of its revisions.
#[derive(Clone, PartialEq, Message)]
pub struct ListChanges {
    /// The list.
    #[prost(enumeration = "ListKind", tag = "1")]
    pub list: i32,
    /// The revision after which the changes begin.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// The revision up to which the changes are complete.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The changed objects.
    #[prost(message, repeated, tag = "4")]
    pub objects: Vec<ChangedObject>,
    /// The names of the objects that have changed and cannot be read.
    #[prost(string, repeated, tag = "5")]
    pub unreadable: Vec<String>,
    /// The era of the revisions.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// A list that few instances watch for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ListKind {
    /// The registered upstreams.
    Upstreams = 0,
    /// The evacuated failure domains.
    Evacuations = 1,
    /// The registered entry instances.
    Instances = 2,
}

/// An object of the store after a change.
#[derive(Clone, PartialEq, Message)]
pub struct ChangedObject {
    /// The name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The store's revision of the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the object was removed.
    #[prost(bool, tag = "3")]
    pub is_removed: bool,
    /// Whether the object is about to be removed.
    #[prost(bool, tag = "4")]
    pub is_deletion_pending: bool,
    /// The intended state in JSON.
    #[prost(bytes = "vec", tag = "5")]
    pub spec: Vec<u8>,
    /// The observed state in JSON.
    #[prost(bytes = "vec", tag = "6")]
    pub status: Vec<u8>,
}

/// The purpose of a datagram between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum HeartbeatStep {
    /// A heartbeat to an instance of the same failure domain, or to any one in a full mesh.
    Regular = 0,
    /// A heartbeat to an instance of another failure domain, which passes it on to its domain and replies.
    Relay = 1,
    /// The reply to a heartbeat from another failure domain. It proves to its receiver that the sender is not
    /// suspended, and has a number that the receiver echoes.
    Reply = 2,
    /// The answer to a reply, which proves the same in the other direction.
    Acknowledgement = 3,
}

/// A failure domain none of whose instances reached the store.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DomainOutage {
    /// The hash of the domain's name.
    #[prost(fixed64, tag = "1")]
    pub domain: u64,
    /// The milliseconds since the time for which this is known.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// What an upstream last stated about its rate limit, and the demand at the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatedLimit {
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// The limit in thousandths of a request per second; zero if the newest answer stated none.
    #[prost(uint32, tag = "2")]
    pub limit_milli: u32,
    /// The milliseconds since the newest answer that the sender knows of.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// The rate of requests at the sender for which the upstream was a candidate, in thousandths of a request per second.
    #[prost(uint32, tag = "4")]
    pub demand_milli: u32,
}

/// The requests that the sender has in flight at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLoad {
    /// The short hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// The number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
}

/// The requests of one client account at the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AccountUsage {
    /// The hash of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The number of requests admitted since the sender's start.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// The rate of requests that callers sent, admitted or not, in thousandths of a request per second.
    #[prost(uint32, tag = "3")]
    pub demand_milli: u32,
}

/// An object and the upstream to which a request for it was sent.
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
