//! The commands `status`, `dump` and `history`.

use std::fmt::Write;

use serde_json::Value;

use crate::command_line::HistoryOptions;
use crate::text_output::{cell_text, print_text, progress_text, table_text};
use crate::tool_context::ToolContext;
use crate::tool_error::ToolError;

/// Prints the generation in force, the number of instances that run it, and the faults of the instance.
///
/// # Errors
///
/// Returns an error if the daemon refuses the call or is not reached.
pub async fn status(context: &ToolContext) -> Result<(), ToolError> {
    let answer = context.get("/v1/status").await?;
    context.print(&answer, status_text);
    Ok(())
}

/// Prints the state of the instance as JSON, also without `--json`.
///
/// # Errors
///
/// Returns an error if the daemon refuses the call or is not reached.
pub async fn dump(context: &ToolContext) -> Result<(), ToolError> {
    let answer = context.get("/v1/dump").await?;
    print_text(&format!("{answer:#}"));
    Ok(())
}

/// Prints the last commits, newest first.
///
/// # Errors
///
/// Returns an error if the daemon refuses the call or is not reached.
pub async fn history(context: &ToolContext, options: &HistoryOptions) -> Result<(), ToolError> {
    let answer = context
        .get(&format!("/v1/generations?limit={}", options.limit))
        .await?;
    context.print(&answer["items"], |items| {
        let items = items.as_array().map_or(&[][..], Vec::as_slice);
        table_text(
            items,
            &["generation", "operator", "time_unix_ms", "summary"],
        )
    });
    Ok(())
}

fn status_text(answer: &Value) -> String {
    let platform = if answer["platform_reached"] == true {
        "reached"
    } else {
        "not reached"
    };
    let mut text = format!(
        "instance    {}\nseat        {}\ngeneration  {}\nplatform    {platform}\n{}",
        cell_text(&answer["instance"]),
        cell_text(&answer["seat"]),
        answer["generation"],
        progress_text(answer)
    );
    for fault in answer["faults"].as_array().into_iter().flatten() {
        let _ = write!(text, "\nfault: {}", cell_text(fault));
    }
    text
}
