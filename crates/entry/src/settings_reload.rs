//! Follows the settings file: a change takes effect with a signal or without one.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::LocalSettings;
use tokio::signal::unix::{SignalKind, signal};

use crate::shared_state::SharedState;

/// The time between two looks at the file without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Reads the file again on SIGHUP and now and then. A file that cannot be used leaves the old settings in force.
pub async fn reload_settings(shared: Arc<SharedState>, path: String) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            log::error!("settings: SIGHUP cannot be received: {error}.");
            return;
        }
    };
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        // Either way the file is read; the result says which.
        let is_signalled = tokio::time::timeout(POLL_PERIOD, hang_up.recv())
            .await
            .is_ok();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("settings: {path} cannot be read: {error}; the old settings stay.");
                continue;
            }
        };
        if text == known {
            if is_signalled {
                log::info!("settings: Unchanged.");
            }
            continue;
        }
        match LocalSettings::parse(&text) {
            Ok(settings) => {
                shared.bounds.store(Arc::new(settings.bounds));
                let needs_restart = LocalSettings {
                    bounds: shared.settings.bounds,
                    ..settings
                } != shared.settings;
                log::info!(needs_restart; "settings: Reloaded; only bounds change without a restart.");
            }
            Err(error) => log::error!("{error}; the old settings stay."),
        }
        known = text;
    }
}
