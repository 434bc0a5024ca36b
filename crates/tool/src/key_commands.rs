//! The commands of the group `key`.

use http::Method;
use serde_json::{Value, json};

use crate::command_line::{GrantOptions, KeyCommand, KeyGroup, WithdrawOptions};
use crate::missing_argument;
use crate::progress_wait::wait_until_in_force;
use crate::text_output::{cell_text, change_text, progress_text};
use crate::tool_context::{ToolChange, ToolContext};
use crate::tool_error::ToolError;

/// Runs a command of the group `key`.
///
/// # Errors
///
/// Returns the error of the command.
pub async fn run(context: &ToolContext, group: KeyGroup) -> Result<(), ToolError> {
    match group
        .command
        .ok_or_else(|| missing_argument("command of key"))?
    {
        KeyCommand::Grant(options) => grant(context, &options).await,
        KeyCommand::Withdraw(options) => withdraw(context, &options).await,
    }
}

async fn grant(context: &ToolContext, options: &GrantOptions) -> Result<(), ToolError> {
    let label = required_label(options.label.as_deref())?;
    let change = ToolChange {
        body: json!({"label": label}).to_string(),
        ..ToolChange::new(Method::POST, keys_path(&options.account))
    };
    let answer = context.change(change).await?;
    context.print(&answer, grant_text);
    Ok(())
}

async fn withdraw(context: &ToolContext, options: &WithdrawOptions) -> Result<(), ToolError> {
    let label = required_label(options.label.as_deref())?;
    let path = format!("{}/{label}", keys_path(&options.account));
    let answer = context
        .change(ToolChange::new(Method::DELETE, path))
        .await?;
    if !options.wait {
        context.print(&answer, change_text);
        return Ok(());
    }
    let progress = wait_until_in_force(context, &answer["generation"]).await?;
    context.print(&progress, |progress| {
        let generation = &progress["generation"];
        format!(
            "access key {label} of {} is withdrawn at generation {generation}\n{}",
            options.account,
            progress_text(progress)
        )
    });
    Ok(())
}

fn grant_text(answer: &Value) -> String {
    let key = match answer["access_key"].as_str() {
        Some(key) => format!("access key (it cannot be shown again): {key}"),
        None => format!(
            "the first call printed the access key; if it is lost, withdraw label {} and grant another key",
            cell_text(&answer["label"])
        ),
    };
    format!("{key}\n{}", change_text(answer))
}

fn keys_path(account: &str) -> String {
    format!("/v1/client-accounts/{account}/access-keys")
}

fn required_label(label: Option<&str>) -> Result<&str, ToolError> {
    label.ok_or_else(|| ToolError::Usage("expected --label LABEL".to_string()))
}
