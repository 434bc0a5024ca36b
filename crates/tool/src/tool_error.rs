//! Errors of commands, and their exit codes.

use thiserror::Error;

use crate::call_error::CallError;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ToolError {
    /// A file cannot be read or has findings, the daemon refused the call, or the record does not exist.
    #[error("{0}")]
    Refused(String),
    /// The command line is invalid.
    #[error("{0}; see coltsfootkeel --help, or --help after a command")]
    Usage(String),
    /// The configuration changed after the expected generation.
    #[error("{0}")]
    Conflict(String),
    /// The daemon or the platform was not reached, or its answer was not received.
    #[error("{0}")]
    NotReached(String),
}

impl ToolError {
    /// Returns the exit code of the program for this error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::NotReached(_) => 4,
        }
    }
}

impl From<CallError> for ToolError {
    fn from(error: CallError) -> Self {
        Self::NotReached(error.to_string())
    }
}
