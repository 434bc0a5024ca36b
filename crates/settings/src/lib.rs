//! The settings of one daemon, read from YAML or JSON. All faults of a file are collected and reported together.
//!
//! ```
//! use coltsfootkeel_settings::DaemonSettings;
//!
//! let text = "
//! instance: penang-a-1
//! failure_domain: penang-a
//! entry: {listen: '127.0.0.1:7001'}
//! peer: {listen: '127.0.0.1:7101', token: a-long-shared-token}
//! admin: {listen: '127.0.0.1:7201'}
//! platform: {address: '127.0.0.1:7000', region: penang}
//! ";
//! let settings = DaemonSettings::parse("daemon.yaml", text).unwrap();
//! assert_eq!(settings.threads, 4);
//! ```

mod daemon_settings;
mod raw_settings;

pub use daemon_settings::{
    AdminSettings, DaemonSettings, EntrySettings, LogFormat, LogSettings, OperatorSettings,
    PeerSettings, PlatformSettings,
};
pub use raw_settings::{RawListener, RawOperator, RawSettings};
