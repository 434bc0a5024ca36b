//! The commands `questionnaire`: the package `coltsfootkeel-questionnaire` does the work.

use coltsfootkeel_questionnaire::{TeamAnswers, generate, parse};

use crate::command_line::{QuestionnaireCommand, QuestionnaireGroup};
use crate::config_commands::read_file;
use crate::missing;
use crate::tool_error::ToolError;

/// Runs a command of the group.
///
/// # Errors
///
/// Returns why it failed, with all findings of a questionnaire that has faults.
pub fn run(group: QuestionnaireGroup) -> Result<(), ToolError> {
    let command = group.command;
    match command.ok_or_else(|| missing("command of questionnaire"))? {
        QuestionnaireCommand::Check(options) => {
            read_answers(&options.file)?;
            println!("{}: no findings", options.file);
        }
        QuestionnaireCommand::Generate(options) => {
            let generated = generate(&read_answers(&options.file)?);
            // The document alone goes to standard output, so that it can be written to a file.
            print!("{}", generated.document);
            for explanation in &generated.explanations {
                eprintln!("{explanation}");
            }
        }
    }
    Ok(())
}

fn read_answers(file: &str) -> Result<TeamAnswers, ToolError> {
    let text = read_file(file)?;
    parse(file, &text)
        .map_err(|findings| ToolError::Refused(findings.to_string().trim_end().to_string()))
}
