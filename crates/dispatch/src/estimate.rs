//! Running mean and histogram of durations.

use std::time::Duration;

/// Weight of a new sample in the running mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Multiple of the mean to which samples are clamped.
const CLAMP_FACTOR: f64 = 3.0;

/// Minimum number of samples before any is clamped.
const MIN_CLAMP_SAMPLES: u32 = 8;

/// Running mean and mean deviation of a duration.
///
/// Both are exponentially weighted, as in RFC 6298's round-trip estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanEstimate {
    mean_us: f64,
    deviation_us: f64,
    samples: u32,
}

impl MeanEstimate {
    /// Adds one sample.
    pub fn record(&mut self, sample: Duration) {
        let sample_us = as_micros(sample);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_us = sample_us;
            self.deviation_us = sample_us / 2.0;
            return;
        }
        // The first samples are averaged with equal weights, so that an outlier
        // among them decays fast.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let error_us = sample_us - self.mean_us;
        self.mean_us += weight * error_us;
        self.deviation_us += weight * (error_us.abs() - self.deviation_us);
    }

    /// Adds one sample, clamped to a few times the mean.
    ///
    /// A single straggler thus changes the mean little, while a server that
    /// became slow still raises it with each sample.
    pub fn record_clamped(&mut self, sample: Duration) {
        let max_sample = from_micros(self.mean_us * CLAMP_FACTOR);
        let should_clamp = self.samples >= MIN_CLAMP_SAMPLES;
        self.record(if should_clamp { sample.min(max_sample) } else { sample });
    }

    /// Returns the number of samples.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean in microseconds, zero before the first sample.
    #[must_use]
    pub const fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Returns the mean absolute deviation in microseconds.
    #[must_use]
    pub const fn deviation_us(&self) -> f64 {
        self.deviation_us
    }

    /// Returns the mean, zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        from_micros(self.mean_us)
    }
}

#[must_use]
pub(crate) fn as_micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Converts microseconds to a duration; negative values become zero.
#[must_use]
pub(crate) fn from_micros(micros: f64) -> Duration {
    Duration::try_from_secs_f64(micros.max(0.0) / 1e6).unwrap_or(Duration::MAX)
}

/// Number of buckets per doubling of the duration.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// Number of buckets: 24 doublings from 1 µs reach 16 s.
const BUCKETS: usize = 24 * BUCKETS_PER_DOUBLING as usize;

/// Total weight at which all buckets are halved, so that old samples decay.
const HALVING_WEIGHT: u32 = 4096;

/// Decaying histogram of durations with eight buckets per doubling.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    buckets: Box<[u16; BUCKETS]>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { buckets: Box::new([0; BUCKETS]), total: 0 }
    }
}

impl LatencyHistogram {
    /// Adds one sample.
    pub fn record(&mut self, sample: Duration) {
        if self.total >= HALVING_WEIGHT {
            self.halve();
        }
        self.buckets[bucket_of(sample)] += 1;
        self.total += 1;
    }

    /// Returns the total weight of the samples after decay.
    #[must_use]
    pub const fn weight(&self) -> u32 {
        self.total
    }

    /// Returns the upper edge of the bucket that contains the quantile, `None` without samples.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (f64::from(self.total) * fraction).ceil().max(1.0);
        let mut seen = 0.0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= rank {
                return Some(upper_edge(bucket));
            }
        }
        Some(upper_edge(BUCKETS - 1))
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in self.buckets.iter_mut() {
            *count /= 2;
            self.total += u32::from(*count);
        }
    }
}

/// Returns the bucket of a duration: its doubling, then its eighth of that doubling.
fn bucket_of(sample: Duration) -> usize {
    let micros = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX).max(1);
    let doubling = micros.ilog2();
    let step =
        if doubling >= 3 { (micros >> (doubling - 3)) & 7 } else { (micros << (3 - doubling)) & 7 };
    let bucket = u64::from(doubling * BUCKETS_PER_DOUBLING) + step;
    usize::try_from(bucket).unwrap_or(usize::MAX).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> Duration {
    let steps = BUCKETS_PER_DOUBLING as usize;
    let doubling = (bucket / steps) as i32;
    let step = (bucket % steps) as f64 + 1.0;
    from_micros(2f64.powi(doubling) * (1.0 + step / steps as f64))
}
