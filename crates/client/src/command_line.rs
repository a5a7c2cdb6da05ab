//! Command-line flags, help text and argument parsing.

use std::{env, net::SocketAddr, ops::RangeInclusive, path::PathBuf, time::Duration};

use carobstep_config::{AuthorName, ConfigVersion, PatchFormat, PatchId};
use getopts::{Matches, Options};
use strum::IntoEnumIterator;

use crate::{
    command::{CommandName, OperatorCommand},
    error::{ClientError, ExitStatus},
    output::OutputFormat,
};

/// Default number of versions listed by `history`.
const DEFAULT_HISTORY_COUNT: u64 = 20;

/// Default time that `follow` waits.
const DEFAULT_FOLLOW_TIMEOUT: Duration = Duration::from_secs(60);

/// Minimum number of versions that `prune` keeps, because submissions read the
/// newest ones.
const MIN_KEPT_VERSIONS: u64 = 100;

/// Maximum value of `follow --timeout`, in seconds.
const MAX_FOLLOW_SECONDS: u64 = 86_400;

/// A validated command line.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandLine {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run {
        /// Address of the platform's object API.
        platform: SocketAddr,
        /// Format of the output.
        format: OutputFormat,
        /// The command.
        command: OperatorCommand,
    },
}

impl TryFrom<&[String]> for CommandLine {
    type Error = ClientError;

