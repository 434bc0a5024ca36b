//! State of one upstream stand-in and its decisions about requests; knows no HTTP and does no I/O.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::fault_plan::{ControlChange, FaultPlan, RequestFaults};
use crate::run_record::{
    RunEnd, RunEntry, RunOutcome, RunRecord, RunStart, RunTotals, SlotsFull, StartedRun,
};

/// What an upstream stand-in is set up with.
#[derive(Debug, Clone)]
pub struct UpstreamProfile {
    /// The name it answers with.
    pub name: String,
    /// The number of requests that run at once.
    pub slots: u32,
    /// The work time of a request that names none.
    pub work: Duration,
    /// The number of requests after each start that take longer.
    pub cold_requests: u32,
    /// How much longer these take.
    pub cold_extra: Duration,
}

/// Numbers the starts and ends of requests across all upstreams that share it.
#[derive(Debug, Clone, Default)]
pub struct OrderCounter(Arc<AtomicU64>);

impl OrderCounter {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::AcqRel)
    }
}

/// What happens to a request that arrives.
#[derive(Debug)]
pub enum Arrival {
    /// It is refused because the upstream was ordered to refuse.
    Refused,
    /// It is shed because no slot is free.
    Shed,
    /// It runs.
    Runs(RunGuard, RequestFaults),
}

/// State of one upstream stand-in; it outlives the connections and the listener.
#[derive(Debug)]
pub struct UpstreamState {
    profile: UpstreamProfile,
    order: OrderCounter,
    data: Mutex<UpstreamData>,
}

#[derive(Debug)]
struct UpstreamData {
    record: RunRecord,
    plan: FaultPlan,
}

impl UpstreamState {
    /// Makes the state of an upstream that has run nothing.
    #[must_use]
    pub fn new(profile: UpstreamProfile, order: OrderCounter) -> Self {
        let plan = FaultPlan::new(profile.cold_requests, profile.cold_extra);
        let record = RunRecord::new();
        Self {
            profile,
            order,
            data: Mutex::new(UpstreamData { record, plan }),
        }
    }

    /// Returns what the upstream was set up with.
    #[must_use]
    pub fn profile(&self) -> &UpstreamProfile {
        &self.profile
    }

    /// Decides about a request that arrives, and takes its slot if it runs.
    pub fn arrive(self: &Arc<Self>, start: RunStart) -> Arrival {
        let mut data = self.data();
        if data.plan.refuse {
            data.record.refuse();
            return Arrival::Refused;
        }
        let order = self.order.next();
        match data.record.begin(self.profile.slots, order, start) {
            Err(SlotsFull) => Arrival::Shed,
            Ok(run) => {
                let faults = data.plan.next_request();
                Arrival::Runs(RunGuard::new(self.clone(), run), faults)
            }
        }
    }

    /// Changes the ordered faults and reports.
    pub fn control(&self, change: &ControlChange) {
        self.data().plan.apply(change);
    }

    /// Makes the upstream cold again after a crash.
    pub fn restart(&self) {
        self.data().plan.restart();
    }

    /// Tells whether the health response reports draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.data().plan.draining
    }

    /// Returns the slots in use, or the number that was ordered to be reported instead.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        let data = self.data();
        let running = data.record.totals().running;
        data.plan.report_load.unwrap_or(running)
    }

    /// Returns the totals of the record.
    #[must_use]
    pub fn totals(&self) -> RunTotals {
        self.data().record.totals()
    }

    /// Returns the details of the record.
    #[must_use]
    pub fn entries(&self) -> Vec<RunEntry> {
        self.data().record.entries()
    }

    fn finish(&self, run: StartedRun, end: RunEnd) {
        self.data().record.finish(run, end);
    }

    fn data(&self) -> MutexGuard<'_, UpstreamData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running request. Its slot is freed and its end recorded when the guard is dropped.
#[derive(Debug)]
pub struct RunGuard {
    state: Arc<UpstreamState>,
    run: StartedRun,
    outcome: RunOutcome,
    body_bytes: u64,
    digest: Sha256,
}

impl RunGuard {
    fn new(state: Arc<UpstreamState>, run: StartedRun) -> Self {
        Self {
            state,
            run,
            // A connection that ends drops the guard without a further call.
            outcome: RunOutcome::Cancelled,
            body_bytes: 0,
            digest: Sha256::new(),
        }
    }

    /// Adds a part of the request body.
    pub fn read(&mut self, part: &[u8]) {
        self.body_bytes += part.len() as u64;
        self.digest.update(part);
    }

    /// Returns the bytes of the request body read so far.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Sets how the run ends.
    pub fn set_outcome(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let digest = self.digest.finalize_reset();
        let end = RunEnd {
            order: self.state.order.next(),
            outcome: self.outcome,
            body_bytes: self.body_bytes,
            body_sha256: format!("{digest:x}"),
        };
        self.state.finish(self.run, end);
    }
}
