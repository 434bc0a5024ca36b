//! Faults and call counts of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Failure of all calls to the platform stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DownMode {
    /// Calls do not fail.
    #[default]
    Up,
    /// Each call is answered with status 503.
    Unavailable,
    /// The connection of each call is closed without an answer.
    Closed,
}

/// Current faults of the platform stand-in. A change replaces all of them, and a missing field turns its fault off.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Failure of all calls.
    pub down: DownMode,
    /// Delay of each call in milliseconds, before it takes effect.
    pub slow_ms: u64,
    /// Number of following writes that take effect but whose connection is closed without an answer.
    pub lose_answers: u64,
    /// Prefix of the names of the objects to whose writes `lose_answers` applies.
    pub lose_answer_prefix: String,
    /// Whether watches are held open without an answer, also beyond their wait time.
    pub stall_watches: bool,
    /// Whether the store reverts to its saved state once, when the faults are set.
    pub revert: bool,
}

impl PlatformFaults {
    /// Returns whether the answer to a write of `name` is lost, and decrements `lose_answers` if so.
    pub fn take_lost_answer(&mut self, name: &str) -> bool {
        let is_lost = self.lose_answers > 0 && name.starts_with(&self.lose_answer_prefix);
        if is_lost {
            self.lose_answers -= 1;
        }
        is_lost
    }
}

/// Kind of a call that the platform stand-in counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read of an object.
    Read,
    /// Write of an object.
    Write,
    /// Removal of an object.
    Delete,
    /// List of objects.
    List,
    /// Watch, counted once when it starts.
    Watch,
    /// Read of the list of instances.
    Instances,
    /// Registration or removal of an instance.
    Registration,
}

/// Number of received calls by kind, including those that failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of objects.
    pub reads: u64,
    /// Writes of objects.
    pub writes: u64,
    /// Removals of objects.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Started watches.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Registrations and removals of instances.
    pub registrations: u64,
}

impl CallCounts {
    /// Counts one call of a kind.
    pub fn add(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
            CallKind::Delete => &mut self.deletes,
            CallKind::List => &mut self.lists,
            CallKind::Watch => &mut self.watches,
            CallKind::Instances => &mut self.instances,
            CallKind::Registration => &mut self.registrations,
        };
        *count += 1;
    }
}
