//! The commands and their flags, and the command line they are read from.

use std::{env, net::SocketAddr, path::PathBuf, time::Duration};

use carobstep_config::{AuthorName, ConfigVersion, PatchFormat, PatchId};
use getopts::{Matches, Options};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::{
    error::{ClientError, ExitStatus},
    output::OutputFormat,
};

/// Versions that `history` lists unless told otherwise.
const DEFAULT_HISTORY: u64 = 20;

/// Time that `follow` waits unless told otherwise.
const DEFAULT_FOLLOW: Duration = Duration::from_secs(60);

/// Longest time that `follow` may be told to wait, in seconds.
const MAX_FOLLOW_SECONDS: u64 = 86_400;

/// Name of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CommandName {
    /// See [`OperatorCommand::Show`].
    Show,
    /// See [`OperatorCommand::Diff`].
    Diff,
    /// See [`OperatorCommand::Submit`].
    Submit,
    /// See [`OperatorCommand::History`].
    History,
    /// See [`OperatorCommand::Follow`].
    Follow,
    /// See [`OperatorCommand::Nodes`].
    Nodes,
    /// See [`OperatorCommand::Zones`].
    Zones,
    /// See [`OperatorCommand::Grants`].
    Grants,
    /// See [`OperatorCommand::Servers`].
    Servers,
    /// See [`OperatorCommand::Counters`].
    Counters,
    /// See [`OperatorCommand::Init`].
    Init,
    /// See [`OperatorCommand::Publish`].
    Publish,
}

impl CommandName {
    /// Operands and flags, as the help text shows them.
    const fn synopsis(self) -> &'static str {
        match self {
            Self::Show => "[--at N]",
            Self::Diff => "A B",
            Self::Submit => "--base N (--merge FILE | --json-patch FILE) [--id ID] [--author A]",
            Self::History => "[--count N]",
            Self::Follow => "[--at N] [--timeout S]",
            Self::Nodes | Self::Zones | Self::Grants | Self::Servers => "",
            Self::Counters => "[--node NAME]",
            Self::Init => "FILE [--id ID] [--author A]",
            Self::Publish => "INDEX FILE",
        }
    }

    const fn summary(self) -> &'static str {
        match self {
            Self::Show => "show the configuration in force, or a past version",
            Self::Diff => "show what differs between two versions",
            Self::Submit => "submit a patch built on version N",
            Self::History => "list the newest versions",
            Self::Follow => "wait until every node has a version in force",
            Self::Nodes => "list the nodes and the version each has in force",
            Self::Zones => "list the availability zones",
            Self::Grants => "list which node holds which backend server",
            Self::Servers => "list the backend servers and what is lent of them",
            Self::Counters => "show refusal, retry and event counters",
            Self::Init => "store the first configuration",
            Self::Publish => "publish the manifest of an index",
        }
    }

    /// Flags that the command takes besides the global ones.
    const fn flags(self) -> &'static [&'static str] {
        match self {
            Self::Show => &["at"],
            Self::Submit => &["base", "merge", "json-patch", "id", "author"],
            Self::History => &["count"],
            Self::Follow => &["at", "timeout"],
            Self::Counters => &["node"],
            Self::Init => &["id", "author"],
            Self::Diff
            | Self::Nodes
            | Self::Zones
            | Self::Grants
            | Self::Servers
            | Self::Publish => &[],
        }
    }

    const fn operands(self) -> usize {
        match self {
            Self::Diff | Self::Publish => 2,
            Self::Init => 1,
            _ => 0,
        }
    }
}

/// A checked command with what it needs.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Shows a configuration.
    Show {
        /// The version, or `None` for the one in force.
        version: Option<ConfigVersion>,
    },
    /// Shows what differs between two versions.
    Diff {
        /// The earlier version.
        from: ConfigVersion,
        /// The later version.
        to: ConfigVersion,
    },
    /// Submits a patch.
    Submit {
        /// Version that the patch was built on.
        base: ConfigVersion,
        /// Form of the patch.
        format: PatchFormat,
        /// File that holds the patch; `-` is the standard input.
        path: PathBuf,
        /// Identifier of the patch.
        id: PatchId,
        /// Who submits it.
        author: AuthorName,
    },
    /// Lists the newest versions.
    History {
        /// Most versions to list.
        count: u64,
    },
    /// Waits until every node has a version in force.
    Follow {
        /// The version, or `None` for the one in force.
        version: Option<ConfigVersion>,
        /// Longest wait.
        timeout: Duration,
    },
    /// Lists the nodes.
    Nodes,
    /// Lists the availability zones.
    Zones,
    /// Lists the grants.
    Grants,
    /// Lists the backend servers.
    Servers,
    /// Shows the counters.
    Counters {
        /// One node, or `None` for the sums over all.
        node: Option<String>,
    },
    /// Stores the first configuration.
    Init {
        /// File that holds the document; `-` is the standard input.
        path: PathBuf,
        /// Identifier to record.
        id: PatchId,
        /// Who stores it.
        author: AuthorName,
    },
    /// Publishes the manifest of an index.
    Publish {
        /// Name of the index.
        index: String,
        /// File that holds the manifest; `-` is the standard input.
        path: PathBuf,
    },
}

/// A checked command line.
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
        /// Form of the output.
        format: OutputFormat,
        /// The command.
        command: OperatorCommand,
    },
}

