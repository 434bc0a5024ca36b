//! The canonical JSON form of each example configuration. Guards against a field whose name or default differs
//! between serialization and reading, which would change a configuration when it is stored.

use std::path::Path;

use coltsfootkeel_model::{FleetConfig, RawFleet};

fn json_is_stable(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let first = serde_json::to_string(&RawFleet::read("first", &text))?;
    let second = RawFleet::read("second", &first);
    assert_eq!(serde_json::to_string(&second)?, first);
    let config = FleetConfig::try_from(second);
    assert!(config.is_ok(), "{}", config.unwrap_err());
    Ok(())
}

datatest_stable::harness! {
    { test = json_is_stable, root = "../../examples", pattern = r"fleet\.yaml$" },
    { test = json_is_stable, root = "tests/fleets", pattern = r"\.(yaml|json)$" },
}
