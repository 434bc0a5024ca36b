//! Random faults. They overlap: a fault lasts until another fault of its kind replaces it, a recovery step removes it,
//! or the run ends.

use std::time::Duration;

use coltsfootkeel_standins::{RelayFlow, RelayMode, StoreMode, UpstreamFault};
use fastrand::Rng;
use nix::sys::signal::Signal;

use crate::soak_fleet::SoakFleet;
use crate::soak_run::SoakError;

/// Range of the pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Bound of the delay that a relay adds, in milliseconds.
const MAX_RELAY_DELAY_MS: u64 = 300;

/// Injects one random fault, restarts daemons that have ended, and returns the description of the fault for the report.
pub async fn inject_fault(fleet: &mut SoakFleet, rng: &mut Rng) -> Result<String, SoakError> {
    let instance = rng.usize(..fleet.instances.len());
    let upstream = rng.usize(..fleet.upstreams.len());
    let description = match rng.u8(..11) {
        0 => {
            let modes = [
                StoreMode::Up,
                StoreMode::Up,
                StoreMode::Unavailable,
                StoreMode::Unresponsive,
                StoreMode::LoseWriteAnswers,
            ];
            let mode = modes[rng.usize(..modes.len())];
            fleet.store.set_mode(mode);
            format!("store {mode:?}")
        }
        1 => {
            fleet.store.compact_history();
            "store discards its change history".to_string()
        }
        2 => {
            let mode = draw_relay_mode(rng);
            fleet.instances[instance].store_relay.set(mode).await;
            format!("network path from entry-{instance} to the store {mode:?}")
        }
        3 => {
            let mode = draw_relay_mode(rng);
            fleet.upstreams[upstream].relay.set(mode).await;
            format!("network path to u-{upstream} {mode:?}")
        }
        4 => {
            let faults = [
                UpstreamFault::None,
                UpstreamFault::None,
                UpstreamFault::RejectAll,
                UpstreamFault::CloseBeforeAnswer,
                UpstreamFault::NeverAnswer,
                UpstreamFault::WrongAttemptId,
                UpstreamFault::MissingSignature,
            ];
            let fault = faults[rng.usize(..faults.len())];
            fleet.upstreams[upstream].upstream.set_fault(fault);
            format!("u-{upstream} {fault:?}")
        }
        5 => {
            let states = ["ready", "draining"];
            let state = states[rng.usize(..states.len())];
            let is_accepted = fleet.store.accepts_writes();
            if is_accepted {
                fleet.register(upstream, state);
            }
            format!("u-{upstream} registers as {state}, accepted: {is_accepted}")
        }
        6 => {
            let is_granted = !fleet.is_key_granted();
            // The store stand-in accepts no withdrawal while it is unavailable to all daemons.
            let is_accepted = fleet.store.accepts_writes();
            if is_accepted {
                fleet.write_config(is_granted);
            }
            format!("changing key granted: {is_granted}, accepted: {is_accepted}")
        }
        7 => {
            let signal = if fleet.instances[instance].is_paused {
                Signal::SIGCONT
            } else {
                Signal::SIGSTOP
            };
            fleet.signal(instance, signal);
            format!("entry-{instance} {signal}")
        }
        8 => {
            fleet.signal(instance, Signal::SIGKILL);
            format!("entry-{instance} SIGKILL")
        }
        9 => {
            fleet.signal(instance, Signal::SIGTERM);
            format!("entry-{instance} SIGTERM")
        }
        _ => {
            fleet.signal(instance, Signal::SIGCONT);
            fleet.instances[instance]
                .store_relay
                .set(RelayMode::PASS)
                .await;
            fleet.upstreams[upstream].relay.set(RelayMode::PASS).await;
            format!("network paths of entry-{instance} and u-{upstream} restored")
        }
    };
    fleet.restart_ended()?;
    Ok(description)
}

/// Silences the open connections of a random instance to the store, of all instances, or to a random upstream, in one of
/// a few calls, and returns the description of the fault for the report. New connections work.
pub fn silence_connections(fleet: &SoakFleet, rng: &mut Rng) -> Option<String> {
    let instance = rng.usize(..fleet.instances.len());
    let upstream = rng.usize(..fleet.upstreams.len());
    match rng.u8(..12) {
        0 => {
            fleet.instances[instance].store_relay.silence_connections();
            Some(format!(
                "connections of entry-{instance} to the store silent"
            ))
        }
        1 => {
            for instance in &fleet.instances {
                instance.store_relay.silence_connections();
            }
            Some("connections of all instances to the store silent".to_string())
        }
        2 => {
            fleet.upstreams[upstream].relay.silence_connections();
            Some(format!("connections to u-{upstream} silent"))
        }
        _ => None,
    }
}

fn draw_relay_mode(rng: &mut Rng) -> RelayMode {
    let delay = RelayFlow::Delay(Duration::from_millis(rng.u64(1..MAX_RELAY_DELAY_MS)));
    let modes = [
        RelayMode::PASS,
        RelayMode::Closed,
        RelayMode::BLACKHOLE,
        RelayMode::both(delay),
        RelayMode::Open {
            to_target: RelayFlow::Pass,
            to_caller: RelayFlow::Hold,
        },
    ];
    modes[rng.usize(..modes.len())]
}

/// Draws the pause before the next fault from `rng`.
pub fn draw_fault_pause(rng: &mut Rng) -> Duration {
    Duration::from_millis(rng.u64(FAULT_PAUSE_MS))
}
