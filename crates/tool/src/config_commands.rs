//! The commands of the group `config`.

use coltsfootkeel_model::{FleetConfig, RawFleet, fleet_diff};
use http::Method;
use serde_json::{Value, json};

use crate::command_line::{ApplyOptions, ConfigCommand, ConfigGroup, FileOptions};
use crate::missing_argument;
use crate::text_output::{change_text, print_text};
use crate::tool_context::{ToolChange, ToolContext};
use crate::tool_error::ToolError;

/// Runs a command of the group `config`.
///
/// # Errors
///
/// Returns the error of the command.
pub async fn run(context: &ToolContext, group: ConfigGroup) -> Result<(), ToolError> {
    match group
        .command
        .ok_or_else(|| missing_argument("command of config"))?
    {
        ConfigCommand::Check(options) => check(context, &options),
        ConfigCommand::Diff(options) => diff(context, &options).await,
        ConfigCommand::Apply(options) => apply(context, &options).await,
        ConfigCommand::Show(_) => show(context).await,
    }
}

/// Returns the content of a file.
///
/// # Errors
///
/// Returns an error that names the file if it cannot be read.
pub fn read_file(file: &str) -> Result<String, ToolError> {
    std::fs::read_to_string(file)
        .map_err(|error| ToolError::Refused(format!("cannot read {file}: {error}")))
}

fn check(context: &ToolContext, options: &FileOptions) -> Result<(), ToolError> {
    read_checked(&options.file)?;
    let answer = json!({"file": options.file, "valid": true});
    context.print(&answer, |_| format!("{}: no findings", options.file));
    Ok(())
}

async fn diff(context: &ToolContext, options: &FileOptions) -> Result<(), ToolError> {
    let text = read_checked(&options.file)?;
    let answer = context.get("/v1/config").await?;
    let stored = RawFleet::read("stored document", &answer["document"].to_string());
    let changes = fleet_diff(&stored, &RawFleet::read(&options.file, &text));
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let generation = &answer["generation"];
    let value = json!({"generation": generation, "changes": changes});
    context.print(&value, |_| {
        if lines.is_empty() {
            format!("{} is equal to generation {generation}", options.file)
        } else {
            format!(
                "changes from generation {generation}:\n{}",
                lines.join("\n")
            )
        }
    });
    Ok(())
}

async fn apply(context: &ToolContext, options: &ApplyOptions) -> Result<(), ToolError> {
    let body = read_checked(&options.file)?;
    let Some(expected) = options.expect else {
        let text = "expected --expect GENERATION, the generation that the file is based on; 'coltsfootkeel status' shows the newest";
        return Err(ToolError::Usage(text.to_string()));
    };
    let mut headers = vec![("If-Match", expected.to_string())];
    if let Some(message) = &options.message {
        headers.push(("Coltsfootkeel-Summary", message.clone()));
    }
    let change = ToolChange {
        headers,
        body,
        file: &options.file,
        ..ToolChange::new(Method::PUT, "/v1/config".to_string())
    };
    let answer = context.change(change).await?;
    context.print(&answer, change_text);
    Ok(())
}

/// Prints the document to standard output, so that it can be edited and applied, and its generation to standard error.
async fn show(context: &ToolContext) -> Result<(), ToolError> {
    let answer: Value = context.get("/v1/config").await?;
    if context.prints_json {
        print_text(&format!("{answer:#}"));
        return Ok(());
    }
    eprintln!("generation {}", answer["generation"]);
    print_text(&format!("{:#}", answer["document"]));
    Ok(())
}

fn read_checked(file: &str) -> Result<String, ToolError> {
    let text = read_file(file)?;
    match FleetConfig::parse(file, &text) {
        Ok(_) => Ok(text),
        Err(findings) => {
            let count = findings.sorted().len();
            let text = format!("{count} findings:\n{findings}");
            Err(ToolError::Refused(text.trim_end().to_string()))
        }
    }
}
