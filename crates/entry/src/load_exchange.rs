//! Records the load reports of upstreams, and exchanges them with the other instances in heartbeats.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_adapter::{StatedLoad, read_stated_load};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::PoolKey;
use coltsfootkeel_protocol::{FleetHeartbeat, StatedLoad as LoadMessage};
use coltsfootkeel_steering::{CostExposure, LoadReport, RawLoadReport, UpstreamState, short_hash};
use http::HeaderMap;

use crate::control_loop::ControlLoop;
use crate::entry_metrics::CounterName;
use crate::entry_snapshot::EntrySnapshot;
use crate::shared_state::SharedState;

/// The largest number of reports in a heartbeat, about 1.3 KB.
const MAX_SENT_REPORTS: usize = 64;

/// A load report that this instance has received, for the next heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedLoad {
    /// The short hash of the upstream.
    upstream: u32,
    report: LoadReport,
    received_at: MonotonicTime,
}

/// Records the load that an upstream states in an answer that was received at `now`. `answered` is the number of requests
/// that this instance still counts as in flight there and the upstream does not.
pub(crate) fn record_load(
    shared: &SharedState,
    state: &UpstreamState,
    headers: &HeaderMap,
    answered: u32,
    now: MonotonicTime,
) {
    let report = match read_stated_load(headers) {
        StatedLoad::Missing => return,
        StatedLoad::Invalid => {
            shared.metrics.count(CounterName::LoadReportsDropped);
            return;
        }
        StatedLoad::Stated(report) => report,
    };
    shared.metrics.count(CounterName::LoadReportsRead);
    if report.cost_percent.is_none() {
        return;
    }
    state.record_load(report, now, answered);
    // If the queue is full, the report is dropped; the next answer of the upstream brings a newer one.
    let _ = shared.load_reports.push(ReceivedLoad {
        upstream: short_hash(state.hash),
        report,
        received_at: now,
    });
}

/// The newest reports of the upstreams, for the next heartbeat of one scope.
#[derive(Debug, Default)]
pub(crate) struct PendingLoads {
    newest: HashMap<u32, ReceivedLoad>,
}

impl PendingLoads {
    fn add(&mut self, load: ReceivedLoad) {
        self.newest.insert(load.upstream, load);
    }

    /// Removes the reports and returns the most recent of them as messages.
    pub(crate) fn take(&mut self, now: MonotonicTime) -> Vec<LoadMessage> {
        let mut loads: Vec<ReceivedLoad> = self.newest.drain().map(|(_, load)| load).collect();
        loads.sort_unstable_by_key(|load| std::cmp::Reverse(load.received_at));
        loads.truncate(MAX_SENT_REPORTS);
        let messages = loads.iter().map(|load| {
            let age = now.since(load.received_at).as_millis();
            LoadMessage {
                upstream: load.upstream,
                running: load.report.running,
                waiting: load.report.waiting,
                slots: load.report.slots,
                cost_percent: load.report.cost_percent.unwrap_or_default(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        });
        messages.collect()
    }
}

impl ControlLoop {
    /// Moves the reports that request threads have received to the next heartbeats.
    pub(crate) fn collect_loads(&mut self, is_full_mesh: bool) {
        while let Some(load) = self.shared.load_reports.pop() {
            self.pending.near_loads.add(load);
            if !is_full_mesh {
                self.pending.far_loads.add(load);
            }
        }
    }

    /// Records the reports in a heartbeat of another instance.
    pub(crate) fn record_peer_loads(&self, message: &FleetHeartbeat, now: MonotonicTime) {
        if message.load_reports.is_empty() {
            return;
        }
        let states = self.registry.states();
        let states: HashMap<u32, &UpstreamState> = states
            .map(|state| (short_hash(state.hash), state))
            .collect();
        for stated in &message.load_reports {
            let report = LoadReport::try_from(RawLoadReport {
                running: stated.running.into(),
                waiting: stated.waiting.into(),
                slots: stated.slots.into(),
                cost_percent: Some(stated.cost_percent.into()),
            });
            match (report, states.get(&stated.upstream)) {
                (Ok(report), Some(state)) => {
                    let age = Duration::from_millis(stated.age_ms.into());
                    state.record_load(report, now - age, 0);
                }
                (Err(_), _) => self.shared.metrics.count(CounterName::LoadReportsDropped),
                (Ok(_), None) => {}
            }
        }
    }

    /// Sets which pools state the cost of work, and for how long their reports count.
    pub(crate) fn update_load_reports(&mut self) {
        let snapshot = self.shared.snapshot.load_full();
        let Some(snapshot) = snapshot else {
            return;
        };
        for (key, pool) in snapshot.pools.iter() {
            let states = || pool_states(&snapshot, key);
            let states_cost = states().any(|state| state.reported_load.states_cost());
            let name = &snapshot.plan.pools[key].name;
            if states_cost && !pool.state.states_cost.swap(true, Ordering::Relaxed) {
                log::info!(pool = name.as_str(); "upstreams: A pool states the cost of work.");
            }
            if !pool.state.states_cost.load(Ordering::Relaxed) {
                continue;
            }
            let mut newer = CostExposure::default();
            for state in states() {
                let taken = state.reported_load.take_exposure();
                newer.raised_s += taken.raised_s;
                newer.ends += taken.ends;
            }
            let exposure = self.cost_exposures.entry(name.clone()).or_default();
            let lifetime = exposure.add(newer);
            for state in states() {
                state.reported_load.set_lifetime(lifetime);
            }
        }
    }
}

fn pool_states(snapshot: &EntrySnapshot, pool: PoolKey) -> impl Iterator<Item = &UpstreamState> {
    let upstreams = snapshot.pools[pool].upstreams.iter();
    upstreams.map(|key| &*snapshot.upstreams[*key].state)
}
