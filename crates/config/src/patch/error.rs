//! Why a patch was refused.

use std::fmt;

use strum::{Display, IntoStaticStr};

use crate::{document::ConfigVersion, fault::DocumentError};

/// A patch that was refused whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatchError {
    kind: PatchErrorKind,
    lines: Vec<String>,
}

/// Kinds of [`PatchError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PatchErrorKind {
    /// The patch was built on another version than the one in force.
    Stale {
        /// Version that the patch was built on.
        base: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The patch, its identifier or its author cannot be read.
    Malformed,
    /// An operation does not fit the configuration in force.
    Unapplied,
    /// The result is not a valid document.
    Invalid,
    /// The patch or its result is too large.
    Oversized,
}

impl PatchError {
    /// The kind of the error.
    #[must_use]
    pub const fn kind(&self) -> PatchErrorKind {
        self.kind
    }

    /// The faults, one a line; faults of the document start with their path.
    #[must_use]
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    pub(super) fn stale(base: ConfigVersion, current: ConfigVersion) -> Self {
        let line = format!("patch was built on version {base}, but version {current} is in force");
        Self { kind: PatchErrorKind::Stale { base, current }, lines: vec![line] }
    }

    pub(super) fn malformed(message: String) -> Self {
        Self { kind: PatchErrorKind::Malformed, lines: vec![message] }
    }

    pub(super) fn unapplied(operation: usize, path: &str, message: &str) -> Self {
        let line = format!("{path}: operation {operation}: {message}");
        Self { kind: PatchErrorKind::Unapplied, lines: vec![line] }
    }

    pub(super) fn oversized(subject: &str, size: usize, limit: usize) -> Self {
        let line = format!("{subject} of {size} bytes is larger than {limit}");
        Self { kind: PatchErrorKind::Oversized, lines: vec![line] }
    }
}

impl From<DocumentError> for PatchError {
    fn from(error: DocumentError) -> Self {
        Self { kind: PatchErrorKind::Invalid, lines: error.lines().collect() }
    }
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("; "))
    }
}

impl std::error::Error for PatchError {}
