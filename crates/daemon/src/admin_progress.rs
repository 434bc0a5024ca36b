//! Tells where a generation is in force.

use coltsfootkeel_decisions::RolloutStatus;
use serde::Serialize;

use crate::admin_api::AdminApi;

/// Where a generation is in force, as far as this instance has heard.
#[derive(Debug, Serialize)]
pub struct ProgressAnswer {
    /// The generation.
    pub generation: u64,
    /// The number of instances that run it or a newer one.
    pub in_force: usize,
    /// The number of instances known.
    pub known: usize,
    /// The instances that run an older one.
    pub behind: Vec<String>,
    /// The instances not heard lately.
    pub unheard: Vec<String>,
    /// The same as a sentence.
    pub message: String,
}

impl ProgressAnswer {
    /// Makes the answer from what the control thread knows.
    #[must_use]
    pub fn new(generation: u64, view: RolloutStatus) -> Self {
        let RolloutStatus {
            in_force,
            known,
            behind,
            unheard,
        } = view;
        let mut message =
            format!("generation {generation} is in force on {in_force} of {known} instances");
        if !unheard.is_empty() {
            message.push_str("; not heard: ");
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
    /// Tells where a generation is in force. A change that was made is answered as such even if the control thread
    /// does not answer, so the view is then empty.
    pub async fn progress(&self, generation: u64) -> ProgressAnswer {
        let view = self.view(generation).await.unwrap_or_default();
        ProgressAnswer::new(generation, view)
    }
}
