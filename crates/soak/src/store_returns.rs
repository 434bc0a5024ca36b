//! Returns of the store from an older copy, also while daemons restart or are cut from it, and twice in a row.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{RelayMode, StoreCopy, StoreMode};
use fastrand::Rng;
use nix::sys::signal::Signal;

use crate::return_checks::ReturnChecks;
use crate::soak_fleet::SoakFleet;
use crate::soak_run::SoakError;

/// One in this many fault steps is also a return.
const STEPS_PER_RETURN: u8 = 5;
/// Longest age of a copy from which the store returns.
const MAX_COPY_AGE: Duration = Duration::from_secs(5);
/// Range of the time for which the store is away before it returns, in milliseconds.
const ABSENCE_MS: std::ops::Range<u64> = 50..800;
/// Range of the time between a change that all copies lack and the return, in milliseconds. Most instances learn of the
/// change in it.
const KNOWN_MS: std::ops::Range<u64> = 400..1_200;
/// Upstreams that stay registered as ready.
const MIN_READY_UPSTREAMS: usize = 2;
/// Range of the time between two returns in a row, in milliseconds.
const SECOND_RETURN_MS: std::ops::Range<u64> = 100..1_500;
/// Range of the time after which operators and upstreams write again what was lost, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 100..1_800;

/// What happens to the daemons during a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReturnCompany {
    /// Nothing.
    Alone,
    /// One daemon is killed.
    RestartOfOne,
    /// All daemons are killed.
    RestartOfAll,
    /// One daemon is cut from the store.
    CutOfOne,
}

/// The copies from which the store may return, and what is to be written again.
#[derive(Debug)]
pub struct ReturnDraw {
    rng: Rng,
    change_rng: Rng,
    checks: ReturnChecks,
    copies: VecDeque<(Instant, StoreCopy)>,
    second_return_at: Option<Instant>,
    rewrite_at: Option<Instant>,
}

impl ReturnDraw {
    /// Creates a draw with a sequence of its own, which keeps the other faults of each seed as they are.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed.rotate_left(32)),
            change_rng: Rng::with_seed(seed.rotate_left(16)),
            checks: ReturnChecks::default(),
            copies: VecDeque::new(),
            second_return_at: None,
            rewrite_at: None,
        }
    }

    /// Takes a copy, and lets the store return from an earlier one in one of a few calls. Returns the description for the
    /// report.
    pub async fn step(&mut self, fleet: &mut SoakFleet) -> Result<Option<String>, SoakError> {
        self.copies
            .retain(|(taken_at, _)| taken_at.elapsed() < MAX_COPY_AGE);
        let copy = (Instant::now(), fleet.store.copy());
        self.copies.push_back(copy);
        if self.rng.u8(..STEPS_PER_RETURN) > 0 {
            return Ok(None);
        }
        // What an earlier return lost is written again in time.
        self.finish(fleet).await;
        self.checks.record_listed(fleet).await;
        let change = self.change_before_return(fleet).await;
        self.checks.record(fleet).await;
        let instance = self.rng.usize(..fleet.instances.len());
        let companies = [
            ReturnCompany::Alone,
            ReturnCompany::RestartOfOne,
            ReturnCompany::RestartOfAll,
            ReturnCompany::CutOfOne,
        ];
        let company = companies[self.rng.usize(..companies.len())];
        match company {
            ReturnCompany::Alone => {}
            ReturnCompany::RestartOfOne => fleet.signal(instance, Signal::SIGKILL),
            ReturnCompany::RestartOfAll => {
                for instance in 0..fleet.instances.len() {
                    fleet.signal(instance, Signal::SIGKILL);
                }
            }
            ReturnCompany::CutOfOne => {
                let relay = &mut fleet.instances[instance].store_relay;
                relay.set(RelayMode::BLACKHOLE).await;
            }
        }
        let mode = fleet.store.mode();
        fleet.store.set_mode(StoreMode::Unavailable);
        tokio::time::sleep(Duration::from_millis(self.rng.u64(ABSENCE_MS))).await;
        let age = self.return_store(fleet);
        fleet.store.set_mode(mode);
        fleet.restart_ended()?;
        let is_twice = self.rng.u8(..3) == 0;
        let second_delay = Duration::from_millis(self.rng.u64(SECOND_RETURN_MS));
        self.second_return_at = is_twice.then(|| Instant::now() + second_delay);
        let age_ms = age.as_millis();
        Ok(Some(format!(
            "{change}; store returns from a copy of {age_ms} ms before, {company:?} entry-{instance}, twice: {is_twice}"
        )))
    }

    /// Lets an upstream leave, and grants or withdraws a key. Returns the description for the report.
    async fn change_before_return(&mut self, fleet: &mut SoakFleet) -> String {
        let rng = &mut self.change_rng;
        let upstream = rng.usize(..fleet.upstreams.len());
        let is_removed = rng.bool();
        let known_time = Duration::from_millis(rng.u64(KNOWN_MS));
        if !fleet.store.accepts_writes() {
            return "no change".to_string();
        }
        let ready = fleet.upstreams.iter().filter(|relayed| relayed.is_ready());
        if ready.count() > MIN_READY_UPSTREAMS {
            if is_removed {
                fleet.remove_upstream(upstream);
            } else {
                fleet.register(upstream, "draining");
            }
        }
        let is_granted = !fleet.is_key_granted();
        fleet.write_config(is_granted);
        tokio::time::sleep(known_time).await;
        format!("u-{upstream} removed: {is_removed}, changing key granted: {is_granted}")
    }

    /// Returns the checks of all returns.
    pub fn into_checks(self) -> ReturnChecks {
        self.checks
    }

    /// Performs the second of two returns, and writes again what was lost, if they are due.
    pub async fn perform_due(&mut self, fleet: &SoakFleet) {
        let is_due = |at: &mut Instant| *at <= Instant::now();
        if self.second_return_at.take_if(is_due).is_some() {
            self.return_store(fleet);
        }
        if self.rewrite_at.take_if(is_due).is_some() {
            self.checks.compare(fleet).await;
            fleet.write_again();
        }
    }

    /// Writes everything again at once, if the store has returned and not everything is written again.
    pub async fn finish(&mut self, fleet: &SoakFleet) {
        self.second_return_at = None;
        if self.rewrite_at.take().is_some() {
            self.checks.compare(fleet).await;
            fleet.write_again();
        }
    }

    /// Returns the age of the copy.
    fn return_store(&mut self, fleet: &SoakFleet) -> Duration {
        let index = self.rng.usize(..self.copies.len());
        let (taken_at, copy) = &self.copies[index];
        fleet.store.return_from(copy);
        let delay = Duration::from_millis(self.rng.u64(REWRITE_MS));
        self.rewrite_at = Some(Instant::now() + delay);
        taken_at.elapsed()
    }
}
