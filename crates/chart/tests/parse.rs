//! Parses valid charts and checks the error message of each kind of invalid chart.

use carobstep_chart::StateChart;
use strum::EnumString;

#[derive(Clone, Copy, Debug, PartialEq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum Light {
    Red,
    Green,
}

#[derive(Clone, Copy, Debug, PartialEq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum Signal {
    Go,
    Halt,
}

struct InvalidChart {
    text: &'static str,
    message: &'static str,
}

const INVALID_CHARTS: &[InvalidChart] = &[
    InvalidChart { text: "{", message: "chart is malformed" },
    InvalidChart { text: r#"{"initial": "red", "states": {}, "x": 1}"#, message: "malformed" },
    InvalidChart {
        text: r#"{"initial": "blue", "states": {"blue": {}}}"#,
        message: r#"state "blue" does not exist"#,
    },
    InvalidChart {
        text: r#"{"initial": "red", "states": {"red": {"on": {"stop": "red"}}}}"#,
        message: r#"event "stop" does not exist"#,
    },
    InvalidChart {
        text: r#"{"initial": "red", "states": {"red": {"on": {"go": "green"}}}}"#,
        message: r#"target state "green" is not declared"#,
    },
    InvalidChart {
        text: r#"{"initial": "red", "states": {"red": {}, "green": {}}}"#,
        message: r#"state "green" cannot be reached"#,
    },
];

#[test]
fn invalid_charts_are_rejected_with_their_error() {
    for case in INVALID_CHARTS {
        let error = StateChart::<Light, Signal>::parse(case.text).unwrap_err().to_string();
        assert!(error.contains(case.message), "{}: {error}", case.text);
    }
}

#[test]
fn events_without_a_transition_are_ignored() {
    let text = r#"{
        "initial": "red", // comments are allowed
        "states": {"red": {"on": {"go": "green"}}, "green": {"on": {"halt": "red"}}},
    }"#;
    let chart = StateChart::<Light, Signal>::parse(text).unwrap();
    assert_eq!(chart.initial(), Light::Red);
    assert_eq!(chart.next(Light::Red, Signal::Go), Some(Light::Green));
    assert_eq!(chart.next(Light::Green, Signal::Halt), Some(Light::Red));
    assert_eq!(chart.next(Light::Red, Signal::Halt), None);
}
