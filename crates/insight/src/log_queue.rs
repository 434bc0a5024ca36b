//! Writes log lines in a separate thread, so that no request waits for the reader of standard output.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// The largest number of queued lines. At a few hundred bytes a line they take about one megabyte.
const MAX_QUEUED_LINES: usize = 4_000;

/// The number of lines dropped since the last write.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The sending half of the queue of log lines.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<String>,
}

impl LogQueue {
    /// Starts the writing thread. If it cannot be started, all lines are dropped and counted.
    pub fn start() -> Self {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let writer = thread::Builder::new().name("log".to_string());
        if let Err(error) = writer.spawn(move || write_lines(&queued)) {
            eprintln!("log: The writing thread cannot be started, all lines are dropped: {error}.");
        }
        Self { lines }
    }

    /// Queues a line for the writing thread, or drops and counts it if the queue is full.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(queued: &Receiver<String>) {
    let mut output = std::io::stdout().lock();
    while let Ok(first) = queued.recv() {
        let mut text = first;
        text.push('\n');
        for line in queued.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{{\"message\":\"log: Lines were dropped.\",\"dropped\":{dropped}}}"
            );
        }
        // Writing fails only if the reader has closed standard output, so the error cannot be reported.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
    }
}
