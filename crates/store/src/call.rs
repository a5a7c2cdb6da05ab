//! Calls to the object API, their replies and their errors, as plain data.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of an object.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// The configuration in force, one object named `current`.
    Config,
    /// Past configurations, named by version number.
    History,
    /// Index manifests, named by index.
    Manifest,
    /// Node leases, named by node.
    Lease,
    /// Grants of backend servers, named by server.
    Grant,
    /// Claims of requests that run at most once.
    Claim,
    /// Node status for operators, named by node.
    Status,
}

/// Version of an object. Versions are drawn from one counter of the store, which
/// grows with each write of any object.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// Longest accepted object name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Returns whether `name` is a valid object name: 1 to 256 unreserved URL
/// characters, other than the path segments `.` and `..`.
#[must_use]
pub fn is_object_name(name: &str) -> bool {
    let length_ok = (1..=MAX_NAME_BYTES).contains(&name.len());
    let bytes_ok = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte));
    length_ok && bytes_ok && name != "." && name != ".."
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must exist at this version.
    At(ObjectVersion),
}

/// A call to the object API.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectCall {
    /// Reads one object.
    Get {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
    },
    /// Reads all objects of a kind.
    List {
        /// Kind of the objects.
        kind: ObjectKind,
    },
    /// Writes one object under a condition.
    Put {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Condition of the write.
        condition: WriteCondition,
        /// The new value.
        value: serde_json::Value,
    },
    /// Deletes one object at a version.
    Delete {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Version that the object must have.
        at: ObjectVersion,
    },
    /// Reads the list of VMs that are running or about to stop.
    ListVms,
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Name of the object.
    pub name: String,
    /// Version at the time of the read.
    pub version: ObjectVersion,
    /// Value at that version.
    pub value: serde_json::Value,
}

/// Reply of the object API.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectReply {
    /// The object of a `Get`.
    Found(StoredObject),
    /// A `Get` of an object that does not exist.
    Missing,
    /// The objects of a `List`, and the latest version of the store at that time.
    Listed {
        /// Latest version of the store.
        version: ObjectVersion,
        /// The objects.
        items: Vec<StoredObject>,
    },
    /// A `Put` took effect.
    Written(ObjectVersion),
    /// A `Delete` took effect.
    Deleted,
    /// The condition of a `Put` or `Delete` failed; nothing changed.
    ConditionFailed,
    /// The VMs of a `ListVms`.
    Vms(Vec<VmRecord>),
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Role of the VM.
    pub role: VmRole,
    /// Lifecycle state of the VM.
    pub state: VmState,
    /// Address of the VM in the form `ip:port`.
    pub address: String,
}

/// Role of a VM, which says what runs on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// An entry VM; its address is the peer address of its daemon.
    Entry,
    /// A backend server.
    Backend,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM runs and is not about to stop.
    Live,
    /// The VM still runs, but is about to stop.
    Leaving,
}

/// Error of a call that got no valid reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    kind: StoreErrorKind,
    message: String,
}

/// Kinds of [`StoreError`], which say whether a write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreErrorKind {
    /// The call was not sent, so that it can't have taken effect.
    NotSent,
    /// The call was sent and no valid reply arrived: a write may have taken effect,
    /// or may still take effect later.
    AnswerLost,
    /// The call was rejected, and a retry would be rejected as well. Calls
    /// with an invalid name or an oversized value are rejected before they are sent.
    Rejected,
    /// The platform no longer has every change since the version that a watch
    /// names: list the kind and watch again.
    VersionGone,
}

impl StoreError {
    /// Creates an error whose `message` names the call that failed.
    #[must_use]
    pub fn new(kind: StoreErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> StoreErrorKind {
        self.kind
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for StoreError {}
