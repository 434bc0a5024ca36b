//! Builds the state dump for the administration API.

use std::sync::atomic::Ordering;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::ConfigAge;

use crate::control_loop::ControlLoop;
use crate::control_messages::whole_millis;
use crate::fleet_snapshot::FleetSnapshot;
use crate::state_dump::{AccountDump, ConfigDump, PeerDump, ShiftDump, StateDump, UpstreamDump};

impl ControlLoop {
    /// Returns a dump of the state. It only reads atomics and the state of the control thread, so it cannot delay a
    /// request.
    pub(crate) fn dump(&mut self, now: MonotonicTime) -> StateDump {
        let snapshot = self.shared.snapshot.load_full();
        let mut dump = StateDump {
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation,
            uptime_s: now.since(MonotonicTime::default()).as_secs(),
            leaving: self.shared.is_leaving(),
            config: self.dump_config(now),
            seat: self.seat.held().map(|held| held.name.clone()),
            requests_in_flight: self.shared.in_flight.load(Ordering::Acquire),
            peers: self.dump_peers(now),
            idempotency_keys: self.shared.replays.len(),
            kept_answer_bytes: self.shared.replays.answer_bytes(),
            suspects: self.suspects.len(),
            ..StateDump::default()
        };
        if let Some(snapshot) = snapshot {
            dump.accounts = dump_accounts(&snapshot);
            dump.upstreams = dump_upstreams(&snapshot);
            dump.shifts = dump_shifts(&snapshot);
        }
        dump
    }

    fn dump_config(&mut self, now: MonotonicTime) -> ConfigDump {
        let Some(version) = self.tracker.in_force() else {
            return ConfigDump::default();
        };
        let own = &self.shared.settings.instance;
        let status =
            self.tracker
                .rollout_status(own, &self.listed_instances, version.generation, now);
        ConfigDump {
            generation: version.generation.0,
            digest: version.digest.to_string(),
            age_ms: self
                .config_age
                .as_mut()
                .and_then(|age| age.age(version, now))
                .map(whole_millis),
            platform_reached: self
                .config_age
                .as_ref()
                .is_some_and(ConfigAge::platform_reached),
            in_force: status.in_force,
            known: status.known,
            behind: status.behind,
            unheard: status.unheard,
            faults: self
                .tracker
                .faults()
                .map(|fault| format!("{:?}", fault.fault))
                .collect(),
        }
    }

    fn dump_peers(&self, now: MonotonicTime) -> Vec<PeerDump> {
        let peers = self.peers.iter();
        peers
            .map(|record| PeerDump {
                instance: record.peer.instance.clone(),
                failure_domain: record.peer.failure_domain.clone(),
                heard_ms_ago: record
                    .last_heartbeat
                    .map(|received_at| whole_millis(now.since(received_at))),
                seats: record.seats.clone(),
                leaving: record.leaving,
            })
            .collect()
    }
}

fn dump_accounts(snapshot: &FleetSnapshot) -> Vec<AccountDump> {
    let accounts = snapshot.config.accounts.iter();
    accounts
        .map(|(key, account)| AccountDump {
            name: account.name.clone(),
            level_milli_tokens: snapshot.accounts[key].bucket.level(),
            capacity_milli_tokens: snapshot.accounts[key].bucket.capacity(),
        })
        .collect()
}

fn dump_upstreams(snapshot: &FleetSnapshot) -> Vec<UpstreamDump> {
    let upstreams = snapshot.config.upstreams.iter();
    upstreams
        .map(|(key, upstream)| {
            let handle = &snapshot.upstream_handles[key];
            UpstreamDump {
                name: upstream.name.clone(),
                slots_held: handle.slots.capacity(),
                slots_used: handle.slots.used(),
                latency_us: u64::try_from(handle.health.latency().as_micros()).unwrap_or(u64::MAX),
                ejected: handle.health.is_ejected(),
                draining: handle.health.is_draining(),
                ramp_permille: handle.health.ramp_permille(),
            }
        })
        .collect()
}

fn dump_shifts(snapshot: &FleetSnapshot) -> Vec<ShiftDump> {
    let shifts = snapshot.config.shifts.iter();
    shifts
        .filter_map(|(key, shift)| {
            let meter = snapshot.shifts.meter(key)?;
            Some(ShiftDump {
                name: shift.name.clone(),
                seen: meter.seen(),
                moved: meter.moved(),
            })
        })
        .collect()
}
