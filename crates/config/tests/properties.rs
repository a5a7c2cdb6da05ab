//! Property tests with random settings files, documents and patches: nothing
//! panics and nothing invalid is accepted.

use carobstep_config::{
    ConfigDocument, ConfigPatch, ConfigRecord, ConfigTopology, ConfigVersion, PatchDocument,
    PatchFormat, PatchId, Settings, UtcTime, apply_patch, parse_jsonc,
};
use proptest::{prelude::*, sample::select, test_runner::RngSeed};
use serde_json::{Map, Value, json};

const SETTINGS: &str = include_str!("../../../examples/carobstepd.jsonc");
const DOCUMENT: &str = include_str!("../../../examples/config.jsonc");

const FRAGMENTS: [&str; 14] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "//",
    "/*",
    "-1",
    "1e999",
    "null",
    "\"zone\": \"é\",",
    "\n",
];

const MEMBERS: [&str; 15] = [
    "services",
    "indexes",
    "orders",
    "garments",
    "servers",
    "orders-a",
    "orders-b",
    "slots",
    "connections",
    "address",
    "zone",
    "hedge",
    "deadline_ms",
    "new~/name",
    "-",
];

const OPERATIONS: [&str; 6] = ["add", "remove", "replace", "move", "copy", "test"];

/// Replaces ranges of characters with other text; each edit is a start, a length
/// and the replacement.
fn apply_edits(text: &str, edits: &[(usize, usize, &str)]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for (start, length, fragment) in edits {
        let start = start % (chars.len() + 1);
        let end = (start + length).min(chars.len());
        chars.splice(start..end, fragment.chars());
    }
    chars.into_iter().collect()
}

fn edits() -> impl Strategy<Value = Vec<(usize, usize, &'static str)>> {
    prop::collection::vec((0usize..4_000, 0usize..12, select(&FRAGMENTS[..])), 1..6)
}

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        Just(json!(true)),
        any::<u16>().prop_map(|number| json!(number)),
        any::<f64>().prop_map(|number| json!(number)),
        select(vec!["10.0.0.1:1", "perth-a", "at_most_once", "", "Z"]).prop_map(|text| json!(text)),
    ];
    leaf.prop_recursive(6, 40, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::Array),
            prop::collection::vec((select(&MEMBERS[..]), inner), 0..4).prop_map(|members| {
                let members = members.into_iter().map(|(name, value)| (name.to_owned(), value));
                Value::Object(members.collect::<Map<_, _>>())
            }),
        ]
    })
}

fn pointer() -> impl Strategy<Value = String> {
    prop::collection::vec(select(&MEMBERS[..]), 0..6).prop_map(|members| {
        members.into_iter().map(|name| format!("/{}", name.replace('~', "~0"))).collect()
    })
}

fn operations() -> impl Strategy<Value = Value> {
    let operation = (select(&OPERATIONS[..]), pointer(), pointer(), json_value()).prop_map(
        |(op, path, from, value)| json!({"op": op, "path": path, "from": from, "value": value}),
    );
    prop::collection::vec(operation, 0..8).prop_map(Value::Array)
}

fn current() -> ConfigRecord {
    let id = PatchId::try_from("first".to_owned()).expect("patch id");
    let author = "ops".to_owned().try_into().expect("author");
    let document = ConfigDocument::parse(DOCUMENT).expect("example document");
    ConfigRecord::initial(&id, &author, UtcTime(0), document).expect("first record")
}

/// Applies a patch text and, if it is accepted, checks the resulting record.
fn check_patch(format: PatchFormat, text: String) -> Result<(), TestCaseError> {
    let patch = ConfigPatch::try_from(PatchDocument {
        base: ConfigVersion(1),
        id: "p1".to_owned(),
        author: "ops".to_owned(),
        time: UtcTime(0),
        format,
        text,
    });
    let Ok(patch) = patch else { return Ok(()) };
    let before = current();
    let Ok(record) = apply_patch(&before, &patch) else { return Ok(()) };
    prop_assert_eq!(record.version, ConfigVersion(2));
    prop_assert!(ConfigTopology::try_from((record.version, &record.document)).is_ok());
    let stored = serde_json::to_value(&record).expect("stored form");
    let read = serde_json::from_value::<ConfigRecord>(stored).expect("record reads back");
    prop_assert_eq!(read, record);
    Ok(())
}

/// Checks that each error of a rejected settings file names an existing line.
fn check_settings(text: &str) -> Result<(), TestCaseError> {
    let Err(error) = Settings::parse("f", text) else { return Ok(()) };
    prop_assert!(!error.faults().is_empty());
    let lines = text.split('\n').count();
    for fault in error.faults() {
        prop_assert!((1..=lines).contains(&fault.line()), "{} of {}", fault, lines);
    }
    Ok(())
}

/// Uses a fixed seed, so that every run tests the same cases.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0063_6172_6f62),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn settings_of_any_text(text in "\\PC{0,200}") {
        check_settings(&text)?;
    }

    #[test]
    fn settings_of_spliced_example(edits in edits()) {
        check_settings(&apply_edits(SETTINGS, &edits))?;
    }

    #[test]
    fn document_of_spliced_example(edits in edits()) {
        let text = apply_edits(DOCUMENT, &edits);
        if let Ok(document) = ConfigDocument::parse(&text) {
            let value = parse_jsonc(&text).expect("a document is JSON");
            prop_assert_eq!(ConfigDocument::try_from(&value), Ok(document));
        }
    }

    #[test]
    fn merge_of_any_value(value in json_value()) {
        check_patch(PatchFormat::Merge, value.to_string())?;
    }

    #[test]
    fn operations_of_any_kind(list in operations()) {
        check_patch(PatchFormat::Operations, list.to_string())?;
    }

    #[test]
    fn patch_of_any_text(text in "\\PC{0,200}") {
        check_patch(PatchFormat::Merge, text.clone())?;
        check_patch(PatchFormat::Operations, text)?;
    }
}
