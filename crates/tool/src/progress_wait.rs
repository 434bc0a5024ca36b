//! Waits until a generation is in force on every instance that is heard.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::text_output::progress_text;
use crate::tool_context::ToolContext;
use crate::tool_error::ToolError;

/// Time between two questions. Instances report their generation once a second.
const POLL_PAUSE: Duration = Duration::from_millis(250);

/// The longest wait: several times the 5 s in which a configuration is to be in force everywhere.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Waits until no instance that is heard runs an older generation, and returns where it is in force.
///
/// # Errors
///
/// Returns an error if an instance is still behind after 30 s, or the daemon is not reached.
pub async fn wait_in_force(context: &ToolContext, generation: &Value) -> Result<Value, ToolError> {
    let end = Instant::now() + WAIT_LIMIT;
    let path = format!("/v1/generations/{generation}");
    loop {
        let progress = context.get(&path).await?;
        if progress["behind"].as_array().is_some_and(Vec::is_empty) {
            return Ok(progress);
        }
        if Instant::now() >= end {
            let text = progress_text(&progress);
            return Err(ToolError::Refused(format!(
                "generation {generation} is accepted and not yet in force everywhere after {} s: {text}",
                WAIT_LIMIT.as_secs()
            )));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}
