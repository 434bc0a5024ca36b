//! Ownership of idempotency keys: selects the instance that stores the state of a key.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The time for which an idempotency key is retained after its request has ended.
pub const KEY_RETENTION: Duration = Duration::from_mins(10);

/// The time for which a former owner may still accept keys after the owner has changed. Instances receive the change
/// at different times; an instance that is cut off for longer refuses requests with keys by itself.
pub const OWNER_OVERLAP: Duration = Duration::from_mins(2);

/// The maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The number of hexadecimal digits of an incarnation in a key. It is fixed, so that a key that a caller chose itself
/// is not mistaken for one with a prefix.
const INCARNATION_DIGITS: usize = 16;

/// The reason why a text is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IdempotencyKeyError {
    /// The key is empty.
    #[error("the idempotency key is empty")]
    Empty,
    /// The key is longer than [`MAX_KEY_BYTES`]; holds its length in bytes.
    #[error("the idempotency key has {0} bytes; the maximum is {MAX_KEY_BYTES}")]
    TooLong(usize),
    /// The key holds a byte that is not a visible ASCII character.
    #[error("the idempotency key holds a byte that is not a visible ASCII character")]
    NotVisible,
}

/// An idempotency key: 1 to [`MAX_KEY_BYTES`] visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the text of the key.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = IdempotencyKeyError;

    fn try_from(text: String) -> Result<Self, IdempotencyKeyError> {
        if text.is_empty() {
            return Err(IdempotencyKeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(IdempotencyKeyError::TooLong(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(IdempotencyKeyError::NotVisible);
        }
        Ok(Self(text))
    }
}

/// The instance that stores the state of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// One run of a process, identified by the prefix of the key.
    Incarnation {
        /// The seat that the process held when it issued the prefix.
        seat: String,
        /// The number of the start of the process.
        incarnation: u64,
    },
    /// The holder of a seat, selected by rendezvous hashing of a key without a prefix.
    Seat(String),
    /// The owner is uncertain: it changed less than [`OWNER_OVERLAP`] plus [`KEY_RETENTION`] ago, so that the former
    /// owner may still have the key, or no seat is in force.
    Moved,
}

impl KeyOwner {
    /// Returns the prefix of the keys that an incarnation owns.
    #[must_use]
    pub fn prefix(seat: &str, incarnation: u64) -> String {
        format!("{seat}.{incarnation:016x}.")
    }

    /// Parses the prefix `<seat>.<incarnation>.` of a key and returns `None` for a key without it.
    ///
    /// An incarnation has 16 hexadecimal digits. The name of the seat may contain dots, so the first part in the format
    /// of an incarnation is taken as the incarnation.
    #[must_use]
    pub fn parse(key: &IdempotencyKey) -> Option<Self> {
        let text = key.as_str();
        let mut start = 0;
        for part in text.split('.') {
            let end = start + part.len();
            let is_followed = end < text.len();
            if start > 1 && is_followed && is_incarnation(part) {
                return Some(Self::Incarnation {
                    seat: text[..start - 1].to_owned(),
                    incarnation: u64::from_str_radix(part, 16).ok()?,
                });
            }
            start = end + 1;
        }
        None
    }
}

fn is_incarnation(part: &str) -> bool {
    part.len() == INCARNATION_DIGITS
        && part
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// The names of the seats in force, and the former lists of seats whose holders may still have a key.
///
/// A published roster is immutable; the control thread replaces the complete roster.
#[derive(Debug, Clone)]
pub struct SeatRoster {
    current: Vec<String>,
    former: Vec<FormerSeats>,
}

#[derive(Debug, Clone)]
struct FormerSeats {
    names: Vec<String>,
    until: MonotonicTime,
}

impl SeatRoster {
    /// Creates a roster without former lists.
    #[must_use]
    pub fn new(names: Vec<String>) -> Self {
        Self {
            current: sorted(names),
            former: Vec::new(),
        }
    }

    /// Returns the roster that applies when the seats `names` come into force at `now`.
    #[must_use]
    pub fn updated(&self, now: MonotonicTime, names: Vec<String>) -> Self {
        let names = sorted(names);
        let mut former: Vec<FormerSeats> = self
            .former
            .iter()
            .filter(|seats| now < seats.until)
            .cloned()
            .collect();
        if names != self.current {
            former.push(FormerSeats {
                names: self.current.clone(),
                until: now + OWNER_OVERLAP + KEY_RETENTION,
            });
        }
        Self {
            current: names,
            former,
        }
    }

    /// Returns the time from `now` until no former list applies any more.
    #[must_use]
    pub fn overlap_remaining(&self, now: MonotonicTime) -> Duration {
        self.former
            .iter()
            .map(|seats| seats.until.since(now))
            .max()
            .unwrap_or_default()
    }

    /// Returns whether no seat is in force, as before the first list is received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    fn former_lists(&self, now: MonotonicTime) -> impl Iterator<Item = &[String]> {
        self.former
            .iter()
            .filter(move |seats| now < seats.until)
            .map(|seats| seats.names.as_slice())
    }
}

fn sorted(mut names: Vec<String>) -> Vec<String> {
    names.sort_unstable();
    names.dedup();
    names
}

/// Returns the owner of `key` of the client account `account`.
///
/// A prefix is used even if its seat is not configured: an instance that has not received a new seat yet would
/// otherwise select another owner than its peers.
#[must_use]
pub fn find_key_owner(
    now: MonotonicTime,
    account: &str,
    key: &IdempotencyKey,
    roster: &SeatRoster,
) -> KeyOwner {
    if let Some(incarnation) = KeyOwner::parse(key) {
        return incarnation;
    }
    let owner = rendezvous_seat(account, key, &roster.current);
    let has_moved = roster
        .former_lists(now)
        .any(|names| rendezvous_seat(account, key, names) != owner);
    match owner {
        Some(seat) if !has_moved => KeyOwner::Seat(seat.to_owned()),
        _ => KeyOwner::Moved,
    }
}

/// Returns the seat with the highest rendezvous weight for the key, or `None` if there are no seats.
///
/// SHA-256 is the same in every release, and its result cannot be steered by callers, who choose the keys.
fn rendezvous_seat<'a>(
    account: &str,
    key: &IdempotencyKey,
    seats: &'a [String],
) -> Option<&'a str> {
    let mut base = Sha256::new();
    base.update((account.len() as u64).to_be_bytes());
    base.update(account);
    base.update((key.as_str().len() as u64).to_be_bytes());
    base.update(key.as_str());
    let weight = |seat: &String| base.clone().chain_update(seat).finalize();
    seats
        .iter()
        .max_by_key(|seat| weight(seat))
        .map(String::as_str)
}

