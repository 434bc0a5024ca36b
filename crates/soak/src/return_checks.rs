//! Checks what instances knew before a return of the store against what they do after it.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{CallRequest, call_once};
use http::Method;
use serde_json::Value;

use crate::soak_callers::CallOutcome;
use crate::soak_checks::{GuaranteeViolation, RecordedRun};
use crate::soak_fleet::SoakFleet;

/// Time within which a running instance answers a request for its state. It may be stopped by `SIGSTOP`.
const STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// An upstream that was leaving or removed when the store returned, as an instance knew.
#[derive(Debug, Clone, Copy)]
struct KnownDeparture {
    upstream: usize,
    instance: usize,
    known_at: Instant,
}

/// The plan that an instance had in force.
#[derive(Debug, Clone, Copy)]
struct KnownPlan {
    instance: usize,
    incarnation: u64,
    version: u64,
}

/// What the instances knew before returns of the store, and the violations found since.
#[derive(Debug, Default)]
pub struct ReturnChecks {
    /// The upstreams that each process has listed, by its incarnation.
    listed: HashSet<(u64, usize)>,
    departures: Vec<KnownDeparture>,
    plans: Vec<KnownPlan>,
    violations: Vec<GuaranteeViolation>,
}

impl ReturnChecks {
    /// Records which upstreams the instances list. Call it before an upstream leaves.
    pub async fn record_listed(&mut self, fleet: &SoakFleet) {
        for instance in 0..fleet.instances.len() {
            let Some(state) = read_state(fleet, instance).await else {
                continue;
            };
            let Some(incarnation) = state["incarnation"].as_u64() else {
                continue;
            };
            for (upstream, relayed) in fleet.upstreams.iter().enumerate() {
                if listed_upstream(&state, relayed.upstream.id()).is_some() {
                    self.listed.insert((incarnation, upstream));
                }
            }
        }
    }

    /// Records what the instances know. Call it just before a return.
    pub async fn record(&mut self, fleet: &SoakFleet) {
        self.plans.clear();
        for instance in 0..fleet.instances.len() {
            let Some(state) = read_state(fleet, instance).await else {
                continue;
            };
            let Some(plan) = known_plan(instance, &state) else {
                continue;
            };
            self.plans.push(plan);
            let known_at = Instant::now();
            for (upstream, relayed) in fleet.upstreams.iter().enumerate() {
                // A process that never listed a removed upstream takes it for a new one.
                let is_known = match listed_upstream(&state, relayed.upstream.id()) {
                    Some(listed) => listed["usable"] == false,
                    None => self.listed.contains(&(plan.incarnation, upstream)),
                };
                if is_known && !relayed.is_ready() {
                    self.departures.push(KnownDeparture {
                        upstream,
                        instance,
                        known_at,
                    });
                }
            }
        }
    }

    /// Checks that no instance has gone back to an earlier plan. Call it before what was lost is written again.
    pub async fn compare(&mut self, fleet: &SoakFleet) {
        for known in std::mem::take(&mut self.plans) {
            let state = read_state(fleet, known.instance).await;
            let present = state.and_then(|state| known_plan(known.instance, &state));
            if let Some(present) = present
                && present.incarnation == known.incarnation
                && present.version < known.version
            {
                self.violations.push(GuaranteeViolation::PlanReverted {
                    instance: fleet.instances[known.instance].options.name.clone(),
                    before: known.version,
                    after: present.version,
                });
            }
        }
    }

    /// Checks that the store has the registration of every present process. Call it when all faults have ended for long
    /// enough.
    pub async fn check_registrations(&mut self, fleet: &SoakFleet) {
        for (index, instance) in fleet.instances.iter().enumerate() {
            let name = &instance.options.name;
            let spec = fleet.store.spec("entry-instances", name);
            let state = read_state(fleet, index).await.unwrap_or_default();
            if spec.is_none_or(|spec| spec["incarnation"] != state["incarnation"]) {
                let instance = name.clone();
                self.violations
                    .push(GuaranteeViolation::NotRegistered { instance });
            }
        }
    }

    /// Returns all violations, those shown by requests included.
    pub fn finish(
        mut self,
        fleet: &SoakFleet,
        outcomes: &[CallOutcome],
        runs: &[RecordedRun],
    ) -> Vec<GuaranteeViolation> {
        let outcomes = outcomes.iter();
        let outcomes: HashMap<&str, &CallOutcome> = outcomes
            .map(|outcome| (outcome.attempt_id.as_str(), outcome))
            .collect();
        for run in runs {
            let id = &run.run.attempt_id;
            let Some(outcome) = outcomes.get(id.as_str()) else {
                continue;
            };
            let departures = &self.departures;
            let late = departures
                .iter()
                .find(|known| is_violated(**known, fleet, outcome, run));
            if let Some(known) = late {
                let after = run.run.started_at.duration_since(known.known_at);
                self.violations.push(GuaranteeViolation::UsedAfterReturn {
                    attempt_id: id.clone(),
                    upstream: run.upstream.clone(),
                    instance: fleet.instances[known.instance].options.name.clone(),
                    after_ms: after.as_millis(),
                });
            }
        }
        self.violations
    }
}

/// Returns whether an instance sent the request to an upstream that it knew to be leaving or removed, before the upstream
/// was ready again or the instance was started again.
fn is_violated(
    known: KnownDeparture,
    fleet: &SoakFleet,
    outcome: &CallOutcome,
    run: &RecordedRun,
) -> bool {
    let relayed = &fleet.upstreams[known.upstream];
    let instance = &fleet.instances[known.instance];
    if run.upstream != relayed.upstream.id() || outcome.entry != instance.options.addresses.entry {
        return false;
    }
    let is_after = |time: Instant| time > known.known_at;
    let ends = relayed.ready_at.iter().chain(&instance.started_at);
    let end = ends.copied().filter(|end| is_after(*end)).min();
    is_after(outcome.sent_at)
        && is_after(run.run.started_at)
        && end.is_none_or(|end| run.run.started_at < end)
}

async fn read_state(fleet: &SoakFleet, instance: usize) -> Option<Value> {
    let instance = &fleet.instances[instance];
    let request = CallRequest::new(Method::GET, "/state");
    let call = call_once(instance.options.addresses.metrics, &request);
    let answer = tokio::time::timeout(STATE_TIMEOUT, call).await.ok()?.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn known_plan(instance: usize, state: &Value) -> Option<KnownPlan> {
    Some(KnownPlan {
        instance,
        incarnation: state["incarnation"].as_u64()?,
        version: state["plan"]["version"].as_u64()?,
    })
}

fn listed_upstream<'a>(state: &'a Value, id: &str) -> Option<&'a Value> {
    let mut upstreams = state["plan"]["upstreams"].as_array()?.iter();
    upstreams.find(|upstream| upstream["id"] == id)
}
