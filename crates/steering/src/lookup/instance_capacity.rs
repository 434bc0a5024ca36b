//! How many callers an entry instance can serve, relative to the others.
//!
//! Load pattern: instances with a tenth of a core and a link of 10 Mbit/s beside some with half a core and 200 Mbit/s.
//! Evenly spread callers overload the small ones while the large ones are idle.

/// Factor by which links or processors have to differ for instances to be weighed.
const MIN_DIFFERENCE: f64 = 2.0;
/// Used part of the memory for requests above which an instance gets fewer callers. One large answer takes much of it.
const MAX_CALM_MEMORY: f64 = 0.5;
/// Used part of the processors above which an instance gets fewer callers.
const MAX_CALM_PROCESSOR: f64 = 0.8;
/// Used part of the connections above which an instance gets fewer callers.
const MAX_CALM_CONNECTIONS: f64 = 0.8;
/// Part of the root of the expected requests that is kept free. Callers choose by chance, so the load of an instance
/// varies with the root of its expected requests, which is more relative to its size at a small one.
const HEADROOM: f64 = 0.8;
/// Average requests by which the loads of instances may differ by chance.
const TOLERATED_REQUESTS: f64 = 0.25;
/// Upper bound of the factor on the weight of an instance with a low load.
const MAX_IDLE_FACTOR: f64 = 1.25;
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
    /// Average of the requests of callers in progress.
    pub average_in_flight: f64,
    /// Used part of the memory for requests, from zero to one.
    pub memory_part: f64,
    /// Used part of the processors. It may exceed one for a short time.
    pub processor_part: f64,
    /// Open connections of callers per connection that may be open, from zero to one.
    pub connection_part: f64,
}

/// An instance with its weight in look-ups.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InstanceWeight {
    /// Scarcest resource relative to the mean of the fleet.
    pub size: f64,
    /// Size, less the room for variations of the load: what it should serve relative to others.
    pub share: f64,
    /// Share, less what is in use beyond measure.
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
    let in_flight: f64 = rooms.iter().map(|room| room.usage.average_in_flight).sum();
    let mean_load = in_flight / sizes.iter().sum::<f64>();
    let weigh = |(room, size): (&InstanceRoom, &f64)| {
        let share = size * headroom_factor(*size, mean_load);
        InstanceWeight {
            size: *size,
            share,
            weight: share * free_factor(room.usage, *size, mean_load),
        }
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

/// Returns the factor on the weight of an instance that keeps room for variations of its load.
fn headroom_factor(size: f64, mean_load: f64) -> f64 {
    let expected = (size * mean_load).max(1.0);
    1.0 / (1.0 + HEADROOM / expected.sqrt())
}

/// Returns the factor on the weight of an instance by what is free there.
fn free_factor(usage: InstanceUsage, size: f64, mean_load: f64) -> f64 {
    let free_part = |used: f64, max_calm: f64| (1.0 - used) / (1.0 - max_calm);
    let load = (usage.average_in_flight + TOLERATED_REQUESTS) / size;
    let usual_load = mean_load + TOLERATED_REQUESTS / size;
    // The load follows the weight after seconds. The root keeps the two from swinging.
    let load_factor = (usual_load / load).sqrt();
    let free_part = free_part(usage.memory_part, MAX_CALM_MEMORY)
        .min(free_part(usage.processor_part, MAX_CALM_PROCESSOR))
        .min(free_part(usage.connection_part, MAX_CALM_CONNECTIONS))
        .min(1.0);
    (free_part * load_factor).clamp(MIN_FREE_FACTOR, MAX_IDLE_FACTOR)
}
