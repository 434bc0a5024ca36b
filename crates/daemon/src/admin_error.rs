//! Errors of the administration API and their HTTP responses.

use coltsfootkeel_model::RecordChange;
use coltsfootkeel_platform::{CommitRecord, ConfigError};
use http::StatusCode;
use serde::Serialize;
use thiserror::Error;
use volo_http::response::Response;

use crate::admin_findings::FindingAnswer;
use crate::entry_service::json_response;

/// The reason why a call of an operator is refused.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The call has no token, or one that is not in the settings.
    #[error(
        "expected 'Authorization: Bearer <token>' with the token of an operator in the daemon's settings"
    )]
    Unauthorized,
    /// The change includes records outside the operator's departments.
    #[error("operator {operator} may change only objects of: {}", departments.join(", "))]
    NotAllowed {
        /// The name of the operator.
        operator: String,
        /// The departments the operator may change.
        departments: Vec<String>,
        /// The changed records outside these departments.
        records: Vec<RecordChange>,
    },
    /// The named object does not exist.
    #[error("{0} does not exist")]
    NotFound(String),
    /// The call is malformed; holds the message.
    #[error("{0}")]
    Malformed(String),
    /// The object already exists; holds the message.
    #[error("{0}")]
    Exists(String),
    /// The changed document is not valid.
    #[error("the document has {} findings; nothing was applied", findings.len())]
    Findings {
        /// All findings of the changed document.
        findings: Vec<FindingAnswer>,
    },
    /// Another change was committed first.
    #[error("{}", conflict_text(*expected, *current, changes))]
    Conflict {
        /// The generation on which the change was based.
        expected: u64,
        /// The newest generation.
        current: u64,
        /// The commits after the expected generation, as far as the manifest holds them.
        changes: Vec<CommitRecord>,
    },
    /// The idempotency key was used for another change; holds the generation of that change.
    #[error(
        "the Idempotency-Key was used for another change, which made generation {0}; use a new one"
    )]
    KeyReused(u64),
    /// The platform cannot be read or written; holds the reason.
    #[error(
        "the platform cannot be reached, so nothing was changed and no change can be accepted; repeat later: {0}"
    )]
    PlatformDown(String),
    /// The platform's response to the write was lost.
    #[error(
        "the change may have been made; repeat the same call with 'Idempotency-Key: {write_id}' to learn the outcome"
    )]
    OutcomeUnknown {
        /// The idempotency key with which the call must be repeated.
        write_id: String,
    },
    /// This instance has no configuration, or its control thread did not reply in time.
    #[error("this instance has no configuration yet or is stopping; use another instance")]
    NotReady,
    /// The daemon failed to process the call; holds the message.
    #[error("{0}")]
    Internal(String),
}

/// The JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    records: Option<&'a [RecordChange]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a [FindingAnswer]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected_generation: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    generation: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<&'a [CommitRecord]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    write_id: Option<&'a str>,
}

impl AdminError {
    /// Creates the HTTP response.
    #[must_use]
    pub fn to_response(&self) -> Response {
        let (status, error) = self.status_and_code();
        let mut body = ErrorBody {
            error,
            message: self.to_string(),
            records: None,
            findings: None,
            expected_generation: None,
            generation: None,
            changes: None,
            write_id: None,
        };
        match self {
            Self::NotAllowed { records, .. } => body.records = Some(records),
            Self::Findings { findings } => body.findings = Some(findings),
            Self::Conflict {
                expected,
                current,
                changes,
            } => {
                body.expected_generation = Some(*expected);
                body.generation = Some(*current);
                body.changes = Some(changes);
            }
            Self::OutcomeUnknown { write_id } => body.write_id = Some(write_id),
            _ => {}
        }
        json_response(status, &body)
    }

    fn status_and_code(&self) -> (StatusCode, &'static str) {
        match self {
            Self::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized"),
            Self::NotAllowed { .. } => (StatusCode::FORBIDDEN, "not_allowed"),
            Self::NotFound(_) => (StatusCode::NOT_FOUND, "not_found"),
            Self::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
            Self::Exists(_) => (StatusCode::CONFLICT, "exists"),
            Self::Findings { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "findings"),
            Self::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
            Self::KeyReused(_) => (StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
            Self::PlatformDown(_) => (StatusCode::SERVICE_UNAVAILABLE, "platform_down"),
            Self::OutcomeUnknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
            Self::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
            Self::Internal(_) => (StatusCode::INTERNAL_SERVER_ERROR, "internal"),
        }
    }
}

impl From<ConfigError> for AdminError {
    fn from(error: ConfigError) -> Self {
        match error {
            ConfigError::FieldLength { .. } => Self::Malformed(error.to_string()),
            _ => Self::PlatformDown(error.to_string()),
        }
    }
}

fn conflict_text(expected: u64, current: u64, changes: &[CommitRecord]) -> String {
    let start = format!(
        "the configuration is at generation {current}, not {expected}; nothing was applied"
    );
    match changes.last() {
        Some(change) => format!(
            "{start}; generation {} by {}: {}",
            change.generation, change.operator, change.summary
        ),
        None => start,
    }
}
