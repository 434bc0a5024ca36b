//! Exchanges what waits for each pool with the other instances in heartbeats, and gives up requests whose turn is no
//! longer expected in time.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::PoolKey;
use coltsfootkeel_protocol::{PoolQueue, RankQueue};
use coltsfootkeel_steering::{QueueLoad, short_hash, stable_hash, turn_time};

use crate::control_loop::ControlLoop;
use crate::entry_snapshot::{EntrySnapshot, ListedPool, QueueSignal};
use crate::fair_wait::own_demand;

/// The time between two halvings of the counts by rank.
const SHARE_DECAY_PERIOD: Duration = Duration::from_secs(1);

/// When the queues were last updated.
#[derive(Debug, Default)]
pub(crate) struct QueueUpdates {
    updated_at: MonotonicTime,
    shares_decayed_at: MonotonicTime,
}

impl ControlLoop {
    /// Updates the rates and the demand at other instances by pool.
    pub(crate) fn update_queues(&mut self, now: MonotonicTime) {
        let period = now.since(self.queue_updates.updated_at);
        self.queue_updates.updated_at = now;
        let is_decay_due = now.since(self.queue_updates.shares_decayed_at) >= SHARE_DECAY_PERIOD;
        if is_decay_due {
            self.queue_updates.shares_decayed_at = now;
        }
        let snapshot = self.shared.snapshot.load_full();
        let Some(snapshot) = snapshot else {
            return;
        };
        let others = self.other_demands(now);
        for (key, pool) in cost_pools(&snapshot) {
            pool.state.completions.update(period);
            if is_decay_due {
                pool.state.fair_queue.shares.decay();
            }
            let demand = others.get(&pool_hash(&snapshot, key)).copied();
            pool.state
                .others
                .store(Arc::new(demand.unwrap_or_default()));
            give_up_hopeless(pool, now);
        }
    }

    /// Returns what waits at the live other instances, by the short hash of the pool.
    fn other_demands(&self, now: MonotonicTime) -> HashMap<u32, QueueLoad> {
        let mut demands: HashMap<u32, QueueLoad> = HashMap::new();
        for (_, peer) in self.peers.live(now) {
            for queue in &peer.heartbeat.queues {
                let demand = demands.entry(queue.pool).or_default();
                let waiting = queue.ranks.iter().map(|rank| rank.waiting);
                demand.waiting = waiting.fold(demand.waiting, u32::saturating_add);
                let oldest_wait = Duration::from_millis(queue.oldest_wait_ms.into());
                demand.oldest_wait = demand.oldest_wait.max(oldest_wait);
                demand.completed_per_s += f64::from(queue.completed_milli) / 1_000.0;
            }
        }
        demands
    }

    /// Returns the queues that the next heartbeat reports.
    pub(crate) fn pool_queues(&self, now: MonotonicTime) -> Vec<PoolQueue> {
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return Vec::new();
        };
        let queues = cost_pools(snapshot).map(|(key, pool)| {
            let summary = pool.state.fair_queue.summary(now);
            let ranks = summary.waiting.iter();
            let oldest_wait_ms = summary.oldest_wait.as_millis();
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let completed_milli = (pool.state.completions.per_s() * 1_000.0) as u32;
            PoolQueue {
                pool: pool_hash(snapshot, key),
                ranks: ranks
                    .map(|(rank, waiting)| RankQueue {
                        rank: *rank,
                        waiting: *waiting,
                    })
                    .collect(),
                oldest_wait_ms: u32::try_from(oldest_wait_ms).unwrap_or(u32::MAX),
                completed_milli,
            }
        });
        queues
            .filter(|queue| !queue.ranks.is_empty() || queue.completed_milli > 0)
            .collect()
    }
}

/// Returns the pools whose upstreams state the cost of work.
fn cost_pools(snapshot: &EntrySnapshot) -> impl Iterator<Item = (PoolKey, &ListedPool)> {
    let pools = snapshot.pools.iter();
    pools.filter(|(_, pool)| pool.state.states_cost.load(Ordering::Relaxed))
}

fn pool_hash(snapshot: &EntrySnapshot, pool: PoolKey) -> u32 {
    let name = &snapshot.plan.pools[pool].name;
    short_hash(stable_hash(name.as_bytes()))
}

/// Ends the wait of the requests whose turn is not expected before they stop to wait.
fn give_up_hopeless(pool: &ListedPool, now: MonotonicTime) {
    let queue = &pool.state.fair_queue;
    if queue.is_empty() {
        return;
    }
    let others = *pool.state.others.load().as_ref();
    let own = own_demand(&pool.state, now);
    let turn_time = turn_time(own, others, own.completed_per_s + others.completed_per_s);
    for sender in queue.remove_hopeless(turn_time, now) {
        // Sending fails if the request has ended in the meantime and dropped the receiver.
        let _ = sender.send(QueueSignal::GiveUp);
    }
}
