//! Errors of calls to the platform, and whether a failed write may have taken effect.

use thiserror::Error;

/// Why a call to the platform failed, and whether a write may have taken effect.
#[derive(Debug, Error)]
pub enum CallError {
    /// The condition of a write does not hold. The write has not taken effect.
    #[error("the object has changed")]
    Conflict,
    /// The call was not sent. A write has not taken effect.
    #[error("the call was not sent: {0}")]
    NotSent(#[source] UnsentReason),
    /// The platform refused the call. A write has not taken effect.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The call was sent, but its outcome is unknown. A write may have taken effect, or may do so later.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(#[source] AnswerFailure),
}

impl CallError {
    /// Returns whether a write has certainly not taken effect.
    #[must_use]
    pub fn is_known_not_applied(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }

    /// Returns whether the same call may succeed later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Conflict | Self::NotSent(UnsentReason::Request(_)) => false,
            Self::NotSent(_) | Self::Unknown(_) => true,
            Self::Refused { status } => matches!(status, 408 | 429 | 503),
        }
    }
}

/// Why a call to the platform was not sent.
#[derive(Debug, Error)]
pub enum UnsentReason {
    /// The request could not be built, for example because the name of the object is empty.
    #[error("malformed request: {0}")]
    Request(String),
    /// All connections were in use until the call's deadline.
    #[error("no free connection within the time limit")]
    NoConnection,
    /// The connection was not open before the call's deadline or the connection timeout.
    #[error("no connection to the platform within the time limit")]
    ConnectTimeout,
    /// The connection could not be opened.
    #[error("cannot connect to the platform: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection closed before the request was written.
    #[error("connection closed before the request was sent: {0}")]
    Closed(#[source] hyper::Error),
}

/// Why a call to the platform has no usable answer.
#[derive(Debug, Error)]
pub enum AnswerFailure {
    /// No answer was received before the call's deadline.
    #[error("no answer within the time limit")]
    Timeout,
    /// The caller gave the call up before an answer began.
    #[error("the call was abandoned")]
    Abandoned,
    /// The connection failed before the answer was complete.
    #[error("connection failed: {0}")]
    Connection(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer exceeds the longest body that the client reads.
    #[error("the answer is longer than {limit_bytes} bytes")]
    TooLong {
        /// The longest body that the client reads, in bytes.
        limit_bytes: usize,
    },
    /// The platform failed while it handled the call.
    #[error("the platform failed with status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer has no `ETag` header with the object's version, or an unreadable one.
    #[error("the answer has no readable ETag")]
    NoVersion,
    /// The last object of a page has no readable name, from which the next page continues.
    #[error("the page ends with an object without a readable name")]
    NoContinuation,
    /// The answer's body is not JSON of the expected type.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}
