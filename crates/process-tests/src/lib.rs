//! Starts the programs of the workspace as child processes for tests.
//!
//! A [`FleetPlan`] lists the upstreams, accounts, routes and daemons that a test needs. A [`TestFleet`] writes the
//! configuration and settings files, starts the processes, and kills them when it is dropped.

mod fleet_files;
mod fleet_plan;
mod test_fleet;

pub use coltsfootkeel_standins::free_port;
pub use fleet_plan::{FleetPlan, PlannedAccount, PlannedDaemon, PlannedRegion, PlannedUpstream};
pub use test_fleet::{TestFleet, wait_for};
