//! What the control thread tells the administration API.

use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::RolloutStatus;
use coltsfootkeel_model::GenerationNumber;
use coltsfootkeel_platform::LoadedConfig;
use tokio::sync::oneshot;

use crate::control_loop::ControlLoop;

/// A question of the administration API.
#[derive(Debug)]
pub enum AdminQuestion {
    /// Which document is in force on this instance?
    InForce(oneshot::Sender<Option<Arc<LoadedConfig>>>),
    /// On how many instances is a generation in force?
    View(GenerationNumber, oneshot::Sender<RolloutStatus>),
}

impl ControlLoop {
    /// Answers a question. The caller may have gone meanwhile.
    pub(crate) fn answer_admin(&self, question: AdminQuestion, now: MonotonicTime) {
        match question {
            AdminQuestion::InForce(reply) => {
                let _ = reply.send(self.loaded_config.clone());
            }
            AdminQuestion::View(generation, reply) => {
                let own = &self.shared.settings.instance;
                let view =
                    self.tracker
                        .rollout_status(own, &self.listed_instances, generation, now);
                let _ = reply.send(view);
            }
        }
    }
}
