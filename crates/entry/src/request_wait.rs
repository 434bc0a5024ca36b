//! Finds an upstream for a request, and lets it wait for one.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{QueuePosition, max_queue_wait, queue_priority};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::entry_metrics::CounterName;
use crate::rejection::RejectKind;
use crate::request_flow::RequestRun;
use crate::request_record::RequestRecord;
use crate::upstream_choice::{TakenPlace, is_allowed, take_place};

/// The time that a stopping instance keeps for the answer itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

impl RequestRun {
    /// Finds an upstream that can answer in time, and waits for one as long as the objective can still be met.
    pub(crate) async fn find_place(
        &mut self,
        record: &mut RequestRecord,
    ) -> Result<TakenPlace, RejectKind> {
        if self.context.remaining().is_zero() {
            return Err(RejectKind::TimedOut);
        }
        if let Some(place) = self.next_place.take() {
            return Ok(place);
        }
        self.check_stop()?;
        if let Some(place) = take_place(&self.context, &self.tried) {
            return Ok(place);
        }
        let started = self.context.shared.clock.now();
        let warm = self.context.home_times().warm;
        let objective_left = self.context.objective_left();
        let longest = max_queue_wait(objective_left, self.context.remaining(), warm);
        let line = &self.context.listed_pool().state.line;
        let rank = queue_priority(self.context.rank, objective_left, warm);
        if self.expected_wait(line.count_ahead(rank)) > longest {
            return Err(RejectKind::NoRoom);
        }
        let until = started + longest;
        self.context.shared.metrics.count(CounterName::Waits);
        let turn = line.assign_position(rank);
        let found = loop {
            if !self.wait_turn(turn, until).await {
                break take_place(&self.context, &self.tried);
            }
            if let Some(place) = take_place(&self.context, &self.tried) {
                break Some(place);
            }
        };
        let waited = self.context.shared.clock.now().since(started);
        record.waited += waited;
        self.context.shared.metrics.waits.add(waited);
        found.ok_or(RejectKind::NoRoom)
    }

    /// Returns how long the requests ahead in the line keep all slots busy that this request may use.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let pool = self.context.listed_pool();
        let upstreams = pool.upstreams.iter();
        let allowed = upstreams
            .map(|key| &self.context.snapshot.upstreams[*key])
            .filter(|listed| is_allowed(&self.context, listed));
        let slots: u32 = allowed.map(|listed| listed.state.info.slots).sum();
        let instances = self.context.shared.instance_count();
        let slot_time = pool.state.slot_time.get().unwrap_or_default();
        // The other instances have lines of about the same length.
        let turns = u32::try_from(ahead * instances).unwrap_or(u32::MAX);
        slot_time.mul_f64(f64::from(turns) / f64::from(slots.max(1)))
    }

    /// Refuses a request that a stopping process would cut.
    fn check_stop(&self) -> Result<(), RejectKind> {
        let Some(grace_left) = self.context.shared.grace_left() else {
            return Ok(());
        };
        let needed = self.context.home_times().cold + STOP_MARGIN;
        if needed > grace_left {
            return Err(RejectKind::Stopping);
        }
        Ok(())
    }

    async fn wait_turn(&self, turn: QueuePosition, until: MonotonicTime) -> bool {
        let line = &self.context.listed_pool().state.line;
        let (sender, receiver) = oneshot::channel();
        line.insert(turn, sender);
        let _leave = LeaveGuard { run: self, turn };
        timeout_at(self.instant_of(until), receiver).await.is_ok()
    }
}

/// Leaves the line also when the caller leaves.
struct LeaveGuard<'a> {
    run: &'a RequestRun,
    turn: QueuePosition,
}

impl Drop for LeaveGuard<'_> {
    fn drop(&mut self) {
        self.run.context.listed_pool().state.line.remove(self.turn);
    }
}
