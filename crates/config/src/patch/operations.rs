//! JSON Patch (RFC 6902) with bounds on the work and the depth it can cause.

use json_patch::{Patch, PatchOperation};
use serde_json::Value;

use super::error::PatchError;

/// Most operations of one patch.
const MAX_OPERATIONS: usize = 10_000;

/// Most tokens of a path; the deepest member of a document has five.
const MAX_PATH_TOKENS: usize = 8;

/// Most bytes that the `copy` and `move` operations of a patch may carry.
///
/// Without it, a short patch that copies a value into itself over and over
/// would double the document with each operation.
const MAX_CARRIED_BYTES: usize = 4 * 1024 * 1024;

/// Deepest value that a `copy` or `move` may carry.
///
/// It keeps repeated moves from nesting a value deeper than the stack allows.
const MAX_CARRIED_DEPTH: usize = 16;

/// Reads a list of operations from JSON.
pub(super) fn parse(value: Value) -> Result<Patch, PatchError> {
    let Value::Array(items) = value else {
        return Err(PatchError::malformed("patch text: a JSON Patch is a list".to_owned()));
    };
    if items.len() > MAX_OPERATIONS {
        return Err(PatchError::oversized("list of operations", items.len(), MAX_OPERATIONS));
    }
    let mut operations = Vec::with_capacity(items.len());
    for (position, item) in items.into_iter().enumerate() {
        let operation = serde_json::from_value::<PatchOperation>(item)
            .map_err(|error| PatchError::malformed(format!("operation {position}: {error}")))?;
        operations.push(operation);
    }
    Ok(Patch(operations))
}

/// Applies the operations in order; after an error the value is to be dropped.
pub(super) fn apply(value: &mut Value, patch: &Patch) -> Result<(), PatchError> {
    let mut carried = 0;
    for (position, operation) in patch.0.iter().enumerate() {
        let path = operation.path();
        if path.tokens().count() > MAX_PATH_TOKENS {
            let message = format!("path has more than {MAX_PATH_TOKENS} tokens");
            return Err(PatchError::unapplied(position, path.as_str(), &message));
        }
        if let Some(source) = carried_value(value, operation) {
            if is_deeper(source, MAX_CARRIED_DEPTH) {
                let message = format!("value is nested deeper than {MAX_CARRIED_DEPTH} levels");
                return Err(PatchError::unapplied(position, path.as_str(), &message));
            }
            carried += source.to_string().len();
        }
        if carried > MAX_CARRIED_BYTES {
            let message = format!("more than {MAX_CARRIED_BYTES} bytes copied and moved");
            return Err(PatchError::unapplied(position, path.as_str(), &message));
        }
        json_patch::patch(value, std::slice::from_ref(operation)).map_err(|error| {
            PatchError::unapplied(position, path.as_str(), &error.kind.to_string())
        })?;
    }
    Ok(())
}

fn carried_value<'a>(value: &'a Value, operation: &PatchOperation) -> Option<&'a Value> {
    match operation {
        PatchOperation::Copy(copy) => value.pointer(copy.from.as_str()),
        PatchOperation::Move(moved) => value.pointer(moved.from.as_str()),
        _ => None,
    }
}

fn is_deeper(value: &Value, limit: usize) -> bool {
    let Some(limit) = limit.checked_sub(1) else { return true };
    match value {
        Value::Array(items) => items.iter().any(|item| is_deeper(item, limit)),
        Value::Object(members) => members.values().any(|member| is_deeper(member, limit)),
        _ => false,
    }
}
