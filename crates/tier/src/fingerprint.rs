//! Identity of a request that comes again.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of what stays the same when a caller sends a request again: the method, host, path
/// and query, caller and body. Each attempt has its own identifier, which is not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from its parts.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut bytes = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
        for part in parts {
            bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
            bytes.extend_from_slice(part);
        }
        Self(xxh3_64(&bytes))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
