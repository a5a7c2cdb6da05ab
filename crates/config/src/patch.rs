//! Patches: changes to a given version of the configuration document.

mod error;
mod operations;

use serde_json::Value;

pub use self::error::{PatchError, PatchErrorKind};
use crate::{
    document::{ConfigDocument, ConfigVersion},
    jsonc::parse_jsonc,
    record::{ConfigRecord, UtcTime},
    topology::ConfigTopology,
};

/// Maximum size of a stored configuration, in bytes: the platform's limit on an
/// object's value.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Maximum size of a patch text, in bytes.
const MAX_PATCH_BYTES: usize = 1024 * 1024;

/// Maximum length of a patch identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Maximum length of an author name, in bytes.
const MAX_AUTHOR_BYTES: usize = 128;

/// A patch as an operator submits it, before it is validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatchDocument {
    /// Version that the patch was built on.
    pub base: ConfigVersion,
    /// Identifier of the patch, unique for each change.
    pub id: String,
    /// Author of the patch.
    pub author: String,
    /// Time of submission.
    pub time: UtcTime,
    /// Format of `text`.
    pub format: PatchFormat,
    /// The patch, in JSON with comments.
    pub text: String,
}

/// Format of a patch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PatchFormat {
    /// A JSON merge patch (RFC 7396).
    Merge,
    /// A JSON Patch (RFC 6902).
    Operations,
}

/// A validated patch, ready to be applied with [`apply_patch`].
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigPatch {
    /// Version that the patch was built on.
    pub base: ConfigVersion,
    /// Identifier of the patch.
    pub id: PatchId,
    /// Author of the patch.
    pub author: AuthorName,
    /// Time of submission.
    pub time: UtcTime,
    /// The change to the document.
    pub body: PatchBody,
}

/// The change that a patch makes to the document.
#[derive(Clone, Debug, PartialEq)]
pub enum PatchBody {
    /// A JSON merge patch (RFC 7396), merged into the document.
    Merge(Value),
    /// A JSON Patch (RFC 6902), whose operations are applied in order.
    Operations(json_patch::Patch),
}

/// Identifier of a patch: 1 to 64 bytes of letters, digits, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PatchId(String);

impl PatchId {
    /// Returns the identifier as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for PatchId {
    type Error = PatchError;

    fn try_from(id: String) -> Result<Self, PatchError> {
        let bytes_ok =
            id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if bytes_ok && (1..=MAX_ID_BYTES).contains(&id.len()) {
            return Ok(Self(id));
        }
        Err(PatchError::malformed(format!(
            "patch id {id:?} is not 1 to {MAX_ID_BYTES} bytes of letters, digits, \"-\", \"_\" and \".\""
        )))
    }
}

impl From<PatchId> for String {
    fn from(id: PatchId) -> Self {
        id.0
    }
}

/// Author of a patch: 1 to 128 bytes without control characters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AuthorName(String);

impl AuthorName {
    /// Returns the author's name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for AuthorName {
    type Error = PatchError;

    fn try_from(author: String) -> Result<Self, PatchError> {
        let length_ok = (1..=MAX_AUTHOR_BYTES).contains(&author.len());
        if length_ok && !author.chars().any(char::is_control) {
            return Ok(Self(author));
        }
        Err(PatchError::malformed(format!(
            "author {author:?} is not 1 to {MAX_AUTHOR_BYTES} bytes without control characters"
        )))
    }
}

impl TryFrom<PatchDocument> for ConfigPatch {
    type Error = PatchError;

    fn try_from(document: PatchDocument) -> Result<Self, PatchError> {
        if document.text.len() > MAX_PATCH_BYTES {
            return Err(PatchError::oversized(
                "patch",
                document.text.len(),
                MAX_PATCH_BYTES,
                "bytes",
            ));
        }
        let value = parse_jsonc(&document.text)
            .map_err(|error| PatchError::malformed(format!("patch text: {error}")))?;
        let body = match document.format {
            PatchFormat::Merge => PatchBody::Merge(value),
            PatchFormat::Operations => PatchBody::Operations(operations::parse(value)?),
        };
        Ok(Self {
            base: document.base,
            id: PatchId::try_from(document.id)?,
            author: AuthorName::try_from(document.author)?,
            time: document.time,
            body,
        })
    }
}

/// Applies a patch to the configuration in force and validates the result.
///
/// # Errors
///
/// Fails with [`PatchErrorKind::Stale`] if the patch was built on a version other
/// than the one in force, and with another kind if the patch does not apply or
/// its result is invalid or too large. A patch is never applied in part.
pub fn apply_patch(
    current: &ConfigRecord,
    patch: &ConfigPatch,
) -> Result<ConfigRecord, PatchError> {
    if patch.base != current.version {
        return Err(PatchError::stale(patch.base, current.version));
    }
    let mut value = serde_json::to_value(&current.document).map_err(|error| {
        PatchError::malformed(format!("configuration in force cannot be serialized: {error}"))
    })?;
    match &patch.body {
        PatchBody::Merge(merge) => json_patch::merge(&mut value, merge),
        PatchBody::Operations(operations) => operations::apply(&mut value, operations)?,
    }
    let document = ConfigDocument::try_from(&value).map_err(PatchError::from)?;
    ConfigRecord::checked(current.version.next(), patch, document)
}

impl ConfigRecord {
    /// Creates the record of `document` after validating the document and the size
    /// of the record.
    fn checked(
        version: ConfigVersion,
        patch: &ConfigPatch,
        document: ConfigDocument,
    ) -> Result<Self, PatchError> {
        ConfigTopology::try_from((version, &document))?;
        let record = Self {
            version,
            patch_id: patch.id.as_str().to_owned(),
            author: patch.author.as_str().to_owned(),
            time: patch.time.to_string(),
            document,
        };
        let size = serde_json::to_vec(&record).map_or(usize::MAX, |bytes| bytes.len());
        if size > MAX_RECORD_BYTES {
            return Err(PatchError::oversized("configuration", size, MAX_RECORD_BYTES, "bytes"));
        }
        Ok(record)
    }

    /// Creates the first configuration version, for which there is no base to patch.
    ///
    /// # Errors
    ///
    /// Fails if the document is invalid or too large.
    pub fn initial(
        id: &PatchId,
        author: &AuthorName,
        time: UtcTime,
        document: ConfigDocument,
    ) -> Result<Self, PatchError> {
        let patch = ConfigPatch {
            base: ConfigVersion::default(),
            id: id.clone(),
            author: author.clone(),
            time,
            body: PatchBody::Merge(Value::Null),
        };
        Self::checked(ConfigVersion::default().next(), &patch, document)
    }
}
