//! Reading of a [`RawFleet`] from YAML or JSON: fields, defaults and bounds.

use crate::document::{DocumentReader, MappingReader};
use crate::findings::{FindingList, Located};
use crate::fleet::{IsolationMode, PriorityClass, ShiftState};
use crate::raw_fleet::{
    DrainKind, RawAccess, RawAccount, RawBlock, RawCap, RawDepartment, RawDrain, RawFleet,
    RawIsolation, RawLink, RawPool, RawRegion, RawRoute, RawSeat, RawShift, RawSite, RawUpstream,
};

const MAX_RATE_PER_S: u64 = 10_000_000;
const MAX_BURST_REQUESTS: u64 = 10_000_000;
const MAX_SLOTS: u64 = 100_000;
const MAX_CONNECTIONS: u64 = 1_000_000;
const MAX_LINK_MBIT_PER_S: u64 = 10_000_000;
const MAX_LINK_LATENCY_MS: u64 = 10_000;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_ISOLATION_LIMIT_S: u64 = 86_400;

const DEFAULT_LINK_MBIT_PER_S: u64 = 4_000;
const DEFAULT_LINK_LATENCY_MS: u64 = 50;
const DEFAULT_CONNECTIONS: u64 = 400;
const DEFAULT_DEADLINE_MS: u64 = 10_000;
const DEFAULT_ISOLATION_LIMIT_S: u64 = 60;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_LOAD_PATH: &str = "/load";

const CLASSES: [(&str, PriorityClass); 4] = [
    ("urgent", PriorityClass::Urgent),
    ("standard", PriorityClass::Standard),
    ("preview", PriorityClass::Preview),
    ("overnight", PriorityClass::Overnight),
];
const ISOLATION_MODES: [(&str, IsolationMode); 2] = [
    ("serve", IsolationMode::Serve),
    ("refuse", IsolationMode::Refuse),
];
const SHIFT_STATES: [(&str, ShiftState); 3] = [
    ("planned", ShiftState::Planned),
    ("active", ShiftState::Active),
    ("paused", ShiftState::Paused),
];
const DRAIN_KINDS: [(&str, DrainKind); 4] = [
    ("upstream", DrainKind::Upstream),
    ("instance", DrainKind::Instance),
    ("region", DrainKind::Region),
    ("department", DrainKind::Department),
];

impl RawFleet {
    /// Reads a YAML or JSON document. Faults are collected in [`RawFleet::findings`], which show `file` as the name of
    /// the document.
    #[must_use]
    pub fn read(file: &str, text: &str) -> Self {
        let findings = FindingList::new(file);
        let mut fleet = {
            let document = DocumentReader::new(text, &findings);
            read_fleet(document.root())
        };
        fleet.findings = findings;
        fleet
    }
}

fn read_fleet(mut reader: MappingReader<'_>) -> RawFleet {
    let seats_location = reader.field_location("seats");
    let fleet = RawFleet {
        seats_place: seats_location,
        regions: reader.records("regions", read_region),
        links: reader.records("links", read_link),
        seats: reader.records("seats", read_seat),
        departments: reader.records("departments", read_department),
        client_accounts: reader.records("client_accounts", read_account),
        pools: reader.records("pools", read_pool),
        routes: reader.records("routes", read_route),
        shifts: reader.records("shifts", read_shift),
        drains: reader.records("drains", read_drain),
        sites: reader.records("sites", read_site),
        blocks: reader.records("blocks", read_block),
        findings: FindingList::default(),
    };
    reader.finish();
    fleet
}

fn read_region(reader: &mut MappingReader<'_>) -> RawRegion {
    RawRegion {
        name: reader.string("name"),
        failure_domains: reader.strings("failure_domains"),
    }
}

fn read_link(reader: &mut MappingReader<'_>) -> RawLink {
    RawLink {
        place: reader.location(),
        between: reader.strings("between"),
        capacity_mbit_per_s: reader.number_or(
            "capacity_mbit_per_s",
            1..=MAX_LINK_MBIT_PER_S,
            DEFAULT_LINK_MBIT_PER_S,
        ),
        latency_ms: reader.number_or(
            "latency_ms",
            0..=MAX_LINK_LATENCY_MS,
            DEFAULT_LINK_LATENCY_MS,
        ),
    }
}

fn read_seat(reader: &mut MappingReader<'_>) -> RawSeat {
    RawSeat {
        name: reader.string("name"),
        failure_domain: reader.string("failure_domain"),
    }
}

