//! How many callers an entry instance can serve, relative to the others.
//!
//! Load pattern: instances with a tenth of a core and a link of 10 Mbit/s beside some with half a core and 200 Mbit/s.
//! Evenly spread callers overload the small ones while the large ones are idle.

/// Factor by which links or processors have to differ for instances to be weighed.
const MIN_DIFFERENCE: f64 = 2.0;
/// Used part of the memory for requests above which an instance gets fewer callers.
const MAX_CALM_USAGE: f64 = 0.5;
/// Requests per size, relative to the mean, above which an instance gets fewer callers.
const MAX_CALM_LOAD: f64 = 1.5;
/// Lower bound of the factor on the weight of an instance that is in use. Callers that it keeps show when it recovers.
const MIN_FREE_FACTOR: f64 = 0.1;

/// What the settings grant an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceCapacity {
    /// Processors, in fractions of a core.
    pub processors: f64,
    /// Speed of its link in Mbit/s.
    pub link_mbps: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub descriptors: f64,
}

/// What an instance uses at this moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InstanceUsage {
    /// Requests of callers in progress.
    pub in_flight: u32,
    /// Used part of the memory for requests, from zero to one.
    pub used_part: f64,
}

/// An instance with its weight in look-ups.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InstanceWeight {
    /// Scarcest resource relative to the mean of the fleet.
    pub size: f64,
    /// Size, less what is in use beyond measure.
    pub weight: f64,
}

/// The capacity, if it is known, and the usage of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InstanceRoom {
    /// Capacity in the settings; `None` if the instance did not state it.
    pub capacity: Option<InstanceCapacity>,
    /// Present usage.
    pub usage: InstanceUsage,
}

/// Returns the weights of the instances, in the same order. Returns `None` if they are about equal, so that they need no
/// weights.
#[must_use]
pub fn weigh_instances(rooms: &[InstanceRoom]) -> Option<Vec<InstanceWeight>> {
    let known: Vec<InstanceCapacity> = rooms.iter().filter_map(|room| room.capacity).collect();
    let differs = differ(&known, |capacity| capacity.link_mbps)
        || differ(&known, |capacity| capacity.processors);
    if !differs {
        return None;
    }
    let size = |room: &InstanceRoom| room.capacity.map_or(1.0, |own| relative_size(own, &known));
    let sizes: Vec<f64> = rooms.iter().map(size).collect();
    let in_flight: f64 = rooms
        .iter()
        .map(|room| f64::from(room.usage.in_flight))
        .sum();
    let mean_load = in_flight / sizes.iter().sum::<f64>();
    let weigh = |(room, size): (&InstanceRoom, &f64)| InstanceWeight {
        size: *size,
        weight: size * free_factor(room.usage, *size, mean_load),
    };
    Some(rooms.iter().zip(&sizes).map(weigh).collect())
}

/// Returns whether the largest value exceeds the smallest by more than [`MIN_DIFFERENCE`].
fn differ(known: &[InstanceCapacity], value: impl Fn(&InstanceCapacity) -> f64) -> bool {
    let values = known.iter().map(value);
    let (least, most) = values.fold((f64::INFINITY, 0.0_f64), |(least, most), value| {
        (least.min(value), most.max(value))
    });
    most > MIN_DIFFERENCE * least
}

/// Returns the scarcest resource of an instance relative to the mean of the known ones.
fn relative_size(own: InstanceCapacity, known: &[InstanceCapacity]) -> f64 {
    let relative = |value: fn(&InstanceCapacity) -> f64| {
        let sum: f64 = known.iter().map(value).sum();
        #[expect(clippy::cast_precision_loss)]
        let mean = sum / known.len() as f64;
        value(&own) / mean
    };
    [
        relative(|capacity| capacity.processors),
        relative(|capacity| capacity.link_mbps),
        relative(|capacity| capacity.memory_mb),
        relative(|capacity| capacity.descriptors),
    ]
    .into_iter()
    .fold(f64::INFINITY, f64::min)
}

/// Returns the factor on the weight of an instance by what is free there.
fn free_factor(usage: InstanceUsage, size: f64, mean_load: f64) -> f64 {
    let free_part = (1.0 - usage.used_part) / (1.0 - MAX_CALM_USAGE);
    let load = f64::from(usage.in_flight) / size;
    // One request more or less at a small instance is no overload.
    let calm_load = MAX_CALM_LOAD * mean_load + 1.0 / size;
    let load_part = calm_load / load.max(calm_load);
    free_part.min(load_part).clamp(MIN_FREE_FACTOR, 1.0)
}
