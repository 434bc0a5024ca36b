//! The signals by which the platform controls the process.
//!
//! Load pattern: the platform stops a process, or names new settings, in the moment in which it starts. Until a handler
//! is installed such a signal ends the process, so signals are held back from the first statement of the program on.

use std::io;

use nix::sys::signal::{SigSet, Signal as SignalNumber};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that have handlers.
fn handled_signals() -> SigSet {
    [
        SignalNumber::SIGTERM,
        SignalNumber::SIGINT,
        SignalNumber::SIGHUP,
    ]
    .into_iter()
    .collect()
}

/// Holds signals back until the daemon installs their handlers. Call it on the main thread before any other
/// thread exists.
///
/// # Errors
///
/// Returns an error if the signal mask cannot be changed.
pub fn hold_signals() -> io::Result<()> {
    handled_signals().thread_block().map_err(io::Error::from)
}

/// Installs the handlers. Signals that were held back are received next.
///
/// # Errors
///
/// Returns an error if a handler cannot be installed.
pub(crate) fn listen_for_signals() -> io::Result<(StopSignals, ReloadSignal)> {
    let stop_signals = StopSignals {
        terminate: signal(SignalKind::terminate())?,
        interrupt: signal(SignalKind::interrupt())?,
    };
    let reload_signal = ReloadSignal {
        hang_up: signal(SignalKind::hangup())?,
    };
    handled_signals().thread_unblock()?;
    Ok((stop_signals, reload_signal))
}

/// The signals that stop the process.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Waits for one of the signals.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The signal that the settings file has changed.
#[derive(Debug)]
pub(crate) struct ReloadSignal {
    hang_up: Signal,
}

impl ReloadSignal {
    /// Waits for the signal.
    pub(crate) async fn received(&mut self) {
        self.hang_up.recv().await;
    }
}
