//! Evidence that the store is down for all failure domains.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey};
use coltsfootkeel_steering::OutageEvidence;

struct EvidenceCase {
    name: &'static str,
    /// For each domain, the times in milliseconds at which none of its instances reached the store.
    recorded_ms: [&'static [u64]; 3],
    now_ms: u64,
    outage_ms: Option<u64>,
}

/// Guards against an outage that is assumed although an instance may reach the store, and against evidence that counts for
/// a later time than the one for which it is known.
#[test]
fn an_outage_needs_recent_evidence_of_every_domain() {
    let cases = [
        EvidenceCase {
            name: "no evidence of one domain",
            recorded_ms: [&[9_900], &[9_800], &[]],
            now_ms: 10_000,
            outage_ms: None,
        },
        EvidenceCase {
            name: "the earliest domain decides",
            recorded_ms: [&[9_900], &[8_700], &[9_950]],
            now_ms: 10_000,
            outage_ms: Some(8_700),
        },
        EvidenceCase {
            name: "a domain that reaches the store again sends no new evidence",
            recorded_ms: [&[9_900], &[7_900], &[9_950]],
            now_ms: 10_000,
            outage_ms: None,
        },
        EvidenceCase {
            name: "an older message arrives after a newer one",
            recorded_ms: [&[9_900, 9_000], &[9_800, 8_000], &[9_950]],
            now_ms: 10_000,
            outage_ms: Some(9_800),
        },
    ];
    let domains = || (0..3).map(DomainKey::from_index);
    for case in cases {
        let now = MonotonicTime::from_millis(case.now_ms);
        let mut evidence = OutageEvidence::default();
        for (domain, times) in domains().zip(case.recorded_ms) {
            for time in times {
                evidence.record(domain, MonotonicTime::from_millis(*time));
            }
        }
        let outage = evidence.outage_time(domains(), now);
        let expected = case.outage_ms.map(MonotonicTime::from_millis);
        assert_eq!(outage, expected, "{}", case.name);
    }
}

/// Guards against a lone instance whose own failed calls are taken for an outage for all.
#[test]
fn an_outage_needs_two_instances() {
    let now = MonotonicTime::from_millis(10_000);
    let domain = DomainKey::from_index(0);
    let mut evidence = OutageEvidence::default();
    evidence.record(domain, now);
    assert_eq!(evidence.outage_time([].into_iter(), now), None);
    assert_eq!(evidence.outage_time([domain].into_iter(), now), None);
    let two = [domain, domain].into_iter();
    assert_eq!(evidence.outage_time(two, now), Some(now));
}
