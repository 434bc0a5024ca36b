//! Writes log lines by a thread of its own, so that no request waits for the reader of the log.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Lines that may wait to be written. At a few hundred bytes a line it bounds the memory to about one megabyte.
const MAX_WAITING: usize = 4_000;

/// Lines that were dropped since the last one was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The sending half of the queue.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<String>,
}

impl LogQueue {
    /// Starts the writing thread. Without one, all lines are dropped and counted.
    pub fn start() -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        let writer = thread::Builder::new().name("log".to_string());
        if let Err(error) = writer.spawn(move || write_lines(&waiting)) {
            eprintln!("log: The writing thread cannot be started: {error}.");
        }
        Self { lines }
    }

    /// Hands a line to the writing thread, or drops it.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(waiting: &Receiver<String>) {
    let mut output = std::io::stdout().lock();
    while let Ok(first) = waiting.recv() {
        let mut text = first;
        text.push('\n');
        for line in waiting.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{{\"message\":\"log: Lines were dropped.\",\"dropped\":{dropped}}}"
            );
        }
        // The reader of the log is gone; nobody is left to tell.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
    }
}
