//! Upstreams that state their load with the present cost of work.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::Duration;

use coltsfootkeel_standins::{SHOP_KEY, shop_request};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::Value;

const CALLS: usize = 40;
/// The time between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

struct StatementCase {
    name: &'static str,
    /// The load that all upstreams state.
    load: Option<&'static str>,
    states_cost: bool,
    dropped: bool,
}

/// Guards against a pool that is empty because all of its idle upstreams state that they are full or slow, against reports
/// without a cost that change how a pool is served, and against malformed reports that nobody notices.
#[tokio::test(flavor = "multi_thread")]
async fn statements_of_idle_upstreams_refuse_no_request() {
    let case = |name, load, states_cost, dropped| StatementCase {
        name,
        load,
        states_cost,
        dropped,
    };
    let cases = [
        case("load-three", None, false, false),
        case("load-usual", Some("1,0,9,100"), true, false),
        case("load-full", Some("9,27,9,100"), true, false),
        case("load-slow", Some("0,0,9,9000"), true, false),
        case("load-malformed", Some("9,27,9,"), false, true),
    ];
    for case in cases {
        let setup = FleetSetup {
            name: case.name,
            instances: 2,
            upstreams: 2,
            ..FleetSetup::default()
        };
        let fleet = PlatformFleet::start(setup).await;
        for upstream in &fleet.upstreams {
            upstream.set_stated_load(case.load);
        }
        for number in 0..CALLS {
            let path = format!("/previews/{}", number % 4);
            let call = shop_request(Method::GET, &path, &format!("call-{number}"), SHOP_KEY);
            // All requests go to one instance, so the other one knows the reports from heartbeats alone.
            let status = fleet.call(0, &call).await.unwrap().status;
            assert_eq!(status, 200, "{}: call {number}", case.name);
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        for instance in 0..fleet.instances.len() {
            let state = fleet.state(instance).await;
            let pools = state["plan"]["pools_stating_cost"].as_array().map(Vec::len);
            assert_eq!(pools, Some(usize::from(case.states_cost)), "{}", case.name);
            let known = state["plan"]["upstreams"].as_array().unwrap().iter();
            let known = known.filter(|upstream| upstream["stated_load"] != Value::Null);
            assert_eq!(known.count() > 0, case.states_cost, "{}", case.name);
        }
        let metrics = fleet.metrics(0).await;
        let is_none_dropped = metrics.contains("coltsfootkeel_load_reports_dropped_total 0\n");
        assert_eq!(is_none_dropped, !case.dropped, "{}", case.name);
    }
}
