//! Command line: help, rejected arguments, and a short load with its report.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use yare::parameterized;

fn bench(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carobstep-bench")).args(args).output().unwrap()
}

#[test]
fn help_names_every_command() {
    let output = bench(&["--help"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    for command in ["demo", "load", "compare"] {
        assert!(text.contains(command), "{text}");
    }
}

#[parameterized(
    unknown_command = { &["race"], "race" },
    unknown_scenario = { &["load", "--scenario", "cork"], "cork" },
    bad_rate = { &["load", "--rate", "fast"], "fast" },
    too_few_rounds = { &["compare", "--rounds", "4"], "4 rounds" },
    bad_variant = { &["compare", "--rival", "speed=2"], "speed=2" },
)]
fn a_bad_command_line_is_rejected(args: &[&str], expected: &str) {
    let output = bench(args);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(text.contains("usage") && text.contains(expected), "{text}");
}

#[test]
fn a_short_load_writes_its_report() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli-load");
    let run_dir = dir.display().to_string();
    let args = ["load", "--scenario", "demo", "--rate", "20", "--order-rate", "5"];
    let output = bench(
        &[&args[..], &["--seconds", "2", "--warmup", "0"], &["--run-dir", &run_dir]].concat(),
    );
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report = fs::read_to_string(dir.join("load.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    assert!(report["searches"]["answered"].as_u64().unwrap() > 0);
    assert_eq!(report["cost"]["violations"], 0);
    assert_eq!(report["cost"]["nodes"].as_object().unwrap().len(), 6);
    assert!(fs::read_to_string(dir.join("load.svg")).unwrap().contains("polyline"));
}
