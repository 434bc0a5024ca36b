//! The faults that the platform stand-in shows on request, and its counts of calls.

use serde::{Deserialize, Serialize};

/// How the platform stand-in behaves while it is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DownMode {
    /// It is not down.
    #[default]
    Up,
    /// It answers each call with status 503.
    Unavailable,
    /// It closes the connection of each call without an answer.
    Closed,
}

/// The faults in force. A change replaces all of them, and a missing field means "no such fault".
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// How calls fail.
    pub down: DownMode,
    /// The delay of each call in milliseconds, before it takes effect.
    pub slow_ms: u64,
    /// How many of the next writes take effect but close the connection without an answer.
    pub lose_answers: u64,
    /// The start of the names of the objects to whose writes `lose_answers` applies.
    pub lose_answer_prefix: String,
    /// Whether watches report nothing until they end.
    pub stall_watches: bool,
    /// Whether the store returns to its saved state, once, when the faults are set.
    pub revert: bool,
}

impl PlatformFaults {
    /// Tells whether the answer to a write of `name` is lost, and counts it.
    pub fn take_lost_answer(&mut self, name: &str) -> bool {
        let lost = self.lose_answers > 0 && name.starts_with(&self.lose_answer_prefix);
        if lost {
            self.lose_answers -= 1;
        }
        lost
    }
}

/// The kinds of calls that the platform stand-in counts.
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

/// How many calls arrived, including those that failed.
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
    /// Watches that started.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Registrations and removals of instances.
    pub registrations: u64,
}

impl CallCounts {
    /// Counts one call.
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
