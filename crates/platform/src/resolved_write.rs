//! Conditional writes whose lost answers are resolved by reading the object back.

use std::time::Duration;

use bytes::Bytes;

use crate::object_client::ObjectClient;
use crate::object_types::{ObjectVersion, StoredObject, WriteCondition};
use coltsfootkeel_transport::CallError;

/// How often a read or write is attempted in total.
const ATTEMPT_LIMIT: u32 = 4;

/// The pause before the second attempt. It doubles with each further attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// The outcome of a write after its lost answers have been resolved.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// The write has taken effect. The version is that of the object now, which another writer may
    /// have changed on top.
    Written(ObjectVersion),
    /// The object is not as the condition demands and does not contain the write.
    Superseded {
        /// The object now.
        current: Option<StoredObject>,
        /// Whether an answer was lost, so that the write may have taken effect before the object
        /// changed again.
        perhaps_written: bool,
    },
    /// The write may have taken effect, or may do so later.
    Uncertain(CallError),
}

/// Reads an object with bounded retries.
pub(crate) async fn read_object(
    client: &ObjectClient,
    name: &str,
) -> Result<Option<StoredObject>, CallError> {
    let mut attempt = 1;
    loop {
        match client.get(name).await {
            Err(error) if error.is_transient() && attempt < ATTEMPT_LIMIT => {}
            result => return result,
        }
        pause_after(attempt).await;
        attempt += 1;
    }
}

/// Writes an object if `condition` holds, with bounded retries.
///
/// After a lost answer the object is read back. If `contains_write` holds for it, the write has
/// taken effect. If the object is unchanged, the same conditional write is repeated: it and the
/// earlier one cannot both take effect, because the first changes the version.
///
/// # Errors
///
/// Returns an error only if the write has certainly not taken effect.
pub(crate) async fn write_object(
    client: &ObjectClient,
    name: &str,
    body: &Bytes,
    condition: WriteCondition,
    contains_write: impl Fn(&StoredObject) -> bool,
) -> Result<WriteOutcome, CallError> {
    let mut perhaps_written = false;
    let mut attempt = 1;
    loop {
        let error = match client.put(name, body.clone(), condition).await {
            Ok(version) => return Ok(WriteOutcome::Written(version)),
            Err(error) => error,
        };
        perhaps_written |= !error.is_known_not_applied();
        if matches!(error, CallError::Conflict | CallError::Unknown(_)) {
            // A failed read leaves the question open for the next attempt.
            if let Ok(current) = client.get(name).await {
                if let Some(object) = current.as_ref().filter(|object| contains_write(object)) {
                    return Ok(WriteOutcome::Written(object.version));
                }
                if !condition.holds_for(current.as_ref().map(|object| object.version)) {
                    return Ok(WriteOutcome::Superseded {
                        current,
                        perhaps_written,
                    });
                }
            }
        } else if !error.is_transient() {
            return finish_failed(error, perhaps_written);
        }
        if attempt >= ATTEMPT_LIMIT {
            return finish_failed(error, perhaps_written);
        }
        pause_after(attempt).await;
        attempt += 1;
    }
}

fn finish_failed(error: CallError, perhaps_written: bool) -> Result<WriteOutcome, CallError> {
    if perhaps_written {
        Ok(WriteOutcome::Uncertain(error))
    } else {
        Err(error)
    }
}

async fn pause_after(attempt: u32) {
    tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt - 1)).await;
}
