//! Parsing and validation of configuration documents.

use carobstep_config::{ConfigDocument, ConfigTopology, ConfigVersion, ServerState};
use yare::parameterized;

const EXAMPLE: &str = include_str!("../../../examples/config.jsonc");

const VERSION: ConfigVersion = ConfigVersion(1);

fn faults(text: &str) -> String {
    let document = match ConfigDocument::parse(text) {
        Ok(document) => document,
        Err(error) => return error.to_string(),
    };
    match ConfigTopology::try_from((VERSION, &document)) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    }
}

fn with_server(member: &str) -> String {
    format!(
        r#"{{"services": {{"s": {{"deadline_ms": 9, "servers": {{"v":
        {{"zone": "z", "address": "10.0.0.1:1", "slots": 2, "connections": 9, {member}}}}}}}}}}}"#
    )
}

#[test]
fn example_is_valid() {
    let document = ConfigDocument::parse(EXAMPLE).expect("example document");
    let topology = ConfigTopology::try_from((VERSION, &document)).expect("example topology");
    assert_eq!(topology.services().count(), 2);
    assert_eq!(topology.servers().count(), 4);
    let drained = topology.find_server("orders-b").expect("server orders-b");
    assert_eq!(topology.server(drained).state, ServerState::Draining);
}

#[test]
fn stored_form_round_trips() {
    let document = ConfigDocument::parse(EXAMPLE).expect("example document");
    let stored = serde_json::to_value(&document).expect("stored form");
    assert_eq!(ConfigDocument::try_from(&stored), Ok(document));
}

#[parameterized(
    unknown_root = { r#"{"service": {}}"#, "/service: unknown key with value {}" },
    not_an_object = { "[1]", "/: [1] is not an object" },
    services_list = { r#"{"services": []}"#, "/services: [] is not an object" },
    missing = { r#"{"indexes": {"i": {}}}"#, "/indexes/i/deadline_ms: is missing" },
    wrong_type = {
        r#"{"indexes": {"i": {"deadline_ms": "9"}}}"#,
        "/indexes/i/deadline_ms: \"9\" is not a whole number of at least 0",
    },
    escaped_path = {
        r#"{"indexes": {"a/b~c": {"deadline_ms": 0.5}}}"#,
        "/indexes/a~1b~0c/deadline_ms: 0.5 is not a whole number of at least 0",
    },
    deadline = {
        r#"{"indexes": {"i": {"deadline_ms": 0}}}"#,
        "/indexes/i/deadline_ms: 0 is outside 1 to 60000",
    },
    no_server = {
        r#"{"services": {"s": {"deadline_ms": 1, "servers": {}}}}"#,
        "/services/s/servers: lists no server",
    },
    servers_missing = {
        r#"{"services": {"s": {"deadline_ms": 1}}}"#,
        "/services/s/servers: is missing",
    },
    percent = {
        r#"{"services": {"s": {"deadline_ms": 1, "hedge": {"hedge_percent": 101}, "servers": {}}}}"#,
        "/services/s/servers: lists no server; /services/s/hedge/hedge_percent: 101 is not a percentage from 0 to 100",
    },
    duplicate_member = {
        "{\"indexes\": {\n  \"i\": {\"deadline_ms\": 1}, \"i\": {\"deadline_ms\": 2}}}",
        "line 2 column 28: duplicate member \"i\"",
    },
    syntax = { "{\n\"services\": ]", "line 2 column 13: Unexpected close bracket" },
)]
fn document_fault(text: &str, expected: &str) {
    assert_eq!(faults(text), expected);
}

#[parameterized(
    unknown = { r#""weight": 3"#, "/services/s/servers/v/weight: unknown key with value 3" },
    state = {
        r#""state": "gone""#,
        "/services/s/servers/v/state: \"gone\" is not \"active\" or \"draining\"",
    },
)]
fn server_fault(member: &str, expected: &str) {
    assert_eq!(faults(&with_server(member)), expected);
}

#[test]
fn all_faults_are_reported_together() {
    let text = r#"{"services": {
        "S": {"deadline_ms": 1, "servers": {"v": {
            "zone": "Z", "address": "10.0.0.1:0", "slots": 0, "connections": 9000}}},
        "t": {"deadline_ms": 1, "servers": {
            "w": {"zone": "z", "address": "10.0.0.1:2", "slots": 3, "connections": 2},
            "x": {"zone": "z", "address": "10.0.0.1:2", "slots": 1, "connections": 2}}},
        "u": {"deadline_ms": 1, "servers": {
            "w": {"zone": "z", "address": "10.0.0.1:3", "slots": 1, "connections": 2}}}}}"#;
    let rule = "is not 1 to 63 bytes of a-z, 0-9, \"-\" and \".\"";
    let expected = [
        format!("/services/S: name \"S\" {rule}"),
        format!("/services/S/servers/v/zone: name \"Z\" {rule}"),
        "/services/S/servers/v/address: 10.0.0.1:0 cannot be connected to: IP or port is unspecified"
            .into(),
        "/services/S/servers/v/slots: 0 is outside 1 to 1024".into(),
        "/services/S/servers/v/connections: 9000 is outside 0 to 4096".into(),
        "/services/t/servers/w/connections: 2 is outside 3 to 4096".into(),
        "/services/t/servers/x/address: 10.0.0.1:2 is already used by server w".into(),
        "/services/u/servers/w: server w is declared twice".into(),
    ];
    assert_eq!(faults(text), expected.join("; "));
}

#[test]
fn deep_nesting_is_rejected() {
    let text = "[".repeat(100_000);
    assert!(faults(&text).contains("nesting depth"), "{}", faults(&text));
}
