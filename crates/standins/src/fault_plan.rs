//! Faults and reported values of an upstream stand-in, as a test sets them through `PUT /standin/control`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A change of the faults of an upstream stand-in. Settings whose field is absent stay unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlChange {
    /// Whether the health response reports draining.
    pub draining: Option<bool>,
    /// Whether every request for work is rejected with 503 and `Coltsfootkeel-Draining: yes`.
    pub refuse: Option<bool>,
    /// Number of slots in use to report instead of the real one. A negative number restores the real one.
    pub report_load: Option<i64>,
    /// Number of following requests whose work takes `slow_extra_ms` longer.
    pub slow_requests: Option<u32>,
    /// Extra work time of each slow request, in milliseconds.
    pub slow_extra_ms: Option<u64>,
    /// Number of following answers that are truncated within the body.
    pub truncate_next: Option<u32>,
    /// Number of following requests that run and whose connection closes without an answer.
    pub close_next: Option<u32>,
    /// Delay of each answer after the work, in milliseconds.
    pub delay_ms: Option<u64>,
}

/// Fault of the answer to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is sent completely.
    None,
    /// The connection closes within the body of the answer.
    Truncate,
    /// The connection closes before the answer.
    Close,
}

/// Faults that apply to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFaults {
    /// Time added to the work time of the request.
    pub extra_work: Duration,
    /// Delay between the work and the answer.
    pub delay: Duration,
    /// Fault of the answer.
    pub answer: AnswerFault,
}

/// Current faults and reported values of an upstream stand-in.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Whether the health response reports draining.
    pub draining: bool,
    /// Whether every request for work is rejected.
    pub refuse: bool,
    /// Number of slots in use to report; `None` reports the real number.
    pub report_load: Option<u32>,
    cold_requests: u32,
    slow_left: u32,
    slow_extra: Duration,
    truncate_left: u32,
    close_left: u32,
    delay: Duration,
}

impl FaultPlan {
    /// Creates a plan without faults, in which the first `cold_requests` requests after each start take `cold_extra`
    /// longer.
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

    /// Applies the fields of `change` that are present.
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

    /// Restores the number of cold requests after a crash.
    pub fn restart(&mut self) {
        self.slow_left = self.cold_requests;
    }

    /// Returns the faults of the next request and decrements the counters of those that apply.
    pub fn next_request(&mut self) -> RequestFaults {
        let extra_work = if decrement(&mut self.slow_left) {
            self.slow_extra
        } else {
            Duration::ZERO
        };
        RequestFaults {
            extra_work,
            delay: self.delay,
            answer: self.next_answer_fault(),
        }
    }

    fn next_answer_fault(&mut self) -> AnswerFault {
        if decrement(&mut self.close_left) {
            AnswerFault::Close
        } else if decrement(&mut self.truncate_left) {
            AnswerFault::Truncate
        } else {
            AnswerFault::None
        }
    }
}

fn decrement(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count = count.saturating_sub(1);
    is_positive
}
