//! Reads with retries, and conditional writes whose lost answers are resolved by reading the object back.

use std::time::Duration;

use bytes::Bytes;

use crate::object_client::ObjectClient;
use crate::object_types::{ObjectVersion, StoredObject, WriteCondition};
use coltsfootkeel_transport::CallError;

/// The largest number of attempts of a read or write, the first one included.
const MAX_ATTEMPTS: u32 = 4;

/// The delay before the second attempt. It doubles with each further attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The outcome of a write, after a lost answer has been resolved where possible.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// The write has taken effect. The version is the object's current one, which may come from a later write of
    /// another client.
    Written(ObjectVersion),
    /// The object does not satisfy the condition and does not contain the write.
    Superseded {
        /// The object as last read, or `None` if it is absent.
        current: Option<StoredObject>,
        /// Whether an answer was lost, so that the write may have taken effect before the object changed again.
        may_have_taken_effect: bool,
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
            Err(error) if error.is_transient() && attempt < MAX_ATTEMPTS => {}
            result => return result,
        }
        delay_after(attempt).await;
        attempt += 1;
    }
}

/// Writes an object if `condition` holds, with bounded retries.
///
/// After a conflict or a lost answer, the object is read back. If `contains_write` returns true for it, the
/// write has taken effect. If the object is unchanged, the same conditional write is repeated: the two
/// cannot both take effect, because the one that is applied first changes the version.
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
    let mut may_have_taken_effect = false;
    let mut attempt = 1;
    loop {
        let error = match client.put(name, body.clone(), condition).await {
            Ok(version) => return Ok(WriteOutcome::Written(version)),
            Err(error) => error,
        };
        may_have_taken_effect |= !error.is_known_not_applied();
        if matches!(error, CallError::Conflict | CallError::Unknown(_)) {
            // If the read fails, the next attempt resolves the outcome.
            if let Ok(current) = client.get(name).await {
                if let Some(object) = current.as_ref().filter(|object| contains_write(object)) {
                    return Ok(WriteOutcome::Written(object.version));
                }
                if !condition.holds_for(current.as_ref().map(|object| object.version)) {
                    return Ok(WriteOutcome::Superseded {
                        current,
                        may_have_taken_effect,
                    });
                }
            }
        } else if !error.is_transient() {
            return failure_outcome(error, may_have_taken_effect);
        }
        if attempt >= MAX_ATTEMPTS {
            return failure_outcome(error, may_have_taken_effect);
        }
        delay_after(attempt).await;
        attempt += 1;
    }
}

fn failure_outcome(
    error: CallError,
    may_have_taken_effect: bool,
) -> Result<WriteOutcome, CallError> {
    if may_have_taken_effect {
        Ok(WriteOutcome::Uncertain(error))
    } else {
        Err(error)
    }
}

async fn delay_after(attempt: u32) {
    tokio::time::sleep(FIRST_RETRY_DELAY * 2_u32.pow(attempt - 1)).await;
}
