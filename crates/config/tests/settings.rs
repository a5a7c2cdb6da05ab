//! Settings files: the shipped example, defaults, and errors with their lines.

use std::time::Duration;

use carobstep_config::{LogLevel, Settings, parse_jsonc};
use yare::parameterized;

const EXAMPLE: &str = include_str!("../../../examples/carobstepd.jsonc");

const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");

const MINIMAL: &str = r#"{
  "node": "n1", "region": "r1", "zone": "z1",
  "callers": "127.0.0.1:1", "operators": "127.0.0.1:2",
  "peers": "127.0.0.1:3", "platform": "127.0.0.1:4",
"#;

#[test]
fn example_contains_every_default() {
    let example = Settings::parse("example", EXAMPLE).expect("example settings");
    let minimal = Settings::parse("minimal", &format!("{MINIMAL}}}")).expect("minimal settings");
    assert_eq!(example.lease, minimal.lease);
    assert_eq!(example.gossip, minimal.gossip);
    assert_eq!(example.limits, minimal.limits);
    assert_eq!(example.stop, minimal.stop);
    assert_eq!(example.log_level, minimal.log_level);
    assert_eq!(minimal.log_level, LogLevel::Info);
    assert_eq!(minimal.lease.term, Duration::from_secs(6));
    assert_eq!(example.seeds.len(), 2);
    assert_eq!(minimal.metrics, None);
    assert_eq!(minimal.split, None);
    assert_eq!(minimal.peers_advertised, None);
}

#[test]
fn advertised_address_is_independent_of_listener() {
    let text = format!("{MINIMAL}\"peers_advertised\": \"10.0.0.1:3\"}}");
    let settings = Settings::parse("f", &text).expect("settings");
    assert_eq!(settings.peers_advertised, "10.0.0.1:3".parse().ok());
    assert_eq!(settings.peers.to_string(), "127.0.0.1:3");
}

#[parameterized(
    unknown_key = { r#""nodes": 3}"#, "f:5: nodes: unknown key with value 3" },
    unknown_nested = {
        r#""lease": {"term": 1}}"#,
        "f:5: lease.term: unknown key with value 1",
    },
    duplicate_key = { r#""zone": "z2"}"#, "f:5: zone: duplicate key with value \"z2\"" },
    wrong_type = { r#""log_level": 7}"#, "f:5: log_level: 7 is not a string" },
    wrong_section = { r#""stop": []}"#, "f:5: stop: [] is not an object" },
    negative = {
        r#""stop": {"notice_ms": -1}}"#,
        "f:5: stop.notice_ms: -1 is not a whole number of at least 0",
    },
    bad_level = {
        r#""log_level": "loud"}"#,
        "f:5: log_level: \"loud\" is not one of off, error, warn, info, debug and trace",
    },
    renew_not_below_term = {
        r#""lease": {"renew_ms": 6000}}"#,
        "f:5: lease.renew_ms: 6000 is not less than lease.term_ms 6000",
    },
    fence_not_below_term = {
        r#""lease": {"term_ms": 2000, "renew_ms": 100}}"#,
        "f:5: lease.fence_ms: 2000 is not less than lease.term_ms 2000",
    },
    out_of_range_is_reported_once = {
        r#""lease": {"term_ms": 1}}"#,
        "f:5: lease.term_ms: 1 is outside 100 to 600000",
    },
    oversized_body = {
        r#""limits": {"body_bytes": 1048577}}"#,
        "f:5: limits.body_bytes: 1048577 is outside 1 to 1048576",
    },
    number_over_64_bits = {
        r#""limits": {"in_flight": 18446744073709551616}}"#,
        "f:5: limits.in_flight: 18446744073709551616 is not a whole number of at least 0",
    },
    seed_without_port = { r#""seeds": ["10.0.0.1"]}"#, "f:5: seeds: \"10.0.0.1\" is not an ip:port address" },
    duplicate_seed = {
        r#""seeds": ["10.0.0.1:1", "10.0.0.1:1"]}"#,
        "f:5: seeds: 10.0.0.1:1 is already used by seeds",
    },
    advertised_without_port = {
        r#""peers_advertised": "10.0.0.1:0"}"#,
        "f:5: peers_advertised: 10.0.0.1:0 cannot be connected to: IP or port is unspecified",
    },
    split_without_own_node = { r#""split": {"nodes": ["n2"]}}"#, "f:5: split.nodes: this node (n1) is not in the list" },
    duplicate_split_node = {
        r#""split": {"nodes": ["n1", "n2", "n1"]}}"#,
        "f:5: split.nodes: node n1 is listed twice",
    },
    metrics_with_unspecified_ip = {
        r#""metrics": "0.0.0.0:8125"}"#,
        "f:5: metrics: 0.0.0.0:8125 cannot be connected to: IP or port is unspecified",
    },
    syntax = { r#""seeds": [}"#, "f:5: Unexpected close brace" },
    truncated = { r#""seeds": ["#, "f:5: Unterminated array" },
)]
fn one_fault(tail: &str, expected: &str) {
    let error = Settings::parse("f", &format!("{MINIMAL}{tail}")).expect_err("a fault");
    assert_eq!(error.to_string(), expected);
}

#[test]
fn all_faults_are_reported_together() {
    let text = r#"{
  "node": "N1",
  "zone": "",
  "callers": "0.0.0.0:80",
  "operators": "127.0.0.1:80",
  "peers": "0.0.0.0:81",
  "platform": "localhost:82",
  "gossip": {"interval_ms": 3000},
  "colour": "red"
}"#;
    let error = Settings::parse("f", text).expect_err("faults");
    let lines: Vec<_> = error.lines().collect();
    let rule = "is not 1 to 63 bytes of a-z, 0-9, \"-\" and \".\"";
    assert_eq!(
        lines,
        [
            "f:1: region: is missing".to_owned(),
            format!("f:2: node: name \"N1\" {rule}"),
            format!("f:3: zone: name \"\" {rule}"),
            "f:5: operators: 127.0.0.1:80 is already used by callers".to_owned(),
            "f:6: peers: 0.0.0.0:81 has an unspecified IP address, expected one that other hosts can connect to".to_owned(),
            "f:7: platform: \"localhost:82\" is not an ip:port address".to_owned(),
            "f:8: gossip.interval_ms: 3000 is not less than gossip.peer_timeout_ms 3000".to_owned(),
            "f:9: colour: unknown key with value \"red\"".to_owned(),
        ]
    );
}

#[parameterized(
    empty = { "", "f:1: the file contains no value, expected an object" },
    comment_only = { "// nothing\n", "f:1: the file contains no value, expected an object" },
    list = { "[]", "f:1: [] is not an object" },
    single_quotes = { "{'node': 1}", "f:1: Single-quoted strings are not allowed" },
)]
fn not_an_object(text: &str, expected: &str) {
    let error = Settings::parse("f", text).expect_err("a fault");
    assert_eq!(error.to_string(), expected);
}

#[test]
fn page_lists_every_key_and_default() {
    let example = parse_jsonc(EXAMPLE).expect("example settings");
    for (key, value) in example.as_object().expect("an object") {
        let Some(section) = value.as_object() else {
            assert!(SETTINGS_PAGE.contains(&format!("| `{key}` |")), "{key}");
            continue;
        };
        for (name, value) in section {
            let row = format!("| `{key}.{name}` | {value} |");
            assert!(SETTINGS_PAGE.contains(&row), "{row}");
        }
    }
}
