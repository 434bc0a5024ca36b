//! The scenarios, the callers and the documents of the experiment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootkeel_model::{
    AccessDigest, AccountKey, ArenaKey, FleetConfig, PriorityClass, RawFleet, ShiftState, SiteKey,
};
use serde_json::{Value, json};

/// The time under load before the window that is reported, so that connections and loans exist.
pub const LEAD_IN: Duration = Duration::from_secs(2);
/// The time that is reported.
pub const WINDOW: Duration = Duration::from_secs(9);
/// When the event of a scenario happens, from the start of the load.
pub const EVENT_AT: Duration = Duration::from_secs(3);
/// The work time of each request at an upstream.
pub const WORK_MS: u64 = 5;
/// The first requests of an upstream that is cold.
pub const COLD_REQUESTS: u32 = 100;
/// How much longer these take.
pub const COLD_EXTRA_MS: u64 = 40;
/// The part of its rate that an account sends on a normal day.
pub const NORMAL_LOAD: f64 = 0.6;
/// The part of its rate that the account of the overload scenario sends.
pub const OVERLOAD: f64 = 5.0;
/// The part of an account's requests that its main site sends; the next site sends the rest.
pub const MAIN_SITE_SHARE: f64 = 0.85;

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Nothing.
    NormalDay,
    /// The first account sends five times its rate.
    Overload,
    /// The instance of the first seat is killed.
    InstanceLost,
    /// The daemons and upstreams of the second region are killed.
    RegionLost,
    /// The platform closes each connection.
    PlatformDown,
    /// The first failure domain of the second region is cut off from the other daemons and the platform.
    DomainCut,
    /// The first shift becomes active, and the upstreams of its destination are cold.
    PlannedMove,
}

/// A scenario.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// The name in the table and on the command line.
    pub name: &'static str,
    /// What happens.
    pub kind: ScenarioKind,
}

/// All scenarios in the order of their runs.
pub const SCENARIOS: [Scenario; 7] = [
    Scenario {
        name: "normal-day",
        kind: ScenarioKind::NormalDay,
    },
    Scenario {
        name: "overload",
        kind: ScenarioKind::Overload,
    },
    Scenario {
        name: "instance-lost",
        kind: ScenarioKind::InstanceLost,
    },
    Scenario {
        name: "region-lost",
        kind: ScenarioKind::RegionLost,
    },
    Scenario {
        name: "platform-down",
        kind: ScenarioKind::PlatformDown,
    },
    Scenario {
        name: "domain-cut",
        kind: ScenarioKind::DomainCut,
    },
    Scenario {
        name: "planned-move",
        kind: ScenarioKind::PlannedMove,
    },
];

/// A request that callers of an account repeat.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// The name of the route.
    pub route: String,
    /// The method.
    pub method: http::Method,
    /// The path without a query.
    pub path: String,
    /// How often it is sent, relative to the account's other requests.
    pub weight: u32,
}

/// The callers of one account at one site.
#[derive(Debug, Clone)]
pub struct PlannedCaller {
    /// The account.
    pub account: AccountKey,
    /// The access key.
    pub key: String,
    /// The address for the look-up.
    pub client: IpAddr,
    /// The rate of arrivals in requests per second.
    pub rate_per_s: f64,
    /// What they send.
    pub calls: Vec<PlannedCall>,
}

/// Returns the access key that the experiment gives an account. It is of no use outside a run.
#[must_use]
pub fn access_key(seed: u64, account: &str) -> String {
    AccessDigest::of_key(&format!("experiment {seed} {account}")).to_string()
}

/// Returns the committed document: the example with one access key for each account, on the addresses of `host`.
#[must_use]
pub fn document(raw: &RawFleet, seed: u64, host: Ipv4Addr) -> Value {
    let text = serde_json::to_string(raw).unwrap_or_default();
    let text = text.replace("\"127.0.0.1:", &format!("\"{host}:"));
    let mut value: Value = serde_json::from_str(&text).unwrap_or_default();
    let accounts = value["client_accounts"].as_array_mut();
    for account in accounts.into_iter().flatten() {
        let name = account["name"].as_str().unwrap_or_default().to_owned();
        let digest = AccessDigest::of_key(&access_key(seed, &name)).to_string();
        account["access_keys"] = json!([{"label": "experiment", "sha256": digest}]);
    }
    value
}

