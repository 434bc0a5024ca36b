//! Faults, drawn by a seed. They come in series and overlap; each ends after a time of its own or with the next one of its
//! kind.

use std::time::Duration;

use coltsfootkeel_standins::{RelayFlow, RelayMode, StoreMode, UpstreamFault};
use fastrand::Rng;
use nix::sys::signal::Signal;

use crate::soak_fleet::SoakFleet;
use crate::soak_run::SoakError;

/// The pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// The longest delay of a relay, in milliseconds.
const LONGEST_DELAY_MS: u64 = 300;

/// Injects one fault and returns its description, for the log of the run.
pub async fn inject(fleet: &mut SoakFleet, draw: &mut Rng) -> Result<String, SoakError> {
    let instance = draw.usize(..fleet.instances.len());
    let upstream = draw.usize(..fleet.upstreams.len());
    let text = match draw.u8(..11) {
        0 => {
            let modes = [
                StoreMode::Up,
                StoreMode::Up,
                StoreMode::Unavailable,
                StoreMode::Unresponsive,
                StoreMode::LoseWriteAnswers,
            ];
            let mode = modes[draw.usize(..modes.len())];
            fleet.store.set_mode(mode);
            format!("store {mode:?}")
        }
        1 => {
            fleet.store.compact_history();
            "store forgets its history".to_string()
        }
        2 => {
            let mode = relay_mode(draw);
            fleet.instances[instance].store.set(mode).await;
            format!("store of entry-{instance} {mode:?}")
        }
        3 => {
            let mode = relay_mode(draw);
            fleet.upstreams[upstream].relay.set(mode).await;
            format!("way to u-{upstream} {mode:?}")
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
            let fault = faults[draw.usize(..faults.len())];
            fleet.upstreams[upstream].upstream.set_fault(fault);
            format!("u-{upstream} {fault:?}")
        }
        5 => {
            let states = ["ready", "draining"];
            let state = states[draw.usize(..states.len())];
            let is_taken = fleet.store.accepts_writes();
            if is_taken {
                fleet.register(upstream, state);
            }
            format!("u-{upstream} says {state}, taken: {is_taken}")
        }
        6 => {
            let is_granted = fleet.withdrawn_at.is_some();
            // A store that is down for all takes no withdrawal either.
            let is_taken = fleet.store.accepts_writes();
            if is_taken {
                fleet.write_plan(is_granted);
            }
            format!("changing key granted: {is_granted}, taken: {is_taken}")
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
            fleet.instances[instance].store.set(RelayMode::PASS).await;
            fleet.upstreams[upstream].relay.set(RelayMode::PASS).await;
            format!("ways of entry-{instance} and u-{upstream} mended")
        }
    };
    fleet.restart_ended()?;
    Ok(text)
}

fn relay_mode(draw: &mut Rng) -> RelayMode {
    let delay = RelayFlow::Delay(Duration::from_millis(draw.u64(1..LONGEST_DELAY_MS)));
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
    modes[draw.usize(..modes.len())]
}

/// Draws the pause until the next fault.
pub fn pause(draw: &mut Rng) -> Duration {
    Duration::from_millis(draw.u64(PAUSE_MS))
}
