//! The registrations of the instances in the store: that of this one, and those of others that have ended.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::control_loop::ControlLoop;
use crate::member_list::{register, unregister};

/// A registered instance that sends no heartbeat for this long is removed from the store by another one.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(15);

impl ControlLoop {
    pub(crate) fn start_registration(&mut self) {
        self.is_registering = true;
        let shared = Arc::clone(&self.shared);
        tokio::spawn(register(shared, Arc::clone(&self.client)));
    }

    /// Registers this instance again if its registration was removed or replaced by that of an earlier process.
    pub(crate) fn check_registration(&mut self) {
        let own = self.members.get(&self.shared.settings.instance);
        let is_registered = own
            .is_some_and(|own| !own.is_kept && own.record.incarnation == self.shared.incarnation);
        if is_registered {
            self.is_registering = false;
        } else if !self.is_registering && !self.shared.is_stopping() {
            self.start_registration();
        }
    }

    pub(crate) fn leave_fleet(&mut self) {
        self.publish_fleet(self.shared.clock.now());
        self.pending.hurry();
        self.send_heartbeats();
        if let Some(own) = self.members.get(&self.shared.settings.instance) {
            let name = self.shared.settings.instance.clone();
            self.start_removal(name, own.position.revision);
        }
    }

    /// Removes the registrations of instances that send no heartbeats. Only the live instance with the lowest hash does
    /// so.
    pub(crate) fn remove_silent_members(&self, now: MonotonicTime) {
        let own_hash = self.shared.own_hash;
        let mut live = self.peers.live(now).peekable();
        let is_alone = live.peek().is_none();
        if is_alone || live.any(|(hash, _)| hash < own_hash) {
            return;
        }
        for (name, member) in self.members.iter() {
            let hash = member.hash;
            let received = self.peers.get(hash).map(|peer| peer.received_at);
            let last_seen = received.map_or(member.updated_at, |received| {
                received.max(member.updated_at)
            });
            // A revision of an earlier era may have been given out again.
            let is_present_era = member.position.era == self.shared.reader_role.era();
            if hash != own_hash && is_present_era && now.since(last_seen) > REMOVAL_TIMEOUT {
                log::info!(instance = name.as_str(); "members: Removing an instance that sends no heartbeats.");
                self.start_removal(name.clone(), member.position.revision);
            }
        }
    }

    fn start_removal(&self, name: String, revision: u64) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(unregister(shared, Arc::clone(&self.client), name, revision));
    }
}
