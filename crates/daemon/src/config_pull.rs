//! Transfer of a configuration between peers, in parts that fit into a frame.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_decisions::ConfigSource;
use coltsfootkeel_model::ConfigVersion;
use coltsfootkeel_platform::{ConfigManifest, LoadedConfig, RawManifest};
use coltsfootkeel_protocol::{ConfigPull, ConfigPush, PeerBody};
use thiserror::Error;

use crate::control_event::ControlEvent;
use crate::peer_handle::{PeerCallError, PeerHandle};
use crate::platform_task::{check_document, manifest_version};
use crate::shared_state::SharedState;

/// The maximum size of one part in bytes. A frame holds one part and the other fields of the message.
pub const PART_BYTES: usize = 512 * 1024;

/// Time that a peer has to send one part.
const PART_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Error)]
enum PullError {
    #[error("{0}")]
    Call(#[from] PeerCallError),
    #[error("the peer no longer has this generation")]
    Gone,
    #[error("the peer sent a message that does not answer the pull")]
    Malformed,
}

/// Fetches the configuration `version` from a peer, checks it and reports the outcome to the control thread.
pub async fn pull_config(shared: Arc<SharedState>, peer: PeerHandle, version: ConfigVersion) {
    match pull_parts(&peer, version).await {
        Ok(loaded) => check_document(&shared, ConfigSource::Peer, loaded).await,
        Err(error) => {
            log::info!(
                "config: Fetching generation {} from a peer failed: {error}",
                version.generation
            );
            shared.send_event(ControlEvent::FetchFailed(version));
        }
    }
}

async fn pull_parts(peer: &PeerHandle, version: ConfigVersion) -> Result<LoadedConfig, PullError> {
    let first = pull_part(peer, version, 0).await?;
    let manifest = parse_manifest(&first.manifest).ok_or(PullError::Malformed)?;
    if manifest_version(&manifest) != version {
        return Err(PullError::Gone);
    }
    let mut bytes = first.bytes;
    for part in 1..first.parts {
        bytes.extend(pull_part(peer, version, part).await?.bytes);
    }
    let document = String::from_utf8(bytes).map_err(|_| PullError::Malformed)?;
    Ok(LoadedConfig { manifest, document })
}

async fn pull_part(
    peer: &PeerHandle,
    version: ConfigVersion,
    part: u32,
) -> Result<ConfigPush, PullError> {
    let generation = version.generation.0;
    let request = PeerBody::ConfigPull(ConfigPull { generation, part });
    match peer.call(request, PART_TIMEOUT).await? {
        PeerBody::ConfigPush(push) if push.generation != generation => Err(PullError::Gone),
        PeerBody::ConfigPush(push) if push.part == part && !push.bytes.is_empty() => Ok(push),
        _ => Err(PullError::Malformed),
    }
}

/// Returns the requested part of `loaded`, the configuration in force. The result has no bytes if there is no
/// configuration, if the peer requests another generation or if the part does not exist. Part 0 also holds the
/// manifest.
#[must_use]
pub fn build_config_push(pull: &ConfigPull, loaded: Option<&LoadedConfig>) -> ConfigPush {
    let Some(loaded) = loaded else {
        return ConfigPush::default();
    };
    let mut push = ConfigPush {
        generation: loaded.manifest.generation,
        part: pull.part,
        ..ConfigPush::default()
    };
    if pull.generation != push.generation {
        return push;
    }
    let parts: Vec<&[u8]> = loaded.document.as_bytes().chunks(PART_BYTES).collect();
    push.parts = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    if let Some(bytes) = parts.get(pull.part as usize) {
        push.bytes = bytes.to_vec();
    }
    if pull.part == 0 {
        let raw = RawManifest::from(loaded.manifest.clone());
        push.manifest = serde_json::to_string(&raw).unwrap_or_default();
    }
    push
}

fn parse_manifest(text: &str) -> Option<ConfigManifest> {
    let raw: RawManifest = serde_json::from_str(text).ok()?;
    ConfigManifest::try_from(raw).ok()
}
