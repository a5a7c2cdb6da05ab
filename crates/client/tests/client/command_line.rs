//! Parsing of the command line.

use std::time::Duration;

use carobstep_client::{CommandLine, ExitStatus, OperatorCommand, help};
use carobstep_config::ConfigVersion;
use yare::parameterized;

fn parse(line: &str) -> Result<CommandLine, String> {
    let args: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
    CommandLine::try_from(&args[..]).map_err(|error| {
        assert_eq!(error.status(), ExitStatus::Usage);
        error.to_string()
    })
}

#[parameterized(
    nothing = { "", "a command is missing; carobstep --help lists the commands" },
    unknown_command = { "shwo", "command \"shwo\" does not exist; carobstep --help lists the commands" },
    unknown_flag = { "show --all", "Unrecognized option: 'all'" },
    flag_twice = { "show --at 1 --at 2", "Option 'at' given more than once" },
    flag_of_other_command = { "nodes --base 3", "command nodes does not take --base" },
    operands = { "diff 1", "command diff takes 2 operands, not 1; usage: carobstep diff A B" },
    no_platform = { "nodes", "--platform is missing" },
    bad_platform = { "nodes --platform here", "--platform \"here\" is not an ip:port address" },
    version_zero = {
        "show --at 0 --platform 127.0.0.1:1",
        "--at \"0\" is not a version: a whole number of at least 1",
    },
    no_patch = {
        "submit --base 1 --platform 127.0.0.1:1",
        "submit takes exactly one of --merge FILE and --json-patch FILE",
    },
    two_patches = {
        "submit --base 1 --merge a --json-patch b --platform 127.0.0.1:1",
        "submit takes exactly one of --merge FILE and --json-patch FILE",
    },
    no_base = { "submit --merge a --platform 127.0.0.1:1", "--base is missing" },
    bad_id = {
        "init f --id a/b --platform 127.0.0.1:1",
        "patch id \"a/b\" is not 1 to 64 bytes of letters, digits, \"-\", \"_\" and \".\"",
    },
    keep_below_minimum = {
        "prune --keep 99 --platform 127.0.0.1:1",
        "--keep \"99\" is not a whole number from 100 to 18446744073709551615",
    },
    timeout_below_minimum = {
        "follow --timeout 0 --platform 127.0.0.1:1",
        "--timeout \"0\" is not a whole number from 1 to 86400",
    },
)]
fn usage_error(line: &str, expected: &str) {
    assert_eq!(parse(line).expect_err("a usage error"), expected);
}

#[test]
fn defaults() {
    let CommandLine::Run { command, .. } = parse("follow --platform 127.0.0.1:1").unwrap() else {
        panic!("not a command");
    };
    let timeout = Duration::from_secs(60);
    assert_eq!(command, OperatorCommand::Follow { version: None, timeout });
    let line = parse("diff 3 4 --platform 127.0.0.1:1").unwrap();
    let CommandLine::Run { command, .. } = line else { panic!("not a command") };
    let (from, to) = (ConfigVersion(3), ConfigVersion(4));
    assert_eq!(command, OperatorCommand::Diff { from, to });
}

#[test]
fn help_takes_precedence_over_errors() {
    assert_eq!(parse("shwo --help"), Ok(CommandLine::Help));
    assert_eq!(parse("-V"), Ok(CommandLine::Version));
}

#[test]
fn help_lists_every_exit_code() {
    for code in 0..=8 {
        assert!(help().contains(&format!("\n    {code}  ")), "code {code}");
    }
}
