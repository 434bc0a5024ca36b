//! Command-line options of the daemon.

use gumdrop::Options;

/// Forwards requests of callers to upstreams.
#[derive(Debug, Options)]
pub struct DaemonOptions {
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the settings file, which is required.
    #[options(help = "settings file in YAML", meta = "FILE")]
    pub settings: Option<String>,
    /// Check the settings and exit without starting the daemon.
    #[options(no_short, help = "check the settings, report all faults and exit")]
    pub check: bool,
    /// Print the version and exit.
    #[options(help = "print the version")]
    pub version: bool,
}
