//! The commands that list, show, put and remove records, and the actions of shifts and drains.

use http::Method;
use serde_json::{Value, json};

use crate::command_line::{
    DrainCommand, DrainGroup, DrainTarget, PutOptions, RecordCommand, RecordGroup, ShiftCommand,
    ShiftGroup,
};
use crate::config_commands::read_file;
use crate::missing_argument;
use crate::record_kinds::{DRAIN, RecordKind, SHIFT};
use crate::text_output::{change_text, fields_text, progress_text, table_text};
use crate::tool_context::{ToolChange, ToolContext};
use crate::tool_error::ToolError;

/// The largest number of items that one call lists.
const MAX_PAGE_ITEMS: usize = 1_000;

/// Runs a command for a kind of record without further actions.
///
/// # Errors
///
/// Returns the error of the command.
pub async fn run(
    context: &ToolContext,
    kind: &RecordKind,
    group: RecordGroup,
) -> Result<(), ToolError> {
    let command = group.command;
    match command.ok_or_else(|| missing_argument(&format!("command of {}", kind.command)))? {
        RecordCommand::List(_) => list(context, kind).await,
        RecordCommand::Show(options) => show(context, kind, &options.name).await,
        RecordCommand::Put(options) => put(context, kind, &options).await,
        RecordCommand::Remove(options) => remove(context, kind, &options.name).await,
    }
}

/// Runs a command of the group `shift`.
///
/// # Errors
///
/// Returns the error of the command.
pub async fn run_shift(context: &ToolContext, group: ShiftGroup) -> Result<(), ToolError> {
    let command = group.command;
    match command.ok_or_else(|| missing_argument("command of shift"))? {
        ShiftCommand::List(_) => list(context, &SHIFT).await,
        ShiftCommand::Show(options) => show(context, &SHIFT, &options.name).await,
        ShiftCommand::Put(options) => put(context, &SHIFT, &options).await,
        ShiftCommand::Remove(options) => remove(context, &SHIFT, &options.name).await,
        ShiftCommand::Start(options) => run_shift_action(context, &options.name, "start").await,
        ShiftCommand::Pause(options) => run_shift_action(context, &options.name, "pause").await,
        ShiftCommand::Status(options) => shift_status(context, &options.name).await,
    }
}

/// Runs a command of the group `drain`.
///
/// # Errors
///
/// Returns the error of the command.
pub async fn run_drain(context: &ToolContext, group: DrainGroup) -> Result<(), ToolError> {
    let command = group.command;
    match command.ok_or_else(|| missing_argument("command of drain"))? {
        DrainCommand::List(_) => list(context, &DRAIN).await,
        DrainCommand::Show(target) => show(context, &DRAIN, &target.path()).await,
        DrainCommand::Put(options) => put(context, &DRAIN, &options).await,
        DrainCommand::Remove(target) | DrainCommand::Stop(target) => {
            remove(context, &DRAIN, &target.path()).await
        }
        DrainCommand::Start(target) => start_drain(context, &target).await,
        DrainCommand::Status(target) => drain_status(context, &target).await,
    }
}

async fn list(context: &ToolContext, kind: &RecordKind) -> Result<(), ToolError> {
    let mut items = Vec::new();
    let mut path = format!("{}?limit={MAX_PAGE_ITEMS}", kind.path);
    loop {
        let mut answer = context.get(&path).await?;
        if let Value::Array(page) = answer["items"].take() {
            items.extend(page);
        }
        let Some(next) = answer["next"].as_str() else {
            break;
        };
        path = format!("{}?limit={MAX_PAGE_ITEMS}&after={next}", kind.path);
    }
    let value = Value::Array(items);
    context.print(&value, |value| {
        table_text(
            value.as_array().map_or(&[][..], Vec::as_slice),
            kind.columns,
        )
    });
    Ok(())
}

async fn show(context: &ToolContext, kind: &RecordKind, name: &str) -> Result<(), ToolError> {
    let answer = context.get(&record_path(kind, name)).await?;
    context.print(&answer["item"], fields_text);
    Ok(())
}

async fn put(
    context: &ToolContext,
    kind: &RecordKind,
    options: &PutOptions,
) -> Result<(), ToolError> {
    let file = options.file.as_str();
    let body = read_file(file)?;
    let name = (kind.parse_name)(file, &body)
        .map_err(|findings| ToolError::Refused(findings.to_string().trim_end().to_string()))?;
    let mut path = record_path(kind, &name);
    if let Some(pool) = &options.pool {
        path = format!("{path}?pool={pool}");
    }
    let change = ToolChange {
        body,
        file,
        ..ToolChange::new(Method::PUT, path)
    };
    send_change(context, change).await
}

async fn remove(context: &ToolContext, kind: &RecordKind, name: &str) -> Result<(), ToolError> {
    let change = ToolChange::new(Method::DELETE, record_path(kind, name));
    send_change(context, change).await
}

async fn run_shift_action(
    context: &ToolContext,
    name: &str,
    action: &str,
) -> Result<(), ToolError> {
    let path = format!("{}/{action}", record_path(&SHIFT, name));
    send_change(context, ToolChange::new(Method::POST, path)).await
}

/// Prints the configured shift, the number of requests that the queried instance has moved, and the progress of the
/// rollout.
async fn shift_status(context: &ToolContext, name: &str) -> Result<(), ToolError> {
    let shift = context.get(&record_path(&SHIFT, name)).await?;
    let dump = context.get("/v1/dump").await?;
    let shifts = dump["shifts"].as_array();
    let counts = shifts.and_then(|shifts| shifts.iter().find(|shift| shift["name"] == name));
    let progress = context.get(&generation_path(&shift)).await?;
    let value = json!({
        "shift": shift["item"],
        "instance": dump["instance"],
        "counts": counts,
        "progress": progress,
    });
    context.print(&value, |value| {
        let counts = match counts {
            Some(counts) => format!("moved {} of {} requests", counts["moved"], counts["seen"]),
            None => "no requests counted".to_string(),
        };
        let instance = dump["instance"].as_str().unwrap_or_default();
        let shift = fields_text(&value["shift"]);
        format!("{shift}{instance}: {counts}\n{}", progress_text(&progress))
    });
    Ok(())
}

async fn start_drain(context: &ToolContext, target: &DrainTarget) -> Result<(), ToolError> {
    let path = record_path(&DRAIN, &target.path());
    send_change(context, ToolChange::new(Method::PUT, path)).await
}

async fn drain_status(context: &ToolContext, target: &DrainTarget) -> Result<(), ToolError> {
    let drain = context.get(&record_path(&DRAIN, &target.path())).await?;
    let progress = context.get(&generation_path(&drain)).await?;
    let value = json!({"drain": drain["item"], "progress": progress});
    context.print(&value, |_| {
        let DrainTarget { kind, name, .. } = target;
        format!("{kind} {name} is draining\n{}", progress_text(&progress))
    });
    Ok(())
}

async fn send_change(context: &ToolContext, change: ToolChange<'_>) -> Result<(), ToolError> {
    let answer = context.change(change).await?;
    context.print(&answer, change_text);
    Ok(())
}

fn record_path(kind: &RecordKind, name: &str) -> String {
    format!("{}/{name}", kind.path)
}

fn generation_path(answer: &Value) -> String {
    format!("/v1/generations/{}", answer["generation"])
}
