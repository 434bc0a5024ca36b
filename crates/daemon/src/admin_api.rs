//! What the handlers of the administration API share: the documents and the view of the fleet.

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

/// Time the control thread has to answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a manifest with older data is written over, while other daemons do the same.
const RESTORE_ATTEMPTS: u32 = 3;

/// What the handlers share.
#[derive(Debug)]
pub struct AdminApi {
    /// The state of the process.
    pub shared: Arc<SharedState>,
    /// The store of configurations.
    pub configs: ConfigStore,
}

/// A document to read or to change.
#[derive(Debug, Clone)]
pub struct BaseDocument {
    /// The generation, zero before the first commit.
    pub generation: u64,
    /// Whether the platform confirmed that it is the newest.
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

    /// Returns the last commits, oldest first.
    #[must_use]
    pub fn commits(&self) -> &[CommitRecord] {
        let loaded = self.loaded.as_ref();
        loaded.map_or(&[][..], |loaded| &loaded.manifest.commits)
    }

    /// Reads the document. This takes long for a large one, so it is called on a thread for long work.
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
    /// Makes the state that the handlers share.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        let platform = &shared.settings.platform;
        let client = Arc::new(ObjectClient::new(platform.address, platform.timeout));
        Self {
            configs: ConfigStore::new(client),
            shared,
        }
    }

    /// Returns the newest document: that of the platform, or that in force here if the platform restarted with older
    /// data. In the second case the newer one is written back first, because a commit on top of older data would
    /// revert what is in force.
    ///
    /// # Errors
    ///
    /// Returns a fault if the platform cannot be read.
    pub async fn newest(&self) -> Result<BaseDocument, AdminError> {
        for _ in 0..RESTORE_ATTEMPTS {
            let stored = self.configs.read_manifest().await?;
            let own = self.in_force().await?;
            let Some(own) = own.filter(|own| is_older(stored.as_ref(), own)) else {
                return self.load(stored).await;
            };
            let outcome = self.configs.restore(&own, stored.as_ref()).await?;
            if matches!(outcome, RestoreOutcome::Restored) {
                return Ok(BaseDocument::new(Some(own), true));
            }
            // The manifest has changed since it was read, so it is read again.
        }
        let text = "its older data are being replaced by the generation in force";
        Err(AdminError::PlatformDown(text.to_string()))
    }

    async fn load(&self, stored: Option<StoredManifest>) -> Result<BaseDocument, AdminError> {
        let Some(StoredManifest { manifest, .. }) = stored else {
            return Ok(BaseDocument::new(None, true));
        };
        let own = self.in_force().await?;
        if let Some(own) = own.filter(|own| own.manifest == manifest) {
            return Ok(BaseDocument::new(Some(own), true));
        }
        let document = self.configs.load_document(&manifest).await?;
        let loaded = LoadedConfig { manifest, document };
        Ok(BaseDocument::new(Some(Arc::new(loaded)), true))
    }

    /// Returns the newest document, or the one in force here while the platform cannot be read.
    ///
    /// # Errors
    ///
    /// Returns a fault if there is neither.
    pub async fn readable(&self) -> Result<BaseDocument, AdminError> {
        match self.newest().await {
            Err(AdminError::PlatformDown(_)) => {
                let own = self.in_force().await?.ok_or(AdminError::NotReady)?;
                Ok(BaseDocument::new(Some(own), false))
            }
            result => result,
        }
    }

    /// Returns the document in force on this instance.
    async fn in_force(&self) -> Result<Option<Arc<LoadedConfig>>, AdminError> {
        self.ask(|reply| ControlEvent::Admin(AdminQuery::InForce(reply)))
            .await
    }

    /// Tells on how many instances a generation is in force.
    ///
    /// # Errors
    ///
    /// Returns a fault if the control thread does not answer.
    pub async fn view(&self, generation: u64) -> Result<RolloutStatus, AdminError> {
        let number = GenerationNumber(generation);
        self.ask(|reply| ControlEvent::Admin(AdminQuery::RolloutStatus(number, reply)))
            .await
    }

    /// Returns a dump of the state.
    ///
    /// # Errors
    ///
    /// Returns a fault if the control thread does not answer.
    pub async fn dump(&self) -> Result<StateDump, AdminError> {
        self.ask(ControlEvent::Dump).await
    }

    async fn ask<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ControlEvent,
    ) -> Result<T, AdminError> {
        let (reply, answer) = oneshot::channel();
        self.shared.report(event(reply));
        match tokio::time::timeout(CONTROL_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(AdminError::NotReady),
        }
    }
}

fn is_older(stored: Option<&StoredManifest>, own: &LoadedConfig) -> bool {
    stored.is_none_or(|stored| stored.manifest.generation < own.manifest.generation)
}

/// Runs work that may take long, such as reading a large document, on a thread for it.
///
/// # Errors
///
/// Returns the fault of the work, or that it ended early.
pub async fn run_long<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, AdminError> + Send + 'static,
) -> Result<T, AdminError> {
    match tokio::task::spawn_blocking(work).await {
        Ok(result) => result,
        Err(error) => Err(AdminError::Internal(error.to_string())),
    }
}
