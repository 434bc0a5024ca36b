//! Generates configuration documents of a given size.

use std::fmt::Write;
use std::net::Ipv4Addr;

use coltsfootkeel_decisions::EntryInstance;
use coltsfootkeel_model::{ArenaKey, DomainKey, FleetConfig};

/// Number of regions in a fleet of the target size.
const REGION_COUNT: usize = 11;

/// Number of failure domains in a fleet of the target size.
pub(crate) const DOMAIN_COUNT: usize = 35;

/// Number of sites in a fleet of the target size.
pub(crate) const SITE_COUNT: usize = 120;

/// Index of the first /24 block of the sample, which is 1.0.0.0/24.
const FIRST_BLOCK: usize = 1 << 16;

/// Numbers of records in a document.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of seats, one for each instance.
    pub seats: usize,
    /// Number of client accounts with one access key each.
    pub accounts: usize,
    /// Number of upstreams, all of them in one pool.
    pub upstreams: usize,
    /// Number of routes, all of them to the same pool.
    pub routes: usize,
    /// Number of blocks of client addresses.
    pub blocks: usize,
}

impl FleetSize {
    /// Smallest measured size: seven seats, one account, one upstream, one route and no blocks.
    pub const SMALLEST: Self = Self {
        seats: 7,
        accounts: 1,
        upstreams: 1,
        routes: 1,
        blocks: 0,
    };

    /// Returns a document of this size in JSON, the format in which the store keeps it.
    #[must_use]
    pub fn document(self) -> String {
        let regions = list(REGION_COUNT, |region| {
            let domains = list_of((region..DOMAIN_COUNT).step_by(REGION_COUNT), |domain| {
                format!("\"d{domain}\"")
            });
            format!(r#"{{"name":"r{region}","failure_domains":{domains}}}"#)
        });
        let seats = list(self.seats, |seat| {
            format!(
                r#"{{"name":"seat-{seat}","failure_domain":"d{}"}}"#,
                seat % DOMAIN_COUNT
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
                upstream % DOMAIN_COUNT
            )
        });
        let routes = list(self.routes, |route| {
            format!(
                r#"{{"name":"route-{route}","department":"weddings","path_prefix":"/path-{route}","pool":"order-desk","class":"standard","deadline_ms":10000}}"#
            )
        });
        let sites = list(SITE_COUNT, |site| {
            let near = site % DOMAIN_COUNT;
            let next = (near + REGION_COUNT) % DOMAIN_COUNT;
            format!(r#"{{"name":"site-{site}","failure_domains":["d{near}","d{next}"]}}"#)
        });
        let blocks = list(self.blocks, |block| {
            let first = address(FIRST_BLOCK + block);
            format!(
                r#"{{"block":"{first}/24","site":"site-{}"}}"#,
                block % SITE_COUNT
            )
        });
        format!(
            r#"{{"regions":{regions},"seats":{seats},"departments":[{{"name":"weddings"}}],"client_accounts":{accounts},"pools":[{{"name":"order-desk","upstreams":{upstreams}}}],"routes":{routes},"sites":{sites},"blocks":{blocks}}}"#
        )
    }

    /// Returns the checked configuration of a document of this size.
    ///
    /// # Panics
    ///
    /// Panics if the sample document is invalid.
    #[must_use]
    pub fn config(self) -> FleetConfig {
        FleetConfig::parse("sample", &self.document()).expect("a valid sample")
    }
}

/// Returns `count` live instances in all failure domains. One in nine has little headroom.
pub(crate) fn live_instances(count: usize) -> Vec<EntryInstance> {
    (0..count)
        .map(|index| EntryInstance {
            name: format!("entry-{index}"),
            domain: DomainKey::from_index(index % DOMAIN_COUNT),
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
