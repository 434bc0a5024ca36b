//! Waits until a generation is in force on every instance with a recent heartbeat.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::text_output::progress_text;
use crate::tool_context::ToolContext;
use crate::tool_error::ToolError;

/// The time between two polls. Instances report their generation once a second.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The longest wait: several times the 5 s in which a configuration is to be in force on every instance.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until no instance with a recent heartbeat runs an older generation, and returns the progress of the rollout.
///
/// # Errors
///
/// Returns an error if an instance still runs an older generation after 30 s, or if the daemon is not reached.
pub async fn wait_until_in_force(
    context: &ToolContext,
    generation: &Value,
) -> Result<Value, ToolError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let path = format!("/v1/generations/{generation}");
    loop {
        let progress = context.get(&path).await?;
        if progress["behind"].as_array().is_some_and(Vec::is_empty) {
            return Ok(progress);
        }
        if Instant::now() >= deadline {
            let text = progress_text(&progress);
            return Err(ToolError::Refused(format!(
                "generation {generation} is accepted, but not in force on every instance after {} s: {text}",
                WAIT_TIMEOUT.as_secs()
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
