//! An in-memory platform with scripted faults, and in-memory nodes.

use std::{
    collections::VecDeque,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{LazyLock, Mutex},
};

use carobstep_client::{NodeApi, NodeQueryError};
use carobstep_config::{
    ConfigDocument, ConfigPatch, ConfigRecord, ConfigVersion, PatchDocument, PatchFormat, PatchId,
    UtcTime, apply_patch,
};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectStore, ObjectVersion, StoreError, StoreErrorKind,
    StoredObject, VmRecord, WatchStream, WriteCondition,
};
use indexmap::IndexMap;
use serde_json::{Value, json};

pub const EXAMPLE: &str = include_str!("../../../../examples/config.jsonc");

/// Fault injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call succeeds.
    NoFault,
    /// The request is never sent.
    NotSent,
    /// The request is lost after it was sent; it has no effect.
    RequestLost,
    /// The call takes effect, but its response is lost.
    AnswerLost,
    /// The response is lost, and the call takes effect only after the next call.
    LateWrite,
    /// A read returns the configuration from before the last change.
    StaleRead,
    /// Another operator's patch is accepted just before the call.
    Raced,
}

#[derive(Debug, Default)]
struct PlatformState {
    version: u64,
    objects: IndexMap<(ObjectKind, String), StoredObject>,
    previous_config: Option<StoredObject>,
    late_writes: Vec<ObjectCall>,
    faults: VecDeque<CallFault>,
    vms: Vec<VmRecord>,
    concurrent_patches: u32,
    calls: usize,
}

/// In-memory implementation of the platform's object API.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: Mutex<PlatformState>,
}

impl FakePlatform {
    /// Creates a platform that holds the example configuration as version 1.
    pub fn with_example() -> Self {
        let platform = Self::default();
        platform.commit(&FIRST_RECORD);
        platform
    }

    /// Creates a platform that holds the example configuration as version 1, with an
    /// empty history.
    pub fn without_history() -> Self {
        let platform = Self::default();
        let value = serde_json::to_value(&*FIRST_RECORD).unwrap();
        platform.store(ObjectKind::Config, "current", value);
        platform
    }

    /// Sets the faults of the next calls; calls after that succeed.
    pub fn set_faults(&self, faults: &[CallFault]) {
        self.state.lock().unwrap().faults = faults.iter().copied().collect();
    }

    /// Adds a VM to the VM list.
    pub fn add_vm(&self, record: VmRecord) {
        self.state.lock().unwrap().vms.push(record);
    }

    /// Stores an object unconditionally.
    pub fn store(&self, kind: ObjectKind, name: &str, value: Value) {
        self.state.lock().unwrap().write(kind, name, value);
    }

    /// Removes an object.
    pub fn remove(&self, kind: ObjectKind, name: &str) {
        self.state.lock().unwrap().objects.shift_remove(&(kind, name.to_owned()));
    }

    /// Stores a configuration both as the one in force and in the history.
    pub fn commit(&self, record: &ConfigRecord) {
        let value = serde_json::to_value(record).unwrap();
        self.store(ObjectKind::Config, "current", value.clone());
        self.store(ObjectKind::History, &record.version.to_string(), value);
    }

    /// Returns the number of calls made so far.
    pub fn call_count(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Returns the configuration in force, after all delayed writes have taken
    /// effect.
    pub fn current_config(&self) -> ConfigRecord {
        let mut state = self.state.lock().unwrap();
        state.apply_late_writes();
        state.record(ObjectKind::Config, "current").unwrap()
    }

    /// Returns a configuration from the history.
    pub fn history_record(&self, version: u64) -> Option<ConfigRecord> {
        self.state.lock().unwrap().record(ObjectKind::History, &version.to_string())
    }

    /// Makes a call, subject to the next scripted fault.
    pub fn call_with_fault(&self, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        let late_writes = std::mem::take(&mut state.late_writes);
        let fault = state.faults.pop_front().unwrap_or(CallFault::NoFault);
        if fault == CallFault::Raced {
            state.apply_concurrent_patch();
        }
        let result = match fault {
            CallFault::NoFault | CallFault::Raced => Ok(state.execute(call)),
            CallFault::NotSent => Err(StoreError::new(StoreErrorKind::NotSent, "refused")),
            CallFault::RequestLost => Err(StoreError::new(StoreErrorKind::AnswerLost, "lost")),
            CallFault::AnswerLost => {
                state.execute(call);
                Err(StoreError::new(StoreErrorKind::AnswerLost, "lost"))
            }
            CallFault::LateWrite => {
                state.late_writes.push(call);
                Err(StoreError::new(StoreErrorKind::AnswerLost, "lost"))
            }
            CallFault::StaleRead => Ok(state.execute_with_stale_read(call)),
        };
        for call in late_writes {
            state.execute(call);
        }
        result
    }
}

impl PlatformState {
    fn record(&self, kind: ObjectKind, name: &str) -> Option<ConfigRecord> {
        let object = self.objects.get(&(kind, name.to_owned()))?;
        Some(serde_json::from_value(object.value.clone()).unwrap())
    }

    fn apply_late_writes(&mut self) {
        for call in std::mem::take(&mut self.late_writes) {
            self.execute(call);
        }
    }

