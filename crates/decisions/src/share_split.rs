//! Base shares: the static partition of a limit among the seats.

use crate::loan_terms::RateAmount;

/// The milli-tokens that one request takes.
pub const MILLI_PER_TOKEN: i64 = 1_000;

/// Splits a rate and its burst among `seats` seats. The sums equal the total.
///
/// If the burst is less than one token for each seat, it is split in whole tokens, and only the
/// seats that get one share the rate: a seat whose bucket cannot hold a whole token could never
/// admit a request.
#[must_use]
pub fn split_rate(total: RateAmount, seats: usize, limit_name: &str) -> Vec<RateAmount> {
    let Ok(count) = i64::try_from(seats) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let start = first_seat(limit_name, seats);
    let bursts = if total.burst < count * MILLI_PER_TOKEN {
        let tokens = split_even(total.burst / MILLI_PER_TOKEN, seats, start);
        let mut bursts: Vec<i64> = tokens.iter().map(|share| share * MILLI_PER_TOKEN).collect();
        bursts[start] += total.burst % MILLI_PER_TOKEN;
        bursts
    } else {
        split_even(total.burst, seats, start)
    };
    let seats_with_burst = bursts.iter().filter(|&&burst| burst > 0).count();
    let mut rates = split_even(total.rate, seats_with_burst, 0).into_iter();
    // The seats with a burst are consecutive from `start`, so the rates are assigned in the same
    // rotation.
    let mut shares = vec![RateAmount::default(); seats];
    for offset in 0..seats {
        let seat = (start + offset) % seats;
        let burst = bursts[seat];
        let rate = if burst > 0 { rates.next() } else { None };
        shares[seat] = RateAmount {
            rate: rate.unwrap_or(0),
            burst,
        };
    }
    shares
}

/// Splits whole slots among `seats` seats. The sum equals the total.
#[must_use]
pub fn split_slots(total: u32, seats: usize, limit_name: &str) -> Vec<u32> {
    if seats == 0 {
        return Vec::new();
    }
    split_even(i64::from(total), seats, first_seat(limit_name, seats))
        .into_iter()
        .map(|share| u32::try_from(share).unwrap_or(0))
        .collect()
}

/// Splits `total` into equal whole numbers and gives the remainder, one each, to the seats from
/// `start` on.
fn split_even(total: i64, seats: usize, start: usize) -> Vec<i64> {
    let Ok(count) = i64::try_from(seats) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let (each, remainder) = (total / count, total % count);
    let mut shares = vec![each; seats];
    let remainder = usize::try_from(remainder).unwrap_or(0);
    for offset in 0..remainder {
        shares[(start + offset) % seats] += 1;
    }
    shares
}

/// Returns the seat that gets the first unit of the remainder. It is derived from the limit's name,
/// so that the remainders of all limits do not go to the same seats.
fn first_seat(limit_name: &str, seats: usize) -> usize {
    let hash = limit_name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The high bits are mixed best, and the modulus of a small number would use only the low ones.
    usize::try_from((hash >> 32) % seats as u64).unwrap_or(0)
}

/// Offset basis of the 64-bit FNV-1a hash (RFC 9923). The hash must be a fixed function, because
/// each instance must compute the same shares.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash (RFC 9923).
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
