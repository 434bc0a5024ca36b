//! Reproducible sequence of pseudo-random numbers.

/// `SplitMix64` generator with its state. A constant seed makes every run measure the same inputs.
#[derive(Debug)]
pub(crate) struct RandomSequence(pub(crate) u64);

impl RandomSequence {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }

    pub(crate) fn below(&mut self, count: usize) -> usize {
        usize::try_from(self.next() % count as u64).unwrap_or(0)
    }

    pub(crate) fn address_32(&mut self) -> u32 {
        (self.next() >> 32) as u32
    }

    pub(crate) fn address_128(&mut self) -> u128 {
        u128::from(self.next()) << 64 | u128::from(self.next())
    }
}
