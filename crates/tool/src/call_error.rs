//! Why a call gave no answer.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error(
        "cannot connect to {address}: {cause}; check the address, or use another instance of the fleet"
    )]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The call was sent and its answer was lost.
    #[error("no answer from {address}: {cause}{}", repeat_hint(write_id.as_deref()))]
    NoAnswer {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: String,
        /// The idempotency key of a change.
        write_id: Option<String>,
    },
}

impl CallError {
    /// Makes the error of a call whose time was up.
    #[must_use]
    pub fn timeout(address: SocketAddr, limit: Duration, write_id: Option<String>) -> Self {
        Self::NoAnswer {
            address,
            cause: format!("none within {} s", limit.as_secs()),
            write_id,
        }
    }
}

fn repeat_hint(write_id: Option<&str>) -> String {
    match write_id {
        Some(id) => format!(
            "; the change may have been made: repeat the command with --write-id {id}, which makes it once at most"
        ),
        None => "; repeat the command, or use another instance".to_string(),
    }
}