    /// Parses the arguments, which do not include the program name.
    fn try_from(args: &[String]) -> Result<Self, ClientError> {
        let matches = flags().parse(args).map_err(|error| usage_error(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::Help);
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        let Some((name, operands)) = matches.free.split_first() else {
            return Err(usage_error("a command is missing; carobstep --help lists the commands"));
        };
        let name: CommandName = name.parse().map_err(|_| {
            usage_error(format!(
                "command {name:?} does not exist; carobstep --help lists the commands"
            ))
        })?;
        check_arguments(name, operands, &matches)?;
        let platform = required_flag(&matches, "platform")?;
        let platform = platform.parse().map_err(|_| {
            usage_error(format!("--platform {platform:?} is not an ip:port address"))
        })?;
        let format = match matches.opt_present("json") {
            true => OutputFormat::Json,
            false => OutputFormat::Plain,
        };
        let command = parse_command(name, operands, &matches)?;
        Ok(Self::Run { platform, format, command })
    }
}

/// Returns the help text.
#[must_use]
pub fn help() -> String {
    let mut brief =
        String::from("Usage: carobstep COMMAND --platform IP:PORT [FLAGS]\n\nCommands:\n");
    for name in CommandName::iter() {
        let line = format!("{name} {}", name.synopsis());
        brief.push_str(&format!("    {}\n        {}\n", line.trim_end(), name.summary()));
    }
    brief.push_str("\nA FILE is JSON with comments; - is the standard input.");
    let mut text = flags().usage(&brief);
    text.push_str("\nExit codes:\n");
    for status in ExitStatus::iter() {
        text.push_str(&format!("    {}  {}\n", status as u8, status.summary()));
    }
    text
}

fn flags() -> Options {
    let mut flags = Options::new();
    flags.optopt("", "platform", "address of the platform's object API", "IP:PORT");
    flags.optflag("", "json", "print JSON, one value a line");
    flags.optopt("", "at", "version of the configuration", "N");
    flags.optopt("", "base", "version that the patch was built on", "N");
    flags.optopt("", "merge", "JSON merge patch (RFC 7396)", "FILE");
    flags.optopt("", "json-patch", "JSON Patch (RFC 6902)", "FILE");
    flags.optopt("", "id", "identifier of the patch [a random one]", "ID");
    flags.optopt("", "author", "author of the change [environment variable USER]", "A");
    flags.optopt("", "count", "most versions to list [20]", "N");
    flags.optopt("", "keep", "versions to keep, at least 100", "N");
    flags.optopt("", "timeout", "longest wait in seconds [60]", "S");
    flags.optopt("", "node", "show one node only", "NAME");
    flags.optflag("h", "help", "print this help");
    flags.optflag("V", "version", "print the program's version");
    flags
}

/// Rejects operands and flags that the command does not accept.
fn check_arguments(
    name: CommandName,
    operands: &[String],
    matches: &Matches,
) -> Result<(), ClientError> {
    if operands.len() != name.operands() {
        let message = format!(
            "command {name} takes {} operands, not {}; usage: carobstep {name} {}",
            name.operands(),
            operands.len(),
            name.synopsis()
        );
        return Err(usage_error(message));
    }
    for other in CommandName::iter() {
        for flag in other.flags() {
            if matches.opt_present(flag) && !name.flags().contains(flag) {
                return Err(usage_error(format!("command {name} does not take --{flag}")));
            }
        }
    }
    Ok(())
}

fn parse_command(
    name: CommandName,
    operands: &[String],
    matches: &Matches,
) -> Result<OperatorCommand, ClientError> {
    let command = match name {
        CommandName::Show => OperatorCommand::Show { version: version_flag(matches, "at")? },
        CommandName::Diff => OperatorCommand::Diff {
            from: parse_version("operand A", &operands[0])?,
            to: parse_version("operand B", &operands[1])?,
        },
        CommandName::Submit => parse_submit(matches)?,
        CommandName::History => OperatorCommand::History {
            count: number_flag(matches, "count", 1..=100_000)?.unwrap_or(DEFAULT_HISTORY_COUNT),
        },
        CommandName::Follow => OperatorCommand::Follow {
            version: version_flag(matches, "at")?,
            timeout: number_flag(matches, "timeout", 1..=MAX_FOLLOW_SECONDS)?
                .map_or(DEFAULT_FOLLOW_TIMEOUT, Duration::from_secs),
        },
        CommandName::Nodes => OperatorCommand::Nodes,
        CommandName::Zones => OperatorCommand::Zones,
        CommandName::Grants => OperatorCommand::Grants,
        CommandName::Servers => OperatorCommand::Servers,
        CommandName::Counters => OperatorCommand::Counters { node: matches.opt_str("node") },
        CommandName::Init => OperatorCommand::Init {
            path: PathBuf::from(&operands[0]),
            id: patch_id(matches)?,
            author: author(matches)?,
        },
        CommandName::Publish => OperatorCommand::Publish {
            index: operands[0].clone(),
            path: PathBuf::from(&operands[1]),
        },
        CommandName::Prune => {
            let keep = number_flag(matches, "keep", MIN_KEPT_VERSIONS..=u64::MAX)?;
            OperatorCommand::Prune { keep: keep.ok_or_else(|| usage_error("--keep is missing"))? }
        }
    };
    Ok(command)
}

fn parse_submit(matches: &Matches) -> Result<OperatorCommand, ClientError> {
    let (format, path) = match (matches.opt_str("merge"), matches.opt_str("json-patch")) {
        (Some(path), None) => (PatchFormat::Merge, path),
        (None, Some(path)) => (PatchFormat::Operations, path),
        _ => {
            return Err(usage_error(
                "submit takes exactly one of --merge FILE and --json-patch FILE",
            ));
        }
    };
    Ok(OperatorCommand::Submit {
        base: parse_version("--base", &required_flag(matches, "base")?)?,
        format,
        path: PathBuf::from(path),
        id: patch_id(matches)?,
        author: author(matches)?,
    })
}

fn patch_id(matches: &Matches) -> Result<Option<PatchId>, ClientError> {
    let id = matches.opt_str("id").map(PatchId::try_from).transpose();
    id.map_err(|error| usage_error(error.to_string()))
}

fn author(matches: &Matches) -> Result<AuthorName, ClientError> {
    let author = matches.opt_str("author").or_else(|| env::var("USER").ok());
    let author = author.unwrap_or_else(|| "unknown".to_owned());
    AuthorName::try_from(author).map_err(|error| usage_error(error.to_string()))
}

fn required_flag(matches: &Matches, flag: &str) -> Result<String, ClientError> {
    matches.opt_str(flag).ok_or_else(|| usage_error(format!("--{flag} is missing")))
}

fn version_flag(matches: &Matches, flag: &str) -> Result<Option<ConfigVersion>, ClientError> {
    matches.opt_str(flag).map(|text| parse_version(&format!("--{flag}"), &text)).transpose()
}

fn parse_version(label: &str, text: &str) -> Result<ConfigVersion, ClientError> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(ConfigVersion(number)),
        _ => Err(usage_error(format!(
            "{label} {text:?} is not a version: a whole number of at least 1"
        ))),
    }
}

fn number_flag(
    matches: &Matches,
    flag: &str,
    range: RangeInclusive<u64>,
) -> Result<Option<u64>, ClientError> {
    let Some(text) = matches.opt_str(flag) else { return Ok(None) };
    match text.parse() {
        Ok(number) if range.contains(&number) => Ok(Some(number)),
        _ => {
            let (low, high) = (range.start(), range.end());
            Err(usage_error(format!(
                "--{flag} {text:?} is not a whole number from {low} to {high}"
            )))
        }
    }
}

fn usage_error(message: impl Into<String>) -> ClientError {
    ClientError::new(ExitStatus::Usage, message)
}
