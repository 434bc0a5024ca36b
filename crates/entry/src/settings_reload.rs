//! Reloads the settings file when it changes, on SIGHUP or after the next poll.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::LocalSettings;

use crate::process_signals::ReloadSignal;
use crate::shared_state::SharedState;

/// The time between two reads of the settings file without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Reads the settings file on SIGHUP and every [`POLL_PERIOD`]. An invalid file leaves the previous settings in force.
pub(crate) async fn reload_settings(
    shared: Arc<SharedState>,
    path: String,
    mut reload_signal: ReloadSignal,
) {
    let mut current_text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        // The file is read on a signal and on the timeout; the result shows which of them it was.
        let is_signalled = tokio::time::timeout(POLL_PERIOD, reload_signal.received())
            .await
            .is_ok();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(
                    "settings: {path} cannot be read: {error}; the previous settings stay in force."
                );
                continue;
            }
        };
        if text == current_text {
            if is_signalled {
                log::info!("settings: The file is unchanged.");
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
            Err(error) => log::error!("{error}; the previous settings stay in force."),
        }
        current_text = text;
    }
}
