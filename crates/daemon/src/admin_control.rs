//! Queries of the administration API to the control thread.

use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::RolloutStatus;
use coltsfootkeel_model::GenerationNumber;
use coltsfootkeel_platform::LoadedConfig;
use tokio::sync::oneshot;

use crate::control_loop::ControlLoop;

/// A query of the administration API, with the channel for the reply.
#[derive(Debug)]
pub enum AdminQuery {
    /// Requests the document in force on this instance; the reply is `None` if there is no configuration yet.
    InForce(oneshot::Sender<Option<Arc<LoadedConfig>>>),
    /// Requests the instances on which a generation is in force.
    RolloutStatus(GenerationNumber, oneshot::Sender<RolloutStatus>),
}

impl ControlLoop {
    /// Replies to a query. Errors are ignored, because the handler may have stopped waiting for the reply.
    pub(crate) fn answer_admin_query(&self, query: AdminQuery, now: MonotonicTime) {
        match query {
            AdminQuery::InForce(reply) => {
                let _ = reply.send(self.loaded_config.clone());
            }
            AdminQuery::RolloutStatus(generation, reply) => {
                let own_instance = &self.shared.settings.instance;
                let status = self.tracker.rollout_status(
                    own_instance,
                    &self.listed_instances,
                    generation,
                    now,
                );
                let _ = reply.send(status);
            }
        }
    }
}
