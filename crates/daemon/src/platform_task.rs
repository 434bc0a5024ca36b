//! Calls to the platform on behalf of the control thread. The outcomes are sent to that thread as events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_decisions::ConfigSource;
use coltsfootkeel_model::{ConfigVersion, ContentDigest, FleetConfig, GenerationNumber};
use coltsfootkeel_platform::{
    CallError, ClaimOutcome, ConfigManifest, ConfigStore, LoadedConfig, MANIFEST_NAME,
    ObjectClient, ReleaseOutcome, RestoreOutcome, SeatHolder, SeatStore, StoreRevision,
    StoredManifest, StoredSeat,
};
use tokio_util::sync::CancellationToken;

use crate::control_event::{ControlEvent, FetchedDocument, SeatEvent};
use crate::shared_state::SharedState;

/// The longest time for which the platform holds a watch open. A watch that ends without a change confirms the
/// configuration, so this bounds the age of the configuration while the platform is reachable.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next attempt after a call has failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between reads of the list of instances.
const INSTANCE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Calls the platform and reports the outcomes to the control thread.
#[derive(Debug, Clone)]
pub struct PlatformCaller {
    shared: Arc<SharedState>,
    client: Arc<ObjectClient>,
    configs: ConfigStore,
    seats: SeatStore,
}

