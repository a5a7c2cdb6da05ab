//! Seeded pseudorandom number generator.

/// SplitMix64 generator (Steele, Lea and Flood 2014), for choices that need an
/// even distribution but not unpredictability.
#[derive(Clone, Debug)]
pub(crate) struct SeededRng {
    state: u64,
}

impl SeededRng {
    pub(crate) const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a random number below `bound`, which must not be zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^= mixed >> 31;
        usize::try_from(mixed % bound as u64).unwrap_or(0)
    }

    /// Returns up to `count` different entries of `choices`, in random order.
    pub(crate) fn sample<T>(&mut self, mut choices: Vec<T>, count: usize) -> Vec<T> {
        let mut sample = Vec::with_capacity(count.min(choices.len()));
        while sample.len() < count && !choices.is_empty() {
            let at = self.below(choices.len());
            sample.push(choices.swap_remove(at));
        }
        sample
    }
}
