//! The options and commands of the command line. Their doc comments are the help text.

use gumdrop::Options;

/// Options with a value that may stand anywhere on the command line.
const GLOBALS_WITH_VALUE: [&str; 3] = ["--admin", "--token", "--write-id"];

/// Options without a value that may stand anywhere on the command line.
const GLOBAL_FLAGS: [&str; 1] = ["--json"];

/// Operates a fleet of Coltsfootkeel instances.
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
    /// Id of a change; a repeat with the same id applies the change only once (default: random).
    #[options(no_short, meta = "ID")]
    pub write_id: Option<String>,
    /// Print JSON instead of a table.
    #[options(no_short)]
    pub json: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The top-level commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Check, compare, apply and show the whole configuration.
    Config(ConfigGroup),
    /// List the last changes of the configuration.
    History(HistoryOptions),
    /// Show the generation in force, the number of instances that run it, and faults.
    Status(NoOptions),
    /// Print the state of one instance as JSON.
    Dump(NoOptions),
    /// Manage departments.
    Department(RecordGroup),
    /// Manage client accounts.
    Account(RecordGroup),
    /// Manage routes.
    Route(RecordGroup),
    /// Manage pools of upstreams.
    Pool(RecordGroup),
    /// Manage upstreams.
    Upstream(RecordGroup),
    /// Manage shifts of a route from one region to another.
    Shift(ShiftGroup),
    /// Manage drains of upstreams, instances, regions and departments.
    Drain(DrainGroup),
    /// Grant and withdraw access keys of client accounts.
    Key(KeyGroup),
    /// Request the ranked entry instances for a client, as a caller does.
    #[options(name = "look-up")]
    LookUp(LookUpOptions),
    /// Check a questionnaire and generate a configuration from it.
    Questionnaire(QuestionnaireGroup),
}

/// A command without further options.
#[derive(Debug, Options)]
pub struct NoOptions {
    /// Print this help.
    pub help: bool,
}

/// Lists the last changes of the configuration.
#[derive(Debug, Options)]
pub struct HistoryOptions {
    /// Print this help.
    pub help: bool,
    /// Maximum number of changes to list; the platform keeps the last 64.
    #[options(no_short, meta = "N", default = "20")]
    pub limit: u32,
}

/// Checks, compares, applies and shows the whole configuration.
#[derive(Debug, Options)]
pub struct ConfigGroup {
    /// Print this help.
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<ConfigCommand>,
}

/// The commands of the group `config`.
#[derive(Debug, Options)]
pub enum ConfigCommand {
    /// Check a file without a daemon and print all findings.
    Check(FileOptions),
    /// Show the changes that applying a file would make.
    Diff(FileOptions),
    /// Replace the configuration if it is still at the expected generation.
    Apply(ApplyOptions),
    /// Print the newest configuration.
    Show(NoOptions),
}

/// A command that reads one file.
#[derive(Debug, Options)]
pub struct FileOptions {
    /// Print this help.
    pub help: bool,
    /// File in YAML or JSON.
    #[options(free, required)]
    pub file: String,
}

/// Replaces the configuration if it is still at the expected generation.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Print this help.
    pub help: bool,
    /// File in YAML or JSON.
    #[options(free, required)]
    pub file: String,
    /// Generation that the file is based on.
    #[options(no_short, meta = "GENERATION")]
    pub expect: Option<u64>,
    /// Summary of the change (default: the list of changed records).
    #[options(no_short, meta = "TEXT")]
    pub message: Option<String>,
}

/// Lists, shows, creates, replaces and removes records of one kind.
#[derive(Debug, Options)]
pub struct RecordGroup {
    /// Print this help.
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<RecordCommand>,
}

/// The commands for records without further actions.
#[derive(Debug, Options)]
pub enum RecordCommand {
    /// List all records.
    List(NoOptions),
    /// Show one record.
    Show(NameOptions),
    /// Create or replace the record in a file.
    Put(PutOptions),
    /// Remove one record.
    Remove(NameOptions),
}

/// A command for the record with the given name.
#[derive(Debug, Options)]
pub struct NameOptions {
    /// Print this help.
    pub help: bool,
    /// Name of the record.
    #[options(free, required)]
    pub name: String,
}

