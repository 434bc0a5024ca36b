//! What an upstream states about its load.

use thiserror::Error;

/// Highest number of running or waiting requests, or of slots, that a report may state.
const MAX_COUNT: f64 = 100_000.0;
/// Lowest stated cost, in percent, that is possible.
const MIN_COST_PERCENT: f64 = 1.0;
/// Highest stated cost, in percent, that is possible: a run of a second would take a hundred.
const MAX_COST_PERCENT: f64 = 10_000.0;

/// The figures of a report as they were read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RawLoadReport {
    /// Requests that the upstream runs.
    pub running: f64,
    /// Requests that wait at the upstream.
    pub waiting: f64,
    /// Requests that the upstream runs concurrently.
    pub slots: f64,
    /// Present cost of work on the machine in percent; `None` if it is not stated.
    pub cost_percent: Option<f64>,
}

/// A possible report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the upstream runs.
    pub running: u32,
    /// Requests that wait at the upstream.
    pub waiting: u32,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Present cost of work on the machine in percent, 100 as usual; `None` if it is not stated.
    pub cost_percent: Option<u32>,
}

/// Why a report is impossible.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum InvalidReport {
    /// A number of requests or slots is negative, not whole or too large.
    #[error("{0} is not a number of requests or slots")]
    Count(f64),
    /// The upstream has no slots, or more requests running than slots.
    #[error("{running} requests cannot run in {slots} slots")]
    Slots {
        /// Stated number of running requests.
        running: u32,
        /// Stated number of slots.
        slots: u32,
    },
    /// The cost is not a percentage that work can have.
    #[error("{0} % is not a cost of work")]
    Cost(f64),
}

impl TryFrom<RawLoadReport> for LoadReport {
    type Error = InvalidReport;

    /// Checks the figures of a report.
    ///
    /// # Errors
    ///
    /// Returns the first figure that is impossible.
    fn try_from(raw: RawLoadReport) -> Result<Self, InvalidReport> {
        let running = count(raw.running)?;
        let waiting = count(raw.waiting)?;
        let slots = count(raw.slots)?;
        if slots == 0 || running > slots {
            return Err(InvalidReport::Slots { running, slots });
        }
        Ok(Self {
            running,
            waiting,
            slots,
            cost_percent: raw.cost_percent.map(cost).transpose()?,
        })
    }
}

fn count(value: f64) -> Result<u32, InvalidReport> {
    if !(0.0..=MAX_COUNT).contains(&value) || value.fract() != 0.0 {
        return Err(InvalidReport::Count(value));
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = value as u32;
    Ok(count)
}

fn cost(value: f64) -> Result<u32, InvalidReport> {
    if !(MIN_COST_PERCENT..=MAX_COST_PERCENT).contains(&value) {
        return Err(InvalidReport::Cost(value));
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = value.round() as u32;
    Ok(percent)
}
