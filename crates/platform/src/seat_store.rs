//! Claims and releases of seats, stored as objects in the platform's object API.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::object_client::ObjectClient;
use crate::object_types::{ObjectVersion, StoredObject, WriteCondition};
use crate::resolved_write::{WriteOutcome, read_object, write_object};
use coltsfootkeel_transport::CallError;

/// The prefix of the names of seat objects, which the name of the seat follows.
pub const SEAT_PREFIX: &str = "seats/";

/// The instance that holds a seat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatHolder {
    /// The name of the instance.
    pub instance: String,
    /// A number that differs for each start of the instance.
    pub incarnation: u64,
    /// The address of the instance's peer listener.
    pub peer_address: SocketAddr,
    /// The failure domain in which the instance runs, which may differ from the seat's.
    pub failure_domain: String,
}

/// The holder of a seat, as the platform stores it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatOccupancy {
    /// The holder, or `None` if the seat is free.
    pub holder: Option<SeatHolder>,
    /// The number of times that the seat has been claimed.
    pub epoch: u64,
    /// Whether no request was running on the seat's slots at any instance when its last holder released it.
    #[serde(default)]
    pub settled: bool,
}

/// A seat as it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredSeat {
    /// The version of the seat's object, or `None` if the seat was never claimed.
    pub version: Option<ObjectVersion>,
    /// The holder and the epoch of the seat.
    pub occupancy: SeatOccupancy,
}

/// The outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim has taken effect.
    Claimed(StoredSeat),
    /// The seat changed after it was read, and the claimant does not hold it.
    Lost(StoredSeat),
    /// The claim may have taken effect, or may do so later. The claimant uses none of the seat's shares and reads the
    /// seat again.
    Unknown,
}

/// The outcome of a release.
#[derive(Debug)]
pub enum ReleaseOutcome {
    /// The release has taken effect.
    Released,
    /// The seat changed after it was read, and the former holder no longer holds it.
    NotHeld(StoredSeat),
    /// The release may have taken effect, or may do so later.
    Unknown,
}

/// Why a seat could not be read, or why a claim or release has certainly not taken effect.
#[derive(Debug, Error)]
pub enum SeatError {
    /// A call to the platform failed.
    #[error("seat {seat}: {source}")]
    Call {
        /// The name of the seat.
        seat: String,
        /// The error of the call.
        source: CallError,
    },
    /// The content of the seat's object is malformed.
    #[error("seat {seat} is malformed: {source}")]
    Format {
        /// The name of the seat.
        seat: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Reads, claims and releases seats.
#[derive(Debug, Clone)]
pub struct SeatStore {
    client: Arc<ObjectClient>,
}

impl SeatStore {
    /// Creates a store that calls the platform through `client`.
    #[must_use]
    pub fn new(client: Arc<ObjectClient>) -> Self {
        Self { client }
    }

    /// Reads a seat. A seat that was never claimed is free at epoch 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the seat cannot be read or is malformed.
    pub async fn read(&self, seat: &str) -> Result<StoredSeat, SeatError> {
        let object = read_object(&self.client, &object_name(seat))
            .await
            .map_err(|source| call_error(seat, source))?;
        parse_seat(seat, object.as_ref())
    }

    /// Claims a seat for `holder` if the seat is unchanged since `last_read`.
    ///
    /// # Errors
    ///
    /// Returns an error only if the claim has certainly not taken effect.
    pub async fn claim(
        &self,
        seat: &str,
        last_read: &StoredSeat,
        holder: SeatHolder,
    ) -> Result<ClaimOutcome, SeatError> {
        let occupancy = SeatOccupancy {
            holder: Some(holder),
            epoch: last_read.occupancy.epoch + 1,
            settled: false,
        };
        match self.write(seat, last_read, &occupancy).await? {
            WriteOutcome::Written(version) => Ok(ClaimOutcome::Claimed(StoredSeat {
                version: Some(version),
                occupancy,
            })),
            WriteOutcome::Superseded { current, .. } => {
                Ok(ClaimOutcome::Lost(parse_seat(seat, current.as_ref())?))
            }
            WriteOutcome::Uncertain(_) => Ok(ClaimOutcome::Unknown),
        }
    }

    /// Frees a seat if it is unchanged since `held`. With `settled`, the stored occupancy states for the next holder
    /// that no request is running on the seat's slots.
    ///
    /// # Errors
    ///
    /// Returns an error only if the release has certainly not taken effect.
    pub async fn release(
        &self,
        seat: &str,
        held: &StoredSeat,
        settled: bool,
    ) -> Result<ReleaseOutcome, SeatError> {
        let occupancy = SeatOccupancy {
            holder: None,
            epoch: held.occupancy.epoch,
            settled,
        };
        match self.write(seat, held, &occupancy).await? {
            WriteOutcome::Written(_) => Ok(ReleaseOutcome::Released),
            WriteOutcome::Superseded { current, .. } => {
                Ok(ReleaseOutcome::NotHeld(parse_seat(seat, current.as_ref())?))
            }
            WriteOutcome::Uncertain(_) => Ok(ReleaseOutcome::Unknown),
        }
    }

    /// Writes the occupancy of a seat if the seat is unchanged since `last_read`. The holder's incarnation and the
    /// epoch identify the write after a lost answer.
    async fn write(
        &self,
        seat: &str,
        last_read: &StoredSeat,
        occupancy: &SeatOccupancy,
    ) -> Result<WriteOutcome, SeatError> {
        let body = serde_json::to_vec(occupancy).map_err(|source| SeatError::Format {
            seat: seat.to_string(),
            source,
        })?;
        let contains_write = |object: &StoredObject| {
            serde_json::from_slice::<SeatOccupancy>(&object.body)
                .is_ok_and(|stored| stored == *occupancy)
        };
        write_object(
            &self.client,
            &object_name(seat),
            &Bytes::from(body),
            WriteCondition::unchanged(last_read.version),
            contains_write,
        )
        .await
        .map_err(|source| call_error(seat, source))
    }
}

fn object_name(seat: &str) -> String {
    format!("{SEAT_PREFIX}{seat}")
}

fn call_error(seat: &str, source: CallError) -> SeatError {
    SeatError::Call {
        seat: seat.to_string(),
        source,
    }
}

fn parse_seat(seat: &str, object: Option<&StoredObject>) -> Result<StoredSeat, SeatError> {
    let Some(object) = object else {
        return Ok(StoredSeat::default());
    };
    let occupancy = serde_json::from_slice(&object.body).map_err(|source| SeatError::Format {
        seat: seat.to_string(),
        source,
    })?;
    Ok(StoredSeat {
        version: Some(object.version),
        occupancy,
    })
}
