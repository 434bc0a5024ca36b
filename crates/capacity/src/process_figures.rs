//! Processor time and memory of processes, from `/proc`.

use std::fs;
use std::hint::black_box;
use std::thread;
use std::time::Duration;

/// Runs of a loop, of which the median counts, because other programs share the machine.
const RUNS: usize = 5;

/// A shorter loop would be disturbed by the sleep before each reading.
const SHORTEST_RUN: Duration = Duration::from_millis(30);

/// The kernel brings the time of a running thread up to date when the thread leaves the processor, and otherwise only
/// every few milliseconds.
const READING_SLEEP: Duration = Duration::from_micros(1);

/// What `/proc` tells about one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessFigures {
    /// User and system time of all its threads.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl ProcessFigures {
    /// Reads the figures of a process, or nothing if it has ended.
    #[must_use]
    pub fn of_process(id: u32) -> Option<Self> {
        let mut processor = Duration::ZERO;
        for task in fs::read_dir(format!("/proc/{id}/task")).ok()? {
            let path = task.ok()?.path().join("schedstat");
            processor += run_time(&fs::read_to_string(path).ok()?);
        }
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        Some(Self {
            processor,
            resident: status_bytes(&status, "VmRSS:"),
        })
    }
}

/// Returns the processor time of the calling thread.
#[must_use]
pub fn processor_time() -> Duration {
    thread::sleep(READING_SLEEP);
    run_time(&fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default())
}

/// Returns the resident memory of this process in bytes.
#[must_use]
pub fn resident_memory() -> u64 {
    status_bytes(&own_status(), "VmRSS:")
}

/// Returns the largest resident memory of this process so far, in bytes.
#[must_use]
pub fn peak_memory() -> u64 {
    status_bytes(&own_status(), "VmHWM:")
}

/// Returns the processor time that one call of `step` takes on this thread, in nanoseconds.
pub(crate) fn nanos_per_call<T>(mut step: impl FnMut() -> T) -> f64 {
    let mut count: u32 = 1;
    while timed(count, &mut step) < SHORTEST_RUN && count < 1 << 28 {
        count *= 2;
    }
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| timed(count, &mut step).as_secs_f64() * 1e9 / f64::from(count))
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

fn timed<T>(count: u32, step: &mut impl FnMut() -> T) -> Duration {
    let start = processor_time();
    for _ in 0..count {
        black_box(step());
    }
    processor_time().saturating_sub(start)
}

fn own_status() -> String {
    fs::read_to_string("/proc/self/status").unwrap_or_default()
}

/// The first field of `schedstat` is the time on a processor in nanoseconds.
fn run_time(schedstat: &str) -> Duration {
    let nanos = schedstat.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|text| text.parse().ok()).unwrap_or(0))
}

fn status_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(field));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