pub(crate) fn read_department(reader: &mut MappingReader<'_>) -> RawDepartment {
    RawDepartment {
        name: reader.string("name"),
    }
}

pub(crate) fn read_account(reader: &mut MappingReader<'_>) -> RawAccount {
    RawAccount {
        name: reader.string("name"),
        department: reader.string("department"),
        rate_per_s: reader.number("rate_per_s", 1..=MAX_RATE_PER_S),
        burst: reader.number("burst", 1..=MAX_BURST_REQUESTS),
        access_keys: reader.records("access_keys", |reader| RawAccess {
            label: reader.string("label"),
            sha256: reader.string("sha256"),
        }),
    }
}

pub(crate) fn read_pool(reader: &mut MappingReader<'_>) -> RawPool {
    RawPool {
        name: reader.string("name"),
        health_path: reader.string_or("health_path", DEFAULT_HEALTH_PATH),
        load_path: reader.string_or("load_path", DEFAULT_LOAD_PATH),
        upstreams: reader.records("upstreams", read_upstream),
    }
}

pub(crate) fn read_upstream(reader: &mut MappingReader<'_>) -> RawUpstream {
    RawUpstream {
        name: reader.string("name"),
        address: reader.string("address"),
        failure_domain: reader.string("failure_domain"),
        slots: reader.number("slots", 1..=MAX_SLOTS),
        connections: reader.number_or("connections", 1..=MAX_CONNECTIONS, DEFAULT_CONNECTIONS),
    }
}

pub(crate) fn read_route(reader: &mut MappingReader<'_>) -> RawRoute {
    RawRoute {
        name: reader.string("name"),
        department: reader.string("department"),
        path_prefix: reader.string("path_prefix"),
        pool: reader.string("pool"),
        class: reader.choice_or("class", &CLASSES, PriorityClass::Standard),
        open: reader.bool_or("open", false),
        accounts: reader.strings("accounts"),
        deadline_ms: reader.number_or("deadline_ms", 1..=MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS),
        idempotent_methods: reader.strings("idempotent_methods"),
        isolation: read_isolation(reader),
    }
}

fn read_isolation(reader: &mut MappingReader<'_>) -> RawIsolation {
    let Some(mut isolation) = reader.mapping("isolation") else {
        return RawIsolation {
            mode: Located::without_location(IsolationMode::Refuse),
            limit_s: Located::without_location(DEFAULT_ISOLATION_LIMIT_S),
        };
    };
    let raw = RawIsolation {
        mode: isolation.choice_or("mode", &ISOLATION_MODES, IsolationMode::Refuse),
        limit_s: isolation.number_or(
            "limit_s",
            0..=MAX_ISOLATION_LIMIT_S,
            DEFAULT_ISOLATION_LIMIT_S,
        ),
    };
    isolation.finish();
    raw
}

pub(crate) fn read_shift(reader: &mut MappingReader<'_>) -> RawShift {
    RawShift {
        name: reader.string("name"),
        route: reader.string("route"),
        from: reader.string("from"),
        to: reader.string("to"),
        cap: read_cap(reader),
        state: reader.choice_or("state", &SHIFT_STATES, ShiftState::Planned),
    }
}

fn read_cap(reader: &mut MappingReader<'_>) -> RawCap {
    let location = reader.location();
    let Some(mut cap) = reader.mapping("cap") else {
        return RawCap {
            share_percent: None,
            rate_per_s: None,
            place: location,
        };
    };
    let share_percent = cap.optional_number("share_percent", 0..=100);
    let rate_per_s = cap.optional_number("rate_per_s", 0..=MAX_RATE_PER_S);
    let location = cap.location();
    cap.finish();
    RawCap {
        share_percent,
        rate_per_s,
        place: location,
    }
}

pub(crate) fn read_drain(reader: &mut MappingReader<'_>) -> RawDrain {
    let kind = reader.choice_or("kind", &DRAIN_KINDS, DrainKind::Upstream);
    RawDrain {
        kind,
        name: reader.string("name"),
    }
}

fn read_site(reader: &mut MappingReader<'_>) -> RawSite {
    RawSite {
        name: reader.string("name"),
        failure_domains: reader.strings("failure_domains"),
    }
}

fn read_block(reader: &mut MappingReader<'_>) -> RawBlock {
    RawBlock {
        block: reader.string("block"),
        site: reader.string("site"),
    }
}
