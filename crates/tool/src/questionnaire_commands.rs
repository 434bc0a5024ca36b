//! The commands `questionnaire`, which the package `coltsfootkeel-questionnaire` does the work for.

use crate::command_line::{QuestionnaireCommand, QuestionnaireGroup};
use crate::missing;
use crate::tool_error::ToolError;

/// Runs a command of the group.
///
/// # Errors
///
/// Returns why it failed.
pub fn run(group: QuestionnaireGroup) -> Result<(), ToolError> {
    let command = group.command;
    match command.ok_or_else(|| missing("command of questionnaire"))? {
        QuestionnaireCommand::Check(options) => not_available("check", &options.file),
        QuestionnaireCommand::Generate(options) => not_available("generate", &options.file),
    }
}

fn not_available(command: &str, file: &str) -> Result<(), ToolError> {
    let text = format!("questionnaire {command} {file}: not available in this version");
    Err(ToolError::Refused(text))
}
