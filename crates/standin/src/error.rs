//! Error type for starting a stand-in.

use std::fmt;

/// The error returned when a stand-in has invalid settings or fails to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandinError {
    message: String,
}

impl StandinError {
    pub(crate) fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for StandinError {}
