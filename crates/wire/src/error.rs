//! Errors of peer streams.

use std::fmt;

use strum::{Display, IntoStaticStr};

/// Error of a peer call that got no valid reply.
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
    /// The request was not sent.
    NotSent,
    /// The request was sent and no complete reply arrived.
    Lost,
    /// The peer could not decode the request and has not handled it, for example because it
    /// runs a version that doesn't know such requests.
    Rejected,
}

impl WireError {
    /// Creates an error whose `message` names the peer or the input.
    #[must_use]
    pub fn new(kind: WireErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Returns the kind of the error.
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
