//! Corrects the weights of instances whose load stays above or below that of their region.
//!
//! Load pattern: a caller's draw depends on its address, so an instance that many callers draw by chance keeps them. A
//! few callers more are a large part of the load of a small instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::RegionKey;

use crate::lookup::instance_capacity::InstanceWeight;
use crate::lookup::lookup_selection::InstanceView;

/// Time in which the correction makes up for a constant deviation. Callers follow a weight after up to five seconds.
const CORRECTION_TIME: Duration = Duration::from_secs(8);
/// Requests by which loads may differ by chance.
const TOLERATED_REQUESTS: f64 = 0.5;
/// Bounds of the correction.
const MIN_CORRECTION: f64 = 0.4;
const MAX_CORRECTION: f64 = 1.6;

/// Factors on the weights of the instances, which follow their loads slowly.
#[derive(Debug, Default)]
pub struct LoadCorrection {
    factors: HashMap<SocketAddr, f64>,
    updated_at: MonotonicTime,
}

impl LoadCorrection {
    /// Updates the factors from the loads, and applies them to the weights of the `instances`. Those that are no longer
    /// among them are forgotten.
    pub fn apply(
        &mut self,
        instances: &[InstanceView],
        weights: &mut [InstanceWeight],
        now: MonotonicTime,
    ) {
        let elapsed = now.since(std::mem::replace(&mut self.updated_at, now));
        let exponent = (elapsed.as_secs_f64() / CORRECTION_TIME.as_secs_f64()).min(1.0);
        let loads = region_loads(instances, weights);
        let mut factors = HashMap::new();
        for (view, weight) in instances.iter().zip(weights) {
            let usual = loads[&view.region] * weight.share;
            let load = view.room.usage.average_in_flight;
            let ratio = (usual + TOLERATED_REQUESTS) / (load + TOLERATED_REQUESTS);
            let previous = self.factors.get(&view.address).copied().unwrap_or(1.0);
            let factor = (previous * ratio.powf(exponent)).clamp(MIN_CORRECTION, MAX_CORRECTION);
            factors.insert(view.address, factor);
            weight.weight *= factor;
        }
        self.factors = factors;
    }
}

/// Returns the requests in progress per share by region.
fn region_loads(instances: &[InstanceView], weights: &[InstanceWeight]) -> HashMap<RegionKey, f64> {
    let mut shares: HashMap<RegionKey, f64> = HashMap::new();
    let mut loads: HashMap<RegionKey, f64> = HashMap::new();
    for (view, weight) in instances.iter().zip(weights) {
        *shares.entry(view.region).or_default() += weight.share;
        *loads.entry(view.region).or_default() += view.room.usage.average_in_flight;
    }
    for (region, load) in &mut loads {
        *load /= shares[region];
    }
    loads
}
