//! Validation errors of a configuration document, each with its JSON pointer.

use std::fmt;

/// All errors found in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    faults: Vec<DocumentFault>,
}

/// One error in a document, with the JSON pointer of the affected member.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DocumentFault {
    path: String,
    message: String,
}

impl DocumentError {
    /// Returns the errors, each formatted as `path: message`.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.faults.iter().map(|fault| format!("{}: {}", fault.path, fault.message))
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, line) in self.lines().enumerate() {
            if position > 0 {
                f.write_str("; ")?;
            }
            f.write_str(&line)?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}

/// Collects the errors found while a document is parsed and validated.
#[derive(Debug, Default)]
pub(crate) struct FaultList {
    faults: Vec<DocumentFault>,
}

impl FaultList {
    pub(crate) fn push(&mut self, path: &str, message: impl Into<String>) {
        let path = if path.is_empty() { "/" } else { path };
        self.faults.push(DocumentFault { path: path.to_owned(), message: message.into() });
    }

    /// Returns the value of a result, or records its error and returns `None`.
    pub(crate) fn ok_or_record<T, E>(&mut self, path: &str, result: Result<T, E>) -> Option<T>
    where
        E: fmt::Display,
    {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.push(path, error.to_string());
                None
            }
        }
    }

    /// Returns `value` if no error was recorded.
    ///
    /// # Errors
    ///
    /// Returns all recorded errors otherwise.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, DocumentError> {
        if self.faults.is_empty() { Ok(value) } else { Err(DocumentError { faults: self.faults }) }
    }
}

/// Returns the JSON pointer (RFC 6901) of `member` in the object at `path`.
///
/// ```
/// use carobstep_config::child_path;
///
/// assert_eq!(child_path("/services", "a/b"), "/services/a~1b");
/// ```
#[must_use]
pub fn child_path(path: &str, member: &str) -> String {
    let escaped = member.replace('~', "~0").replace('/', "~1");
    format!("{path}/{escaped}")
}
