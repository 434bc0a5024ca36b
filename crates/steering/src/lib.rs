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
//!     cost_factor: 1.0,
//! };
//! let decision = request.choose([candidate("warm", true), candidate("other", false)].into_iter());
//! assert_eq!(decision.map(|decision| decision.key), Some("warm"));
//! ```

mod atomic_time;
mod fleet;
mod hashing;
mod limits;
mod load;
mod lookup;
mod placement;
mod plan;
mod queue;
mod raw_plan;
mod recovery;
mod regions;
mod upstream_record;

pub use atomic_time::AtomicTime;
pub use fleet::domain_silence::{DomainSilence, HeardInstance};
pub use fleet::heartbeat_routes::{HeartbeatPeer, HeartbeatPeriods, select_relays};
pub use fleet::peer_contacts::PeerContacts;
pub use hashing::{combine_hashes, stable_hash};
pub use limits::limit_sharers::sharing_instances;
pub use limits::limit_table::{LimitReport, LimitTable, SendingInstance};
pub use limits::quota_bucket::{QuotaBucket, QuotaExcess, QuotaLimit, QuotaReport};
pub use limits::quota_budget::QuotaBudget;
pub use limits::rate_limit::{
    InvalidRate, LimitStatement, RateLimit, UpstreamLimit, UpstreamSignals,
};
pub use limits::rate_share::{InstanceDemand, limited_send_interval};
pub use limits::retry_budget::{RetryBudget, RetryLimit};
pub use limits::sharer_sizes::SharerSizes;
pub use load::cold_pacing::cold_send_interval;
pub use load::load_report::{InvalidReport, LoadReport, RawLoadReport};
pub use load::load_view::LoadView;
pub use load::reported_load::{CostExposure, PredictedTimes, ReportedLoad, TimedReport};
pub use load::service_times::{AverageTime, ServiceTimes, TimeEstimate};
pub use load::upstream_state::{AttemptOutcome, UpstreamInfo, UpstreamState};
pub use lookup::handed_out::HandedOut;
pub use lookup::instance_capacity::{
    InstanceCapacity, InstanceRoom, InstanceUsage, InstanceWeight, weigh_instances,
};
pub use lookup::known_instances::{KnownInstance, NameableInstances, nameable_instances};
pub use lookup::load_correction::LoadCorrection;
pub use lookup::lookup_selection::{InstanceView, LookupQuery, select_instances, select_weighted};
pub use lookup::usage_meter::{AverageUsage, UsageMeter, UsageReading};
pub use placement::affinity_table::{
    AffinityEntry, AffinityPartition, AffinityTable, RecentUpstreams, short_hash,
};
pub use placement::cache_estimator::{CacheEstimator, RecentObjects};
pub use placement::placement_decision::{PlacementDecision, PlacementReason};
pub use placement::placement_request::{PlacementRequest, UpstreamCandidate};
pub use placement::room_forecast::{ForecastCandidate, UpstreamRoom, expected_turn, may_have_turn};
pub use placement::spill_budget::SpillBudget;
pub use plan::{
    AccountPlan, KeyDigest, PlanMatch, PoolPlan, RoutePlan, SteeringPlan, WeightedPool,
};
pub use queue::account_queues::{QueuedRequest, RequestClass};
pub use queue::competing_requests::{CompetingRequests, UpstreamSet, ahead_of_all};
pub use queue::early_start::{EarlyRequest, MAX_EARLY_BYTES, MAX_EARLY_REQUESTS};
pub use queue::expected_room::{
    CompletionRate, QueueLoad, ReturnSchedule, longest_hold, turn_time, wait_until,
};
pub use queue::fair_queue::{FairQueue, QueueSummary, QueueTicket};
pub use queue::rank_shares::RankShares;
pub use queue::request_queue::{
    QueuePosition, RequestQueue, max_queue_wait, queue_priority, retry_after,
};
pub use raw_plan::{
    CallerLimits, RawAccount, RawPlan, RawPool, RawRoute, RawTarget, RouteKind, UnreadableParts,
    UnreadableRoute,
};
pub use recovery::crash_reports::{CrashReports, ReportCount};
pub use recovery::crash_table::{CrashTable, CrashedRequest, MAX_STORED_REQUESTS, StoredRequest};
pub use recovery::evacuation_list::EvacuationList;
pub use recovery::outage_evidence::OutageEvidence;
pub use recovery::plan_freshness::PlanFreshness;
pub use recovery::planned_stop::{GraceTimes, StoppingRequest};
pub use recovery::store_eras::{
    ERA_SETTLING_PERIOD, EraChange, EraProgress, KnownPlans, PlacedReport, ReportOrder, StoredPlan,
};
pub use recovery::store_position::{PositionRange, StorePosition, replaces_list};
pub use recovery::store_probe::{ProbeTurn, StoreProbe};
pub use recovery::store_readers::{ReaderCandidate, reader_rank, spread_wait};
pub use recovery::suspect_inquiry::{InquiryEnd, SuspectInquiry};
pub use regions::demand_division::{DemandDivision, divide_demand};
pub use regions::demand_table::{DemandTable, InstanceReport, PoolDemand, RegionRoom};
pub use regions::even_shares::RegionSize;
pub use regions::offered_work::{OfferedTotal, OfferedWork};
pub use regions::region_spread::{RegionLoad, RegionSpread, SpreadInput};
pub use regions::topology::{FailureDomain, FleetTopology, MAX_REGIONS, RegionSet, TopologyError};
pub use upstream_record::{UpstreamPhase, UpstreamRecord};
