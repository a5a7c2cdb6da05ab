//! Compressed copies of the configuration that peers send to each other.

use std::io::Read;

use carobstep_config::ConfigVersion;
use carobstep_control::DocumentTable;
use carobstep_wire::ConfigCopy;
use flate2::{Compression, read::DeflateEncoder};
use serde_json::json;
use yare::parameterized;

fn compressed(text: &str) -> Vec<u8> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(text.as_bytes(), Compression::fast())
        .read_to_end(&mut compressed)
        .expect("memory can be read");
    compressed
}

fn truncated_document() -> Vec<u8> {
    let mut compressed = compressed(r#"{"services": {}, "indexes": {}}"#);
    compressed.truncate(compressed.len() / 2);
    compressed
}

fn oversized_document() -> Vec<u8> {
    compressed(&" ".repeat(64 * 1024 * 1024))
}

#[test]
fn a_copy_restores_the_document() {
    let mut source = DocumentTable::default();
    let record = json!({"version": 3, "document": {"services": {}, "indexes": {}}});
    source.merge_record(&record).expect("a valid record");
    let copy = source.config_after(ConfigVersion(2)).expect("a newer version");
    let mut target = DocumentTable::default();
    let entry = target.merge_copy(copy).expect("a valid copy").expect("a newer version");
    assert_eq!(entry.document, source.config().expect("a configuration").document);
    assert_eq!(target.version(), ConfigVersion(3));
    assert_eq!(source.config_after(ConfigVersion(3)), None);
}

#[parameterized(
    empty = { Vec::new() },
    garbage = { vec![0xff; 64] },
    truncated = { truncated_document() },
    not_a_document = { compressed("[1, 2") },
    longer_than_the_platform_stores = { oversized_document() },
)]
fn a_damaged_copy_changes_nothing(compressed: Vec<u8>) {
    let mut documents = DocumentTable::default();
    let copy = ConfigCopy { version: ConfigVersion(3), packed: compressed };
    assert!(documents.merge_copy(copy).is_err());
    assert_eq!(documents.version(), ConfigVersion(0));
}
