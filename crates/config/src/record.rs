//! The stored form of a configuration version.

use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::document::{ConfigDocument, ConfigVersion};

/// A configuration version as it is stored on the platform: the value of the
/// objects `config/current` and `history/{version}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Version number of the configuration.
    pub version: ConfigVersion,
    /// Identifier of the patch that created this version.
    pub patch_id: String,
    /// Author of the patch.
    pub author: String,
    /// Time at which the patch was submitted: UTC in whole seconds (RFC 3339).
    pub time: String,
    /// The configuration document.
    pub document: ConfigDocument,
}

/// Seconds since 1970-01-01T00:00:00Z; `Display` formats them per RFC 3339.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UtcTime(pub u64);

const SECONDS_PER_DAY: u64 = 86_400;

/// Days in one 400-year cycle of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;

/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_OFFSET_DAYS: u64 = 719_468;

impl UtcTime {
    /// Returns the current time of the system clock.
    #[must_use]
    pub fn now() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(elapsed.as_secs())
    }
}

impl fmt::Display for UtcTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.0 / SECONDS_PER_DAY);
        let second = self.0 % SECONDS_PER_DAY;
        let (hour, minute) = (second / 3_600, second / 60 % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", second % 60)
    }
}

/// Converts a count of days since 1970-01-01 into year, month and day.
///
/// The calculation starts years in March, so that the leap day is the last day
/// of a year (H. Hinnant, "chrono-compatible low-level date algorithms").
fn civil_date(day: u64) -> (u64, u64, u64) {
    let shifted = day + EPOCH_OFFSET_DAYS;
    let era = shifted / DAYS_PER_ERA;
    let day_of_era = shifted % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 { march_month + 3 } else { march_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day_of_month)
}
