//! Parses the text form of server settings.

use carobstep_standin::ServerSettings;
use yare::parameterized;

#[parameterized(
    empty = { "", "not of the form" },
    no_value = { "name", "not of the form" },
    unknown_key = { "hats=3", "\"hats\" is none of name" },
    bad_number = { "slots=two", "slots: bad value \"two\"" },
    bad_address = { "address=localhost", "address: bad value \"localhost\"" },
    bad_snapshot = { "snapshots=1+x", "snapshots: bad value \"x\"" },
)]
fn invalid_text_is_rejected(text: &str, expected: &str) {
    let error = ServerSettings::try_from(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn every_field_can_be_set() {
    let text = "name=b1,address=127.0.0.1:7001,control=127.0.0.1:7002,slots=3,connections=9,\
                service-us=11,connect-delay-us=12,delay-us=13,cancel-us=14,idle-ms=16,seed=15,snapshots=1+2";
    let expected = ServerSettings {
        name: "b1".to_owned(),
        address: "127.0.0.1:7001".parse().unwrap(),
        control: "127.0.0.1:7002".parse().unwrap(),
        slots: 3,
        connections: 9,
        service_us: 11,
        connect_delay_us: 12,
        delay_us: 13,
        cancel_us: 14,
        idle_ms: 16,
        seed: 15,
        snapshots: vec![1, 2],
    };
    assert_eq!(ServerSettings::try_from(text), Ok(expected));
}
