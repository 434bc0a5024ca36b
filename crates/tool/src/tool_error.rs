//! Why a command failed, and the exit code that says so.

use thiserror::Error;

use crate::call_error::CallError;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ToolError {
    /// A document, a file or a change is refused, or something does not exist.
    #[error("{0}")]
    Refused(String),
    /// The command line cannot be understood.
    #[error("{0}; see coltsfootkeel --help, or --help after a command")]
    Usage(String),
    /// Another change came first.
    #[error("{0}")]
    Conflict(String),
    /// The daemon or the platform was not reached, or its answer was lost.
    #[error("{0}")]
    NotReached(String),
}

impl ToolError {
    /// Returns the exit code of the program.
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
