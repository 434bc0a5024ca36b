//! Crashes of the upstream stand-in that a request orders by a mark.

use std::time::Duration;

use tokio::sync::watch;

/// The exit code of a process that a request crashed.
pub const CRASH_EXIT_CODE: i32 = 70;

const MARK: &[u8] = b"X-Crash: yes";
const MARK_WINDOW_BYTES: usize = 4096;

/// What a crash does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// It ends the process.
    Hard,
    /// It closes the listener and all connections of one upstream for this time.
    Soft(Duration),
}

/// What the thread of an upstream is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThreadOrder {
    /// It serves.
    Serve,
    /// It drops its listener and connections, and serves again later.
    Crash,
    /// It drops its listener and connections and ends.
    Stop,
}

/// Crashes one upstream.
#[derive(Debug, Clone)]
pub struct CrashSwitch {
    mode: CrashMode,
    orders: watch::Sender<ThreadOrder>,
}

impl CrashSwitch {
    /// Makes a switch that gives its order to the thread of an upstream.
    #[must_use]
    pub fn new(mode: CrashMode, orders: watch::Sender<ThreadOrder>) -> Self {
        Self { mode, orders }
    }

    /// Crashes the upstream. Does not return with [`CrashMode::Hard`].
    pub fn crash(&self) {
        match self.mode {
            CrashMode::Hard => std::process::exit(CRASH_EXIT_CODE),
            CrashMode::Soft(_) => self.orders.send_if_modified(|order| {
                let serves = *order == ThreadOrder::Serve;
                if serves {
                    *order = ThreadOrder::Crash;
                }
                serves
            }),
        };
    }
}

/// Looks for the crash mark in the first 4 KiB of a body, also across its parts.
#[derive(Debug, Default)]
pub struct CrashMark {
    window: Vec<u8>,
}

impl CrashMark {
    /// Tells whether the mark is in the body with this further part.
    pub fn is_seen_with(&mut self, part: &[u8]) -> bool {
        let room = MARK_WINDOW_BYTES - self.window.len();
        if room == 0 {
            return false;
        }
        self.window.extend_from_slice(&part[..part.len().min(room)]);
        self.window.windows(MARK.len()).any(|part| part == MARK)
    }
}
