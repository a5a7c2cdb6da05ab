//! Errors of starting and running a node.

use std::fmt;

use strum::{Display, IntoStaticStr};

/// Why a node could not start or had to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeError {
    kind: NodeErrorKind,
    message: String,
}

/// Kinds of [`NodeError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NodeErrorKind {
    /// The command line is wrong.
    Usage,
    /// The settings file is missing or wrong.
    Settings,
    /// A listener could not be opened.
    Listener,
    /// The log could not be set up.
    Log,
    /// The metrics client could not be set up.
    Metrics,
    /// An actor could not be started.
    Actor,
}

impl NodeError {
    /// Builds an error of a kind with a message that names the input.
    #[must_use]
    pub fn new(kind: NodeErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// The kind of the error.
    #[must_use]
    pub const fn kind(&self) -> NodeErrorKind {
        self.kind
    }
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for NodeError {}
