//! Error type for parsing charts.

use std::fmt;

/// The error of a chart that is malformed, inconsistent or does not match its enums.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChartError {
    kind: ChartErrorKind,
}

/// Kinds of [`ChartError`], each with the offending name or the message of the JSON parser.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChartErrorKind {
    Malformed(String),
    UnknownState(String),
    UnknownEvent(String),
    UndeclaredTarget(String),
    Unreachable(String),
}

impl From<ChartErrorKind> for ChartError {
    fn from(kind: ChartErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChartErrorKind::Malformed(message) => write!(f, "chart is malformed: {message}"),
            ChartErrorKind::UnknownState(name) => {
                write!(f, "state {name:?} does not exist in the program")
            }
            ChartErrorKind::UnknownEvent(name) => {
                write!(f, "event {name:?} does not exist in the program")
            }
            ChartErrorKind::UndeclaredTarget(name) => {
                write!(f, "target state {name:?} is not declared in the chart")
            }
            ChartErrorKind::Unreachable(name) => {
                write!(f, "state {name:?} cannot be reached from the initial state")
            }
        }
    }
}

impl std::error::Error for ChartError {}
