//! Hash functions with the same results at all instances.

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Returns a 64-bit hash of the bytes (FNV-1a with a finalizer). The result is the same at all instances and in all
/// versions.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix(folded)
}

/// Combines two hashes into one in which every bit depends on both. The order of the arguments matters.
#[must_use]
pub fn combine_hashes(first: u64, second: u64) -> u64 {
    mix(first ^ second.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Finalizer of `SplitMix64`.
fn mix(mut value: u64) -> u64 {
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Maps a hash to a number in the open interval from 0 to 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    /// Number of hash bits that an `f64` represents exactly.
    const MANTISSA_BITS: u32 = 52;
    #[expect(clippy::cast_precision_loss)]
    let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5;
    numerator / 2f64.powi(MANTISSA_BITS.cast_signed())
}

/// Returns the rank of a hash among others, the lowest first: one with twice the weight is twice as likely to be the
/// lowest.
pub(crate) fn weighted_rank(hash: u64, weight: f64) -> f64 {
    -unit_interval(hash).ln() / weight
}
