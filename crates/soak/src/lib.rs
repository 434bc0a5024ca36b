//! Randomized soak test of the daemons against stand-ins of the platform.
//!
//! [`run_soak`] starts a store, upstreams behind relays, and daemons as child processes. It injects random faults, or
//! only takes planned steps, while callers send requests, and then checks the records of callers and upstreams against
//! the guarantees of the system. A seed always yields the same sequence of faults; their effect also depends on the
//! timing of the machine.

mod planned_work;
mod return_checks;
mod soak_callers;
mod soak_checks;
mod soak_faults;
mod soak_fleet;
mod soak_run;
mod store_returns;

pub use soak_checks::GuaranteeViolation;
pub use soak_run::{SoakError, SoakPlan, SoakProfile, SoakReport, run_soak};