/// Creates or replaces the record in a file.
#[derive(Debug, Options)]
pub struct PutOptions {
    /// Print this help.
    pub help: bool,
    /// File in YAML or JSON with one record.
    #[options(free, required)]
    pub file: String,
    /// Pool of an upstream; required only for a new upstream.
    #[options(no_short, meta = "POOL")]
    pub pool: Option<String>,
}

/// Manages shifts of a route from one region to another.
#[derive(Debug, Options)]
pub struct ShiftGroup {
    /// Print this help.
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<ShiftCommand>,
}

/// The commands of the group `shift`.
#[derive(Debug, Options)]
pub enum ShiftCommand {
    /// List all shifts.
    List(NoOptions),
    /// Show one shift.
    Show(NameOptions),
    /// Create or replace the shift in a file.
    Put(PutOptions),
    /// Remove one shift.
    Remove(NameOptions),
    /// Start to move requests, or resume after a pause.
    Start(NameOptions),
    /// Stop moving requests until the next start.
    Pause(NameOptions),
    /// Show one shift and the number of requests that the queried instance has moved.
    Status(NameOptions),
}

/// Manages drains of upstreams, instances, regions and departments.
#[derive(Debug, Options)]
pub struct DrainGroup {
    /// Print this help.
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<DrainCommand>,
}

/// The commands of the group `drain`.
#[derive(Debug, Options)]
pub enum DrainCommand {
    /// List all drains.
    List(NoOptions),
    /// Show one drain.
    Show(DrainTarget),
    /// Start the drain in a file.
    Put(PutOptions),
    /// End one drain; the same as stop.
    Remove(DrainTarget),
    /// Start a drain: the object receives no new work.
    Start(DrainTarget),
    /// End a drain: the object receives new work again.
    Stop(DrainTarget),
    /// Show the number of instances on which a drain is in force.
    Status(DrainTarget),
}

/// A command for the drain of the given object.
#[derive(Debug, Options)]
pub struct DrainTarget {
    /// Print this help.
    pub help: bool,
    /// Kind of the object: upstream, instance, region or department.
    #[options(free, required)]
    pub kind: String,
    /// Name of the object.
    #[options(free, required)]
    pub name: String,
}

impl DrainTarget {
    /// Returns the path of the drain below the collection: the kind and the name of its object.
    #[must_use]
    pub fn path(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }
}

/// Grants and withdraws access keys of client accounts.
#[derive(Debug, Options)]
pub struct KeyGroup {
    /// Print this help.
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// The commands of the group `key`.
#[derive(Debug, Options)]
pub enum KeyCommand {
    /// Create an access key and print it; it cannot be printed again.
    Grant(GrantOptions),
    /// Withdraw an access key.
    Withdraw(WithdrawOptions),
}

/// Creates an access key and prints it; it cannot be printed again.
#[derive(Debug, Options)]
pub struct GrantOptions {
    /// Print this help.
    pub help: bool,
    /// Name of the client account.
    #[options(free, required)]
    pub account: String,
    /// Label of the key, unique within the account.
    #[options(no_short, meta = "LABEL")]
    pub label: Option<String>,
}

/// Withdraws an access key.
#[derive(Debug, Options)]
pub struct WithdrawOptions {
    /// Print this help.
    pub help: bool,
    /// Name of the client account.
    #[options(free, required)]
    pub account: String,
    /// Label of the key.
    #[options(no_short, meta = "LABEL")]
    pub label: Option<String>,
    /// Wait until the withdrawal is in force on all instances with a recent heartbeat.
    #[options(no_short)]
    pub wait: bool,
}

/// Requests the ranked entry instances for a client, as a caller does.
#[derive(Debug, Options)]
pub struct LookUpOptions {
    /// Print this help.
    pub help: bool,
    /// Address of the client (default: the source address of the connection).
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

/// Checks a questionnaire and generates a configuration from it.
#[derive(Debug, Options)]
pub struct QuestionnaireGroup {
    /// Print this help.
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<QuestionnaireCommand>,
}

/// The commands of the group `questionnaire`.
#[derive(Debug, Options)]
pub enum QuestionnaireCommand {
    /// Check a questionnaire and print all findings.
    Check(FileOptions),
    /// Print the configuration that a questionnaire describes.
    Generate(FileOptions),
}

/// Moves the global options to the front, because the parser accepts them only before the command.
#[must_use]
pub fn move_globals_first(arguments: Vec<String>) -> Vec<String> {
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
