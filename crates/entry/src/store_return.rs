//! Follows the eras of the store: what is read again, kept and written again after its return from an older copy.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::FleetHeartbeat;
use coltsfootkeel_steering::{EraChange, EraProgress, KnownPlans, StorePosition, StoredPlan};

use crate::control_loop::ControlLoop;
use crate::entry_metrics::CounterName;
use crate::reader_role::ListPositions;

/// What this instance knows of the present era of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    progress: EraProgress,
    /// The configuration as last read in the era; `None` if it cannot be read.
    stored_plan: Option<StoredPlan>,
    /// Whether what was known before a return of the store is still kept, because the era is not settled.
    keeps_known: bool,
}

impl StoreEra {
    /// Returns the milliseconds since the era is known to have begun.
    pub(crate) fn age_ms(&self, now: MonotonicTime) -> u32 {
        u32::try_from(self.progress.age(now).as_millis()).unwrap_or(u32::MAX)
    }
}

impl ControlLoop {
    /// Records the position of an answer of the store to this instance.
    pub(crate) fn observe_answer(&mut self, position: StorePosition) {
        self.observe_era(position.era, Duration::ZERO);
        self.store_era.progress.record_answer(position);
    }

    /// Records the era and the positions that another instance knows.
    pub(crate) fn observe_peer_era(&mut self, message: &FleetHeartbeat) {
        let era = message.store_era;
        let age = Duration::from_millis(message.store_era_age_ms.into());
        if era > 0 {
            self.observe_era(era, age);
            self.confirm_by_stored_plan();
        }
        let in_era = |revision| StorePosition { era, revision };
        self.shared.reader_role.advance(ListPositions {
            upstreams: in_era(message.upstreams_revision),
            evacuations: in_era(message.evacuations_revision),
            instances: in_era(message.instances_revision),
        });
    }

    /// Records that an instance has seen the store in `era` when everything was written again.
    pub(crate) fn prove_settled_era(&mut self, era: u64) {
        self.observe_era(era, Duration::ZERO);
        self.store_era.progress.prove_settled(era);
        self.confirm_by_stored_plan();
    }

    /// Returns whether the lists of the store may still lack what was known before its return.
    pub(crate) fn keeps_known(&self) -> bool {
        self.store_era.keeps_known
    }

    /// Returns whether everything that the store lost is written again.
    fn is_era_settled(&self) -> bool {
        let now = self.shared.clock.now_with_suspension();
        self.store_era.progress.is_settled(now)
    }

    /// Gives up what was kept for the time until the era is settled, once it is.
    pub(crate) fn settle_era(&mut self, now: MonotonicTime) {
        let is_settled = self.is_era_settled();
        let stored = self.store_era.stored_plan;
        let lacks_plan = stored.is_some_and(|stored| stored.version < self.plan_version());
        let states_era = self.store_era.progress.era() > 0;
        let is_unsettled = states_era && (!is_settled || lacks_plan);
        self.shared.freshness.set_unsettled(is_unsettled);
        if !is_settled {
            return;
        }
        if self.store_era.keeps_known {
            self.store_era.keeps_known = false;
            if self.evacuations.settle() {
                self.apply_evacuations();
            }
        }
        let peers = &self.peers;
        let is_live = |hash| peers.live(now).any(|(live, _)| live == hash);
        self.members.drop_kept(is_live);
    }

    /// Records the version of the configuration in the store as of a time; `None` if it cannot be read.
    pub(crate) fn record_stored_plan(
        &mut self,
        position: StorePosition,
        version: Option<u64>,
        as_of: MonotonicTime,
    ) {
        self.store_era.stored_plan = version.map(|version| StoredPlan {
            position,
            version,
            as_of,
        });
    }

    /// Records that the store answered a call about the configuration, and held no other one than the recorded one at
    /// `time`.
    pub(crate) fn confirm_by_store(&mut self, time: MonotonicTime) {
        self.store_answered_at = Some(self.shared.clock.now_with_suspension());
        if self.store_era.progress.era() == 0 {
            self.shared.freshness.confirm(time);
            return;
        }
        if let Some(stored) = &mut self.store_era.stored_plan {
            stored.as_of = stored.as_of.max(time);
        }
        self.confirm_by_stored_plan();
    }

    fn confirm_by_stored_plan(&self) {
        let known = KnownPlans {
            active: self.plan_version(),
            newest: self.shared.freshness.newest_version(),
            is_revocation_strict: self.shared.bounds.load().is_revocation_strict,
        };
        if let Some(stored) = self.store_era.stored_plan
            && stored.confirms(known, &self.store_era.progress)
        {
            self.shared.freshness.confirm(stored.as_of);
        }
    }

    fn observe_era(&mut self, era: u64, age: Duration) {
        let now = self.shared.clock.now_with_suspension();
        match self.store_era.progress.observe(era, age, now) {
            EraChange::None => return,
            EraChange::First => {
                if self.shared.settings.is_first_start {
                    // Nothing was written before that the store could have lost.
                    self.store_era.progress.prove_settled(era);
                }
                if era > 0 {
                    log::info!(era; "store: It states an era.");
                }
            }
            EraChange::Return => {
                self.shared.metrics.count(CounterName::StoreReturns);
                log::warn!(
                    era,
                    plan_version = self.plan_version();
                    "store: It has returned from an older copy."
                );
                self.begin_era(now);
            }
        }
        let is_settled = self.is_era_settled();
        self.shared.freshness.set_unsettled(!is_settled);
        self.shared.reader_role.advance_era(era);
    }

    /// Prepares for lists that lack what was written since the copy.
    fn begin_era(&mut self, now: MonotonicTime) {
        self.store_era.stored_plan = None;
        self.store_era.keeps_known = true;
        self.registry.restart_recovery(self.shared.clock.now());
        let read_since = &self.shared.upstreams_read_since;
        if read_since.get() != MonotonicTime::default() {
            read_since.set(now);
        }
        // A registration that was confirmed in the earlier era may be lost.
        self.is_registering = false;
        self.pending.hurry();
    }
}
