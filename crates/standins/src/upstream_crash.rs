//! Crashes of the upstream stand-in, caused by a mark in the header or the body of a request.

use std::time::Duration;

use tokio::sync::watch;

/// Exit code of a process that ends with [`CrashMode::Hard`].
pub const CRASH_EXIT_CODE: i32 = 70;

const CRASH_MARK: &[u8] = b"X-Crash: yes";
const MAX_SCANNED_BYTES: usize = 4096;

/// Effect of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process.
    Hard,
    /// Closes the listener and all connections of one upstream for this time.
    Soft(Duration),
}

/// Command to the thread of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThreadCommand {
    /// Serve requests.
    Serve,
    /// Close the listener and all connections, and serve again after the time of [`CrashMode::Soft`].
    Crash,
    /// Close the listener and all connections, and end the thread.
    Stop,
}

/// Switch that crashes one upstream.
#[derive(Debug, Clone)]
pub struct CrashSwitch {
    mode: CrashMode,
    commands: watch::Sender<ThreadCommand>,
}

impl CrashSwitch {
    /// Creates a switch that sends its command to the thread of an upstream.
    #[must_use]
    pub fn new(mode: CrashMode, commands: watch::Sender<ThreadCommand>) -> Self {
        Self { mode, commands }
    }

    /// Crashes the upstream. With [`CrashMode::Hard`], the call does not return.
    pub fn crash(&self) {
        match self.mode {
            CrashMode::Hard => std::process::exit(CRASH_EXIT_CODE),
            CrashMode::Soft(_) => self.commands.send_if_modified(|command| {
                let is_serving = *command == ThreadCommand::Serve;
                if is_serving {
                    *command = ThreadCommand::Crash;
                }
                is_serving
            }),
        };
    }
}

/// Scanner that finds the crash mark in the first 4 KiB of a body, also if the mark spans several parts.
#[derive(Debug, Default)]
pub struct CrashMarkScanner {
    scanned: Vec<u8>,
}

impl CrashMarkScanner {
    /// Appends a part of the body and returns whether the body so far contains the mark.
    pub fn has_mark_after(&mut self, part: &[u8]) -> bool {
        let free_bytes = MAX_SCANNED_BYTES - self.scanned.len();
        if free_bytes == 0 {
            return false;
        }
        self.scanned
            .extend_from_slice(&part[..part.len().min(free_bytes)]);
        self.scanned
            .windows(CRASH_MARK.len())
            .any(|part| part == CRASH_MARK)
    }
}
