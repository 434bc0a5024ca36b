//! The upstream that was selected for a request, and why.

use std::time::Duration;

/// Why an upstream was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// It is warm and answers within the objective.
    Warm,
    /// It is warm and has a free slot, and every warm upstream misses the objective.
    Late,
    /// The object is warm nowhere, and the upstream is the first in its preference order.
    New,
    /// The object is warm nowhere, and the upstreams that it prefers are full.
    Overflow,
    /// Every warm upstream misses the objective, so the object is placed at one more.
    Expansion,
    /// The object prefers it to the upstream where it is warm.
    Migration,
    /// No instance has sent it a request yet.
    Untried,
}

impl PlacementReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Warm,
        Self::Late,
        Self::New,
        Self::Overflow,
        Self::Expansion,
        Self::Migration,
        Self::Untried,
    ];

    /// Returns the code of the reason in logs and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Late => "late",
            Self::New => "new",
            Self::Overflow => "overflow",
            Self::Expansion => "expansion",
            Self::Migration => "migration",
            Self::Untried => "untried",
        }
    }
}

/// The upstream selected for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementDecision<K> {
    /// Key of the selected upstream.
    pub key: K,
    /// Why it was selected.
    pub reason: PlacementReason,
    /// Key of the first upstream in the preference order of the object, whatever its load.
    pub preferred: K,
    /// Whether the upstream is in another region than the object's current one, see
    /// [`PlacementRequest::may_change_region`](crate::PlacementRequest::may_change_region).
    pub changes_region: bool,
    /// Expected time until the response, including the queue.
    pub expected: Duration,
    /// Expected time in the queue of the upstream.
    pub queue_delay: Duration,
    /// Whether the upstream is expected to have the object cached.
    pub is_warm: bool,
}
