//! Stand-ins for the systems around the daemons, for tests, measurements and the first run.

mod instance_list;
mod object_store;
mod paced_incoming;
mod platform_faults;
mod platform_standin;

pub use instance_list::{InstanceDetails, InstanceList, InstanceListing};
pub use object_store::{
    ObjectChange, ObjectListing, ObjectStore, StoreCondition, StoreRefusal, StoredValue,
    VALUE_LIMIT_BYTES,
};
pub use paced_incoming::PacedIncoming;
pub use platform_faults::{CallCounts, CallKind, DownMode, PlatformFaults};
pub use platform_standin::{PlatformOptions, PlatformStandinError, run_platform, serve_platform};