impl TryFrom<&[String]> for CommandLine {
    type Error = ClientError;

    /// Reads the arguments without the program's name.
    fn try_from(args: &[String]) -> Result<Self, ClientError> {
        let matches = flags().parse(args).map_err(|error| usage(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::Help);
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        let Some((name, operands)) = matches.free.split_first() else {
            return Err(usage("a command is missing"));
        };
        let name: CommandName =
            name.parse().map_err(|_| usage(format!("command {name:?} does not exist")))?;
        check_shape(name, operands, &matches)?;
        let platform = required(&matches, "platform")?;
        let platform = platform
            .parse()
            .map_err(|_| usage(format!("--platform {platform:?} is not an ip:port address")))?;
        let format = match matches.opt_present("json") {
            true => OutputFormat::Json,
            false => OutputFormat::Plain,
        };
        let command = read_command(name, operands, &matches)?;
        Ok(Self::Run { platform, format, command })
    }
}

/// The help text.
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
    flags.optopt("", "author", "who submits [the environment's USER]", "A");
    flags.optopt("", "count", "most versions to list [20]", "N");
    flags.optopt("", "timeout", "longest wait in seconds [60]", "S");
    flags.optopt("", "node", "show one node only", "NAME");
    flags.optflag("h", "help", "print this help");
    flags.optflag("V", "version", "print the program's version");
    flags
}

/// Refuses operands and flags that the command does not take.
fn check_shape(
    name: CommandName,
    operands: &[String],
    matches: &Matches,
) -> Result<(), ClientError> {
    if operands.len() != name.operands() {
        let message = format!(
            "command {name} takes {} operands, not {}: carobstep {name} {}",
            name.operands(),
            operands.len(),
            name.synopsis()
        );
        return Err(usage(message));
    }
    for other in CommandName::iter() {
        for flag in other.flags() {
            if matches.opt_present(flag) && !name.flags().contains(flag) {
                return Err(usage(format!("command {name} does not take --{flag}")));
            }
        }
    }
    Ok(())
}

fn read_command(
    name: CommandName,
    operands: &[String],
    matches: &Matches,
) -> Result<OperatorCommand, ClientError> {
    let command = match name {
        CommandName::Show => OperatorCommand::Show { version: version_flag(matches, "at")? },
        CommandName::Diff => OperatorCommand::Diff {
            from: version("A", &operands[0])?,
            to: version("B", &operands[1])?,
        },
        CommandName::Submit => read_submit(matches)?,
        CommandName::History => OperatorCommand::History {
            count: number_flag(matches, "count", 1..=100_000)?.unwrap_or(DEFAULT_HISTORY),
        },
        CommandName::Follow => OperatorCommand::Follow {
            version: version_flag(matches, "at")?,
            timeout: number_flag(matches, "timeout", 1..=MAX_FOLLOW_SECONDS)?
                .map_or(DEFAULT_FOLLOW, Duration::from_secs),
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
    };
    Ok(command)
}

fn read_submit(matches: &Matches) -> Result<OperatorCommand, ClientError> {
    let (format, path) = match (matches.opt_str("merge"), matches.opt_str("json-patch")) {
        (Some(path), None) => (PatchFormat::Merge, path),
        (None, Some(path)) => (PatchFormat::Operations, path),
        _ => return Err(usage("submit takes one of --merge and --json-patch")),
    };
    Ok(OperatorCommand::Submit {
        base: version("--base", &required(matches, "base")?)?,
        format,
        path: PathBuf::from(path),
        id: patch_id(matches)?,
        author: author(matches)?,
    })
}

fn patch_id(matches: &Matches) -> Result<PatchId, ClientError> {
    let id = matches.opt_str("id").unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    PatchId::try_from(id).map_err(|error| usage(error.to_string()))
}

fn author(matches: &Matches) -> Result<AuthorName, ClientError> {
    let author = matches.opt_str("author").or_else(|| env::var("USER").ok());
    let author = author.unwrap_or_else(|| "unknown".to_owned());
    AuthorName::try_from(author).map_err(|error| usage(error.to_string()))
}

fn required(matches: &Matches, flag: &str) -> Result<String, ClientError> {
    matches.opt_str(flag).ok_or_else(|| usage(format!("--{flag} is missing")))
}

fn version_flag(matches: &Matches, flag: &str) -> Result<Option<ConfigVersion>, ClientError> {
    matches.opt_str(flag).map(|text| version(&format!("--{flag}"), &text)).transpose()
}

fn version(label: &str, text: &str) -> Result<ConfigVersion, ClientError> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(ConfigVersion(number)),
        _ => Err(usage(format!("{label} {text:?} is not a version: a whole number of at least 1"))),
    }
}

fn number_flag(
    matches: &Matches,
    flag: &str,
    range: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>, ClientError> {
    let Some(text) = matches.opt_str(flag) else { return Ok(None) };
    match text.parse() {
        Ok(number) if range.contains(&number) => Ok(Some(number)),
        _ => {
            let (low, high) = (range.start(), range.end());
            Err(usage(format!("--{flag} {text:?} is not a whole number from {low} to {high}")))
        }
    }
}

fn usage(message: impl Into<String>) -> ClientError {
    ClientError::new(ExitStatus::Usage, message)
}
