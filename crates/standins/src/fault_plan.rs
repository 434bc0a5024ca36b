//! The faults and reports that a test orders from an upstream stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A change of a [`FaultPlan`]; a field that is absent stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlChange {
    /// Whether the health response reports draining.
    pub draining: Option<bool>,
    /// Whether work is refused with `Coltsfootkeel-Draining: yes`.
    pub refuse: Option<bool>,
    /// The slots in use to report instead of the real number; a negative number ends the misreport.
    pub report_load: Option<i64>,
    /// The number of next requests that take longer.
    pub slow_requests: Option<u32>,
    /// How much longer these take, in milliseconds.
    pub slow_extra_ms: Option<u64>,
    /// The number of next answers to cut within the body.
    pub truncate_next: Option<u32>,
    /// The number of next requests after which the connection closes without an answer.
    pub close_next: Option<u32>,
    /// The time by which each answer is delayed after its work, in milliseconds.
    pub delay_ms: Option<u64>,
}

/// What happens to the answer of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is complete.
    None,
    /// The connection closes within the body of the answer.
    Truncate,
    /// The connection closes before the answer.
    Close,
}

/// What the plan orders for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFaults {
    /// Time to add to the work.
    pub extra_work: Duration,
    /// Time to wait between the work and the answer.
    pub delay: Duration,
    /// What happens to the answer.
    pub answer: AnswerFault,
}

/// The faults and reports ordered so far.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Whether the health response reports draining.
    pub draining: bool,
    /// Whether work is refused.
    pub refuse: bool,
    /// The slots in use to report instead of the real number.
    pub report_load: Option<u32>,
    cold_requests: u32,
    slow_left: u32,
    slow_extra: Duration,
    truncate_left: u32,
    close_left: u32,
    delay: Duration,
}

impl FaultPlan {
    /// Makes a plan without faults in which the first `cold_requests` after each start take `cold_extra` longer.
    #[must_use]
    pub fn new(cold_requests: u32, cold_extra: Duration) -> Self {
        Self {
            draining: false,
            refuse: false,
            report_load: None,
            cold_requests,
            slow_left: cold_requests,
            slow_extra: cold_extra,
            truncate_left: 0,
            close_left: 0,
            delay: Duration::ZERO,
        }
    }

    /// Applies the fields that are present.
    pub fn apply(&mut self, change: &ControlChange) {
        let millis = Duration::from_millis;
        self.draining = change.draining.unwrap_or(self.draining);
        self.refuse = change.refuse.unwrap_or(self.refuse);
        if let Some(load) = change.report_load {
            self.report_load = u32::try_from(load).ok();
        }
        self.slow_left = change.slow_requests.unwrap_or(self.slow_left);
        self.slow_extra = change.slow_extra_ms.map_or(self.slow_extra, millis);
        self.truncate_left = change.truncate_next.unwrap_or(self.truncate_left);
        self.close_left = change.close_next.unwrap_or(self.close_left);
        self.delay = change.delay_ms.map_or(self.delay, millis);
    }

    /// Makes the upstream cold again after a crash.
    pub fn restart(&mut self) {
        self.slow_left = self.cold_requests;
    }

    /// Takes what is ordered for the next request.
    pub fn next_request(&mut self) -> RequestFaults {
        let extra_work = if take_one(&mut self.slow_left) {
            self.slow_extra
        } else {
            Duration::ZERO
        };
        RequestFaults {
            extra_work,
            delay: self.delay,
            answer: self.next_answer(),
        }
    }

    fn next_answer(&mut self) -> AnswerFault {
        if take_one(&mut self.close_left) {
            AnswerFault::Close
        } else if take_one(&mut self.truncate_left) {
            AnswerFault::Truncate
        } else {
            AnswerFault::None
        }
    }
}

fn take_one(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
