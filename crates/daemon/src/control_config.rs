//! Handling of configuration versions: fetches newer ones from the platform and from peers, and puts checked ones in
//! force.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{ConfigAge, ConfigSource, DocumentOutcome, OfferAction};
use coltsfootkeel_model::{ConfigVersion, FleetConfig};
use coltsfootkeel_platform::{LoadedConfig, StoredManifest};

use crate::config_pull::pull_config;
use crate::control_event::FetchedDocument;
use crate::control_loop::{ControlLoop, TimedVersion};
use crate::fleet_snapshot::InstanceLocation;
use crate::peer_table::find_domain;
use crate::platform_task::manifest_version;
use crate::share_table::seat_locations;

/// A fetch without an outcome after this time is started again.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

impl ControlLoop {
    /// Handles an answer of the platform to the request for its manifest, which was sent at `requested_at`. `stored` is
    /// `None` if the platform has no manifest.
    pub(crate) fn handle_manifest(
        &mut self,
        requested_at: MonotonicTime,
        stored: Option<StoredManifest>,
        now: MonotonicTime,
    ) {
        if let Some(age) = &mut self.config_age {
            age.note_reached(true);
        }
        let Some(stored) = stored else {
            if let (Some(_), Some(loaded)) =
                (self.tracker.evaluate_empty_platform(), &self.loaded_config)
            {
                tokio::spawn(self.platform.clone().restore(Arc::clone(loaded), None));
            }
            return;
        };
        let version = manifest_version(&stored.manifest);
        self.platform_version = Some(TimedVersion {
            version,
            at: requested_at,
        });
        let action = self
            .tracker
            .evaluate_offer(ConfigSource::Platform, version, now);
        if let Some(age) = &mut self.config_age
            && action.confirms_current()
        {
            age.note_confirmed(requested_at);
        }
        match action {
            OfferAction::Fetch if self.try_start_fetch(version, now) => {
                tokio::spawn(self.platform.clone().fetch_document(stored.manifest));
            }
            OfferAction::OverwriteStale => {
                if let Some(loaded) = &self.loaded_config {
                    tokio::spawn(
                        self.platform
                            .clone()
                            .restore(Arc::clone(loaded), Some(stored)),
                    );
                }
            }
            _ => {}
        }
    }

    /// Evaluates the version in a peer's heartbeat and starts to fetch it from that peer if it is newer.
    pub(crate) fn evaluate_peer_version(
        &mut self,
        instance: &str,
        version: ConfigVersion,
        now: MonotonicTime,
    ) {
        let action = self
            .tracker
            .evaluate_offer(ConfigSource::Peer, version, now);
        let Some(record) = self.peers.find(instance) else {
            return;
        };
        let handle = record.peer.handle.clone();
        if action == OfferAction::Fetch && self.try_start_fetch(version, now) {
            tokio::spawn(pull_config(Arc::clone(&self.shared), handle, version));
        }
    }

    /// Registers a fetch of `version` and returns whether the fetch must be started. Returns `false` if a fetch of the
    /// same version started less than [`FETCH_TIMEOUT`] ago and has no outcome yet.
    pub(crate) fn try_start_fetch(&mut self, version: ConfigVersion, now: MonotonicTime) -> bool {
        let is_pending = self.pending_fetch.is_some_and(|pending_fetch| {
            pending_fetch.version == version && now.since(pending_fetch.at) < FETCH_TIMEOUT
        });
        if !is_pending {
            self.pending_fetch = Some(TimedVersion { version, at: now });
        }
        !is_pending
    }

    /// Handles a document that was fetched and checked, and puts its configuration in force if it is still newer.
    pub(crate) fn handle_document(&mut self, document: FetchedDocument, now: MonotonicTime) {
        self.pending_fetch = None;
        let FetchedDocument {
            source,
            version,
            loaded,
            checked,
        } = document;
        let findings = checked.as_ref().err().map(ToString::to_string);
        let text = &loaded.document;
        let outcome = self
            .tracker
            .handle_document(source, version, text, findings, now);
        match (outcome, checked) {
            (DocumentOutcome::InForce, Ok(config)) => {
                self.activate_config(Arc::new(config), loaded, version, now);
                self.confirm_config_age(version, now);
            }
            (DocumentOutcome::Bad, Err(findings)) => {
                log::error!(
                    "config: Generation {} failed its checks: {findings}",
                    version.generation
                );
            }
            (outcome, _) => log::debug!(
                "config: Generation {} was not put in force: {outcome:?}",
                version.generation
            ),
        }
    }

    /// Records that the platform confirmed `version`, if it is the version in the last manifest of the platform.
    /// The confirmation counts from the request for that manifest, before the document was fetched.
    pub(crate) fn confirm_config_age(&mut self, version: ConfigVersion, now: MonotonicTime) {
        if let (Some(age), Some(platform_version)) = (&mut self.config_age, self.platform_version)
            && platform_version.version == version
        {
            age.note_confirmed(platform_version.at);
        }
        self.publish_staleness(now);
    }

    /// Puts a checked configuration in force: publishes its snapshot and everything derived from it, and informs the
    /// peers. A configuration without the failure domain of this instance is logged and ignored.
    pub(crate) fn activate_config(
        &mut self,
        config: Arc<FleetConfig>,
        loaded: Arc<LoadedConfig>,
        version: ConfigVersion,
        now: MonotonicTime,
    ) {
        let Some(domain) = find_domain(&config, &self.shared.settings.failure_domain) else {
            let name = &self.shared.settings.failure_domain;
            log::error!(
                "config: Generation {} has no failure domain '{name}', which this instance belongs to.",
                version.generation
            );
            return;
        };
        let region = config.domains[domain].region;
        let location = InstanceLocation { domain, region };
        let seat = self.seat_key(&config);
        let previous = self.config.take();
        if let Some(previous) = &previous {
            self.previous_seats = seat_locations(previous);
        }
        let snapshot = self.builder.build(
            Arc::clone(&config),
            version,
            location,
            seat,
            previous.as_deref(),
            now,
        );
        self.shared.snapshot.store(Some(Arc::new(snapshot)));
        match &mut self.config_age {
            Some(age) => age.apply(domain),
            None => self.config_age = Some(ConfigAge::new(domain)),
        }
        self.config = Some(config);
        self.loaded_config = Some(loaded);
        self.location = Some(location);
        log::info!("config: Generation {} is in force.", version.generation);
        self.publish_replay_ownership(now);
        self.update_lenders(now);
        self.publish_entries(now);
        self.send_heartbeats(now);
        self.start_seat_search();
    }

    /// Publishes to request threads how long a withdrawal of an access key may have been missed.
    pub(crate) fn publish_staleness(&mut self, now: MonotonicTime) {
        let (Some(config), Some(age), Some(version)) =
            (&self.config, &mut self.config_age, self.tracker.in_force())
        else {
            return;
        };
        let region_name = &self.shared.settings.platform.region;
        let region = config.regions.find(|region| region.name == *region_name);
        if let Some(region) = region {
            age.publish(&self.shared.staleness, config, region, version, now);
        }
    }
}
