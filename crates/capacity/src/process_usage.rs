//! Processor time and memory of processes, from `/proc`.

use std::fs;
use std::hint::black_box;
use std::thread;
use std::time::Duration;

/// Number of timed runs of a loop. The median of them is used, because other programs run on the same machine.
const TIMED_RUNS: usize = 5;

/// Shortest time of a loop. In a shorter one the sleep before each reading would distort the result.
const MIN_RUN_TIME: Duration = Duration::from_millis(30);

/// Sleep before the processor time of a thread is read. The kernel updates the time when the thread leaves the
/// processor, and otherwise only every few milliseconds.
const CLOCK_UPDATE_SLEEP: Duration = Duration::from_micros(1);

/// Processor time and memory of one process, as `/proc` reports them.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// User and system time of all live threads of the process.
    pub processor_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with this id, or returns `None` if it has ended.
    #[must_use]
    pub fn of_process(id: u32) -> Option<Self> {
        let mut processor_time = Duration::ZERO;
        for task in fs::read_dir(format!("/proc/{id}/task")).ok()? {
            let path = task.ok()?.path().join("schedstat");
            processor_time += parse_schedstat(&fs::read_to_string(path).ok()?);
        }
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        Some(Self {
            processor_time,
            resident_bytes: status_bytes(&status, "VmRSS:"),
        })
    }
}

/// Returns the processor time that the calling thread has used.
#[must_use]
pub fn processor_time() -> Duration {
    thread::sleep(CLOCK_UPDATE_SLEEP);
    parse_schedstat(&fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default())
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
    while time_loop(count, &mut step) < MIN_RUN_TIME && count < 1 << 28 {
        count *= 2;
    }
    let mut times: Vec<f64> = (0..TIMED_RUNS)
        .map(|_| time_loop(count, &mut step).as_secs_f64() * 1e9 / f64::from(count))
        .collect();
    times.sort_by(f64::total_cmp);
    times[TIMED_RUNS / 2]
}

fn time_loop<T>(count: u32, step: &mut impl FnMut() -> T) -> Duration {
    let start = processor_time();
    for _ in 0..count {
        black_box(step());
    }
    processor_time().saturating_sub(start)
}

fn own_status() -> String {
    fs::read_to_string("/proc/self/status").unwrap_or_default()
}

/// Returns the first field of `schedstat`: the time on a processor in nanoseconds.
fn parse_schedstat(schedstat: &str) -> Duration {
    let nanos = schedstat.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|text| text.parse().ok()).unwrap_or(0))
}

fn status_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(field));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
