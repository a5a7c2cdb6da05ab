//! Wall-clock time, for timestamps in logs and stored records and for incarnation numbers.
//!
//! Leases and deadlines must not depend on it; they use the boot clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
