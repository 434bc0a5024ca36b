//! Parsing and validation of the fleet configuration.
//!
//! A YAML or JSON document is read into a [`RawFleet`], in which each value carries its source
//! location. A [`RawFleet`] without faults is converted into a [`FleetConfig`], in which each
//! reference is a small `Copy` key into an arena, so that code which uses it needs no further
//! checks. All faults of a document are collected and reported together.
//!
//! ```
//! use coltsfootkeel_model::FleetConfig;
//!
//! let text = "regions: [{name: penang, failure_domains: [penang-a]}]\nseats: []\n";
//! let findings = FleetConfig::parse("fleet.yaml", text).unwrap_err();
//! assert!(findings.to_string().contains("fleet.yaml:2:8: seats: expected at least one seat"));
//! ```

mod access_table;
mod arena;
mod block_table;
mod document;
mod findings;
mod fleet;
mod fleet_check;
mod fleet_diff;
mod generation;
mod keys;
mod raw_fleet;
mod raw_reader;
mod raw_records;
mod route_table;

pub use access_table::{AccessDigest, AccessGrant, AccessTable};
pub use arena::{Arena, ArenaKey};
pub use block_table::{BlockParseError, BlockTable, ClientBlock};
pub use document::{DocumentReader, MappingReader};
pub use findings::{Finding, FindingList, Located, SourceLocation};
pub use fleet::{
    AccountRecord, DepartmentRecord, DomainRecord, DrainSet, FleetConfig, IsolationMode,
    IsolationRule, LinkRecord, LinkTable, PoolRecord, PriorityClass, RegionRecord, RouteRecord,
    SeatRecord, ShiftCap, ShiftRecord, ShiftState, SiteRecord, UpstreamRecord,
};
pub use fleet_diff::{ChangeKind, RecordChange, fleet_diff};
pub use generation::{ConfigVersion, ContentDigest, GenerationNumber};
pub use keys::{
    AccountKey, DepartmentKey, DomainKey, PoolKey, RegionKey, RouteKey, SeatKey, ShiftKey, SiteKey,
    UpstreamKey,
};
pub use raw_fleet::{
    DrainKind, RawAccess, RawAccount, RawBlock, RawCap, RawDepartment, RawDrain, RawFleet,
    RawIsolation, RawLink, RawPool, RawRegion, RawRoute, RawSeat, RawShift, RawSite, RawUpstream,
};
pub use route_table::RouteTable;
