//! Differences between two configuration documents.

use carobstep_config::child_path;
use serde::Serialize;
use serde_json::Value;

/// One member that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberChange {
    /// JSON pointer of the member.
    pub path: String,
    /// Value before the change; `None` if the member was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value after the change; `None` if the member was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl MemberChange {
    /// Formats the change as a line that starts with `+` (added), `-` (removed) or
    /// `~` (changed).
    #[must_use]
    pub fn to_line(&self) -> String {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => format!("~ {}: {before} -> {after}", self.path),
            (Some(before), None) => format!("- {}: {before}", self.path),
            (None, Some(after)) => format!("+ {}: {after}", self.path),
            (None, None) => format!("  {}", self.path),
        }
    }
}

/// Returns the members that differ: first removed and changed ones in the order
/// of `before`, then added ones in the order of `after`, at each level.
#[must_use]
pub fn differences(before: &Value, after: &Value) -> Vec<MemberChange> {
    let mut changes = Vec::new();
    compare("", before, after, &mut changes);
    changes
}

fn compare(path: &str, before: &Value, after: &Value, changes: &mut Vec<MemberChange>) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            changes.push(member_change(path, Some(before), Some(after)));
        }
        return;
    };
    for (name, value) in old {
        let path = child_path(path, name);
        match new.get(name) {
            Some(kept) => compare(&path, value, kept, changes),
            None => changes.push(member_change(&path, Some(value), None)),
        }
    }
    for (name, value) in new {
        if !old.contains_key(name) {
            changes.push(member_change(&child_path(path, name), None, Some(value)));
        }
    }
}

fn member_change(path: &str, before: Option<&Value>, after: Option<&Value>) -> MemberChange {
    MemberChange { path: path.to_owned(), before: before.cloned(), after: after.cloned() }
}
