//! Table of the grants that a node knows of, through the platform or gossip.

use carobstep_clock::BootTime;
use carobstep_config::ServerName;
use carobstep_store::{ObjectVersion, StoredObject};
use carobstep_wire::GrantNotice;
use indexmap::IndexMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{GrantRecord, GrantRecordState};

/// Number of buckets of the table, each of which is compared by hash and fetched
/// on its own.
pub(crate) const GRANT_BUCKETS: usize = 16;

/// Newest notice of each grant in all zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantTable {
    entries: IndexMap<ServerName, GrantEntry>,
    hashes: [u32; GRANT_BUCKETS],
    changed_at: BootTime,
}

#[derive(Clone, Debug)]
struct GrantEntry {
    notice: GrantNotice,
    changed_at: BootTime,
}

fn bucket_of(server: &ServerName) -> usize {
    (xxh3_64(server.as_str().as_bytes()) % GRANT_BUCKETS as u64) as usize
}

fn hash_of(notice: &GrantNotice) -> u32 {
    let text = format!("{}\0{}", notice.server, notice.version);
    (xxh3_64(text.as_bytes()) & u64::from(u32::MAX)) as u32
}

/// Builds the notice of a grant record at `version`.
pub(crate) fn notice_of(record: &GrantRecord, version: ObjectVersion) -> GrantNotice {
    GrantNotice {
        server: record.server.clone(),
        holder: (record.state == GrantRecordState::Held).then(|| record.holder.clone()),
        incarnation: record.incarnation,
        epoch: record.epoch,
        version: version.0,
    }
}

/// Parses a grant object into its notice.
pub(crate) fn parse_grant(object: &StoredObject) -> Result<GrantNotice, serde_json::Error> {
    let record: GrantRecord = serde_json::from_value(object.value.clone())?;
    Ok(notice_of(&record, object.version))
}

impl GrantTable {
    pub(crate) fn get(&self, server: &ServerName) -> Option<&GrantNotice> {
        self.entries.get(server).map(|entry| &entry.notice)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the time of the last change of the table.
    pub(crate) const fn changed_at(&self) -> BootTime {
        self.changed_at
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &GrantNotice> {
        self.entries.values().map(|entry| &entry.notice)
    }

    /// Merges a notice and returns whether it was newer than the known one.
    pub(crate) fn merge(&mut self, now: BootTime, notice: GrantNotice) -> bool {
        let bucket = bucket_of(&notice.server);
        if let Some(old) = self.get(&notice.server) {
            if old.version >= notice.version {
                return false;
            }
            self.hashes[bucket] ^= hash_of(old);
        }
        self.hashes[bucket] ^= hash_of(&notice);
        self.changed_at = now;
        let server = notice.server.clone();
        self.entries.insert(server, GrantEntry { notice, changed_at: now });
        true
    }

    /// Returns the hash of each bucket.
    pub(crate) fn hashes(&self) -> Vec<u32> {
        self.hashes.to_vec()
    }

    /// Returns the buckets whose hash differs from a peer's.
    pub(crate) fn differing_buckets(&self, hashes: &[u32]) -> Vec<u8> {
        let pairs = self.hashes.iter().zip(hashes);
        let numbered = (0u8..).zip(pairs);
        numbered.filter(|(_, (own, other))| own != other).map(|(bucket, _)| bucket).collect()
    }

    /// Returns the notices that changed within `age`.
    pub(crate) fn changed_within(&self, now: BootTime, age: Duration) -> Vec<GrantNotice> {
        let changed = self.entries.values().filter(|entry| now < entry.changed_at + age);
        changed.map(|entry| entry.notice.clone()).collect()
    }

    /// Returns the notices in `buckets`.
    pub(crate) fn in_buckets(&self, buckets: &[u8]) -> Vec<GrantNotice> {
        let wanted = |notice: &&GrantNotice| {
            buckets.iter().any(|bucket| usize::from(*bucket) == bucket_of(&notice.server))
        };
        self.iter().filter(wanted).cloned().collect()
    }
}
