//! State of one upstream stand-in and its admission decisions, independent of HTTP and without I/O.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::fault_plan::{ControlChange, FaultPlan, RequestFaults};
use crate::run_record::{
    RunEnd, RunEntry, RunOutcome, RunRecord, RunStart, RunTotals, SlotsFull, StartedRun,
};

/// Name, capacity and work times of an upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamProfile {
    /// Name of the upstream in its answers.
    pub name: String,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Work time of a request without the header `X-Work-Ms`.
    pub work: Duration,
    /// Number of requests after each start that take longer.
    pub cold_requests: u32,
    /// Extra work time of each cold request.
    pub cold_extra: Duration,
}

/// Counter that numbers the starts and ends of requests across all upstreams that share it.
#[derive(Debug, Clone, Default)]
pub struct SequenceCounter(Arc<AtomicU64>);

impl SequenceCounter {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::AcqRel)
    }
}

/// Admission decision about a request.
#[derive(Debug)]
pub enum Admission {
    /// The request is refused, because [`ControlChange::refuse`] is set.
    Refused,
    /// The request is shed, because no slot is free.
    Shed,
    /// The request runs with these faults. The guard holds its slot.
    Runs(RunGuard, RequestFaults),
}

/// State of one upstream stand-in, which outlives its connections and its listener.
#[derive(Debug)]
pub struct UpstreamState {
    profile: UpstreamProfile,
    sequence: SequenceCounter,
    data: Mutex<UpstreamData>,
}

#[derive(Debug)]
struct UpstreamData {
    record: RunRecord,
    plan: FaultPlan,
}

impl UpstreamState {
    /// Creates the state of an upstream with an empty record.
    #[must_use]
    pub fn new(profile: UpstreamProfile, sequence: SequenceCounter) -> Self {
        let plan = FaultPlan::new(profile.cold_requests, profile.cold_extra);
        let record = RunRecord::new();
        Self {
            profile,
            sequence,
            data: Mutex::new(UpstreamData { record, plan }),
        }
    }

    /// Returns the name, capacity and work times of the upstream.
    #[must_use]
    pub fn profile(&self) -> &UpstreamProfile {
        &self.profile
    }

    /// Decides on the admission of a request and takes a slot if the request runs.
    pub fn admit(self: &Arc<Self>, start: RunStart) -> Admission {
        let mut data = self.data();
        if data.plan.refuse {
            data.record.refuse();
            return Admission::Refused;
        }
        let order = self.sequence.next();
        match data.record.begin(self.profile.slots, order, start) {
            Err(SlotsFull) => Admission::Shed,
            Ok(run) => {
                let faults = data.plan.next_request();
                Admission::Runs(RunGuard::new(self.clone(), run), faults)
            }
        }
    }

    /// Applies a change of the faults and reported values.
    pub fn control(&self, change: &ControlChange) {
        self.data().plan.apply(change);
    }

    /// Restores the number of cold requests after a crash.
    pub fn restart(&self) {
        self.data().plan.restart();
    }

    /// Returns whether the health response reports draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.data().plan.draining
    }

    /// Returns the number of slots in use, or the number set by [`ControlChange::report_load`].
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        let data = self.data();
        let running = data.record.totals().running;
        data.plan.report_load.unwrap_or(running)
    }

    /// Returns the totals of all requests so far.
    #[must_use]
    pub fn totals(&self) -> RunTotals {
        self.data().record.totals()
    }

    /// Returns the recorded requests in the order of their starts.
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

/// Guard of a running request. Dropping it frees the slot and records the end of the request.
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
            // If the connection closes early, the guard is dropped without a call of `set_outcome`.
            outcome: RunOutcome::Cancelled,
            body_bytes: 0,
            digest: Sha256::new(),
        }
    }

    /// Adds a part of the request body to its length and digest.
    pub fn add_body_part(&mut self, part: &[u8]) {
        self.body_bytes += part.len() as u64;
        self.digest.update(part);
    }

    /// Returns the number of request body bytes that were read so far.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Sets the outcome to record at the end of the run.
    pub fn set_outcome(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let digest = self.digest.finalize_reset();
        let end = RunEnd {
            order: self.state.sequence.next(),
            outcome: self.outcome,
            body_bytes: self.body_bytes,
            body_sha256: format!("{digest:x}"),
        };
        self.state.finish(self.run, end);
    }
}
