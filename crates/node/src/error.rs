//! Errors that prevent a node from starting or end it.

use std::fmt;

use strum::{Display, IntoStaticStr};

/// Error that prevents a node from starting or ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeError {
    kind: NodeErrorKind,
    message: String,
}

/// Kinds of [`NodeError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NodeErrorKind {
    /// The command line is invalid.
    Usage,
    /// The settings file is missing or invalid.
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
    /// Builds an error; the message should name the input that caused it.
    #[must_use]
    pub fn new(kind: NodeErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Returns the kind of the error.
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
