//! Decides whether this instance watches the shared lists of the store itself, or reads them when another instance
//! reports a change.

use coltsfootkeel_adapter::ObjectKind;
use coltsfootkeel_steering::StorePosition;
use tokio::sync::watch;

/// A position of the store for each shared list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListPositions {
    /// The position of the list of upstreams.
    pub upstreams: StorePosition,
    /// The position of the list of evacuations.
    pub evacuations: StorePosition,
    /// The position of the list of entry instances.
    pub instances: StorePosition,
}

impl ListPositions {
    /// Returns the start of an era for all lists.
    #[must_use]
    pub fn start_of(era: u64) -> Self {
        let start = StorePosition::start_of(era);
        Self {
            upstreams: start,
            evacuations: start,
            instances: start,
        }
    }

    /// Returns the position of one list; that of an unknown state for other kinds.
    #[must_use]
    pub fn of(&self, kind: ObjectKind) -> StorePosition {
        match kind {
            ObjectKind::Upstreams => self.upstreams,
            ObjectKind::Evacuations => self.evacuations,
            ObjectKind::Instances => self.instances,
            ObjectKind::Config | ObjectKind::WarmPlaces => StorePosition::default(),
        }
    }

    /// Sets the position of one list.
    pub fn set(&mut self, kind: ObjectKind, position: StorePosition) {
        match kind {
            ObjectKind::Upstreams => self.upstreams = position,
            ObjectKind::Evacuations => self.evacuations = position,
            ObjectKind::Instances => self.instances = position,
            ObjectKind::Config | ObjectKind::WarmPlaces => {}
        }
    }

    fn advance(&mut self, other: ListPositions) {
        self.upstreams = self.upstreams.max(other.upstreams);
        self.evacuations = self.evacuations.max(other.evacuations);
        self.instances = self.instances.max(other.instances);
    }
}

/// The versions of the plan that this instance knows of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlanVersions {
    /// The version of the active plan; zero without one.
    pub active: u64,
    /// The newest version that is in force here or at another instance.
    pub newest: u64,
}

/// The reason to read a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadCause {
    /// This instance is a reader and watches the list itself.
    OwnWatch,
    /// Another instance reported a change.
    PeerReport,
    /// The configuration cannot be read, so the entries of the list may have expired.
    Outage,
}

/// The kinds whose last call to the store failed. All lists count as one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct FailingKinds {
    config: bool,
    lists: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReaderState {
    is_reader: bool,
    /// The place among the readers; kept while this instance is none.
    rank: usize,
    /// Whether another instance reads the lists of the store.
    has_other_reader: bool,
    failing: FailingKinds,
    plan_versions: PlanVersions,
    /// The newest known era of the store.
    era: u64,
    /// The newest known position of each list.
    newest: ListPositions,
    /// The positions up to which the control thread has applied the changes.
    applied: ListPositions,
}

impl ReaderState {
    /// Returns whether another instance has received a change of a kind that this one, which read the kind up to
    /// `position`, has not.
    fn is_behind(&self, kind: ObjectKind, position: StorePosition) -> bool {
        match kind {
            ObjectKind::Config => self.plan_versions.active < self.plan_versions.newest,
            _ => self.newest.of(kind) > position.max(self.applied.of(kind)),
        }
    }

    /// Returns whether another instance has received a change of any kind that this one has not applied.
    fn is_any_behind(&self) -> bool {
        self.plan_versions.active < self.plan_versions.newest
            || self.newest.upstreams > self.applied.upstreams
            || self.newest.evacuations > self.applied.evacuations
            || self.newest.instances > self.applied.instances
    }

    /// Returns whether a watch that continues `position` misses a change that another instance has received, or a new
    /// era.
    fn is_watch_behind(&self, kind: ObjectKind, position: StorePosition) -> bool {
        self.is_behind(kind, position) || position.era < self.era
    }
}

/// The reader role of this instance and the known positions, shared by the control loop and the tasks that read the
/// store.
#[derive(Debug)]
pub struct ReaderRole {
    state: watch::Sender<ReaderState>,
}

impl Default for ReaderRole {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(ReaderState {
                is_reader: true,
                rank: 0,
                has_other_reader: false,
                failing: FailingKinds::default(),
                plan_versions: PlanVersions::default(),
                era: 0,
                newest: ListPositions::default(),
                applied: ListPositions::default(),
            }),
        }
    }
}

impl ReaderRole {
    /// Sets the place of this instance among the few that watch the store for all; `None` if it is not one of them.
    pub fn set_rank(&self, rank: Option<usize>) {
        let is_reader = rank.is_some();
        if self.state.borrow().is_reader != is_reader {
            log::info!(is_reader; "store: The role of this instance as a reader for the others has changed.");
        }
        self.change(|state| {
            state.is_reader = is_reader;
            state.rank = rank.unwrap_or(state.rank);
        });
    }

