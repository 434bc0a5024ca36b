//! Progress of the rollout of a generation.

use coltsfootkeel_decisions::RolloutStatus;
use serde::Serialize;

use crate::admin_api::AdminApi;

/// The instances on which a generation is in force, according to the heartbeats that this instance has received.
#[derive(Debug, Serialize)]
pub struct ProgressAnswer {
    /// The number of the generation.
    pub generation: u64,
    /// The number of instances that run the generation or a newer one.
    pub in_force: usize,
    /// The number of known instances.
    pub known: usize,
    /// The instances that report an older generation.
    pub behind: Vec<String>,
    /// The instances without a recent heartbeat.
    pub unheard: Vec<String>,
    /// The progress as a sentence for the operator.
    pub message: String,
}

impl ProgressAnswer {
    /// Creates the answer from the status that the control thread returned.
    #[must_use]
    pub fn new(generation: u64, status: RolloutStatus) -> Self {
        let RolloutStatus {
            in_force,
            known,
            behind,
            unheard,
        } = status;
        let mut message =
            format!("generation {generation} is in force on {in_force} of {known} instances");
        if !unheard.is_empty() {
            message.push_str("; no recent heartbeat: ");
            message.push_str(&unheard.join(", "));
        }
        Self {
            generation,
            in_force,
            known,
            behind,
            unheard,
            message,
        }
    }
}

impl AdminApi {
    /// Returns the progress of the rollout of a generation. If the control thread does not reply, the progress is empty
    /// rather than an error, because the response must still report that the change was made.
    pub async fn rollout_progress(&self, generation: u64) -> ProgressAnswer {
        let status = self.rollout_status(generation).await.unwrap_or_default();
        ProgressAnswer::new(generation, status)
    }
}
