//! A monotonic clock that advances while the machine is suspended.
//!
//! Leases and deadlines compare two readings of the same clock. With a clock that
//! stops while the machine is suspended, a lease holder could resume after its
//! lease has expired and still consider it valid. Leases and deadlines
//! therefore use `CLOCK_BOOTTIME`.
//!
//! ```
//! use carobstep_clock::BootTime;
//! use std::time::Duration;
//!
//! let start = BootTime::now();
//! assert!(start + Duration::from_millis(5) > start);
//! ```

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A reading of the boot clock, in microseconds since the machine started.
///
/// Readings of different machines have different origins and must never be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootTime(u64);

impl BootTime {
    /// The earliest reading.
    pub const ZERO: Self = Self(0);

    /// The latest representable reading, used for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Reads `CLOCK_BOOTTIME`.
    #[must_use]
    pub fn now() -> Self {
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
        Self(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Creates a reading from microseconds since the clock's origin, for tests and simulations.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a reading from milliseconds since the clock's origin, for tests and simulations.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this reading.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for BootTime {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for BootTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
