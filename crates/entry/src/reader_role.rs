//! What this instance reads from the store for itself, and what other instances tell it to read.

use coltsfootkeel_adapter::ObjectKind;
use tokio::sync::watch;

/// The revisions up to which changes of lists are known to exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindRevisions {
    /// Of the upstreams.
    pub upstreams: u64,
    /// Of the failure domains that are emptied.
    pub evacuations: u64,
    /// Of the entry instances.
    pub instances: u64,
}

impl KindRevisions {
    fn of(&self, kind: ObjectKind) -> u64 {
        match kind {
            ObjectKind::Upstreams => self.upstreams,
            ObjectKind::Evacuations => self.evacuations,
            ObjectKind::Instances => self.instances,
            ObjectKind::Config | ObjectKind::WarmPlaces => 0,
        }
    }

    fn advance(&mut self, other: KindRevisions) {
        self.upstreams = self.upstreams.max(other.upstreams);
        self.evacuations = self.evacuations.max(other.evacuations);
        self.instances = self.instances.max(other.instances);
    }
}

/// Why a list is read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadCause {
    /// This instance watches.
    OwnWatch,
    /// Another instance saw a change.
    PeerReport,
    /// The configuration cannot be read, so the list may have lapsed.
    Outage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReaderState {
    is_reader: bool,
    is_config_failing: bool,
    is_list_failing: bool,
    revisions: KindRevisions,
}

/// The duty, shared by the control loop and the tasks that read.
#[derive(Debug)]
pub struct ReaderRole {
    state: watch::Sender<ReaderState>,
}

impl Default for ReaderRole {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(ReaderState {
                is_reader: true,
                is_config_failing: false,
                is_list_failing: false,
                revisions: KindRevisions::default(),
            }),
        }
    }
}

impl ReaderRole {
    /// Sets whether this instance watches.
    pub fn set_reader(&self, is_reader: bool) {
        self.change(|state| state.is_reader = is_reader);
    }

    /// Tells whether this instance watches the lists.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let state = self.state.borrow();
        state.is_reader || state.is_config_failing
    }

    /// Notes whether a kind can be read.
    pub fn set_failing(&self, kind: ObjectKind, is_failing: bool) {
        self.change(|state| match kind {
            ObjectKind::Config => state.is_config_failing = is_failing,
            _ => state.is_list_failing = is_failing,
        });
    }

    /// Returns how many kinds failed in their last call, with all lists as one.
    #[must_use]
    pub fn failing_kinds(&self) -> u32 {
        let state = self.state.borrow();
        u32::from(state.is_config_failing) + u32::from(state.is_list_failing)
    }

    /// Notes changes that this instance or another one saw.
    pub fn advance(&self, revisions: KindRevisions) {
        self.change(|state| state.revisions.advance(revisions));
    }

    /// Notes a change of one kind.
    pub fn advance_kind(&self, kind: ObjectKind, revision: u64) {
        let mut revisions = KindRevisions::default();
        match kind {
            ObjectKind::Upstreams => revisions.upstreams = revision,
            ObjectKind::Evacuations => revisions.evacuations = revision,
            ObjectKind::Instances => revisions.instances = revision,
            ObjectKind::Config | ObjectKind::WarmPlaces => return,
        }
        self.advance(revisions);
    }

    /// Returns the revisions of the newest known changes.
    #[must_use]
    pub fn revisions(&self) -> KindRevisions {
        self.state.borrow().revisions
    }

    /// Waits until a kind that was read up to `revision` is to be read again.
    pub async fn wait_until_due(&self, kind: ObjectKind, revision: u64) -> ReadCause {
        let mut state = self.state.subscribe();
        let is_due = |state: &ReaderState| {
            state.is_reader || state.is_config_failing || state.revisions.of(kind) > revision
        };
        // The sender lives as long as this value.
        match state.wait_for(is_due).await {
            Ok(state) if state.is_reader => ReadCause::OwnWatch,
            Ok(state) if state.is_config_failing => ReadCause::Outage,
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
