//! Patches: version conflicts, error messages with paths, and limits on the size
//! and depth that a patch can produce.

use carobstep_config::{
    ConfigDocument, ConfigPatch, ConfigRecord, ConfigVersion, PatchDocument, PatchError,
    PatchErrorKind, PatchFormat, PatchId, UtcTime, apply_patch,
};
use yare::parameterized;

const EXAMPLE: &str = include_str!("../../../examples/config.jsonc");

fn current() -> ConfigRecord {
    let id = PatchId::try_from("first".to_owned()).expect("patch id");
    let author = "ops".to_owned().try_into().expect("author");
    let document = ConfigDocument::parse(EXAMPLE).expect("example document");
    ConfigRecord::initial(&id, &author, UtcTime(0), document).expect("first record")
}

fn submit(format: PatchFormat, base: u64, text: &str) -> Result<ConfigRecord, PatchError> {
    let patch = ConfigPatch::try_from(PatchDocument {
        base: ConfigVersion(base),
        id: "p1".to_owned(),
        author: "ops".to_owned(),
        time: UtcTime(951_827_696),
        format,
        text: text.to_owned(),
    })?;
    apply_patch(&current(), &patch)
}

fn operations(text: &str) -> Result<ConfigRecord, PatchError> {
    submit(PatchFormat::Operations, 1, text)
}

#[parameterized(
    merge = {
        PatchFormat::Merge,
        r#"{"services": {"orders": {"servers": {"orders-a": {"slots": 4}}}}} // more"#,
    },
    operations = {
        PatchFormat::Operations,
        r#"[{"op": "test", "path": "/services/orders/servers/orders-a/slots", "value": 2},
            {"op": "replace", "path": "/services/orders/servers/orders-a/slots", "value": 4}]"#,
    },
)]
fn valid_patch_is_applied(format: PatchFormat, text: &str) {
    let record = submit(format, 1, text).expect("an accepted patch");
    assert_eq!(record.version, ConfigVersion(2));
    assert_eq!(record.patch_id, "p1");
    assert_eq!(record.time, "2000-02-29T12:34:56Z");
    let mut expected = current().document;
    expected.services["orders"].servers["orders-a"].slots = 4;
    assert_eq!(record.document, expected);
}

#[parameterized(older = { 0 }, newer = { 2 })]
fn stale_base_is_rejected(base: u64) {
    let error = submit(PatchFormat::Merge, base, "{}").expect_err("a conflict");
    let kind = PatchErrorKind::Stale { base: ConfigVersion(base), current: ConfigVersion(1) };
    assert_eq!(error.kind(), kind);
    let expected = format!("patch was built on version {base}, but version 1 is in force");
    assert_eq!(error.to_string(), expected);
}

#[parameterized(
    unknown_key = {
        r#"{"services": {"orders": {"colour": "red"}}}"#,
        "/services/orders/colour: unknown key with value \"red\"",
    },
    last_server = {
        r#"{"services": {"orders": {"servers": {"orders-a": null, "orders-b": null}}}}"#,
        "/services/orders/servers: lists no server",
    },
    too_many_slots = {
        r#"{"services": {"orders": {"servers": {"orders-a": {"slots": 70000}}}}}"#,
        "/services/orders/servers/orders-a/slots: 70000 is not a whole number from 0 to 65535",
    },
    whole_document = { "7", "/: 7 is not an object" },
)]
fn invalid_merge_result_is_rejected(text: &str, expected: &str) {
    let error = submit(PatchFormat::Merge, 1, text).expect_err("a refusal");
    assert_eq!(error.kind(), PatchErrorKind::Invalid);
    assert_eq!(error.to_string(), expected);
}

#[parameterized(
    not_a_list = { "{}", PatchErrorKind::Malformed, "patch text: a JSON Patch must be an array of operations" },
    bad_operation = {
        r#"[{"op": "swap", "path": "/services"}]"#,
        PatchErrorKind::Malformed,
        "operation at index 0: unknown variant `swap`, expected one of `add`, `remove`, `replace`, `move`, `copy`, `test`",
    },
    test_failed = {
        r#"[{"op": "test", "path": "/services/orders/servers/orders-a/slots", "value": 3}]"#,
        PatchErrorKind::Unapplied,
        "/services/orders/servers/orders-a/slots: operation at index 0: value did not match",
    },
    missing_target = {
        r#"[{"op": "remove", "path": "/indexes/garments"}, {"op": "remove", "path": "/indexes/x"}]"#,
        PatchErrorKind::Unapplied,
        "/indexes/x: operation at index 1: path is invalid",
    },
    long_path = {
        r#"[{"op": "add", "path": "/a/b/c/d/e/f/g/h/i", "value": 1}]"#,
        PatchErrorKind::Unapplied,
        "/a/b/c/d/e/f/g/h/i: operation at index 0: path has more than 8 tokens",
    },
)]
fn rejected_operations(text: &str, kind: PatchErrorKind, expected: &str) {
    let error = operations(text).expect_err("a refusal");
    assert_eq!((error.kind(), error.to_string().as_str()), (kind, expected));
}

#[test]
fn repeated_copies_are_limited() {
    let step = r#"{"op": "copy", "from": "/services", "path": "/services/x"}"#;
    let text = format!("[{}]", vec![step; 64].join(","));
    let error = operations(&text).expect_err("a refusal");
    assert_eq!(error.kind(), PatchErrorKind::Unapplied);
}

#[test]
fn nesting_by_moves_is_limited() {
    let step = r#"{"op": "add", "path": "/b", "value": {"c": {"d": {"e": {}}}}},
        {"op": "move", "from": "/a", "path": "/b/c/d/e/f"},
        {"op": "move", "from": "/b", "path": "/a"}"#;
    let text =
        format!(r#"[{{"op": "add", "path": "/a", "value": 1}},{}]"#, vec![step; 3_000].join(","));
    let error = operations(&text).expect_err("a refusal");
    assert!(error.to_string().contains("nested deeper than 16 levels"), "{error}");
}

#[test]
fn oversized_configuration_is_rejected() {
    let mut members = Vec::new();
    for number in 0..29_950 {
        members.push(format!(r#""index-{number:05}":{{"deadline_ms":1000}}"#));
    }
    let text = format!(r#"{{"indexes":{{{}}}}}"#, members.join(","));
    assert!(text.len() < 1024 * 1024);
    let error = submit(PatchFormat::Merge, 1, &text).expect_err("a refusal");
    assert_eq!(error.kind(), PatchErrorKind::Oversized);
}

#[parameterized(empty = { "" }, space = { "a b" }, slash = { "a/b" }, accent = { "é" })]
fn invalid_patch_id_is_rejected(id: &str) {
    let error = PatchId::try_from(id.to_owned()).expect_err("a refusal");
    assert_eq!(error.kind(), PatchErrorKind::Malformed);
}