    /// Returns the latest place of this instance among the readers.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.state.borrow().rank
    }

    /// Sets whether another instance reads the lists of the store.
    pub fn set_other_reader(&self, has_other_reader: bool) {
        self.change(|state| state.has_other_reader = has_other_reader);
    }

    /// Returns whether another instance reads the lists of the store, so that it is not down for all.
    #[must_use]
    pub fn has_other_reader(&self) -> bool {
        self.state.borrow().has_other_reader
    }

    /// Returns whether this instance watches the lists: as a reader, or because it cannot read the configuration.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let state = self.state.borrow();
        state.is_reader || state.failing.config
    }

    /// Sets whether the last call for a kind failed.
    pub fn set_failing(&self, kind: ObjectKind, is_failing: bool) {
        self.change(|state| match kind {
            ObjectKind::Config => state.failing.config = is_failing,
            _ => state.failing.lists = is_failing,
        });
    }

    /// Sets the version of the active plan and the newest one that any instance has.
    pub fn set_plan_versions(&self, versions: PlanVersions) {
        self.change(|state| state.plan_versions = versions);
    }

    /// Waits until a watch that continues `position` misses a change that another instance has received, or a new era.
    pub async fn wait_until_watch_behind(&self, kind: ObjectKind, position: StorePosition) {
        let mut state = self.state.subscribe();
        // The wait cannot fail, because the sender lives as long as `self`.
        let _ = state
            .wait_for(|state| state.is_watch_behind(kind, position))
            .await;
    }

    /// Waits until another instance has received a change of any kind that this one has not applied.
    pub async fn wait_until_any_behind(&self) {
        let mut state = self.state.subscribe();
        // The wait cannot fail, because the sender lives as long as `self`.
        let _ = state.wait_for(ReaderState::is_any_behind).await;
    }

    /// Returns how many kinds failed in their last call. All lists count as one kind.
    #[must_use]
    pub fn failing_kinds(&self) -> u32 {
        let state = self.state.borrow();
        u32::from(state.failing.config) + u32::from(state.failing.lists)
    }

    /// Raises the known positions to those of changes that this instance or another one received.
    pub fn advance(&self, positions: ListPositions) {
        self.change(|state| state.newest.advance(positions));
    }

    /// Raises the known position of one kind.
    pub fn advance_kind(&self, kind: ObjectKind, position: StorePosition) {
        let mut positions = ListPositions::default();
        positions.set(kind, position);
        self.advance(positions);
    }

    /// Raises the known era of the store. All lists have to be read again in a new one.
    pub fn advance_era(&self, era: u64) {
        self.change(|state| {
            state.era = state.era.max(era);
            state.newest.advance(ListPositions::start_of(era));
        });
    }

    /// Returns the newest known era of the store.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.state.borrow().era
    }

    /// Sets the positions up to which the control thread has applied the changes.
    pub fn set_applied(&self, applied: ListPositions) {
        self.change(|state| state.applied = applied);
    }

    /// Returns the position up to which the control thread has applied the changes of a list; the default one for other
    /// kinds.
    #[must_use]
    pub fn applied(&self, kind: ObjectKind) -> StorePosition {
        self.state.borrow().applied.of(kind)
    }

    /// Returns whether another instance has received a change of a kind that this one, which read the kind up to
    /// `position`, has not.
    #[must_use]
    pub fn is_behind(&self, kind: ObjectKind, position: StorePosition) -> bool {
        self.state.borrow().is_behind(kind, position)
    }

    /// Returns whether a watch that continues `position` misses a change that another instance has received, or a new
    /// era.
    #[must_use]
    pub fn is_watch_behind(&self, kind: ObjectKind, position: StorePosition) -> bool {
        self.state.borrow().is_watch_behind(kind, position)
    }

    /// Returns the newest known positions.
    #[must_use]
    pub fn newest(&self) -> ListPositions {
        self.state.borrow().newest
    }

    /// Waits until a kind that was read up to `position` has to be read again, and returns the reason.
    pub async fn wait_until_due(&self, kind: ObjectKind, position: StorePosition) -> ReadCause {
        let mut state = self.state.subscribe();
        let is_due = |state: &ReaderState| {
            state.is_reader || state.failing.config || state.is_behind(kind, position)
        };
        // The wait cannot fail, because the sender lives as long as `self`.
        match state.wait_for(is_due).await {
            Ok(state) if state.is_reader => ReadCause::OwnWatch,
            Ok(state) if state.failing.config => ReadCause::Outage,
            _ => ReadCause::PeerReport,
        }
    }

    fn change(&self, change: impl FnOnce(&mut ReaderState)) {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        });
    }
}