    /// Archives the version in force and replaces it, as a concurrent submission of
    /// another operator does.
    fn apply_concurrent_patch(&mut self) {
        let Some(before) = self.record(ObjectKind::Config, "current") else { return };
        self.concurrent_patches += 1;
        let id = format!("race-{}", self.concurrent_patches);
        let text = format!(
            r#"{{"indexes": {{"race-{}": {{"deadline_ms": 9}}}}}}"#,
            self.concurrent_patches
        );
        let after = apply_patch(&before, &patch(before.version.0, &id, &text)).unwrap();
        let archived = before.version.to_string();
        let before = serde_json::to_value(&before).unwrap();
        self.objects.entry((ObjectKind::History, archived.clone())).or_insert(StoredObject {
            name: archived,
            version: ObjectVersion(0),
            value: before,
        });
        self.write(ObjectKind::Config, "current", serde_json::to_value(&after).unwrap());
    }

    fn write(&mut self, kind: ObjectKind, name: &str, value: Value) -> ObjectVersion {
        self.version += 1;
        let version = ObjectVersion(self.version);
        let object = StoredObject { name: name.to_owned(), version, value };
        let replaced = self.objects.insert((kind, name.to_owned()), object);
        if kind == ObjectKind::Config {
            self.previous_config = replaced;
        }
        version
    }

    fn execute(&mut self, call: ObjectCall) -> ObjectReply {
        match call {
            ObjectCall::Get { kind, name } => match self.objects.get(&(kind, name)) {
                Some(object) => ObjectReply::Found(object.clone()),
                None => ObjectReply::Missing,
            },
            ObjectCall::List { kind } => {
                let items = self.objects.iter().filter(|((other, _), _)| *other == kind);
                ObjectReply::Listed {
                    version: ObjectVersion(self.version),
                    items: items.map(|(_, object)| object.clone()).collect(),
                }
            }
            ObjectCall::Put { kind, name, condition, value } => {
                let found = self.objects.get(&(kind, name.clone())).map(|object| object.version);
                let holds = match condition {
                    WriteCondition::Absent => found.is_none(),
                    WriteCondition::At(version) => found == Some(version),
                };
                if !holds {
                    return ObjectReply::ConditionFailed;
                }
                ObjectReply::Written(self.write(kind, &name, value))
            }
            ObjectCall::Delete { kind, name, at } => {
                let key = (kind, name);
                if self.objects.get(&key).is_none_or(|object| object.version != at) {
                    return ObjectReply::ConditionFailed;
                }
                self.objects.shift_remove(&key);
                ObjectReply::Deleted
            }
            ObjectCall::ListVms => ObjectReply::Vms(self.vms.clone()),
        }
    }

    fn execute_with_stale_read(&mut self, call: ObjectCall) -> ObjectReply {
        match (&call, &self.previous_config) {
            (ObjectCall::Get { kind: ObjectKind::Config, .. }, Some(stale)) => {
                ObjectReply::Found(stale.clone())
            }
            _ => self.execute(call),
        }
    }
}

impl ObjectStore for FakePlatform {
    async fn call(&self, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        self.call_with_fault(call)
    }

    async fn watch(&self, _: ObjectKind, _: ObjectVersion) -> Result<WatchStream, StoreError> {
        Err(StoreError::new(StoreErrorKind::Rejected, "no watch"))
    }
}

/// Nodes identified by their port. A node without a configured response fails
/// every query.
#[derive(Debug, Default)]
pub struct FakeNodes {
    responses: Mutex<IndexMap<u16, Value>>,
    query_counts: Mutex<IndexMap<u16, usize>>,
}

impl FakeNodes {
    /// Sets the response of the node at a port.
    pub fn set_response(&self, port: u16, value: Value) {
        self.responses.lock().unwrap().insert(port, value);
    }

    /// Returns how often the node at a port was queried.
    pub fn query_count(&self, port: u16) -> usize {
        self.query_counts.lock().unwrap().get(&port).copied().unwrap_or(0)
    }
}

impl NodeApi for FakeNodes {
    async fn get(&self, address: SocketAddr, _: &'static str) -> Result<Value, NodeQueryError> {
        *self.query_counts.lock().unwrap().entry(address.port()).or_default() += 1;
        let response = self.responses.lock().unwrap().get(&address.port()).cloned();
        response.ok_or_else(|| NodeQueryError("silent".to_owned()))
    }
}

/// Returns the status object of a node whose listener for operators uses `port`.
pub fn status(node: &str, zone: &str, port: u16) -> Value {
    json!({"node": node, "zone": zone, "operators": format!("127.0.0.1:{port}")})
}

static FIRST_RECORD: LazyLock<ConfigRecord> = LazyLock::new(|| {
    let id = PatchId::try_from("first".to_owned()).unwrap();
    let author = "ops".to_owned().try_into().unwrap();
    ConfigRecord::initial(&id, &author, UtcTime(0), ConfigDocument::parse(EXAMPLE).unwrap())
        .unwrap()
});

/// Creates a JSON merge patch.
pub fn patch(base: u64, id: &str, text: &str) -> ConfigPatch {
    ConfigPatch::try_from(PatchDocument {
        base: ConfigVersion(base),
        id: id.to_owned(),
        author: "ops".to_owned(),
        time: UtcTime(0),
        format: PatchFormat::Merge,
        text: text.to_owned(),
    })
    .unwrap()
}

/// A temporary file that is deleted on drop.
pub struct ScratchFile(PathBuf);

impl ScratchFile {
    /// Creates a file in Cargo's directory for temporary test files.
    pub fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    /// Returns the path as a command-line argument.
    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}
