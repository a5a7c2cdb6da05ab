//! Errors of peer streams.

use std::fmt;

use strum::{Display, IntoStaticStr};

/// A peer call that did not get its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    kind: WireErrorKind,
    message: String,
}

/// Kinds of [`WireError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WireErrorKind {
    /// A frame could not be encoded or decoded.
    Codec,
    /// No byte of the request left this node.
    NotSent,
    /// The request was sent and no whole reply came back.
    Lost,
}

impl WireError {
    /// Builds an error of a kind with a message that names the input.
    #[must_use]
    pub fn new(kind: WireErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// The kind of the error.
    #[must_use]
    pub const fn kind(&self) -> WireErrorKind {
        self.kind
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for WireError {}
