//! Errors of patches.

use std::fmt;

use strum::{Display, IntoStaticStr};

use crate::{document::ConfigVersion, fault::DocumentError};

/// The reasons why a patch was rejected. A rejected patch changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatchError {
    kind: PatchErrorKind,
    lines: Vec<String>,
}

/// Kind of a [`PatchError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PatchErrorKind {
    /// The patch was built on a version other than the one in force.
    Stale {
        /// Version that the patch was built on.
        base: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The patch, its identifier or its author is malformed.
    Malformed,
    /// An operation cannot be applied to the configuration in force.
    Unapplied,
    /// The patched document is invalid.
    Invalid,
    /// The patch or the patched configuration is too large.
    Oversized,
}

impl PatchError {
    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> PatchErrorKind {
        self.kind
    }

    /// Returns one message per error. Messages about the document start with the
    /// JSON pointer of the affected member.
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
        let line = format!("{path}: operation at index {operation}: {message}");
        Self { kind: PatchErrorKind::Unapplied, lines: vec![line] }
    }

    pub(super) fn oversized(subject: &str, size: usize, limit: usize, unit: &str) -> Self {
        let line = format!("{subject} of {size} {unit} is larger than {limit}");
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
