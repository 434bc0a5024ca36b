//! Finds the reports of crashed runs that this instance has missed.
//!
//! Load pattern: an instance is cut off, or loses a datagram, while a request crashes upstreams. The others refuse the
//! request; this one lets it crash several more. Each instance counts the crashes that it has reported, so a receiver
//! that has fewer knows whom to ask.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// How long after the first start of all instances the counts of others are taken as received.
const FIRST_START_PERIOD: Duration = Duration::from_secs(10);

/// The reports of one message, and the count that it states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCount {
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The crashes that the sender has reported since its start.
    pub stated: u32,
    /// The crashes in the message.
    pub carried: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedReports {
    incarnation: u64,
    count: u32,
    is_missed: bool,
}

/// The number of crash reports that were received from each other instance.
#[derive(Debug)]
pub struct CrashReports {
    asks_from: MonotonicTime,
    received: HashMap<u64, ReceivedReports>,
}

impl CrashReports {
    /// Creates the state of a process that starts at `now`. If all instances start for the first time, there is nothing
    /// to ask for in the first seconds.
    #[must_use]
    pub fn new(is_first_start: bool, now: MonotonicTime) -> Self {
        let asks_from = if is_first_start {
            now + FIRST_START_PERIOD
        } else {
            now
        };
        Self {
            asks_from,
            received: HashMap::new(),
        }
    }

    /// Records a heartbeat of the instance `peer`.
    pub fn record(&mut self, peer: u64, reports: ReportCount, now: MonotonicTime) {
        let ReportCount {
            incarnation,
            stated,
            carried,
        } = reports;
        let before = self.received.get(&peer);
        let known = before.filter(|received| received.incarnation == incarnation);
        let count = match known {
            Some(received) => received.count,
            None if now < self.asks_from => stated,
            None => 0,
        };
        let is_missed = stated.saturating_sub(count) > carried;
        let received = ReceivedReports {
            incarnation,
            count: if is_missed { count } else { count.max(stated) },
            is_missed,
        };
        self.received.insert(peer, received);
    }

    /// Records that `peer` has told all crashes that it knows, when it had reported `stated` of them.
    pub fn record_answer(&mut self, peer: u64, incarnation: u64, stated: u32) {
        let received = ReceivedReports {
            incarnation,
            count: stated,
            is_missed: false,
        };
        self.received.insert(peer, received);
    }

    /// Returns an instance whose reports were missed, as its latest heartbeat shows. Each such heartbeat leads to at most
    /// one question.
    pub fn next_missed(&mut self) -> Option<u64> {
        let mut received = self.received.iter_mut();
        let (peer, received) = received.find(|(_, received)| received.is_missed)?;
        received.is_missed = false;
        Some(*peer)
    }

    /// Forgets the instances for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.received.retain(|peer, _| is_known(*peer));
    }
}
