//! Routing decisions of an entry instance in a fleet whose upstreams and instances change at run time.
//!
//! Each module makes one kind of decision from explicit state and time, and names the load pattern that it addresses.
//! The crate performs no I/O and does not depend on the encoding of messages.
//!
//! # Example
//!
//! All upstreams are full, so the request goes to the one that has the object cached and waits in its queue.
//!
//! ```
//! use std::time::Duration;
//! use coltsfootkeel_steering::{PlacementRequest, TimeEstimate, UpstreamCandidate};
//!
//! let request = PlacementRequest {
//!     slot_time: Duration::from_millis(200),
//!     objective: Duration::from_millis(500),
//!     objective_left: Duration::from_millis(500),
//!     deadline_left: Duration::from_secs(3),
//!     may_migrate: false,
//!     may_change_region: true,
//! };
//! let candidate = |key, is_warm| UpstreamCandidate {
//!     key,
//!     is_warm,
//!     is_assigned_region: true,
//!     is_cache_full: false,
//!     rendezvous_hash: 1,
//!     times: TimeEstimate {
//!         warm: Duration::from_millis(200),
//!         cold: Duration::from_millis(640),
//!     },
//!     in_flight: 9,
//!     slots: 9,
//!     slowness: 1.0,
//! };
//! let decision = request.choose([candidate("warm", true), candidate("other", false)].into_iter());
//! assert_eq!(decision.map(|decision| decision.key), Some("warm"));
//! ```

mod affinity_table;
mod atomic_time;
mod cache_estimator;
mod cold_pacing;
mod crash_table;
mod hashing;
mod heartbeat_routes;
mod limit_table;
mod lookup_selection;
mod outage_evidence;
mod peer_contacts;
mod placement;
mod placement_decision;
mod plan;
mod plan_freshness;
mod planned_stop;
mod quota_bucket;
mod rate_limit;
mod rate_share;
mod raw_plan;
mod region_spread;
mod request_queue;
mod retry_budget;
mod service_times;
mod spill_budget;
mod store_readers;
mod topology;
mod upstream_record;
mod upstream_state;

pub use affinity_table::{
    AffinityEntry, AffinityPartition, AffinityTable, RecentUpstreams, short_hash,
};
pub use atomic_time::AtomicTime;
pub use cache_estimator::{CacheEstimator, RecentObjects};
pub use cold_pacing::{cold_send_interval, pacing_instances};
pub use crash_table::CrashTable;
pub use hashing::{combine_hashes, stable_hash};
pub use heartbeat_routes::{HeartbeatPeer, HeartbeatPeriods, select_relays};
pub use limit_table::{LimitReport, LimitTable, SendingInstance};
pub use lookup_selection::{InstanceView, LookupQuery, select_instances};
pub use outage_evidence::OutageEvidence;
pub use peer_contacts::PeerContacts;
pub use placement::{PlacementRequest, UpstreamCandidate};
pub use placement_decision::{PlacementDecision, PlacementReason};
pub use plan::{
    AccountPlan, KeyDigest, PlanError, PoolPlan, RoutePlan, SteeringPlan, WeightedPool,
};
pub use plan_freshness::PlanFreshness;
pub use planned_stop::{GraceTimes, StoppingRequest};
pub use quota_bucket::{QuotaBucket, QuotaBudget, QuotaExcess, QuotaLimit, QuotaReport};
pub use rate_limit::{InvalidRate, LimitStatement, RateLimit, UpstreamLimit, UpstreamSignals};
pub use rate_share::{InstanceDemand, limited_send_interval};
pub use raw_plan::{CallerLimits, RawAccount, RawPlan, RawPool, RawRoute, RawTarget, RouteKind};
pub use region_spread::{RegionLoad, RegionSpread, SpreadInput};
pub use request_queue::{QueuePosition, RequestQueue, max_queue_wait, queue_priority, retry_after};
pub use retry_budget::{RetryBudget, RetryLimit};
pub use service_times::{AverageTime, ServiceTimes, TimeEstimate};
pub use spill_budget::SpillBudget;
pub use store_readers::{ReaderCandidate, is_store_reader};
pub use topology::{FailureDomain, FleetTopology, MAX_REGIONS, RegionSet, TopologyError};
pub use upstream_record::{UpstreamPhase, UpstreamRecord};
pub use upstream_state::{AttemptOutcome, UpstreamInfo, UpstreamState};
