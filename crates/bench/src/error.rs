//! The error type of this crate.

use std::fmt;

use strum::Display;

/// A failure of an experiment or of the processes it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BenchError {
    kind: BenchErrorKind,
    message: String,
}

/// Kinds of [`BenchError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum BenchErrorKind {
    /// The command line is malformed.
    Usage,
    /// A process failed to start, exited early or could not be signalled.
    Process,
    /// A process did not reach the expected state in time.
    Timeout,
    /// An HTTP call failed without a complete response.
    Http,
    /// An HTTP call received an unexpected response.
    #[strum(serialize = "answer")]
    Response,
    /// A result could not be written.
    Output,
    /// The run completed, but a check of its outcome failed.
    Check,
}

impl BenchError {
    /// Creates an error; `message` says what failed.
    #[must_use]
    pub fn new(kind: BenchErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> BenchErrorKind {
        self.kind
    }
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for BenchError {}
