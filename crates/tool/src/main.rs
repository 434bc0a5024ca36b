//! The program `coltsfootkeel`: the operators' command line.

mod admin_client;
mod call_error;
mod command_examples;
mod command_line;
mod config_commands;
mod key_commands;
mod look_up;
mod progress_wait;
mod questionnaire_commands;
mod record_commands;
mod record_kinds;
mod status_commands;
mod text_output;
mod tool_context;
mod tool_error;

use std::process::ExitCode;

use gumdrop::Options;

use crate::command_line::{Command, CommandLine, move_globals_first};
use crate::tool_context::ToolContext;
use crate::tool_error::ToolError;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let line = match CommandLine::parse_args_default(&move_globals_first(arguments)) {
        Ok(line) => line,
        Err(error) => return report_error(&ToolError::Usage(error.to_string())),
    };
    if line.help_requested() {
        text_output::print_text(&command_examples::help_text(&line));
        return ExitCode::SUCCESS;
    }
    if line.version {
        println!("coltsfootkeel {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run_command_line(line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}

fn report_error(error: &ToolError) -> ExitCode {
    eprintln!("coltsfootkeel: {error}");
    ExitCode::from(error.exit_code())
}

fn run_command_line(line: CommandLine) -> Result<(), ToolError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| ToolError::Refused(format!("cannot start the runtime: {error}")))?;
    let context = ToolContext::new(&line);
    let Some(command) = line.command else {
        return Err(missing_argument("command"));
    };
    runtime.block_on(run_command(&context, command))
}

async fn run_command(context: &ToolContext, command: Command) -> Result<(), ToolError> {
    match command {
        Command::Config(group) => config_commands::run(context, group).await,
        Command::History(options) => status_commands::history(context, &options).await,
        Command::Status(_) => status_commands::status(context).await,
        Command::Dump(_) => status_commands::dump(context).await,
        Command::Department(group) => {
            record_commands::run(context, &record_kinds::DEPARTMENT, group).await
        }
        Command::Account(group) => {
            record_commands::run(context, &record_kinds::ACCOUNT, group).await
        }
        Command::Route(group) => record_commands::run(context, &record_kinds::ROUTE, group).await,
        Command::Pool(group) => record_commands::run(context, &record_kinds::POOL, group).await,
        Command::Upstream(group) => {
            record_commands::run(context, &record_kinds::UPSTREAM, group).await
        }
        Command::Shift(group) => record_commands::run_shift(context, group).await,
        Command::Drain(group) => record_commands::run_drain(context, group).await,
        Command::Key(group) => key_commands::run(context, group).await,
        Command::LookUp(options) => look_up::run(context, &options).await,
        Command::Questionnaire(group) => questionnaire_commands::run(group),
    }
}

/// Returns the usage error for a missing part of the command line.
fn missing_argument(expected: &str) -> ToolError {
    ToolError::Usage(format!("expected a {expected}"))
}
