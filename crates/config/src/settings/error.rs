//! Errors in a settings file, each with its line.

use std::fmt;

/// All errors found in a settings file, ordered by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    label: String,
    faults: Vec<SettingsFault>,
}

impl SettingsError {
    pub(super) fn new(label: &str, mut faults: Vec<SettingsFault>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self { label: label.to_owned(), faults }
    }

    /// Returns the errors, ordered by line.
    #[must_use]
    pub fn faults(&self) -> &[SettingsFault] {
        &self.faults
    }

    /// Returns the errors, each formatted as `file:line: key: message`.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.faults.iter().map(|fault| format!("{}:{fault}", self.label))
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, line) in self.lines().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            f.write_str(&line)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    line: usize,
    key: String,
    message: String,
}

impl SettingsFault {
    pub(super) fn new(line: usize, key: &str, message: impl Into<String>) -> Self {
        Self { line, key: key.to_owned(), message: message.into() }
    }

    /// Returns the line of the error, counted from 1.
    #[must_use]
    pub const fn line(&self) -> usize {
        self.line
    }

    /// Returns the setting as `section.key`, or an empty string if the error
    /// concerns the whole file.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return write!(f, "{}: {}", self.line, self.message);
        }
        write!(f, "{}: {}: {}", self.line, self.key, self.message)
    }
}
