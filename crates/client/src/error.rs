//! Errors of the client and the exit code of each kind.

use std::{fmt, process::ExitCode};

use carobstep_store::{StoreError, StoreErrorKind};
use serde_json::{Value, json};
use strum::{Display, EnumIter};

/// Exit status of the program. The codes are stable, as scripts depend on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason without a code of its own.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A concurrent change was applied first; this command changed nothing.
    Conflict = 3,
    /// The version, node or object does not exist.
    NotFound = 4,
    /// The command did not complete within its timeout.
    Timeout = 5,
    /// The platform is unavailable; nothing changed.
    Unreachable = 6,
    /// The patch, document or manifest is invalid; nothing changed.
    Refused = 7,
    /// A write was sent, but it is unknown whether it took effect.
    Unknown = 8,
}

impl ExitStatus {
    /// Returns the description shown in the help text.
    #[must_use]
    pub const fn summary(self) -> &'static str {
        match self {
            Self::Success => "done",
            Self::Failure => "failed in a way without a code of its own",
            Self::Usage => "the command line is wrong",
            Self::Conflict => "another change came first; nothing changed",
            Self::NotFound => "the version, node or object does not exist",
            Self::Timeout => "the time given was not enough",
            Self::Unreachable => "the platform could not be used; nothing changed",
            Self::Refused => "the patch or document is not valid; nothing changed",
            Self::Unknown => "a write was sent and its effect is not known",
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The error of a failed command, with the exit status it leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientError {
    status: ExitStatus,
    message: String,
    details: Value,
}

impl ClientError {
    /// Creates an error that makes the program exit with `status`.
    #[must_use]
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self { status, message: message.into(), details: Value::Null }
    }

    /// Sets the `details` member of the error's JSON form.
    #[must_use]
    pub fn with_details(mut self, details: Value) -> Self {
        self.details = details;
        self
    }

    /// Returns the JSON form of the error.
    #[must_use]
    pub fn to_value(&self) -> Value {
        json!({
            "error": self.status.to_string(),
            "exit_code": self.status as u8,
            "message": self.message,
            "details": self.details,
        })
    }

    /// Returns the exit status of the error.
    #[must_use]
    pub const fn status(&self) -> ExitStatus {
        self.status
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ClientError {}

impl From<StoreError> for ClientError {
    /// Converts the error of a read, of an idempotent removal or of a rejected write.
    /// Other writes need [`ExitStatus::Unknown`] when their response is lost.
    fn from(error: StoreError) -> Self {
        let status = match error.kind() {
            StoreErrorKind::NotSent | StoreErrorKind::AnswerLost => ExitStatus::Unreachable,
            StoreErrorKind::Rejected | StoreErrorKind::VersionGone => ExitStatus::Failure,
        };
        Self::new(status, error.to_string())
    }
}
