//! Size and processor time of control messages.

use std::collections::{HashMap, HashSet};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ConfigAge, ConfigSource, GenerationTracker, Incarnation, LedgerSettings, LoanLedger, LoanPeer,
    PeerConfigReport, RateAmount, SeatRoster,
};
use coltsfootkeel_model::{ArenaKey, ConfigVersion, ContentDigest, DomainKey, GenerationNumber};
use coltsfootkeel_protocol::{
    ConfigPush, FrameCodec, HeartbeatMessage, LimitKind, LoanGrant, LoanRequest, PeerBody,
    PeerFrame,
};
use tokio_util::codec::{Decoder, Encoder};

use crate::loan_exchange::LEDGER_SETTINGS;
use crate::process_usage::{nanos_per_call, processor_time};
use crate::text_table::{TextTable, decimal_text};

const INSTANCE_COUNTS: [usize; 4] = [7, 35, 100, 550];

/// Size of a part of a configuration document, as the daemon sends it.
const PART_BYTES: usize = 512 * 1024;

/// Measures the size and the processor time of each control message.
#[must_use]
pub fn message_table() -> TextTable {
    let mut table = TextTable::new(
        "Control messages: the frame with its length, and processor time",
        &["message", "bytes", "encode ns", "decode ns", "handle ns"],
    );
    for instances in INSTANCE_COUNTS {
        let body = PeerBody::Heartbeat(sample_heartbeat(instances));
        let handle = heartbeat_handling_ns(instances);
        add_message(
            &mut table,
            &format!("Heartbeat, {instances} daemons"),
            &body,
            handle,
        );
    }
    let without_addresses = HeartbeatMessage {
        known_peers: Vec::new(),
        ..sample_heartbeat(0)
    };
    let without_addresses = PeerBody::Heartbeat(without_addresses);
    add_message(
        &mut table,
        "Heartbeat without addresses",
        &without_addresses,
        f64::NAN,
    );
    let (request, grant) = loan_handling_ns();
    add_message(
        &mut table,
        "LoanRequest",
        &PeerBody::LoanRequest(loan_request()),
        request,
    );
    add_message(
        &mut table,
        "LoanGrant",
        &PeerBody::LoanGrant(loan_grant()),
        grant,
    );
    let part = vec![b'x'; PART_BYTES];
    let push = ConfigPush {
        generation: 1_300,
        part: 1,
        parts: 60,
        bytes: part.clone(),
        manifest: String::new(),
    };
    let text = String::from_utf8(part).unwrap_or_default();
    let handle = nanos_per_call(|| ContentDigest::of_text(&text));
    add_message(
        &mut table,
        "ConfigPush part",
        &PeerBody::ConfigPush(push),
        handle,
    );
    table
}

/// Returns a heartbeat that contains the addresses of `instances` daemons.
pub(crate) fn sample_heartbeat(instances: usize) -> HeartbeatMessage {
    HeartbeatMessage {
        generation: 1_300,
        digest: vec![7; 32],
        seats: vec!["penang-a-1".to_owned()],
        leaving: false,
        config_age_ms: 1_500,
        platform_reached: true,
        in_flight: 40,
        headroom_percent: 60,
        known_peers: (0..instances).map(peer_address).collect(),
        incarnation: u64::MAX / 3,
        platform_contact: true,
    }
}

/// Returns the size of a message on the wire in bytes, including the length prefix of its frame.
pub(crate) fn encoded_bytes(body: PeerBody) -> usize {
    encoded(PeerFrame::new(0, body)).len()
}

fn peer_address(index: usize) -> String {
    format!("10.{}.{}.20:7101", index % 11, index % 250)
}

fn encoded(frame: PeerFrame) -> BytesMut {
    let mut bytes = BytesMut::new();
    FrameCodec::new()
        .encode(frame, &mut bytes)
        .expect("a frame within the limit");
    bytes
}

fn add_message(table: &mut TextTable, name: &str, body: &PeerBody, handle_ns: f64) {
    let frame = PeerFrame::new(9, body.clone());
    let bytes = encoded(frame.clone());
    // The clone is part of the measured cost, because a daemon clones the message for each receiver.
    let encode = nanos_per_call(|| encoded(frame.clone()));
    let mut codec = FrameCodec::new();
    let decode = nanos_per_call(|| codec.decode(&mut bytes.clone()));
    let handle = if handle_ns.is_nan() {
        "-".to_owned()
    } else {
        decimal_text(handle_ns, 0)
    };
    table.add([
        name.to_owned(),
        bytes.len().to_string(),
        decimal_text(encode, 0),
        decimal_text(decode, 0),
        handle,
    ]);
}

