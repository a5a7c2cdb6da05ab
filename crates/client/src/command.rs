//! The commands, what each takes, and their checked forms.

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
    /// Operands and flags, as the help text shows them.
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

    /// What the command does, in a line.
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
            Self::Servers => "list the backend servers and what is lent of them",
            Self::Counters => "show refusal, retry and event counters",
            Self::Init => "store the first configuration",
            Self::Publish => "publish the manifest of an index",
            Self::Prune => "remove all but the newest N versions from the history",
        }
    }

    /// Flags that the command takes besides the global ones.
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

    /// Operands that the command takes.
    pub(crate) const fn operands(self) -> usize {
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
        /// Identifier of the patch, or `None` for a random one.
        id: Option<PatchId>,
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
        /// Identifier to record, or `None` for a random one.
        id: Option<PatchId>,
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
    /// Removes old versions from the history.
    Prune {
        /// Versions to keep.
        keep: u64,
    },
}
