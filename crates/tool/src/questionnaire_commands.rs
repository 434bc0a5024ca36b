//! The commands of the group `questionnaire`, on top of the package `coltsfootkeel-questionnaire`.

use coltsfootkeel_questionnaire::{TeamAnswers, generate, parse};

use crate::command_line::{QuestionnaireCommand, QuestionnaireGroup};
use crate::config_commands::read_file;
use crate::missing_argument;
use crate::tool_error::ToolError;

/// Runs a command of the group `questionnaire`.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or all findings if the questionnaire is invalid.
pub fn run(group: QuestionnaireGroup) -> Result<(), ToolError> {
    let command = group.command;
    match command.ok_or_else(|| missing_argument("command of questionnaire"))? {
        QuestionnaireCommand::Check(options) => {
            read_answers(&options.file)?;
            println!("{}: no findings", options.file);
        }
        QuestionnaireCommand::Generate(options) => {
            let generated = generate(&read_answers(&options.file)?);
            // Standard output holds only the document, so that it can be redirected to a file.
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
