//! Tests of the values of validated settings. Guards against a default that is changed by accident and against a
//! setting that is read into the wrong field.

use std::time::Duration;

use coltsfootkeel_settings::{DaemonSettings, LogFormat};

const REQUIRED: &str = "
instance: east-a-1
failure_domain: east-a
entry: {listen: '127.0.0.1:7001'}
peer: {listen: '127.0.0.1:7101', token: a-long-shared-token}
admin: {listen: '127.0.0.1:7201'}
platform: {address: '127.0.0.1:7000', region: east}
";

const COMPLETE: &str = r#"{
  "instance": "east-a-1",
  "failure_domain": "east-a",
  "threads": 8,
  "entry": {"listen": "0.0.0.0:7001", "advertise": "10.0.0.7:7001", "max_body_bytes": 1,
            "max_connections": 2, "header_timeout_ms": 3},
  "peer": {"listen": "[::]:7101", "advertise": "[2001:db8::7]:7101", "token": "a-long-shared-token"},
  "admin": {"listen": "127.0.0.1:7201", "operators": [
    {"name": "first", "token_sha256": "44a0e0173f9f8fb0c2fffca9aab27b18ca095a841d5f4cc541a1335337697abc",
     "departments": ["orders"]}]},
  "platform": {"address": "127.0.0.1:7000", "region": "east", "timeout_ms": 4},
  "neighbours": ["127.0.0.1:7102", "127.0.0.1:7103"],
  "log": {"level": "warn", "format": "json"},
  "metrics": {"statsd": "127.0.0.1:8125"}
}"#;

fn parse_settings(text: &str) -> DaemonSettings {
    match DaemonSettings::parse("daemon.yaml", text) {
        Ok(settings) => settings,
        Err(findings) => panic!("{findings}"),
    }
}

#[test]
fn absent_sections_take_their_defaults() {
    let settings = parse_settings(REQUIRED);
    assert_eq!(settings.threads, 4);
    assert_eq!(settings.entry.max_body_bytes, 256 * 1024 * 1024);
    assert_eq!(settings.entry.max_connections, 10_000);
    assert_eq!(settings.entry.header_timeout, Duration::from_secs(10));
    assert_eq!(settings.entry.advertise, settings.entry.listen);
    assert_eq!(settings.peer.advertise, settings.peer.listen);
    assert!(settings.peer.neighbours.is_empty());
    assert!(settings.admin.operators.is_empty());
    assert_eq!(settings.platform.timeout, Duration::from_secs(2));
    assert_eq!(settings.log.level, log::LevelFilter::Info);
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(settings.statsd, None);
}

#[test]
fn each_setting_is_read_into_its_field() {
    let settings = parse_settings(COMPLETE);
    assert_eq!(settings.instance, "east-a-1");
    assert_eq!(settings.failure_domain, "east-a");
    assert_eq!(settings.threads, 8);
    assert_eq!(settings.entry.listen.to_string(), "0.0.0.0:7001");
    assert_eq!(settings.entry.advertise.to_string(), "10.0.0.7:7001");
    assert_eq!(settings.entry.max_body_bytes, 1);
    assert_eq!(settings.entry.max_connections, 2);
    assert_eq!(settings.entry.header_timeout, Duration::from_millis(3));
    assert_eq!(settings.peer.listen.to_string(), "[::]:7101");
    assert_eq!(settings.peer.advertise.to_string(), "[2001:db8::7]:7101");
    assert_eq!(settings.peer.neighbours.len(), 2);
    assert_eq!(settings.admin.listen.to_string(), "127.0.0.1:7201");
    assert_eq!(settings.admin.operators[0].name, "first");
    assert_eq!(settings.admin.operators[0].departments, ["orders"]);
    assert_eq!(settings.platform.address.to_string(), "127.0.0.1:7000");
    assert_eq!(settings.platform.region, "east");
    assert_eq!(settings.platform.timeout, Duration::from_millis(4));
    assert_eq!(settings.log.level, log::LevelFilter::Warn);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.statsd.unwrap().to_string(), "127.0.0.1:8125");
}
