//! Bytes and processor time of control messages.

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

use crate::figure_table::{FigureTable, decimal_text};
use crate::loan_exchange::SETTINGS;
use crate::process_figures::{nanos_per_call, processor_time};

const INSTANCE_COUNTS: [usize; 4] = [7, 35, 100, 550];

/// A part of a document as the daemon sends it.
const PART_BYTES: usize = 512 * 1024;

/// Measures each control message.
#[must_use]
pub fn message_table() -> FigureTable {
    let mut table = FigureTable::new(
        "Control messages: the frame with its length, and processor time",
        &["message", "bytes", "encode ns", "decode ns", "handle ns"],
    );
    for instances in INSTANCE_COUNTS {
        let body = PeerBody::Heartbeat(heartbeat_of(instances));
        let handle = heartbeat_handling(instances);
        add_message(
            &mut table,
            &format!("Heartbeat, {instances} daemons"),
            &body,
            handle,
        );
    }
    let bare = HeartbeatMessage {
        known_peers: Vec::new(),
        ..heartbeat_of(0)
    };
    let bare = PeerBody::Heartbeat(bare);
    add_message(&mut table, "Heartbeat without addresses", &bare, f64::NAN);
    let (ask, grant) = loan_handling();
    add_message(
        &mut table,
        "LoanRequest",
        &PeerBody::LoanRequest(loan_request()),
        ask,
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

/// Returns the heartbeat of one daemon among `instances`, which names the address of each.
pub(crate) fn heartbeat_of(instances: usize) -> HeartbeatMessage {
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

/// Returns the bytes of a message on the wire, the length of the frame included.
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

fn add_message(table: &mut FigureTable, name: &str, body: &PeerBody, handle_ns: f64) {
    let frame = PeerFrame::new(9, body.clone());
    let bytes = encoded(frame.clone());
    // A daemon clones the message for each receiver, so the clone is part of the cost.
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

/// Makes the calls that the daemon makes for each heartbeat, without its queues and threads: it parses the addresses,
/// notes the sender and publishes the holders of all seats anew.
fn heartbeat_handling(instances: usize) -> f64 {
    let message = heartbeat_of(instances);
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
    let mut turn = 0;
    nanos_per_call(|| {
        turn = (turn + 1) % instances;
        addresses.extend(
            message
                .known_peers
                .iter()
                .filter_map(|text| text.parse::<SocketAddr>().ok()),
        );
        tracker.record_heartbeat(&names[turn], turn as u64, version, &message.seats, now);
        let report = PeerConfigReport {
            domain: DomainKey::from_index(turn % 35),
            version,
            age: Some(Duration::from_millis(message.config_age_ms)),
            platform_reached: true,
            had_contact: true,
        };
        age.record_peer_report(&names[turn], report, now);
        let holders: HashMap<String, String> =
            seats.iter().cloned().zip(names.iter().cloned()).collect();
        let verdict = tracker.evaluate_offer(ConfigSource::Peer, version, now);
        (roster.updated(now, seats.clone()), holders, verdict)
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

/// Grants that one step of the measurement takes.
const GRANTS: usize = 1_000;

/// Returns the processor time to answer an ask and to take a grant.
fn loan_handling() -> (f64, f64) {
    let mut exchanges: Vec<(f64, f64)> = (0..21).map(|_| time_exchange()).collect();
    let middle = exchanges.len() / 2;
    exchanges.sort_by(|one, other| one.0.total_cmp(&other.0));
    let ask = exchanges[middle].0;
    exchanges.sort_by(|one, other| one.1.total_cmp(&other.1));
    (ask, exchanges[middle].1)
}

/// One instance without shares asks another for a loan of each of many limits.
fn time_exchange() -> (f64, f64) {
    let start = MonotonicTime::from_millis(1_000);
    let settings = LedgerSettings {
        requests_per_s: u32::try_from(GRANTS).unwrap_or(u32::MAX),
        ..SETTINGS
    };
    let total = RateAmount {
        rate: 120_000,
        burst: 60_000,
    };
    let mut lender = LoanLedger::new(settings, start);
    let mut borrower = LoanLedger::new(settings, start);
    for _ in 0..GRANTS {
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
    let asks = borrower.tick(now).requests;
    let asked = processor_time();
    let grants: Vec<_> = asks
        .iter()
        .filter_map(|ask| lender.answer_request(Incarnation(2), ask.message, now))
        .collect();
    let answered = processor_time();
    for grant in &grants {
        black_box(borrower.handle_grant(Incarnation(1), *grant, now));
    }
    let taken = processor_time();
    let each = |time: Duration| time.as_secs_f64() * 1e9 / grants.len().max(1) as f64;
    (
        each(answered.saturating_sub(asked)),
        each(taken.saturating_sub(answered)),
    )
}
