//! Entries of other writers in the list of upstreams.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::Duration;

use coltsfootkeel_standins::{SHOP_KEY, shop_config, shop_request};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Largest resident memory of an instance, in kB. The capacity target is 128 MB for a daemon.
const MAX_MEMORY_KB: u64 = 128_000;
/// Longer than the time in which a change of the list takes effect.
const CHANGE_TIME: Duration = Duration::from_secs(1);

/// Entries that differ only in their names.
struct EntryCase {
    name: &'static str,
    pool: &'static str,
    slots: u32,
    entries: usize,
}

/// Guards against processes that end, or take more memory than they have, because an entry of another writer states a
/// huge number of slots.
#[tokio::test(flavor = "multi_thread")]
async fn entries_with_many_slots_take_little_memory() {
    let cases = [
        EntryCase {
            name: "the largest number, unknown pool",
            pool: "no-such-pool",
            slots: u32::MAX,
            entries: 1,
        },
        EntryCase {
            name: "the largest number, known pool",
            pool: "orders",
            slots: u32::MAX,
            entries: 1,
        },
        EntryCase {
            name: "more than the memory of an instance",
            pool: "no-such-pool",
            slots: 16_000_000,
            entries: 4,
        },
        EntryCase {
            name: "many entries with many slots",
            pool: "no-such-pool",
            slots: 65_535,
            entries: 300,
        },
    ];
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "many-slots",
        ..FleetSetup::default()
    })
    .await;
    for case in cases {
        for entry in 0..case.entries {
            let info =
                json!({"service": case.pool, "version": "v1", "zone": "a-1", "slots": case.slots});
            let spec = json!({"address": "127.0.0.1:9", "info": info, "born": 1});
            let status = json!({"state": "ready", "seq": 1, "cold_remaining": "0ms"});
            fleet
                .store
                .put("servers", &format!("odd-{entry}"), spec, status);
        }
        sleep(CHANGE_TIME).await;
        assert!(!fleet.instances[0].has_ended().unwrap(), "{}", case.name);
        let page = shop_request(Method::GET, "/previews/1", case.name, SHOP_KEY);
        let answer = fleet.call(0, &page).await;
        let status = answer.map(|answer| answer.status);
        assert!(matches!(status, Ok(200)), "{}: {status:?}", case.name);
        let memory_kb = fleet.peak_memory_kb(0);
        assert!(memory_kb < MAX_MEMORY_KB, "{}: {memory_kb} kB", case.name);
    }
}

/// What an instance answers to requests of one part of a plan.
struct PartCase {
    name: &'static str,
    change: fn(&mut Value),
    /// The status of requests for `/previews/` and `/open/`.
    statuses: [u16; 2],
}

/// Guards against a part of the configuration that cannot be read and that costs more than its own requests: the routes
/// beside it, or the callers, who do not repeat a request after a 404.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_part_of_the_configuration_costs_only_its_requests() {
    let cases = [
        PartCase {
            name: "an unknown kind",
            change: |plan| plan["routes"][2]["kind"] = json!("stream"),
            statuses: [200, 503],
        },
        PartCase {
            name: "a route to a service that cannot be read",
            change: |plan| {
                plan["routes"][0]["service"] = json!("odd");
                let services = plan["services"].as_array_mut().unwrap();
                services.push(json!({"name": "odd", "cold_start": 3}));
            },
            statuses: [503, 200],
        },
        PartCase {
            name: "an account without a name",
            change: |plan| plan["tenants"][0]["name"] = json!(null),
            statuses: [503, 200],
        },
    ];
    let fleet = PlatformFleet::start(FleetSetup {
        name: "odd-parts",
        ..FleetSetup::default()
    })
    .await;
    for (number, case) in cases.iter().enumerate() {
        let mut plan = shop_config(100 + number as u64, &[SHOP_KEY]);
        (case.change)(&mut plan);
        fleet.store.put("config", "main", plan, Value::Null);
        sleep(CHANGE_TIME).await;
        let mut statuses = [0; 2];
        for (status, path) in statuses.iter_mut().zip(["/previews/1", "/open/1"]) {
            let page = shop_request(Method::GET, path, case.name, SHOP_KEY);
            let answer = fleet.call(0, &page).await.unwrap();
            assert!(answer.status == 200 || answer.header("retry-after").is_some());
            *status = answer.status;
        }
        assert_eq!(statuses, case.statuses, "{}", case.name);
        let state = fleet.state(0).await;
        let unreadable = state["plan"]["unreadable"].as_array().map(Vec::len);
        assert!(unreadable > Some(0), "{}", case.name);
    }
}
