//! The command line.

use gumdrop::Options;

/// Looks up entry instances for callers and carries their requests to upstreams.
#[derive(Debug, Options)]
pub struct EntryOptions {
    /// Whether to print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(
        help = "settings file; by default the one that the environment names",
        meta = "FILE"
    )]
    pub settings: Option<String>,
    /// Whether to check the settings only.
    #[options(no_short, help = "check the settings, report all faults and exit")]
    pub check: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
}
