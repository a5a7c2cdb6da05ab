//! JSON Patch (RFC 6902) with limits on the size and nesting depth that a patch
//! can produce.

use json_patch::{Patch, PatchOperation};
use serde_json::Value;

use super::error::PatchError;

/// Maximum number of operations in one patch.
const MAX_OPERATIONS: usize = 10_000;

/// Maximum number of tokens in a path; the deepest member of a document has five.
const MAX_PATH_TOKENS: usize = 8;

/// Maximum total size of the values copied and moved by one patch, in bytes.
///
/// Without this limit, a short patch that repeatedly copies a value into itself
/// would double the size of the document with each operation.
const MAX_COPIED_BYTES: usize = 4 * 1024 * 1024;

/// Maximum nesting depth of a value that is copied or moved.
///
/// Without this limit, repeated moves could nest a value so deeply that
/// recursive code overflows the stack.
const MAX_COPIED_DEPTH: usize = 16;

/// Parses an array of operations.
pub(super) fn parse(value: Value) -> Result<Patch, PatchError> {
    let Value::Array(items) = value else {
        return Err(PatchError::malformed(
            "patch text: a JSON Patch must be an array of operations".to_owned(),
        ));
    };
    if items.len() > MAX_OPERATIONS {
        return Err(PatchError::oversized("patch", items.len(), MAX_OPERATIONS, "operations"));
    }
    let mut operations = Vec::with_capacity(items.len());
    for (position, item) in items.into_iter().enumerate() {
        let operation = serde_json::from_value::<PatchOperation>(item).map_err(|error| {
            PatchError::malformed(format!("operation at index {position}: {error}"))
        })?;
        operations.push(operation);
    }
    Ok(Patch(operations))
}

/// Applies the operations in order.
///
/// After an error the value is left partly patched and must be discarded.
pub(super) fn apply(value: &mut Value, patch: &Patch) -> Result<(), PatchError> {
    let mut copied_bytes = 0;
    for (position, operation) in patch.0.iter().enumerate() {
        let path = operation.path();
        if path.tokens().count() > MAX_PATH_TOKENS {
            let message = format!("path has more than {MAX_PATH_TOKENS} tokens");
            return Err(PatchError::unapplied(position, path.as_str(), &message));
        }
        if let Some(source) = copied_value(value, operation) {
            if is_deeper(source, MAX_COPIED_DEPTH) {
                let message = format!("value is nested deeper than {MAX_COPIED_DEPTH} levels");
                return Err(PatchError::unapplied(position, path.as_str(), &message));
            }
            copied_bytes += source.to_string().len();
        }
        if copied_bytes > MAX_COPIED_BYTES {
            let message = format!("more than {MAX_COPIED_BYTES} bytes copied and moved");
            return Err(PatchError::unapplied(position, path.as_str(), &message));
        }
        json_patch::patch(value, std::slice::from_ref(operation)).map_err(|error| {
            PatchError::unapplied(position, path.as_str(), &error.kind.to_string())
        })?;
    }
    Ok(())
}

/// Returns the value that a `copy` or `move` operation duplicates or relocates.
fn copied_value<'a>(value: &'a Value, operation: &PatchOperation) -> Option<&'a Value> {
    match operation {
        PatchOperation::Copy(copy) => value.pointer(copy.from.as_str()),
        PatchOperation::Move(moved) => value.pointer(moved.from.as_str()),
        _ => None,
    }
}

/// Whether `value` is nested deeper than `limit` levels.
fn is_deeper(value: &Value, limit: usize) -> bool {
    let Some(limit) = limit.checked_sub(1) else { return true };
    match value {
        Value::Array(items) => items.iter().any(|item| is_deeper(item, limit)),
        Value::Object(members) => members.values().any(|member| is_deeper(member, limit)),
        _ => false,
    }
}
