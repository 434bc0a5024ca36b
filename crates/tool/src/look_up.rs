//! The command `look-up`, which sends the look-up of a caller to an entry instance.

use std::net::IpAddr;

use serde_json::Value;

use crate::admin_client::ClientCall;
use crate::command_line::LookUpOptions;
use crate::text_output::{cell_text, table_text};
use crate::tool_context::{ToolContext, parse_address};
use crate::tool_error::ToolError;

const ENTRY_VARIABLE: &str = "COLTSFOOTKEEL_ENTRY";

/// Prints the entry instances for a client, in descending order of preference.
///
/// # Errors
///
/// Returns an error if an option is invalid, or if the entry instance is not reached or refuses the call.
pub async fn run(context: &ToolContext, options: &LookUpOptions) -> Result<(), ToolError> {
    let entry = options.entry.clone();
    let Some(entry) = entry.or_else(|| std::env::var(ENTRY_VARIABLE).ok()) else {
        let text = format!("expected --entry ADDRESS or {ENTRY_VARIABLE}, such as 127.0.0.1:7001");
        return Err(ToolError::Usage(text));
    };
    let address = parse_address("--entry", &entry)?;
    let path = match &options.client {
        Some(client) => format!("/v1/look-up?client={}", parse_client(client)?),
        None => "/v1/look-up".to_string(),
    };
    let answer = ClientCall::get(&path).send(address, None).await?;
    let body = answer.json();
    if !answer.status.is_success() {
        let text = format!(
            "{address} answered with status {}: {}",
            answer.status,
            cell_text(&body["error"])
        );
        return Err(ToolError::NotReached(text));
    }
    context.print(&body, look_up_text);
    Ok(())
}

fn look_up_text(body: &Value) -> String {
    let entries = body["entries"].as_array().map_or(&[][..], Vec::as_slice);
    format!(
        "{}valid for {} ms; idempotency prefix {}",
        table_text(
            entries,
            &["instance", "address", "region", "failure_domain"]
        ),
        body["life_ms"],
        cell_text(&body["idempotency_prefix"])
    )
}

fn parse_client(text: &str) -> Result<IpAddr, ToolError> {
    text.parse()
        .map_err(|_| ToolError::Usage(format!("--client {text}: expected an IP address")))
}
