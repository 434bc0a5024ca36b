//! The command line of the program.

use gumdrop::Options;

/// Options that stand anywhere on the command line, with a value.
const GLOBALS_WITH_VALUE: [&str; 3] = ["--admin", "--token", "--write-id"];

/// Options that stand anywhere on the command line, without a value.
const GLOBAL_FLAGS: [&str; 1] = ["--json"];

/// Operates a fleet of Coltsfootkeel.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Print this help.
    pub help: bool,
    /// Print the version.
    #[options(no_short)]
    pub version: bool,
    /// Address of an administration listener.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "Address of an administration listener (default: environment variable COLTSFOOTKEEL_ADMIN)"
    )]
    pub admin: Option<String>,
    /// Token of the operator.
    #[options(
        no_short,
        meta = "TOKEN",
        help = "Token of the operator (default: environment variable COLTSFOOTKEEL_TOKEN)"
    )]
    pub token: Option<String>,
    /// Identifies a change, so that a repeat with the same id makes it once (default: random).
    #[options(no_short, meta = "ID")]
    pub write_id: Option<String>,
    /// Print JSON instead of a table.
    #[options(no_short)]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Check, compare, apply and show the whole configuration.
    Config(ConfigGroup),
    /// List the last changes.
    History(HistoryOptions),
    /// Show which generation is in force where, and faults.
    Status(NoOptions),
    /// Print the state of one instance as JSON.
    Dump(NoOptions),
    /// Departments.
    Department(RecordGroup),
    /// Client accounts.
    Account(RecordGroup),
    /// Routes.
    Route(RecordGroup),
    /// Pools of upstreams.
    Pool(RecordGroup),
    /// Upstreams.
    Upstream(RecordGroup),
    /// Shifts of a route from one region to another.
    Shift(ShiftGroup),
    /// Drains of upstreams, instances, regions and departments.
    Drain(DrainGroup),
    /// Access keys of client accounts.
    Key(KeyGroup),
    /// Ask an entry instance for a ranking, as a caller does.
    #[options(name = "look-up")]
    LookUp(LookUpOptions),
    /// Check a questionnaire and generate a configuration from it.
    Questionnaire(QuestionnaireGroup),
}

/// A command without options of its own.
#[derive(Debug, Options)]
pub struct NoOptions {
    /// Print this help.
    pub help: bool,
}

/// Options of `history`.
#[derive(Debug, Options)]
pub struct HistoryOptions {
    /// Print this help.
    pub help: bool,
    /// The most changes to list; the platform keeps 64.
    #[options(no_short, meta = "N", default = "20")]
    pub limit: u32,
}

/// The group `config`.
#[derive(Debug, Options)]
pub struct ConfigGroup {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<ConfigCommand>,
}

/// The commands `config`.
#[derive(Debug, Options)]
pub enum ConfigCommand {
    /// Check a file without a daemon and print all findings.
    Check(FileOptions),
    /// Show what a file would change.
    Diff(FileOptions),
    /// Replace the configuration if it is still at the expected generation.
    Apply(ApplyOptions),
    /// Print the configuration.
    Show(NoOptions),
}

/// A file.
#[derive(Debug, Options)]
pub struct FileOptions {
    /// Print this help.
    pub help: bool,
    /// File in YAML or JSON.
    #[options(free, required)]
    pub file: String,
}

/// Options of `config apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Print this help.
    pub help: bool,
    /// File in YAML or JSON.
    #[options(free, required)]
    pub file: String,
    /// The generation that the file is based on.
    #[options(no_short, meta = "GENERATION")]
    pub expect: Option<u64>,
    /// What the change is for; without it, the changed records are listed.
    #[options(no_short, meta = "TEXT")]
    pub message: Option<String>,
}

/// A group of commands on records.
#[derive(Debug, Options)]
pub struct RecordGroup {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<RecordCommand>,
}

/// The commands on records.
#[derive(Debug, Options)]
pub enum RecordCommand {
    /// List all.
    List(NoOptions),
    /// Show one.
    Show(NameOptions),
    /// Create or replace the one in a file.
    Put(PutOptions),
    /// Remove one.
    Remove(NameOptions),
}

/// The name of a record.
#[derive(Debug, Options)]
pub struct NameOptions {
    /// Print this help.
    pub help: bool,
    /// Name.
    #[options(free, required)]
    pub name: String,
}

