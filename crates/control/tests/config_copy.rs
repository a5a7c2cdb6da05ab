//! Copies of the configuration that peers send to each other.

use std::io::Read;

use carobstep_config::ConfigVersion;
use carobstep_control::ConfigSpread;
use carobstep_wire::ConfigCopy;
use flate2::{Compression, read::DeflateEncoder};
use serde_json::json;
use yare::parameterized;

fn packed(text: &str) -> Vec<u8> {
    let mut packed = Vec::new();
    DeflateEncoder::new(text.as_bytes(), Compression::fast())
        .read_to_end(&mut packed)
        .expect("memory can be read");
    packed
}

fn half_a_document() -> Vec<u8> {
    let mut packed = packed(r#"{"services": {}, "indexes": {}}"#);
    packed.truncate(packed.len() / 2);
    packed
}

fn spaces() -> Vec<u8> {
    packed(&" ".repeat(64 * 1024 * 1024))
}

#[test]
fn a_copy_restores_the_document() {
    let mut source = ConfigSpread::default();
    let record = json!({"version": 3, "document": {"services": {}, "indexes": {}}});
    source.offer_record(&record).expect("a valid record");
    let copy = source.config_after(ConfigVersion(2)).expect("a newer version");
    let mut target = ConfigSpread::default();
    let entry = target.offer_copy(copy).expect("a valid copy").expect("a newer version");
    assert_eq!(entry.document, source.config().expect("a configuration").document);
    assert_eq!(target.version(), ConfigVersion(3));
    assert_eq!(source.config_after(ConfigVersion(3)), None);
}

#[parameterized(
    empty = { Vec::new() },
    garbage = { vec![0xff; 64] },
    truncated = { half_a_document() },
    not_a_document = { packed("[1, 2") },
    longer_than_the_platform_stores = { spaces() },
)]
fn a_damaged_copy_changes_nothing(packed: Vec<u8>) {
    let mut spread = ConfigSpread::default();
    let copy = ConfigCopy { version: ConfigVersion(3), packed };
    assert!(spread.offer_copy(copy).is_err());
    assert_eq!(spread.version(), ConfigVersion(0));
}
