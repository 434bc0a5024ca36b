//! Configuration documents of a given size.

use std::fmt::Write;
use std::net::Ipv4Addr;

use coltsfootkeel_decisions::EntryInstance;
use coltsfootkeel_model::{ArenaKey, DomainKey, FleetConfig};

/// Regions of the target size.
const REGIONS: usize = 11;

/// Failure domains of the target size.
pub(crate) const DOMAINS: usize = 35;

/// Sites of the target size.
pub(crate) const SITES: usize = 120;

/// The first /24 of the sample's blocks: 1.0.0.0.
const FIRST_BLOCK: usize = 1 << 16;

/// How much a document holds of what grows.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Seats, one for each instance.
    pub seats: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Upstreams, all in one pool.
    pub upstreams: usize,
    /// Routes.
    pub routes: usize,
    /// Blocks of client addresses.
    pub blocks: usize,
}

impl FleetSize {
    /// Seven seats and one of all else.
    pub const SMALLEST: Self = Self {
        seats: 7,
        accounts: 1,
        upstreams: 1,
        routes: 1,
        blocks: 0,
    };

    /// Writes a document of this size as the store keeps it, in JSON.
    #[must_use]
    pub fn document(self) -> String {
        let regions = list(REGIONS, |region| {
            let domains = list_of((region..DOMAINS).step_by(REGIONS), |domain| {
                format!("\"d{domain}\"")
            });
            format!(r#"{{"name":"r{region}","failure_domains":{domains}}}"#)
        });
        let seats = list(self.seats, |seat| {
            format!(
                r#"{{"name":"seat-{seat}","failure_domain":"d{}"}}"#,
                seat % DOMAINS
            )
        });
        let accounts = list(self.accounts, |account| {
            format!(
                r#"{{"name":"account-{account}","department":"weddings","rate_per_s":120,"burst":60,"access_keys":[{{"label":"2026-11","sha256":"{account:064x}"}}]}}"#
            )
        });
        let upstreams = list(self.upstreams, |upstream| {
            format!(
                r#"{{"name":"upstream-{upstream}","address":"{}:9000","failure_domain":"d{}","slots":9,"connections":400}}"#,
                address(FIRST_BLOCK + upstream),
                upstream % DOMAINS
            )
        });
        let routes = list(self.routes, |route| {
            format!(
                r#"{{"name":"route-{route}","department":"weddings","path_prefix":"/path-{route}","pool":"order-desk","class":"standard","deadline_ms":10000}}"#
            )
        });
        let sites = list(SITES, |site| {
            let near = site % DOMAINS;
            let next = (near + REGIONS) % DOMAINS;
            format!(r#"{{"name":"site-{site}","failure_domains":["d{near}","d{next}"]}}"#)
        });
        let blocks = list(self.blocks, |block| {
            let first = address(FIRST_BLOCK + block);
            format!(
                r#"{{"block":"{first}/24","site":"site-{}"}}"#,
                block % SITES
            )
        });
        format!(
            r#"{{"regions":{regions},"seats":{seats},"departments":[{{"name":"weddings"}}],"client_accounts":{accounts},"pools":[{{"name":"order-desk","upstreams":{upstreams}}}],"routes":{routes},"sites":{sites},"blocks":{blocks}}}"#
        )
    }

    /// Reads the document of this size.
    ///
    /// # Panics
    ///
    /// Panics if the sample has faults, which would be one of this package.
    #[must_use]
    pub fn config(self) -> FleetConfig {
        FleetConfig::parse("sample", &self.document()).expect("a valid sample")
    }
}

/// Returns the live instances of a fleet, of which one in nine has little headroom.
pub(crate) fn live_instances(count: usize) -> Vec<EntryInstance> {
    (0..count)
        .map(|index| EntryInstance {
            name: format!("entry-{index}"),
            domain: DomainKey::from_index(index % DOMAINS),
            address: "127.0.0.1:80".parse().expect("a valid address"),
            leaving: false,
            headroom_percent: if index % 9 == 0 { 5 } else { 60 },
        })
        .collect()
}

fn list(count: usize, write: impl Fn(usize) -> String) -> String {
    list_of(0..count, write)
}

fn list_of(indices: impl Iterator<Item = usize>, write: impl Fn(usize) -> String) -> String {
    let mut text = String::from("[");
    for (position, index) in indices.enumerate() {
        let comma = if position == 0 { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(text, "{comma}{}", write(index));
    }
    text.push(']');
    text
}

fn address(block: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(u32::try_from(block << 8).unwrap_or(u32::MAX))
}
