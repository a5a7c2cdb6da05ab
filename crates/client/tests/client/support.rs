//! An in-memory platform that fails on demand, and nodes that answer it.

use std::{
    collections::VecDeque,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{LazyLock, Mutex},
};

use carobstep_client::{NodeApi, NodeSilence};
use carobstep_config::{
    ConfigDocument, ConfigPatch, ConfigRecord, ConfigVersion, PatchDocument, PatchFormat, PatchId,
    UtcTime, apply,
};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectStore, ObjectVersion, StoreError, StoreErrorKind,
    StoredObject, VmRecord, WatchStream, WriteCondition,
};
use indexmap::IndexMap;
use serde_json::{Value, json};

pub const EXAMPLE: &str = include_str!("../../../../examples/config.jsonc");

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// It is answered.
    Answered,
    /// It never leaves.
    NotSent,
    /// It is lost on its way.
    RequestLost,
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// Its answer is lost, and a write takes effect only after the next call.
    Late,
    /// A read shows the configuration before the last change.
    Stale,
    /// Another operator's patch is accepted just before it.
    Raced,
}

#[derive(Debug, Default)]
struct PlatformState {
    version: u64,
    objects: IndexMap<(ObjectKind, String), StoredObject>,
    stale: Option<StoredObject>,
    late: Vec<ObjectCall>,
    faults: VecDeque<CallFault>,
    vms: Vec<VmRecord>,
    races: u32,
    calls: usize,
}

/// The object API in memory.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: Mutex<PlatformState>,
}

impl FakePlatform {
    /// A platform that holds the example as version 1.
    pub fn with_example() -> Self {
        let platform = Self::default();
        platform.commit(&FIRST_RECORD);
        platform
    }

    /// A platform that holds the example as version 1, but no history yet.
    pub fn without_history() -> Self {
        let platform = Self::default();
        let value = serde_json::to_value(&*FIRST_RECORD).unwrap();
        platform.store(ObjectKind::Config, "current", value);
        platform
    }

    /// Sets what happens to the next calls.
    pub fn fail(&self, faults: &[CallFault]) {
        self.state.lock().unwrap().faults = faults.iter().copied().collect();
    }

    /// Lists a VM.
    pub fn add_vm(&self, record: VmRecord) {
        self.state.lock().unwrap().vms.push(record);
    }

    /// Stores an object as it is.
    pub fn store(&self, kind: ObjectKind, name: &str, value: Value) {
        self.state.lock().unwrap().write(kind, name, value);
    }

    /// Removes an object.
    pub fn remove(&self, kind: ObjectKind, name: &str) {
        self.state.lock().unwrap().objects.shift_remove(&(kind, name.to_owned()));
    }

    /// Stores a configuration as in force and in the history.
    pub fn commit(&self, record: &ConfigRecord) {
        let value = serde_json::to_value(record).unwrap();
        self.store(ObjectKind::Config, "current", value.clone());
        self.store(ObjectKind::History, &record.version.to_string(), value);
    }

    /// Calls made so far.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// The configuration in force, after every late write has landed.
    pub fn current(&self) -> ConfigRecord {
        let mut state = self.state.lock().unwrap();
        state.land_late();
        state.record(ObjectKind::Config, "current").unwrap()
    }

    /// A configuration of the history.
    pub fn past(&self, version: u64) -> Option<ConfigRecord> {
        self.state.lock().unwrap().record(ObjectKind::History, &version.to_string())
    }

