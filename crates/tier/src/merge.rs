//! Merging of the records of several shards into one answer.

use std::{cmp::Reverse, collections::BinaryHeap};

use bytes::{Bytes, BytesMut};

/// Size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `max_records` greatest records of all partial results, greatest first.
///
/// Records are compared byte by byte, and duplicates are kept. Trailing bytes that
/// are shorter than a record are ignored.
pub fn merge_records<'part>(
    parts: impl IntoIterator<Item = &'part [u8]>,
    max_records: usize,
) -> Bytes {
    let mut greatest: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(max_records + 1);
    for part in parts {
        for record in part.chunks_exact(RECORD_BYTES) {
            if greatest.len() < max_records {
                greatest.push(Reverse(record));
                continue;
            }
            let Some(mut least) = greatest.peek_mut() else { continue };
            if least.0 < record {
                *least = Reverse(record);
            }
        }
    }
    let mut merged = BytesMut::with_capacity(greatest.len() * RECORD_BYTES);
    for Reverse(record) in greatest.into_sorted_vec() {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
