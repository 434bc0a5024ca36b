//! State shared by the handlers of the administration API: access to the fleet document and to the control thread.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_decisions::RolloutStatus;
use coltsfootkeel_model::{GenerationNumber, RawFleet};
use coltsfootkeel_platform::{
    CommitRecord, ConfigStore, LoadedConfig, ObjectClient, RestoreOutcome, StoredManifest,
};
use tokio::sync::oneshot;

use crate::admin_control::AdminQuery;
use crate::admin_error::AdminError;
use crate::control_event::ControlEvent;
use crate::shared_state::SharedState;
use crate::state_dump::StateDump;

/// The maximum time that a query to the control thread takes.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of attempts to replace an older manifest of the platform. An attempt fails if another daemon
/// replaces the manifest at the same time.
const MAX_RESTORE_ATTEMPTS: u32 = 3;

/// The state that the handlers share.
#[derive(Debug)]
pub struct AdminApi {
    /// The state that all threads of the process share.
    pub shared: Arc<SharedState>,
    /// The client of the platform's configuration store.
    pub configs: ConfigStore,
}

/// The fleet document that a call reads, or on which a change is based.
#[derive(Debug, Clone)]
pub struct BaseDocument {
    /// The generation of the document; 0 before the first commit.
    pub generation: u64,
    /// Whether the platform has confirmed that the document is the newest one.
    pub confirmed: bool,
    loaded: Option<Arc<LoadedConfig>>,
}

impl BaseDocument {
    fn new(loaded: Option<Arc<LoadedConfig>>, confirmed: bool) -> Self {
        Self {
            generation: loaded
                .as_ref()
                .map_or(0, |loaded| loaded.manifest.generation),
            confirmed,
            loaded,
        }
    }

    /// Returns the most recent commits, which the manifest holds, oldest first.
    #[must_use]
    pub fn commits(&self) -> &[CommitRecord] {
        let loaded = self.loaded.as_ref();
        loaded.map_or(&[][..], |loaded| &loaded.manifest.commits)
    }

    /// Parses the document. A large document takes long, so this is called through [`run_blocking`].
    #[must_use]
    pub fn read(&self) -> RawFleet {
        match &self.loaded {
            Some(loaded) => {
                RawFleet::read(&format!("generation-{}", self.generation), &loaded.document)
            }
            None => RawFleet::default(),
        }
    }
}

impl AdminApi {
    /// Creates the state with a client of the platform that the settings name.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        let platform = &shared.settings.platform;
        let client = Arc::new(ObjectClient::new(platform.address, platform.timeout));
        Self {
            configs: ConfigStore::new(client),
            shared,
        }
    }

    /// Returns the newest document: the one of the platform, or the one in force on this instance if the platform has
    /// restarted with older data. In the second case the newer document is written back to the platform first, because
    /// a commit on top of older data would revert the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be read, if its older data cannot be replaced, or if the control thread
    /// does not reply.
    pub async fn newest_document(&self) -> Result<BaseDocument, AdminError> {
        for _ in 0..MAX_RESTORE_ATTEMPTS {
            let stored = self.configs.read_manifest().await?;
            let in_force = self.document_in_force().await?;
            let Some(in_force) =
                in_force.filter(|in_force| is_stored_older(stored.as_ref(), in_force))
            else {
                return self.load_stored(stored).await;
            };
            let outcome = self.configs.restore(&in_force, stored.as_ref()).await?;
            if matches!(outcome, RestoreOutcome::Restored) {
                return Ok(BaseDocument::new(Some(in_force), true));
            }
            // The manifest has changed since it was read, so it is read again.
        }
        let text = "its older data are being replaced by the generation in force";
        Err(AdminError::PlatformDown(text.to_string()))
    }

    async fn load_stored(
        &self,
        stored: Option<StoredManifest>,
    ) -> Result<BaseDocument, AdminError> {
        let Some(StoredManifest { manifest, .. }) = stored else {
            return Ok(BaseDocument::new(None, true));
        };
        let in_force = self.document_in_force().await?;
        if let Some(in_force) = in_force.filter(|in_force| in_force.manifest == manifest) {
            return Ok(BaseDocument::new(Some(in_force), true));
        }
        let document = self.configs.load_document(&manifest).await?;
        let loaded = LoadedConfig { manifest, document };
        Ok(BaseDocument::new(Some(Arc::new(loaded)), true))
    }

    /// Returns the newest document, or the one in force on this instance while the platform cannot be read.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::NotReady`] if the platform cannot be read and no document is in force.
    pub async fn readable_document(&self) -> Result<BaseDocument, AdminError> {
        match self.newest_document().await {
            Err(AdminError::PlatformDown(_)) => {
                let in_force = self
                    .document_in_force()
                    .await?
                    .ok_or(AdminError::NotReady)?;
                Ok(BaseDocument::new(Some(in_force), false))
            }
            result => result,
        }
    }

    /// Returns the document in force on this instance, or `None` if it has no configuration yet.
    async fn document_in_force(&self) -> Result<Option<Arc<LoadedConfig>>, AdminError> {
        self.query_control(|reply| ControlEvent::Admin(AdminQuery::InForce(reply)))
            .await
    }

    /// Returns the instances on which a generation is in force.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::NotReady`] if the control thread does not reply within [`CONTROL_TIMEOUT`].
    pub async fn rollout_status(&self, generation: u64) -> Result<RolloutStatus, AdminError> {
        let number = GenerationNumber(generation);
        self.query_control(|reply| ControlEvent::Admin(AdminQuery::RolloutStatus(number, reply)))
            .await
    }

    /// Returns a dump of the state of this instance.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::NotReady`] if the control thread does not reply within [`CONTROL_TIMEOUT`].
    pub async fn dump(&self) -> Result<StateDump, AdminError> {
        self.query_control(ControlEvent::Dump).await
    }

    async fn query_control<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ControlEvent,
    ) -> Result<T, AdminError> {
        let (reply, answer) = oneshot::channel();
        self.shared.send_event(event(reply));
        match tokio::time::timeout(CONTROL_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(AdminError::NotReady),
        }
    }
}

/// Returns whether the platform has an older document than the one in force, or none.
fn is_stored_older(stored: Option<&StoredManifest>, in_force: &LoadedConfig) -> bool {
    stored.is_none_or(|stored| stored.manifest.generation < in_force.manifest.generation)
}

/// Runs `work` that may take long, such as parsing a large document, on a thread for blocking work.
///
/// # Errors
///
/// Returns the error of `work`, or [`AdminError::Internal`] if it panicked or was cancelled.
pub async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, AdminError> + Send + 'static,
) -> Result<T, AdminError> {
    match tokio::task::spawn_blocking(work).await {
        Ok(result) => result,
        Err(error) => Err(AdminError::Internal(error.to_string())),
    }
}
