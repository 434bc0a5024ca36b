//! The command line of the daemon.

use gumdrop::Options;

/// Carries requests of callers to upstreams.
#[derive(Debug, Options)]
pub struct DaemonOptions {
    /// Whether to print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(help = "settings file in YAML", meta = "FILE")]
    pub settings: Option<String>,
    /// Whether to check the settings only.
    #[options(no_short, help = "check the settings, report all faults and exit")]
    pub check: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
}
