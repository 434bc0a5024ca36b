//! Errors of calls to a daemon, and whether a change may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

/// Why a call to a daemon returned no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    #[error(
        "cannot connect to {address}: {cause}; check the address, or use another instance of the fleet"
    )]
    Connect {
        /// The address of the listener.
        address: SocketAddr,
        /// The text of the underlying error.
        cause: String,
    },
    /// The call was sent, but its answer was not received.
    #[error("no answer from {address}: {cause}{}", repeat_hint(write_id.as_deref()))]
    NoAnswer {
        /// The address of the listener.
        address: SocketAddr,
        /// The text of the underlying error.
        cause: String,
        /// The idempotency key of a change, or `None` for a call that only reads.
        write_id: Option<String>,
    },
}

impl CallError {
    /// Creates the error of a call that was not answered within `limit`.
    #[must_use]
    pub fn timeout(address: SocketAddr, limit: Duration, write_id: Option<String>) -> Self {
        Self::NoAnswer {
            address,
            cause: format!("timed out after {} s", limit.as_secs()),
            write_id,
        }
    }
}

fn repeat_hint(write_id: Option<&str>) -> String {
    match write_id {
        Some(id) => format!(
            "; the change may have been made: repeat the command with --write-id {id}, which applies it at most once"
        ),
        None => "; repeat the command, or use another instance".to_string(),
    }
}