impl PlatformCaller {
    /// Creates a caller for the platform that the settings name.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        let platform = &shared.settings.platform;
        let client = Arc::new(ObjectClient::new(platform.address, platform.timeout));
        Self {
            configs: ConfigStore::new(Arc::clone(&client)),
            seats: SeatStore::new(Arc::clone(&client)),
            client,
            shared,
        }
    }

    /// Watches the manifest and reports it after each change and each watch without one, until `stop` is cancelled.
    pub async fn watch_manifest(self, stop: CancellationToken) {
        let mut revision = StoreRevision::NOW;
        let mut cached: Option<StoredManifest> = None;
        while !stop.is_cancelled() {
            let watched = tokio::select! {
                () = stop.cancelled() => return,
                watched = self.watch_once(revision, &mut cached) => watched,
            };
            match watched {
                Ok(next) => revision = next,
                Err(error) => {
                    log::debug!("config: Watching the platform failed: {error}");
                    self.shared.send_event(ControlEvent::PlatformFailed);
                    revision = StoreRevision::NOW;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn watch_once(
        &self,
        after: StoreRevision,
        cached: &mut Option<StoredManifest>,
    ) -> Result<StoreRevision, WatchError> {
        let mut requested_at = self.shared.clock.now();
        let report = self
            .client
            .watch(MANIFEST_NAME, after, WATCH_TIMEOUT)
            .await?;
        let is_current = after != StoreRevision::NOW
            && report.changed.is_empty()
            && !report.is_older_than(after);
        if !is_current {
            requested_at = self.shared.clock.now();
            *cached = self.configs.read_manifest().await?;
        }
        self.shared.send_event(ControlEvent::Manifest {
            requested_at,
            stored: cached.clone().map(Box::new),
        });
        Ok(report.revision)
    }

    /// Reads the list of instances every [`INSTANCE_POLL_INTERVAL`] until `stop` is cancelled.
    pub async fn poll_instances(self, stop: CancellationToken) {
        loop {
            if let Ok(instances) = self.client.instances().await {
                self.shared.send_event(ControlEvent::Instances(instances));
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(INSTANCE_POLL_INTERVAL) => {}
            }
        }
    }

    /// Fetches the document that a manifest names, checks it and reports the outcome.
    pub async fn fetch_document(self, manifest: ConfigManifest) {
        let version = manifest_version(&manifest);
        match self.configs.load_document(&manifest).await {
            Ok(document) => {
                let loaded = LoadedConfig { manifest, document };
                check_document(&self.shared, ConfigSource::Platform, loaded).await;
            }
            Err(error) => {
                log::warn!(
                    "config: Fetching generation {} failed: {error}",
                    version.generation
                );
                self.shared.send_event(ControlEvent::FetchFailed(version));
            }
        }
    }

    /// Writes the configuration `newer` to the platform, over the manifest `stale` or where there is none.
    pub async fn restore(self, newer: Arc<LoadedConfig>, stale: Option<StoredManifest>) {
        let generation = newer.manifest.generation;
        match self.configs.restore(&newer, stale.as_ref()).await {
            Ok(RestoreOutcome::Restored) => {
                log::warn!(
                    "config: Wrote generation {generation} back over older data of the platform."
                );
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!("config: Writing generation {generation} back failed: {error}");
            }
        }
    }

    /// Reads a seat and reports it.
    pub async fn read_seat(self, seat: String) {
        let event = match self.seats.read(&seat).await {
            Ok(stored) => SeatEvent::Read { seat, stored },
            Err(_) => SeatEvent::ReadFailed,
        };
        self.shared.send_event(ControlEvent::Seat(event));
    }

    /// Claims a seat on condition that it is unchanged since it was read as `expected`, and reports the outcome.
    pub async fn claim_seat(self, seat: String, expected: StoredSeat) {
        let event = match self.seats.claim(&seat, &expected, self.own_holder()).await {
            Ok(ClaimOutcome::Claimed(stored)) => SeatEvent::Claimed { stored },
            // An earlier attempt whose answer was lost may have taken effect.
            Ok(ClaimOutcome::Lost(stored)) if self.is_own(&stored) => SeatEvent::Claimed { stored },
            Ok(ClaimOutcome::Lost(_)) => SeatEvent::ClaimLost,
            Ok(ClaimOutcome::Unknown) | Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                SeatEvent::ClaimUnknown
            }
        };
        self.shared.send_event(ControlEvent::Seat(event));
    }

    /// Rewrites a held seat, so that a claim of it that is still in transit fails, and reports the outcome for the
    /// confirmation `round`. Reports nothing if the outcome is unknown or the call failed.
    pub async fn rewrite_seat(self, seat: String, held: StoredSeat, round: u64) {
        let (stored, is_own) = match self.seats.claim(&seat, &held, self.own_holder()).await {
            Ok(ClaimOutcome::Claimed(stored)) => (stored, true),
            Ok(ClaimOutcome::Lost(stored)) => {
                let is_own = self.is_own(&stored);
                (stored, is_own)
            }
            Ok(ClaimOutcome::Unknown) | Err(_) => return,
        };
        self.shared
            .send_event(ControlEvent::Seat(SeatEvent::Rewritten {
                round,
                stored,
                is_own,
            }));
    }

    fn own_holder(&self) -> SeatHolder {
        let settings = &self.shared.settings;
        SeatHolder {
            instance: settings.instance.clone(),
            incarnation: self.shared.incarnation,
            peer_address: settings.peer.advertise,
            failure_domain: settings.failure_domain.clone(),
        }
    }

    fn is_own(&self, stored: &StoredSeat) -> bool {
        let holder = stored.occupancy.holder.as_ref();
        holder.is_some_and(|holder| holder.incarnation == self.shared.incarnation)
    }

    /// Releases a seat. `settled` is `true` if no request is running on its slots at any instance.
    pub async fn release_seat(self, seat: String, held: StoredSeat, settled: bool) {
        match self.seats.release(&seat, &held, settled).await {
            Ok(ReleaseOutcome::Released) => log::info!("seat: Released {seat}."),
            Ok(_) => log::warn!("seat: {seat} was no longer held when it was to be released."),
            Err(error) => log::warn!("seat: Releasing {seat} failed: {error}"),
        }
        self.shared
            .send_event(ControlEvent::Seat(SeatEvent::Released));
    }
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Config(#[from] coltsfootkeel_platform::ConfigError),
}

/// Checks a document on a blocking thread, because a large one takes long, and reports the outcome.
pub async fn check_document(shared: &Arc<SharedState>, source: ConfigSource, loaded: LoadedConfig) {
    let version = manifest_version(&loaded.manifest);
    let checked = tokio::task::spawn_blocking(move || {
        let file = format!("generation-{}", version.generation);
        let checked = FleetConfig::parse(&file, &loaded.document);
        (loaded, checked)
    });
    match checked.await {
        Ok((loaded, checked)) => {
            shared.send_event(ControlEvent::Document(Box::new(FetchedDocument {
                source,
                version,
                loaded: Arc::new(loaded),
                checked,
            })));
        }
        Err(_) => shared.send_event(ControlEvent::FetchFailed(version)),
    }
}

/// Returns the version that a manifest names.
#[must_use]
pub fn manifest_version(manifest: &ConfigManifest) -> ConfigVersion {
    ConfigVersion {
        generation: GenerationNumber(manifest.generation),
        digest: ContentDigest(*manifest.content.as_bytes()),
    }
}

/// Returns the peer addresses in the platform's list of instances.
#[must_use]
pub fn listed_addresses(instances: &[coltsfootkeel_platform::InstanceEntry]) -> Vec<SocketAddr> {
    instances.iter().map(|instance| instance.address).collect()
}
