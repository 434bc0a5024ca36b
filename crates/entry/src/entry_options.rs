//! The command line of `coltsfootkeel-entry`.

use gumdrop::Options;

/// Answers look-ups of entry instances and forwards callers' requests to upstreams.
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
    /// Whether to check the settings and exit.
    #[options(no_short, help = "check the settings, report all faults and exit")]
    pub check: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
}