/// The tenure of a seat by an instance: which keys of the seat's former holders the instance has.
#[derive(Debug, Clone)]
pub struct SeatTenure {
    seat: String,
    incarnation: u64,
    inherited: Vec<u64>,
    complete_at: MonotonicTime,
}

impl SeatTenure {
    /// Creates the tenure of a seat in a fleet that starts for the first time.
    ///
    /// A seat that is added to a running fleet is [`claimed`](Self::claimed), because former owners have keys that now
    /// belong to it.
    #[must_use]
    pub fn for_new_fleet(now: MonotonicTime, seat: String, incarnation: u64) -> Self {
        Self {
            seat,
            incarnation,
            inherited: Vec::new(),
            complete_at: now,
        }
    }

    /// Creates the tenure of a seat that was claimed without the keys of its previous holder.
    #[must_use]
    pub fn claimed(now: MonotonicTime, seat: String, incarnation: u64) -> Self {
        Self {
            seat,
            incarnation,
            inherited: Vec::new(),
            complete_at: now + OWNER_OVERLAP + KEY_RETENTION,
        }
    }

    /// Adds the keys of the previous holder, once all of them have been imported.
    ///
    /// `incarnations` is the result of [`incarnations`](Self::incarnations) at the previous holder. `remaining` is the
    /// longer of the results of [`time_until_complete`](Self::time_until_complete) and
    /// [`SeatRoster::overlap_remaining`] there at the time of the export.
    #[must_use]
    pub fn with_hand_over(
        mut self,
        now: MonotonicTime,
        incarnations: &[u64],
        remaining: Duration,
    ) -> Self {
        self.inherited.extend_from_slice(incarnations);
        self.complete_at = self.complete_at.min(now + remaining);
        self
    }

    /// Returns the name of the seat.
    #[must_use]
    pub fn seat(&self) -> &str {
        &self.seat
    }

    /// Returns the incarnations whose keys this instance has.
    #[must_use]
    pub fn incarnations(&self) -> Vec<u64> {
        let mut incarnations = self.inherited.clone();
        incarnations.push(self.incarnation);
        incarnations
    }

    /// Returns the time from `now` until no key of a former holder can be missing any more.
    #[must_use]
    pub fn time_until_complete(&self, now: MonotonicTime) -> Duration {
        self.complete_at.since(now)
    }

    /// Returns whether this instance has every key of `owner`, so that an absent key is new.
    ///
    /// Otherwise a request with an absent key is refused with an unknown outcome.
    #[must_use]
    pub fn has_all_keys_of(&self, now: MonotonicTime, owner: &KeyOwner) -> bool {
        match owner {
            KeyOwner::Incarnation { seat, incarnation } => {
                *seat == self.seat
                    && (*incarnation == self.incarnation || self.inherited.contains(incarnation))
            }
            KeyOwner::Seat(seat) => *seat == self.seat && now >= self.complete_at,
            KeyOwner::Moved => false,
        }
    }
}
