//! Random planned work: stops, reloads, departures of upstreams and changes of the configuration, in series and
//! overlapping. Nothing fails meanwhile, so that no request may be lost.

use std::time::Duration;

use fastrand::Rng;
use nix::sys::signal::Signal;

use crate::soak_fleet::SoakFleet;
use crate::soak_run::SoakError;

/// Range of the pause between two steps, in milliseconds. It is often shorter than the grace period of a stop.
const STEP_PAUSE_MS: std::ops::Range<u64> = 10..1_200;
/// Bound of the time between a restart and a signal that follows it, in milliseconds.
const MAX_EARLY_SIGNAL_MS: u64 = 30;

/// Takes one random step, restarts daemons that have ended, and returns the description of the step for the report.
pub async fn take_planned_step(fleet: &mut SoakFleet, rng: &mut Rng) -> Result<String, SoakError> {
    let instance = rng.usize(..fleet.instances.len());
    let description = match rng.u8(..8) {
        0 | 1 => {
            fleet.signal(instance, Signal::SIGTERM);
            format!("entry-{instance} SIGTERM")
        }
        2 => {
            for instance in 0..fleet.instances.len() / 2 {
                fleet.signal(instance, Signal::SIGTERM);
            }
            "SIGTERM to the first half of the daemons".to_string()
        }
        3 => {
            fleet.rewrite_settings(instance)?;
            format!("entry-{instance} gets its settings anew")
        }
        4 | 5 => {
            // The last upstream always stays.
            let upstream = rng.usize(..fleet.upstreams.len() - 1);
            let is_leaving = rng.bool();
            fleet.set_leaving(upstream, is_leaving);
            format!("u-{upstream} leaving: {is_leaving}")
        }
        6 => {
            fleet.write_config(true);
            "a new version of the configuration".to_string()
        }
        _ => {
            let is_granted = !fleet.is_key_granted();
            fleet.write_config(is_granted);
            format!("changing key granted: {is_granted}")
        }
    };
    if fleet.restart_ended()? && rng.bool() {
        tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_EARLY_SIGNAL_MS))).await;
        for instance in 0..fleet.instances.len() {
            fleet.rewrite_settings(instance)?;
        }
    }
    Ok(description)
}

/// Draws the pause before the next step from `rng`.
pub fn draw_step_pause(rng: &mut Rng) -> Duration {
    Duration::from_millis(rng.u64(STEP_PAUSE_MS))
}
