//! Which instance remembers an idempotency key.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use sha2::{Digest, Sha256};
use thiserror::Error;

/// How long an idempotency key is remembered after its request has ended.
pub const KEY_RETENTION: Duration = Duration::from_mins(10);

/// How long an earlier owner may go on accepting keys after another one has taken its place: instances
/// learn of the change at different times, and one that is cut off for longer refuses by itself.
pub const OWNER_OVERLAP: Duration = Duration::from_mins(2);

/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The digits of an incarnation in a key. A fixed number keeps callers' own keys from looking owned.
const INCARNATION_DIGITS: usize = 16;

/// A fault of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IdempotencyKeyError {
    /// The key is empty.
    #[error("the idempotency key is empty")]
    Empty,
    /// The key is too long.
    #[error("the idempotency key has {0} bytes; the most is {MAX_KEY_BYTES}")]
    TooLong(usize),
    /// The key holds a byte that is not a visible ASCII character.
    #[error("the idempotency key holds a byte that is not a visible ASCII character")]
    NotVisible,
}

/// The checked text of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the text.
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

/// Who remembers an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// One start of a process, named by the key's prefix.
    Incarnation {
        /// The seat that the process held when it gave out the prefix.
        seat: String,
        /// The number of the start.
        incarnation: u64,
    },
    /// The holder of a seat, chosen by rendezvous hashing of a key without a prefix.
    Seat(String),
    /// The list of seats has changed so recently that an earlier owner may remember the key.
    Moved,
}

impl KeyOwner {
    /// Returns the prefix of the keys that an incarnation owns.
    #[must_use]
    pub fn prefix(seat: &str, incarnation: u64) -> String {
        format!("{seat}.{incarnation:016x}.")
    }

    /// Reads the prefix `<seat>.<incarnation>.` of a key, with 16 hexadecimal digits.
    ///
    /// The seat's name may contain dots, so the incarnation is the first part that looks like one.
    #[must_use]
    pub fn parse(key: &IdempotencyKey) -> Option<Self> {
        let text = key.as_str();
        let mut start = 0;
        for part in text.split('.') {
            let end = start + part.len();
            let followed = end < text.len();
            if start > 1 && followed && is_incarnation(part) {
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

/// The names of the seats in force, and those whose holders may still remember a key.
///
/// A published roster does not change; the control thread makes the next one.
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
    /// Makes a roster without earlier lists.
    #[must_use]
    pub fn new(names: Vec<String>) -> Self {
        Self {
            current: sorted(names),
            former: Vec::new(),
        }
    }

    /// Makes the roster that follows when `names` come into force at `now`.
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

    /// Returns how long from `now` an earlier list still matters.
    #[must_use]
    pub fn overlap_remaining(&self, now: MonotonicTime) -> Duration {
        self.former
            .iter()
            .map(|seats| seats.until.since(now))
            .max()
            .unwrap_or_default()
    }

    /// Tells whether no list of seats is known yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    fn lists_before(&self, now: MonotonicTime) -> impl Iterator<Item = &[String]> {
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

/// Returns who remembers `key` of `account`.
///
/// A prefix counts even if its seat is not configured: an instance that has not yet heard of a new seat
/// would otherwise choose another owner than the rest.
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
    let moved = roster
        .lists_before(now)
        .any(|names| rendezvous_seat(account, key, names) != owner);
    match owner {
        Some(seat) if !moved => KeyOwner::Seat(seat.to_owned()),
        _ => KeyOwner::Moved,
    }
}

/// Returns the seat with the highest weight for the key.
///
/// SHA-256 is the same in every release and cannot be steered by callers, who choose the keys.
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

/// Since when, and with which memory, an instance holds its seat.
#[derive(Debug, Clone)]
pub struct SeatTenure {
    seat: String,
    incarnation: u64,
    inherited: Vec<u64>,
    complete_at: MonotonicTime,
}

impl SeatTenure {
    /// Makes the tenure of a seat in a fleet that has just started for the first time.
    ///
    /// A seat that is added to a running fleet is [`claimed`](Self::claimed), because earlier owners
    /// remember keys that now belong to it.
    #[must_use]
    pub fn for_new_fleet(now: MonotonicTime, seat: String, incarnation: u64) -> Self {
        Self {
            seat,
            incarnation,
            inherited: Vec::new(),
            complete_at: now,
        }
    }

    /// Makes the tenure of a seat that was taken without the memory of its previous holder.
    #[must_use]
    pub fn claimed(now: MonotonicTime, seat: String, incarnation: u64) -> Self {
        Self {
            seat,
            incarnation,
            inherited: Vec::new(),
            complete_at: now + OWNER_OVERLAP + KEY_RETENTION,
        }
    }

    /// Adds the memory of the previous holder, once all of it has been imported.
    ///
    /// `incarnations` is what [`incarnations`](Self::incarnations) returned at the previous holder, and
    /// `remaining` is the longer of what [`time_until_complete`](Self::time_until_complete) and
    /// [`SeatRoster::overlap_remaining`] returned there when it exported its memory.
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

    /// Returns the incarnations whose keys this instance remembers.
    #[must_use]
    pub fn incarnations(&self) -> Vec<u64> {
        let mut incarnations = self.inherited.clone();
        incarnations.push(self.incarnation);
        incarnations
    }

    /// Returns how long from `now` a key of an earlier holder may be missing.
    #[must_use]
    pub fn time_until_complete(&self, now: MonotonicTime) -> Duration {
        self.complete_at.since(now)
    }

    /// Tells whether this instance remembers every key of `owner`, so that an absent key is new.
    ///
    /// A key for which this does not hold is refused as unknown.
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
