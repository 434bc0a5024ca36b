//! Stand-ins for the systems around the daemons, for tests, measurements and the first run.
//!
//! [`UpstreamHandle`] runs an upstream with a fixed number of slots, configurable faults and a record of the requests
//! that it ran. [`call_once`] and [`PersistentConnection`] send an HTTP request and return the stage at which an
//! exchange failed. [`FaultRelay`] is a TCP relay that closes, holds or delays connections between two processes.
//! [`run_load`] and [`run_compare`] measure throughput and latency, and [`RunningFleet`] starts the programs of the
//! workspace for the first run. [`run_experiment`] starts an example fleet for each of its scenarios and prints the
//! results of the callers.
//!
//! [`StoreStandin`], [`SignedUpstream`] and [`EntryInstance`] make up a fleet on the platform: its store,
//! upstreams that register in the store, and entry daemons with the settings that the platform writes.

mod backoff_incoming;
mod child_process;
mod entry_fleet;
mod experiment_fleet;
mod experiment_load;
mod experiment_partition;
mod experiment_plan;
mod experiment_run;
mod experiment_score;
mod experiment_table;
mod fault_plan;
mod fault_relay;
mod fleet_demo;
mod fleet_launch;
mod free_ports;
mod http_call;
mod instance_list;
mod load_compare;
mod load_plan;
mod load_run;
mod load_tally;
mod object_store;
mod pipelined_calls;
mod platform_faults;
mod platform_standin;
mod run_record;
mod signed_upstream;
mod store_standin;
mod upstream_bodies;
mod upstream_crash;
mod upstream_server;
mod upstream_service;
mod upstream_state;

pub use backoff_incoming::BackoffIncoming;
pub use child_process::{ChildProcess, sibling_program};
pub use entry_fleet::{
    EntryAddresses, EntryInstance, EntryOptions, INSTANCE_MEMORY_MB, SHOP_HOST, SHOP_KEY,
    register_upstream, shop_config, shop_request,
};
pub use experiment_fleet::ExperimentError;
pub use experiment_load::{CallOutcome, CallRecord};
pub use experiment_run::{ExperimentOptions, run_experiment};
pub use experiment_score::{CallEvaluation, RecoveryTime, evaluate_calls, recovery_time};
pub use fault_plan::ControlChange;
pub use fault_relay::{FaultRelay, RelayFlow, RelayMode};
pub use fleet_demo::show_requests;
pub use fleet_launch::{FleetError, FleetOptions, RunningFleet, commit_fleet, read_fleet};
pub use free_ports::free_port;
pub use http_call::{CallAnswer, CallError, CallRequest, PersistentConnection, call_once};
pub use instance_list::{InstanceDetails, InstanceList, InstanceListing};
pub use load_compare::{CompareError, ComparePlan, CompareReport, run_compare};
pub use load_plan::{
    AccountMix, LoadBound, LoadLane, LoadPlan, LoadPlanError, MAX_BODY_BYTES, MAX_CONCURRENCY,
    MAX_REQUESTS, MAX_TIME, RawLoad,
};
pub use load_run::run_load;
pub use load_tally::{LaneReport, LatencyReport, LoadReport, LoadTally};
pub use object_store::{
    ObjectChange, ObjectListing, ObjectStore, StoreCondition, StoreRefusal, StoredValue,
    VALUE_LIMIT_BYTES,
};
pub use pipelined_calls::{AnswerReader, PipelinedConnection, encode_request};
pub use platform_faults::{CallCounts, CallKind, DownMode, PlatformFaults};
pub use platform_standin::{PlatformOptions, PlatformStandinError, run_platform, serve_platform};
pub use run_record::{
    DETAIL_LIMIT, RunEnd, RunEntry, RunKey, RunOutcome, RunRecord, RunStart, RunTotals, SlotsFull,
    StartedRun,
};
pub use signed_upstream::{SignedUpstream, UpstreamFault, UpstreamRun};
pub use store_standin::{StoreCopy, StoreMode, StoreStandin};
pub use upstream_crash::{CRASH_EXIT_CODE, CrashMode};
pub use upstream_server::{UpstreamError, UpstreamHandle, UpstreamOptions};
pub use upstream_service::{HealthAnswer, LoadAnswer, RecordAnswer, WorkAnswer};
pub use upstream_state::{SequenceCounter, UpstreamProfile, UpstreamState};
