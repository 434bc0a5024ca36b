//! Exchanges what waits for each pool with the other instances in heartbeats, and gives up requests whose turn is no
//! longer expected in time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::PoolKey;
use coltsfootkeel_protocol::{PoolQueue, RankQueue, UpstreamQueue};
use coltsfootkeel_steering::{
    CompetingRequests, QueueLoad, QueueSummary, QueuedRequest, short_hash, stable_hash,
};

use crate::control_loop::ControlLoop;
use crate::entry_snapshot::{EntrySnapshot, ListedPool, QueueSignal};
use crate::fair_wait::capacity_per_s;

/// The time between two halvings of the counts by rank.
const SHARE_DECAY_PERIOD: Duration = Duration::from_secs(1);
/// The largest number of upstreams of a pool whose waiting requests a heartbeat reports, about 180 bytes.
const MAX_SENT_UPSTREAMS: usize = 16;

/// When the queues were last updated.
#[derive(Debug, Default)]
pub(crate) struct QueueUpdates {
    updated_at: MonotonicTime,
    shares_decayed_at: MonotonicTime,
}

/// What waits for one pool at the other instances.
#[derive(Debug, Default)]
struct OtherQueues {
    load: QueueLoad,
    competing: CompetingRequests,
}

impl OtherQueues {
    fn add(&mut self, queue: &PoolQueue) {
        let ranks = queue.ranks.iter().map(|rank| rank.waiting);
        let waiting = ranks.fold(0, u32::saturating_add);
        self.load.waiting = self.load.waiting.saturating_add(waiting);
        let oldest_wait = Duration::from_millis(queue.oldest_wait_ms.into());
        self.load.oldest_wait = self.load.oldest_wait.max(oldest_wait);
        self.load.completed_per_s += f64::from(queue.completed_milli) / 1_000.0;
        self.competing.waiting += f64::from(waiting);
        for upstream in &queue.upstreams {
            let waiting = f64::from(upstream.waiting_milli) / 1_000.0;
            *self
                .competing
                .by_upstream
                .entry(upstream.upstream)
                .or_default() += waiting;
        }
    }
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
        let mut others = self.other_queues(now);
        for (key, pool) in contended_pools(&snapshot) {
            pool.state.completions.update(period);
            if is_decay_due {
                pool.state.fair_queue.shares.decay();
            }
            let other = others.remove(&pool_hash(&snapshot, key));
            let OtherQueues { load, competing } = other.unwrap_or_default();
            pool.state.others.store(Arc::new(load));
            pool.state.competing_elsewhere.store(Arc::new(competing));
            shed_waiting(&snapshot, pool, now);
        }
    }

    /// Returns what waits at the live other instances, by the short hash of the pool.
    fn other_queues(&self, now: MonotonicTime) -> HashMap<u32, OtherQueues> {
        let mut others: HashMap<u32, OtherQueues> = HashMap::new();
        for (_, peer) in self.peers.live(now) {
            for queue in &peer.heartbeat.queues {
                others.entry(queue.pool).or_default().add(queue);
            }
        }
        others
    }

    /// Returns the queues that the next heartbeat reports.
    pub(crate) fn pool_queues(&self, now: MonotonicTime) -> Vec<PoolQueue> {
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return Vec::new();
        };
        let queues = contended_pools(snapshot).map(|(key, pool)| {
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
                upstreams: upstream_queues(&summary),
            }
        });
        queues
            .filter(|queue| !queue.ranks.is_empty() || queue.completed_milli > 0)
            .collect()
    }
}

/// Returns the upstreams for which most requests wait, as messages.
fn upstream_queues(summary: &QueueSummary) -> Vec<UpstreamQueue> {
    let heaviest = summary.competing.heaviest(MAX_SENT_UPSTREAMS);
    let messages = heaviest.into_iter().map(|(upstream, waiting)| {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let waiting_milli = (waiting * 1_000.0) as u32;
        UpstreamQueue {
            upstream,
            waiting_milli,
        }
    });
    messages.collect()
}

/// Returns the pools for whose room callers compete.
fn contended_pools(snapshot: &EntrySnapshot) -> impl Iterator<Item = (PoolKey, &ListedPool)> {
    let pools = snapshot.pools.iter();
    pools.filter(|(_, pool)| pool.state.is_contended())
}

fn pool_hash(snapshot: &EntrySnapshot, pool: PoolKey) -> u32 {
    let name = &snapshot.plan.pools[pool].name;
    short_hash(stable_hash(name.as_bytes()))
}

/// Ends the wait of the requests whose turn at the upstreams that suit them is not expected before they stop to wait.
fn shed_waiting(snapshot: &EntrySnapshot, pool: &ListedPool, now: MonotonicTime) {
    let queue = &pool.state.fair_queue;
    let Some(slot_time) = pool.state.slot_time.get() else {
        return;
    };
    if queue.is_empty() {
        return;
    }
    let own = queue.summary(now).competing;
    let others = pool.state.competing_elsewhere.load();
    let upstreams = u32::try_from(pool.upstreams.len()).unwrap_or(u32::MAX);
    let turns_per_s = |request: &QueuedRequest| {
        let suitable = pool
            .upstreams
            .iter()
            .map(|key| &snapshot.upstreams[*key])
            .filter(|listed| listed.state.is_usable())
            .filter(|listed| request.suitable.contains(short_hash(listed.state.hash)));
        let own = own.count(&request.suitable, upstreams);
        let others = others.count(&request.suitable, upstreams);
        capacity_per_s(suitable, slot_time, now) * (own + 1.0) / (own + others + 1.0)
    };
    for sender in queue.shed(turns_per_s, now) {
        // Sending fails if the request has ended in the meantime and dropped the receiver.
        let _ = sender.send(QueueSignal::GiveUp);
    }
}
