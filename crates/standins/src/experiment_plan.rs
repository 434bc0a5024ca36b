//! Scenarios, callers and configuration documents of the experiment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootkeel_model::{
    AccessDigest, AccountKey, ArenaKey, FleetConfig, PriorityClass, RawFleet, ShiftState, SiteKey,
};
use serde_json::{Value, json};

/// Time under load before the measured time, in which daemons open connections and request their first loans.
pub const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time whose requests are reported.
pub const MEASURED_TIME: Duration = Duration::from_secs(9);
/// Time from the start of the load to the event of a scenario.
pub const EVENT_OFFSET: Duration = Duration::from_secs(3);
/// Time in milliseconds that an upstream works on each request.
pub const WORK_MS: u64 = 5;
/// Number of requests for which a cold upstream is slower.
pub const COLD_REQUESTS: u32 = 100;
/// Additional time in milliseconds that a cold upstream works on a request.
pub const COLD_EXTRA_MS: u64 = 40;
/// Fraction of its rate limit that an account sends normally.
pub const NORMAL_LOAD_FRACTION: f64 = 0.6;
/// Multiple of its rate limit that the first account sends in the overload scenario.
pub const OVERLOAD_FACTOR: f64 = 5.0;
/// Fraction of the requests of an account that come from its main site. The rest comes from the next site.
pub const MAIN_SITE_FRACTION: f64 = 0.85;

/// Event of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScenarioKind {
    /// No event.
    NormalDay,
    /// No event; the first account sends [`OVERLOAD_FACTOR`] times its rate limit throughout the run.
    Overload,
    /// The daemon of the first seat is killed.
    InstanceLost,
    /// The daemons and upstreams of the second region are killed.
    RegionLost,
    /// The platform closes every connection without an answer.
    PlatformDown,
    /// The first failure domain of the second region loses the network paths to the other daemons and the platform.
    DomainCut,
    /// The first shift becomes active. The upstreams of its destination are cold.
    PlannedMove,
}

/// Named scenario of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name in the printed table and on the command line.
    pub name: &'static str,
    /// Event of the scenario.
    pub kind: ScenarioKind,
}

/// All scenarios, in the order in which they run.
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

/// Request that the callers of an account send repeatedly.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Name of the route that the path belongs to.
    pub route: String,
    /// HTTP method.
    pub method: http::Method,
    /// Path without a query.
    pub path: String,
    /// Frequency relative to the other requests of the account.
    pub weight: u32,
}

/// Callers of one client account at one site.
#[derive(Debug, Clone)]
pub struct PlannedCaller {
    /// Client account.
    pub account: AccountKey,
    /// Access key of the account in plain text.
    pub key: String,
    /// Client address that is sent with a look-up and belongs to the site.
    pub client: IpAddr,
    /// Arrival rate in requests per second.
    pub rate_per_s: f64,
    /// Requests to choose from by their weight.
    pub calls: Vec<PlannedCall>,
}

/// Returns the access key of an account in the experiment, derived from the seed. It is valid only for the fleets of a
/// run.
#[must_use]
pub fn access_key(seed: u64, account: &str) -> String {
    AccessDigest::of_key(&format!("experiment {seed} {account}")).to_string()
}

/// Returns the configuration document to commit: the example with one access key for each account, and with its
/// loopback addresses replaced by `host`.
#[must_use]
pub fn fleet_document(raw: &RawFleet, seed: u64, host: Ipv4Addr) -> Value {
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

/// Sets the state of the first shift of a document to active.
pub fn activate_shift(document: &mut Value) {
    document["shifts"][0]["state"] = json!(ShiftState::Active);
}

/// Returns the callers of all accounts. Each account has a main site and sends its other requests from the next site.
///
/// # Panics
///
/// Panics if the fleet has no site.
#[must_use]
pub fn plan_callers(fleet: &FleetConfig, kind: ScenarioKind, seed: u64) -> Vec<PlannedCaller> {
    let sites: Vec<SiteKey> = fleet.sites.iter().map(|(site, _)| site).collect();
    let mut callers = Vec::new();
    for (index, (key, account)) in fleet.accounts.iter().enumerate() {
        let is_overloaded = kind == ScenarioKind::Overload && index == 0;
        let load = if is_overloaded {
            OVERLOAD_FACTOR
        } else {
            NORMAL_LOAD_FRACTION
        };
        let rate = as_f64(account.rate_per_s) * load;
        let fractions = [MAIN_SITE_FRACTION, 1.0 - MAIN_SITE_FRACTION];
        for (step, fraction) in fractions.into_iter().enumerate() {
            let site = sites[(index + step) % sites.len()];
            callers.push(PlannedCaller {
                account: key,
                key: access_key(seed, &account.name),
                client: client_address(fleet, site, key),
                rate_per_s: rate * fraction,
                calls: planned_calls(fleet, key),
            });
        }
    }
    callers
}

/// Returns an address in 10.0.0.0/8 that the blocks of the fleet map to a site, or the loopback address if there is
/// none.
fn client_address(fleet: &FleetConfig, site: SiteKey, account: AccountKey) -> IpAddr {
    let third = u8::try_from(account.index()).unwrap_or(u8::MAX);
    let mut candidates =
        (0..=u8::MAX).map(|second| IpAddr::from(Ipv4Addr::new(10, second, third, 1)));
    candidates
        .find(|address| fleet.blocks.find(*address) == Some(site))
        .unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST))
}

fn planned_calls(fleet: &FleetConfig, account: AccountKey) -> Vec<PlannedCall> {
    let routes = fleet.routes.iter().map(|(_, route)| route);
    routes
        .filter(|route| !route.open && route.allows(account))
        .map(|route| {
            let is_post = route.class == PriorityClass::Urgent || route.is_idempotent("POST");
            PlannedCall {
                route: route.name.clone(),
                method: if is_post {
                    http::Method::POST
                } else {
                    http::Method::GET
                },
                path: format!("{}/item", route.path_prefix),
                weight: class_weight(route.class),
            }
        })
        .collect()
}

const fn class_weight(class: PriorityClass) -> u32 {
    match class {
        PriorityClass::Urgent => 6,
        PriorityClass::Standard => 3,
        PriorityClass::Preview => 2,
        PriorityClass::Overnight => 1,
    }
}

/// Converts a rate or a count to a floating-point number.
#[expect(
    clippy::cast_precision_loss,
    reason = "rates of a fleet are exact in 53 bits"
)]
#[must_use]
pub fn as_f64(number: u64) -> f64 {
    number as f64
}

/// Addresses on which a daemon of the experiment listens.
#[derive(Debug, Clone, Copy)]
pub struct DaemonAddresses {
    /// Listener for callers.
    pub entry: SocketAddr,
    /// Listener for other daemons.
    pub peer: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
}

const FIRST_ENTRY_PORT: u16 = 20_100;
const FIRST_PEER_PORT: u16 = 20_200;
const FIRST_ADMIN_PORT: u16 = 20_300;
const PLATFORM_PORT: u16 = 20_000;

impl DaemonAddresses {
    /// Returns the addresses of the daemon at `index` on the loopback address `host`.
    #[must_use]
    pub fn of(host: Ipv4Addr, index: u16) -> Self {
        let address = |first_port: u16| SocketAddr::from((host, first_port + index));
        Self {
            entry: address(FIRST_ENTRY_PORT),
            peer: address(FIRST_PEER_PORT),
            admin: address(FIRST_ADMIN_PORT),
        }
    }
}

/// Returns the address of the platform stand-in on the loopback address `host`.
#[must_use]
pub fn platform_address(host: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((host, PLATFORM_PORT))
}
