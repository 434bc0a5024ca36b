//! The failure domains that operators evacuate, also while the store's list is from an older copy.
//!
//! Load pattern: after a return of the store, its list may lack an evacuation that is in force, or hold one that was taken
//! back. Requests would run in a domain that loses its power, or a whole domain would be left unused.

use std::collections::HashSet;

/// The names of the evacuated failure domains.
#[derive(Debug, Default)]
pub struct EvacuationList {
    listed: HashSet<String>,
    /// What was known before the store returned, with the changes since; `None` while the list of the store counts.
    kept: Option<HashSet<String>>,
    has_list: bool,
}

impl EvacuationList {
    /// Replaces the list by that of the store. `keeps_known` states that the list may be from an older copy, so that a known
    /// one stays in force.
    pub fn replace(&mut self, listed: HashSet<String>, keeps_known: bool) {
        let known = std::mem::replace(&mut self.listed, listed);
        if keeps_known && self.has_list {
            self.kept.get_or_insert(known);
        } else {
            self.kept = None;
        }
        self.has_list = true;
    }

    /// Applies a change that was written after the list.
    pub fn change(&mut self, name: &str, is_evacuated: bool) {
        for names in std::iter::once(&mut self.listed).chain(&mut self.kept) {
            if is_evacuated {
                names.insert(name.to_string());
            } else {
                names.remove(name);
            }
        }
    }

    /// Puts the list of the store in force. Returns whether another one was kept until now.
    pub fn settle(&mut self) -> bool {
        self.kept.take().is_some()
    }

    /// Returns the names of the domains that receive no requests.
    #[must_use]
    pub fn in_force(&self) -> &HashSet<String> {
        self.kept.as_ref().unwrap_or(&self.listed)
    }
}