/// Options of `put`.
#[derive(Debug, Options)]
pub struct PutOptions {
    /// Print this help.
    pub help: bool,
    /// File in YAML or JSON with one record.
    #[options(free, required)]
    pub file: String,
    /// The pool of an upstream; needed only for a new one.
    #[options(no_short, meta = "POOL")]
    pub pool: Option<String>,
}

/// The group `shift`.
#[derive(Debug, Options)]
pub struct ShiftGroup {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<ShiftCommand>,
}

/// The commands `shift`.
#[derive(Debug, Options)]
pub enum ShiftCommand {
    /// List all.
    List(NoOptions),
    /// Show one.
    Show(NameOptions),
    /// Create or replace the one in a file.
    Put(PutOptions),
    /// Remove one.
    Remove(NameOptions),
    /// Begin to move requests, or go on after a pause.
    Start(NameOptions),
    /// Move nothing for now.
    Pause(NameOptions),
    /// Show one with the requests that the asked instance has moved.
    Status(NameOptions),
}

/// The group `drain`.
#[derive(Debug, Options)]
pub struct DrainGroup {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<DrainCommand>,
}

/// The commands `drain`.
#[derive(Debug, Options)]
pub enum DrainCommand {
    /// List all.
    List(NoOptions),
    /// Show one.
    Show(DrainTarget),
    /// Start the one in a file.
    Put(PutOptions),
    /// Stop one.
    Remove(DrainTarget),
    /// Send no new work to the object.
    Start(DrainTarget),
    /// Send work to the object again.
    Stop(DrainTarget),
    /// Show on how many instances a drain is in force.
    Status(DrainTarget),
}

/// The object of a drain.
#[derive(Debug, Options)]
pub struct DrainTarget {
    /// Print this help.
    pub help: bool,
    /// Kind: upstream, instance, region or department.
    #[options(free, required)]
    pub kind: String,
    /// Name.
    #[options(free, required)]
    pub name: String,
}

impl DrainTarget {
    /// Returns the name of the drain in a path.
    #[must_use]
    pub fn path(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }
}

/// The group `key`.
#[derive(Debug, Options)]
pub struct KeyGroup {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// The commands `key`.
#[derive(Debug, Options)]
pub enum KeyCommand {
    /// Create an access key and show it once.
    Grant(GrantOptions),
    /// Withdraw an access key.
    Withdraw(WithdrawOptions),
}

/// Options of `key grant`.
#[derive(Debug, Options)]
pub struct GrantOptions {
    /// Print this help.
    pub help: bool,
    /// Client account.
    #[options(free, required)]
    pub account: String,
    /// Label, unique within the account.
    #[options(no_short, meta = "LABEL")]
    pub label: Option<String>,
}

/// Options of `key withdraw`.
#[derive(Debug, Options)]
pub struct WithdrawOptions {
    /// Print this help.
    pub help: bool,
    /// Client account.
    #[options(free, required)]
    pub account: String,
    /// Label of the key.
    #[options(no_short, meta = "LABEL")]
    pub label: Option<String>,
    /// Wait until the withdrawal is in force on all instances that are heard.
    #[options(no_short)]
    pub wait: bool,
}

/// Options of `look-up`.
#[derive(Debug, Options)]
pub struct LookUpOptions {
    /// Print this help.
    pub help: bool,
    /// Address of the client (default: that of this machine as the instance sees it).
    #[options(no_short, meta = "IP")]
    pub client: Option<String>,
    /// Address of an entry listener.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "Address of an entry listener (default: environment variable COLTSFOOTKEEL_ENTRY)"
    )]
    pub entry: Option<String>,
}

/// The group `questionnaire`.
#[derive(Debug, Options)]
pub struct QuestionnaireGroup {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<QuestionnaireCommand>,
}

/// The commands `questionnaire`.
#[derive(Debug, Options)]
pub enum QuestionnaireCommand {
    /// Check a questionnaire and print all findings.
    Check(FileOptions),
    /// Print the configuration that a questionnaire describes.
    Generate(FileOptions),
}

/// Moves options that may stand anywhere to the front, where the parser expects them.
#[must_use]
pub fn hoist_globals(arguments: Vec<String>) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        let name = argument.split('=').next().unwrap_or_default();
        if GLOBALS_WITH_VALUE.contains(&name) {
            let has_value = argument.contains('=');
            globals.push(argument);
            if !has_value {
                globals.extend(arguments.next());
            }
        } else if GLOBAL_FLAGS.contains(&name) {
            globals.push(argument);
        } else {
            rest.push(argument);
        }
    }
    globals.extend(rest);
    globals
}
