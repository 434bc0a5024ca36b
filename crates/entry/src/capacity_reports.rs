//! Converts what an instance has and uses to and from its heartbeat.

use coltsfootkeel_protocol::{CapacityReport, FleetHeartbeat};
use coltsfootkeel_steering::{InstanceCapacity, InstanceRoom, InstanceUsage};

/// Returns the report of an instance; `None` if its capacity is not known.
#[must_use]
pub fn capacity_report(room: &InstanceRoom) -> Option<CapacityReport> {
    let capacity = room.capacity?;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = |value: f64| value.round() as u32;
    Some(CapacityReport {
        processors_milli: whole(capacity.processors * 1_000.0),
        link_kbps: whole(capacity.link_mbps * 1_000.0),
        memory_mb: whole(capacity.memory_mb),
        descriptors: whole(capacity.descriptors),
        in_flight: room.usage.in_flight,
        used_milli: whole(room.usage.memory_part * 1_000.0),
        processor_milli: whole(room.usage.processor_part * 1_000.0),
        connection_milli: whole(room.usage.connection_part * 1_000.0),
        in_flight_milli: whole(room.usage.average_in_flight * 1_000.0),
    })
}

/// Returns what the sender of a heartbeat has and uses.
#[must_use]
pub fn reported_room(heartbeat: &FleetHeartbeat) -> InstanceRoom {
    let Some(report) = heartbeat.capacity.filter(is_complete) else {
        return InstanceRoom::default();
    };
    InstanceRoom {
        capacity: Some(InstanceCapacity {
            processors: f64::from(report.processors_milli) / 1_000.0,
            link_mbps: f64::from(report.link_kbps) / 1_000.0,
            memory_mb: f64::from(report.memory_mb),
            descriptors: f64::from(report.descriptors),
        }),
        usage: InstanceUsage {
            in_flight: report.in_flight,
            average_in_flight: f64::from(report.in_flight_milli) / 1_000.0,
            memory_part: f64::from(report.used_milli) / 1_000.0,
            processor_part: f64::from(report.processor_milli) / 1_000.0,
            connection_part: f64::from(report.connection_milli) / 1_000.0,
        },
    }
}

/// Returns whether the report states all parts of the capacity.
fn is_complete(report: &CapacityReport) -> bool {
    report.processors_milli > 0
        && report.link_kbps > 0
        && report.memory_mb > 0
        && report.descriptors > 0
}
