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
pub enum AdminQuery {
    /// Which document is in force on this instance?
    InForce(oneshot::Sender<Option<Arc<LoadedConfig>>>),
    /// On how many instances is a generation in force?
    RolloutStatus(GenerationNumber, oneshot::Sender<RolloutStatus>),
}

impl ControlLoop {
    /// Answers a question. The caller may have gone meanwhile.
    pub(crate) fn answer_admin_query(&self, question: AdminQuery, now: MonotonicTime) {
        match question {
            AdminQuery::InForce(reply) => {
                let _ = reply.send(self.loaded.clone());
            }
            AdminQuery::RolloutStatus(generation, reply) => {
                let own = &self.shared.settings.instance;
                let view = self
                    .tracker
                    .rollout_status(own, &self.listed, generation, now);
                let _ = reply.send(view);
            }
        }
    }
}
