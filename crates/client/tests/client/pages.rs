//! Checks the page `docs/CLIENT.md`: its commands run and its tables are complete.

use std::{path::Path, sync::Arc};

use carobstep_client::{CommandLine, CommandName, ExitStatus, ReportPrinter, run_command};
use carobstep_store::ObjectKind;
use strum::IntoEnumIterator;

use crate::support::{FakeNodes, FakePlatform, status};

const PAGE: &str = include_str!("../../../../docs/CLIENT.md");

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Returns the arguments of each command line in the page's shell blocks, without
/// the program name.
fn page_commands() -> Vec<Vec<String>> {
    let mut commands = Vec::new();
    for block in PAGE.split("```sh\n").skip(1) {
        let lines = block.split("```").next().unwrap_or_default().lines();
        for line in lines {
            let args = line.strip_prefix("carobstep ").expect("a command of the client");
            commands.push(args.split_whitespace().map(absolute_example_path).collect());
        }
    }
    commands
}

/// Makes the path of an example file absolute; returns other arguments unchanged.
fn absolute_example_path(arg: &str) -> String {
    if arg.starts_with("examples/") {
        return Path::new(ROOT).join(arg).display().to_string();
    }
    arg.to_owned()
}

#[tokio::test(start_paused = true)]
async fn every_command_of_the_page_runs() {
    let platform = FakePlatform::default();
    platform.store(ObjectKind::Status, "n1", status("n1", "perth-a", 1));
    let nodes = FakeNodes::default();
    nodes.set_response(1, serde_json::json!({"config_version": 3}));
    let nodes = Arc::new(nodes);
    let commands = page_commands();
    for args in &commands {
        let line = CommandLine::try_from(&args[..]).expect("a command line");
        let CommandLine::Run { format, command, .. } = line else { panic!("{args:?}") };
        let mut out = Vec::new();
        let mut printer = ReportPrinter::new(format, &mut out);
        let result = run_command(command, &platform, &nodes, &mut printer).await;
        result.unwrap_or_else(|error| panic!("{args:?}: {error}"));
    }
    for name in CommandName::iter() {
        let shown = commands.iter().any(|args| args[0] == name.to_string());
        assert!(shown, "command {name} is not on the page");
    }
}

#[test]
fn every_exit_code_is_on_the_page() {
    for status in ExitStatus::iter() {
        let row = format!("| {} | {status} | {} |", status as u8, status.summary());
        assert!(PAGE.contains(&row), "{row}");
    }
}
