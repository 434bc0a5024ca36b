//! Contents of the configuration and settings files of a test fleet.

use std::fmt::Write;
use std::net::SocketAddr;

use coltsfootkeel_model::AccessDigest;

use crate::fleet_plan::FleetPlan;

/// Token of the only operator in the settings of the daemons.
pub const OPERATOR_TOKEN: &str = "test-operator-token";

/// Addresses on which one daemon listens.
#[derive(Debug, Clone, Copy)]
pub struct DaemonAddresses {
    /// Listener for callers.
    pub entry: SocketAddr,
    /// Listener for other daemons.
    pub peer: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
}

/// Returns the fleet configuration of a plan as YAML. Writing to a `String` cannot fail, so the results of `writeln!`
/// are ignored.
pub fn configuration(plan: &FleetPlan, upstreams: &[SocketAddr]) -> String {
    let mut text = String::from("regions:\n");
    for region in &plan.regions {
        let _ = writeln!(
            text,
            "  - {{name: {}, failure_domains: [{}]}}",
            region.name,
            region.failure_domains.join(", ")
        );
    }
    text.push_str("seats:\n");
    for daemon in &plan.daemons {
        let _ = writeln!(
            text,
            "  - {{name: {}, failure_domain: {}}}",
            daemon.instance, daemon.failure_domain
        );
    }
    text.push_str("departments:\n  - {name: testing}\nclient_accounts:\n");
    for account in &plan.accounts {
        let key_digest = AccessDigest::of_key(&account.key);
        let _ = writeln!(
            text,
            "  - {{name: {}, department: testing, rate_per_s: {}, burst: {}, access_keys: [{{label: test, sha256: \"{key_digest}\"}}]}}",
            account.name, account.rate_per_s, account.burst
        );
    }
    text.push_str("pools:\n  - name: pool\n    health_path: /standin/health\n    load_path: /standin/load\n    upstreams:\n");
    for (upstream, address) in plan.upstreams.iter().zip(upstreams) {
        let _ = writeln!(
            text,
            "      - {{name: {}, address: \"{address}\", failure_domain: {}, slots: {}}}",
            upstream.name, upstream.failure_domain, upstream.slots
        );
    }
    text.push_str(
        "routes:\n  - {name: orders, department: testing, path_prefix: /orders, pool: pool}\n",
    );
    text.push_str("  - {name: echo, department: testing, path_prefix: /echo, pool: pool, deadline_ms: 30000}\n");
    text.push_str(
        "  - {name: open, department: testing, path_prefix: /open, pool: pool, open: true}\n",
    );
    text.push_str(&plan.routes);
    text.push_str(&plan.sections);
    text
}

/// Returns the settings of the daemon at `index` as YAML; the spare daemons follow the regular ones.
pub fn settings(
    plan: &FleetPlan,
    index: usize,
    addresses: DaemonAddresses,
    platform: SocketAddr,
    neighbours: &[SocketAddr],
) -> String {
    let daemon = plan.daemons.iter().chain(&plan.spares).nth(index);
    let daemon = daemon.expect("the plan names the daemon");
    let region = &plan.regions[0].name;
    let token = AccessDigest::of_key(OPERATOR_TOKEN);
    let neighbours: Vec<String> = neighbours
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    format!(
        "instance: {}\nfailure_domain: {}\nthreads: 2\nentry: {{listen: \"{}\"}}\n\
         peer: {{listen: \"{}\", token: test-fleet-token}}\n\
         admin: {{listen: \"{}\", operators: [{{name: tester, token_sha256: \"{token}\"}}]}}\n\
         platform: {{address: \"{platform}\", region: {region}}}\nneighbours: [{}]\nlog: {{level: warn}}\n",
        daemon.instance,
        daemon.failure_domain,
        addresses.entry,
        addresses.peer,
        addresses.admin,
        neighbours.join(", "),
    )
}
