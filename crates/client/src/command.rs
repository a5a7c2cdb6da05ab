//! The commands, their arguments and their validated forms.

use std::{path::PathBuf, time::Duration};

use carobstep_config::{AuthorName, ConfigVersion, PatchFormat, PatchId};
use strum::{Display, EnumIter, EnumString};

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
    /// See [`OperatorCommand::Prune`].
    Prune,
}

impl CommandName {
    /// Returns the operands and flags as shown in the help text.
    pub(crate) const fn synopsis(self) -> &'static str {
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
            Self::Prune => "--keep N",
        }
    }

    /// Returns a one-line description of the command.
    pub(crate) const fn summary(self) -> &'static str {
        match self {
            Self::Show => "show the configuration in force, or a past version",
            Self::Diff => "show what differs between two versions",
            Self::Submit => "submit a patch built on version N",
            Self::History => "list the newest versions",
            Self::Follow => "wait until every node has a version in force",
            Self::Nodes => "list the nodes and the version each has in force",
            Self::Zones => "list the availability zones",
            Self::Grants => "list which node holds which backend server",
            Self::Servers => "list the backend servers with their limits and holders",
            Self::Counters => "show refusal, retry and event counters",
            Self::Init => "store the first configuration",
            Self::Publish => "publish the manifest of an index",
            Self::Prune => "remove all but the newest N versions from the history",
        }
    }

    /// Returns the flags that the command accepts in addition to the global ones.
    pub(crate) const fn flags(self) -> &'static [&'static str] {
        match self {
            Self::Show => &["at"],
            Self::Submit => &["base", "merge", "json-patch", "id", "author"],
            Self::History => &["count"],
            Self::Follow => &["at", "timeout"],
            Self::Counters => &["node"],
            Self::Init => &["id", "author"],
            Self::Prune => &["keep"],
            Self::Diff
            | Self::Nodes
            | Self::Zones
            | Self::Grants
            | Self::Servers
            | Self::Publish => &[],
        }
    }

    /// Returns the number of operands that the command requires.
    pub(crate) const fn operands(self) -> usize {
        match self {
            Self::Diff | Self::Publish => 2,
            Self::Init => 1,
            _ => 0,
        }
    }
}

/// A validated command with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Shows a configuration.
    Show {
        /// The version, or `None` for the one in force.
        version: Option<ConfigVersion>,
    },
    /// Shows the differences between two versions.
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
        /// Format of the patch.
        format: PatchFormat,
        /// File that contains the patch; `-` is the standard input.
        path: PathBuf,
        /// Identifier of the patch, or `None` to generate one.
        id: Option<PatchId>,
        /// Author of the patch.
        author: AuthorName,
    },
    /// Lists the newest versions.
    History {
        /// Maximum number of versions to list.
        count: u64,
    },
    /// Waits until every node has a version in force.
    Follow {
        /// The version, or `None` for the one in force.
        version: Option<ConfigVersion>,
        /// Maximum time to wait.
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
        /// Name of one node, or `None` for the sums over all nodes.
        node: Option<String>,
    },
    /// Stores the first configuration.
    Init {
        /// File that contains the configuration document; `-` is the standard input.
        path: PathBuf,
        /// Identifier to record in place of a patch's, or `None` to generate one.
        id: Option<PatchId>,
        /// Author to record.
        author: AuthorName,
    },
    /// Publishes the manifest of an index.
    Publish {
        /// Name of the index.
        index: String,
        /// File that contains the manifest; `-` is the standard input.
        path: PathBuf,
    },
    /// Removes old versions from the history.
    Prune {
        /// Number of versions to keep.
        keep: u64,
    },
}
