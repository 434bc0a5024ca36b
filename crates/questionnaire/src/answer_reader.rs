//! Reading of [`RawAnswers`] from YAML or JSON: fields, defaults and bounds.

use coltsfootkeel_model::{DocumentReader, FindingList, Located, MappingReader};

use crate::raw_answers::{
    RawAnswers, RawCaller, RawDepartment, RawDeparture, RawDomain, RawLink, RawPool, RawRegion,
    RawService, RawSite, RawUpstreams,
};

const MAX_ENTRY_INSTANCES: u64 = 1_000;
const MAX_LINK_MBIT_PER_S: u64 = 10_000_000;
const MAX_LINK_LATENCY_MS: u64 = 10_000;
const MAX_RATE_PER_S: u64 = 10_000_000;
const MAX_SLOTS: u64 = 100_000;
const MAX_CONNECTIONS: u64 = 1_000_000;
const MAX_BODY_KIB: u64 = 16 * 1024 * 1024;
/// A deadline of the configuration is at most 600,000 ms, and includes the time in the queue and on the links.
const MAX_REQUEST_DURATION_MS: u64 = 540_000;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_LOAD_PATH: &str = "/load";

impl RawAnswers {
    /// Reads the text of a questionnaire. Faults are collected in [`RawAnswers::findings`], which show `file` as the
    /// name of the questionnaire.
    #[must_use]
    pub fn read(file: &str, text: &str) -> Self {
        let findings = FindingList::new(file);
        let mut answers = {
            let document = DocumentReader::new(text, &findings);
            read_answers(document.root())
        };
        answers.findings = findings;
        answers
    }
}

fn read_answers(mut reader: MappingReader<'_>) -> RawAnswers {
    let regions_location = reader.field_location("regions");
    let answers = RawAnswers {
        regions_location,
        team: reader.string("team"),
        regions: reader.records("regions", read_region),
        links: reader.records("links", read_link),
        departments: reader.records("departments", read_department),
        callers: reader.records("callers", read_caller),
        sites: reader.records("sites", read_site),
        pools: reader.records("pools", read_pool),
        services: reader.records("services", read_service),
        findings: FindingList::default(),
    };
    reader.finish();
    answers
}

fn read_region(reader: &mut MappingReader<'_>) -> RawRegion {
    RawRegion {
        name: reader.string("name"),
        failure_domains: reader.records("failure_domains", |reader| RawDomain {
            name: reader.string("name"),
            entry_instances: reader.number("entry_instances", 1..=MAX_ENTRY_INSTANCES),
        }),
    }
}

fn read_link(reader: &mut MappingReader<'_>) -> RawLink {
    RawLink {
        location: reader.location(),
        between: reader.strings("between"),
        capacity_mbit_per_s: reader.number("capacity_mbit_per_s", 1..=MAX_LINK_MBIT_PER_S),
        latency_ms: reader.number("latency_ms", 0..=MAX_LINK_LATENCY_MS),
    }
}

fn read_department(reader: &mut MappingReader<'_>) -> RawDepartment {
    RawDepartment {
        name: reader.string("name"),
        departure: read_departure(reader),
    }
}

fn read_departure(reader: &mut MappingReader<'_>) -> Option<RawDeparture> {
    let mut departure = reader.mapping("departure")?;
    let raw = RawDeparture {
        month: departure.string("month"),
        from: departure.string("from"),
        to: departure.string("to"),
        at_once_percent: departure.number("at_once_percent", 1..=100),
    };
    departure.finish();
    Some(raw)
}

fn read_caller(reader: &mut MappingReader<'_>) -> RawCaller {
    RawCaller {
        name: reader.string("name"),
        department: reader.string("department"),
        expected_per_s: reader.number("expected_per_s", 0..=MAX_RATE_PER_S),
        peak_per_s: reader.number("peak_per_s", 1..=MAX_RATE_PER_S),
    }
}

fn read_site(reader: &mut MappingReader<'_>) -> RawSite {
    RawSite {
        name: reader.string("name"),
        failure_domains: reader.strings("failure_domains"),
        blocks: reader.strings("blocks"),
    }
}

fn read_pool(reader: &mut MappingReader<'_>) -> RawPool {
    RawPool {
        name: reader.string("name"),
        slots: reader.number("slots", 1..=MAX_SLOTS),
        connections: reader.number("connections", 1..=MAX_CONNECTIONS),
        health_path: reader.string_or("health_path", DEFAULT_HEALTH_PATH),
        load_path: reader.string_or("load_path", DEFAULT_LOAD_PATH),
        upstreams: reader.records("upstreams", |reader| RawUpstreams {
            failure_domain: reader.string("failure_domain"),
            addresses: reader.strings("addresses"),
        }),
    }
}

fn read_service(reader: &mut MappingReader<'_>) -> RawService {
    RawService {
        name: reader.string("name"),
        department: reader.string("department"),
        path: reader.string("path"),
        pool: reader.string("pool"),
        open_to_all: reader.bool_or("open_to_all", false),
        callers: reader.strings("callers"),
        calls_per_s: reader.number("calls_per_s", 0..=MAX_RATE_PER_S),
        sends_kib: reader.number("sends_kib", 0..=MAX_BODY_KIB),
        receives_kib: reader.number("receives_kib", 0..=MAX_BODY_KIB),
        usual_ms: reader.number("usual_ms", 1..=MAX_REQUEST_DURATION_MS),
        at_most_ms: reader.number("at_most_ms", 1..=MAX_REQUEST_DURATION_MS),
        must_not_run_twice: required_bool(reader, "must_not_run_twice"),
        must_not_be_lost: required_bool(reader, "must_not_be_lost"),
        may_be_late: required_bool(reader, "may_be_late"),
        may_wait: required_bool(reader, "may_wait"),
    }
}

/// Reads a required `true` or `false`. There is no default, because an omitted answer could cause a request to run
/// twice.
fn required_bool(reader: &mut MappingReader<'_>, field: &'static str) -> Located<bool> {
    if !reader.has(field) {
        reader.report(reader.location(), field, "expected true or false");
    }
    reader.bool_or(field, true)
}
