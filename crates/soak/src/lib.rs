//! A randomized soak of the daemons on stand-ins of the platform.
//!
//! [`run_soak`] starts a store, upstreams behind relays and daemons as processes, injects faults that a seed draws, lets
//! callers send requests all the while, and checks what callers and upstreams saw. The same seed draws the same faults;
//! their effect depends on the machine's timing too.

mod soak_callers;
mod soak_faults;
mod soak_fleet;
mod soak_judge;
mod soak_run;

pub use soak_judge::BrokenPromise;
pub use soak_run::{SoakError, SoakPlan, SoakReport, run_soak};
