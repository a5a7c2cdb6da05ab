//! Faults of a configuration document, each with its path.

use std::fmt;

/// Everything that is wrong with a document, one entry per fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    faults: Vec<DocumentFault>,
}

/// One fault with the JSON pointer of the place inside the document.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DocumentFault {
    path: String,
    message: String,
}

impl DocumentError {
    /// The faults as `path: message` lines.
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

/// Collects the faults found while a document is read or checked.
#[derive(Debug, Default)]
pub(crate) struct FaultList {
    faults: Vec<DocumentFault>,
}

impl FaultList {
    pub(crate) fn push(&mut self, path: &str, message: impl Into<String>) {
        let path = if path.is_empty() { "/" } else { path };
        self.faults.push(DocumentFault { path: path.to_owned(), message: message.into() });
    }

    /// Keeps the value of a result and collects its error.
    pub(crate) fn keep<T, E>(&mut self, path: &str, result: Result<T, E>) -> Option<T>
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

    /// Hands out the value when no fault was found.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, DocumentError> {
        if self.faults.is_empty() { Ok(value) } else { Err(DocumentError { faults: self.faults }) }
    }
}

/// JSON pointer (RFC 6901) of a member below `path`.
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