/// Makes the first shift of a document active.
pub fn activate_shift(document: &mut Value) {
    document["shifts"][0]["state"] = json!(ShiftState::Active);
}

/// Plans the callers: each account has a main site and sends the rest from the next one.
///
/// # Panics
///
/// Panics if the fleet has no site.
#[must_use]
pub fn callers(fleet: &FleetConfig, kind: ScenarioKind, seed: u64) -> Vec<PlannedCaller> {
    let sites: Vec<SiteKey> = fleet.sites.iter().map(|(site, _)| site).collect();
    let mut callers = Vec::new();
    for (index, (key, account)) in fleet.accounts.iter().enumerate() {
        let overloads = kind == ScenarioKind::Overload && index == 0;
        let load = if overloads { OVERLOAD } else { NORMAL_LOAD };
        let rate = as_rate(account.rate_per_s) * load;
        let shares = [MAIN_SITE_SHARE, 1.0 - MAIN_SITE_SHARE];
        for (step, share) in shares.into_iter().enumerate() {
            let site = sites[(index + step) % sites.len()];
            callers.push(PlannedCaller {
                account: key,
                key: access_key(seed, &account.name),
                client: client_address(fleet, site, key),
                rate_per_s: rate * share,
                calls: calls_of(fleet, key),
            });
        }
    }
    callers
}

/// Returns an address in 10.0.0.0/8 that the fleet's blocks map to a site.
fn client_address(fleet: &FleetConfig, site: SiteKey, account: AccountKey) -> IpAddr {
    let third = u8::try_from(account.index()).unwrap_or(u8::MAX);
    let mut candidates =
        (0..=u8::MAX).map(|second| IpAddr::from(Ipv4Addr::new(10, second, third, 1)));
    candidates
        .find(|address| fleet.blocks.find(*address) == Some(site))
        .unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST))
}

fn calls_of(fleet: &FleetConfig, account: AccountKey) -> Vec<PlannedCall> {
    let routes = fleet.routes.iter().map(|(_, route)| route);
    routes
        .filter(|route| !route.open && route.allows(account))
        .map(|route| {
            let posts = route.class == PriorityClass::Urgent || route.is_idempotent("POST");
            PlannedCall {
                route: route.name.clone(),
                method: if posts {
                    http::Method::POST
                } else {
                    http::Method::GET
                },
                path: format!("{}/item", route.path_prefix),
                weight: weight_of(route.class),
            }
        })
        .collect()
}

const fn weight_of(class: PriorityClass) -> u32 {
    match class {
        PriorityClass::Urgent => 6,
        PriorityClass::Standard => 3,
        PriorityClass::Preview => 2,
        PriorityClass::Overnight => 1,
    }
}

/// Returns a rate as a floating-point number.
#[expect(
    clippy::cast_precision_loss,
    reason = "rates of a fleet are exact in 53 bits"
)]
#[must_use]
pub fn as_rate(number: u64) -> f64 {
    number as f64
}

/// The listeners of a daemon of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct DaemonPorts {
    /// For callers.
    pub entry: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

const FIRST_ENTRY_PORT: u16 = 20_100;
const FIRST_PEER_PORT: u16 = 20_200;
const FIRST_ADMIN_PORT: u16 = 20_300;
const PLATFORM_PORT: u16 = 20_000;

impl DaemonPorts {
    /// Returns the listeners of the daemon with an index.
    #[must_use]
    pub fn of(host: Ipv4Addr, index: u16) -> Self {
        let on = |first: u16| SocketAddr::from((host, first + index));
        Self {
            entry: on(FIRST_ENTRY_PORT),
            peer: on(FIRST_PEER_PORT),
            admin: on(FIRST_ADMIN_PORT),
        }
    }
}

/// Returns the address of the platform stand-in.
#[must_use]
pub fn platform_address(host: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((host, PLATFORM_PORT))
}