    /// Makes a call, as the scripted faults have it.
    pub fn make(&self, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        let late = std::mem::take(&mut state.late);
        let fault = state.faults.pop_front().unwrap_or(CallFault::Answered);
        if fault == CallFault::Raced {
            state.race();
        }
        let result = match fault {
            CallFault::Answered | CallFault::Raced => Ok(state.perform(call)),
            CallFault::NotSent => Err(StoreError::new(StoreErrorKind::NotSent, "refused")),
            CallFault::RequestLost => Err(StoreError::new(StoreErrorKind::AnswerLost, "lost")),
            CallFault::AnswerLost => {
                state.perform(call);
                Err(StoreError::new(StoreErrorKind::AnswerLost, "lost"))
            }
            CallFault::Late => {
                state.late.push(call);
                Err(StoreError::new(StoreErrorKind::AnswerLost, "lost"))
            }
            CallFault::Stale => Ok(state.perform_stale(call)),
        };
        for call in late {
            state.perform(call);
        }
        result
    }
}

impl PlatformState {
    fn record(&self, kind: ObjectKind, name: &str) -> Option<ConfigRecord> {
        let object = self.objects.get(&(kind, name.to_owned()))?;
        Some(serde_json::from_value(object.value.clone()).unwrap())
    }

    fn land_late(&mut self) {
        for call in std::mem::take(&mut self.late) {
            self.perform(call);
        }
    }

    /// Another operator archives the version in force and replaces it.
    fn race(&mut self) {
        let Some(before) = self.record(ObjectKind::Config, "current") else { return };
        self.races += 1;
        let id = format!("race-{}", self.races);
        let text = format!(r#"{{"indexes": {{"race-{}": {{"deadline_ms": 9}}}}}}"#, self.races);
        let after = apply(&before, &patch(before.version.0, &id, &text)).unwrap();
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
            self.stale = replaced;
        }
        version
    }

    fn perform(&mut self, call: ObjectCall) -> ObjectReply {
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

    fn perform_stale(&mut self, call: ObjectCall) -> ObjectReply {
        match (&call, &self.stale) {
            (ObjectCall::Get { kind: ObjectKind::Config, .. }, Some(stale)) => {
                ObjectReply::Found(stale.clone())
            }
            _ => self.perform(call),
        }
    }
}

impl ObjectStore for FakePlatform {
    async fn call(&self, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        self.make(call)
    }

    async fn watch(&self, _: ObjectKind, _: ObjectVersion) -> Result<WatchStream, StoreError> {
        Err(StoreError::new(StoreErrorKind::Rejected, "no watch"))
    }
}

/// Nodes that answer with a value of their port, and are silent without one.
#[derive(Debug, Default)]
pub struct FakeNodes {
    answers: Mutex<IndexMap<u16, Value>>,
    asked: Mutex<IndexMap<u16, usize>>,
}

impl FakeNodes {
    /// Sets the answer of the node at a port.
    pub fn answer(&self, port: u16, value: Value) {
        self.answers.lock().unwrap().insert(port, value);
    }

    /// Times that the node at a port was asked.
    pub fn asked(&self, port: u16) -> usize {
        self.asked.lock().unwrap().get(&port).copied().unwrap_or(0)
    }
}

impl NodeApi for FakeNodes {
    async fn get(&self, address: SocketAddr, _: &'static str) -> Result<Value, NodeSilence> {
        *self.asked.lock().unwrap().entry(address.port()).or_default() += 1;
        let answer = self.answers.lock().unwrap().get(&address.port()).cloned();
        answer.ok_or_else(|| NodeSilence("silent".to_owned()))
    }
}

/// The status object of a node whose operators listener has a port.
pub fn status(node: &str, zone: &str, port: u16) -> Value {
    json!({"node": node, "zone": zone, "operators": format!("127.0.0.1:{port}")})
}

static FIRST_RECORD: LazyLock<ConfigRecord> = LazyLock::new(|| {
    let id = PatchId::try_from("first".to_owned()).unwrap();
    let author = "ops".to_owned().try_into().unwrap();
    ConfigRecord::first(&id, &author, UtcTime(0), ConfigDocument::parse(EXAMPLE).unwrap()).unwrap()
});

/// A merge patch.
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

/// A scratch file that is deleted at the end of its test.
pub struct ScratchFile(PathBuf);

impl ScratchFile {
    /// Writes a file of the build's directory for temporary files.
    pub fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    /// Its path as an argument.
    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}