/// Returns the processor time in nanoseconds for the calls that a daemon makes for each heartbeat, without its queues
/// and threads: it parses the addresses, records the sender and rebuilds the map from seats to their holders.
fn heartbeat_handling_ns(instances: usize) -> f64 {
    let message = sample_heartbeat(instances);
    let now = MonotonicTime::from_millis(5_000);
    let version = ConfigVersion {
        generation: GenerationNumber(message.generation),
        digest: ContentDigest([7; 32]),
    };
    let names: Vec<String> = (0..instances)
        .map(|index| format!("instance-{index}"))
        .collect();
    let seats: Vec<String> = (0..instances)
        .map(|index| format!("seat-{index}"))
        .collect();
    let mut tracker = GenerationTracker::new(now);
    let mut age = ConfigAge::new(DomainKey::from_index(0));
    let mut addresses: HashSet<SocketAddr> = HashSet::new();
    let roster = SeatRoster::new(seats.clone());
    let mut sender = 0;
    nanos_per_call(|| {
        sender = (sender + 1) % instances;
        addresses.extend(
            message
                .known_peers
                .iter()
                .filter_map(|text| text.parse::<SocketAddr>().ok()),
        );
        tracker.record_heartbeat(&names[sender], sender as u64, version, &message.seats, now);
        let report = PeerConfigReport {
            domain: DomainKey::from_index(sender % 35),
            version,
            age: Some(Duration::from_millis(message.config_age_ms)),
            platform_reached: true,
            had_contact: true,
        };
        age.record_peer_report(&names[sender], report, now);
        let holders: HashMap<String, String> =
            seats.iter().cloned().zip(names.iter().cloned()).collect();
        let evaluation = tracker.evaluate_offer(ConfigSource::Peer, version, now);
        (roster.updated(now, seats.clone()), holders, evaluation)
    })
}

fn loan_request() -> LoanRequest {
    LoanRequest {
        loan: 40_000,
        line: 40_000,
        kind: LimitKind::AccountRate.into(),
        name: "hotel-group".to_owned(),
        amount: 12_000,
        burst: 6_000,
        life_ms: 2_000,
    }
}

fn loan_grant() -> LoanGrant {
    LoanGrant {
        loan: 40_000,
        kind: LimitKind::AccountRate.into(),
        amount: 12_000,
        burst: 6_000,
        tokens: 3_000,
    }
}

/// Number of grants in one exchange.
const GRANT_COUNT: usize = 1_000;

/// Returns the median processor times, in nanoseconds, for answering a loan request and for handling a grant.
fn loan_handling_ns() -> (f64, f64) {
    let mut exchanges: Vec<(f64, f64)> = (0..21).map(|_| time_loan_exchange()).collect();
    let middle = exchanges.len() / 2;
    exchanges.sort_by(|one, other| one.0.total_cmp(&other.0));
    let request = exchanges[middle].0;
    exchanges.sort_by(|one, other| one.1.total_cmp(&other.1));
    (request, exchanges[middle].1)
}

/// Lets an instance without shares request a loan for each of [`GRANT_COUNT`] limits from another instance. Returns the
/// processor times, in nanoseconds per loan, for answering the request and for handling the grant.
fn time_loan_exchange() -> (f64, f64) {
    let start = MonotonicTime::from_millis(1_000);
    let settings = LedgerSettings {
        requests_per_s: u32::try_from(GRANT_COUNT).unwrap_or(u32::MAX),
        ..LEDGER_SETTINGS
    };
    let total = RateAmount {
        rate: 120_000,
        burst: 60_000,
    };
    let mut lender = LoanLedger::new(settings, start);
    let mut borrower = LoanLedger::new(settings, start);
    for _ in 0..GRANT_COUNT {
        let key = lender.add_rate_limit(start);
        lender.set_rate_share(key, total, total);
        let key = borrower.add_rate_limit(start);
        borrower.set_rate_share(key, total, RateAmount::default());
        borrower.rate_handle(key).shortages.record();
    }
    lender.activate_claimed_seat(None);
    borrower.set_rate_lenders(vec![LoanPeer {
        incarnation: Incarnation(1),
        is_near: true,
    }]);
    let now = start + Duration::from_secs(1);
    lender.tick(now);
    let loan_requests = borrower.tick(now).requests;
    let requests_sent_at = processor_time();
    let grants: Vec<_> = loan_requests
        .iter()
        .filter_map(|request| lender.answer_request(Incarnation(2), request.message, now))
        .collect();
    let requests_answered_at = processor_time();
    for grant in &grants {
        black_box(borrower.handle_grant(Incarnation(1), *grant, now));
    }
    let grants_handled_at = processor_time();
    let nanos_per_grant = |time: Duration| time.as_secs_f64() * 1e9 / grants.len().max(1) as f64;
    (
        nanos_per_grant(requests_answered_at.saturating_sub(requests_sent_at)),
        nanos_per_grant(grants_handled_at.saturating_sub(requests_answered_at)),
    )
}
