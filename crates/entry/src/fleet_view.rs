//! Publishes the instances that look-ups may name, with their weights, and what this instance uses.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;
use coltsfootkeel_steering::{
    InstanceRoom, InstanceView, KnownInstance, LoadCorrection, NameableInstances, SharerSizes,
    UsageMeter, UsageReading, nameable_instances, sharing_instances, weigh_instances,
};
use nix::time::{ClockId, clock_gettime};

use crate::control_loop::ControlLoop;
use crate::entry_metrics::CounterName;
use crate::shared_state::FleetView;

/// What was observed when the fleet was published last.
#[derive(Debug, Default)]
pub(crate) struct FleetObserver {
    usage_meter: UsageMeter,
    load_correction: LoadCorrection,
    lost_domains: BTreeSet<DomainKey>,
    is_cut_off: bool,
}

impl ControlLoop {
    /// Updates the averages of what this instance uses.
    pub(crate) fn measure_usage(&mut self, now: MonotonicTime) {
        let Some(capacity) = self.shared.settings.capacity else {
            return;
        };
        let processor_time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
        let reading = UsageReading {
            // Without the clock the processors count as unused.
            processor_time: processor_time.map_or(Duration::ZERO, Duration::from),
            processors: capacity.processors,
            in_flight: self.shared.in_flight.load(Ordering::Acquire),
        };
        let average = self.fleet_observer.usage_meter.update(reading, now);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let milli = |value: f64| (value * 1_000.0) as u32;
        let shared = &self.shared;
        shared
            .processor_milli
            .store(milli(average.processor_part), Ordering::Relaxed);
        shared
            .in_flight_milli
            .store(milli(average.in_flight), Ordering::Relaxed);
    }

    /// Publishes the instances to the threads that answer look-ups and that spend shares of limits.
    pub(crate) fn publish_fleet(&mut self, now: MonotonicTime) {
        let sizes = self.known_sizes();
        let known = self.peers.observe_instances(now);
        let mut nameable = if sizes.is_empty() {
            NameableInstances {
                views: self.peers.views(now),
                is_cut_off: false,
            }
        } else {
            nameable_instances(&known)
        };
        nameable.views.push(self.own_view());
        let (instances, is_cut_off) = (nameable.views, nameable.is_cut_off);
        let hashes = self.live_hashes(now);
        let registered: Vec<u64> = self.members.hashes().collect();
        let sharing = sharing_instances(&hashes, &registered);
        let rooms: Vec<InstanceRoom> = instances.iter().map(|view| view.room).collect();
        let sharer_sizes = if sizes.is_empty() {
            SharerSizes::default()
        } else {
            SharerSizes::new(&sharing, &sizes)
        };
        if !sizes.is_empty() {
            self.log_lost_domains(&known);
        }
        self.log_cut_off(is_cut_off);
        let mut weights = weigh_instances(&rooms);
        if let Some(weights) = &mut weights {
            let correction = &mut self.fleet_observer.load_correction;
            correction.apply(&instances, weights, now);
        }
        self.shared.fleet.store(Arc::new(FleetView {
            instances,
            weights,
            hashes,
            sharing_instances: sharing,
            sharer_sizes,
            is_cut_off,
        }));
    }

    /// Returns the hashes of the names of the live instances, this one included.
    pub(crate) fn live_hashes(&self, now: MonotonicTime) -> Vec<u64> {
        let live = self.peers.live(now).map(|(hash, _)| hash);
        live.chain([self.shared.own_hash]).collect()
    }

    fn own_view(&self) -> InstanceView {
        InstanceView {
            address: self.shared.settings.entry,
            domain: self.shared.home.domain,
            region: self.shared.home.region,
            is_accepting: self.shared.is_accepting(),
            room: self.shared.own_room(),
        }
    }

    /// Returns the sizes of the known instances, live or not, by the hashes of their names. Empty if they are about
    /// equal.
    fn known_sizes(&self) -> HashMap<u64, f64> {
        let own = (self.shared.own_hash, self.shared.own_room());
        let (hashes, rooms): (Vec<u64>, Vec<InstanceRoom>) =
            self.peers.rooms().chain([own]).unzip();
        let weights = weigh_instances(&rooms).unwrap_or_default();
        let sizes = weights.into_iter().map(|weight| weight.size);
        hashes.into_iter().zip(sizes).collect()
    }

    fn log_lost_domains(&mut self, known: &[KnownInstance]) {
        let is_silent = |known: &&KnownInstance| known.is_lost && known.silence < known.timeout;
        let lost = known.iter().filter(is_silent);
        let lost: BTreeSet<DomainKey> = lost.map(|known| known.view.domain).collect();
        for domain in lost.difference(&self.fleet_observer.lost_domains) {
            let name = self.shared.topology.domains[*domain].name.as_str();
            log::warn!(domain = name; "look-ups: The instances of a failure domain fell silent together and are left out.");
            self.shared.metrics.count(CounterName::LostDomains);
        }
        self.fleet_observer.lost_domains = lost;
    }

    fn log_cut_off(&mut self, is_cut_off: bool) {
        let was_cut_off = std::mem::replace(&mut self.fleet_observer.is_cut_off, is_cut_off);
        if is_cut_off && !was_cut_off {
            log::warn!("look-ups: Few other instances are heard, also naming those heard last.");
        } else if was_cut_off && !is_cut_off {
            log::info!("look-ups: No longer naming instances that are not heard.");
        }
    }
}
