//! Reads a configuration document from JSON and reports every unknown key,
//! missing key and wrong type with its path.

use std::fmt;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{ConfigDocument, HedgeDocument, IndexDocument, ServerDocument, ServiceDocument};
use crate::{
    fault::{DocumentError, FaultList, child_path},
    jsonc::{JsoncError, parse_jsonc},
    shorten::shorten,
};

const STRING: &str = "a string";
const NUMBER: &str = "a number";
const U16: &str = "a whole number from 0 to 65535";
const U64: &str = "a whole number of at least 0";
const REPEAT: &str = "\"idempotent\" or \"at_most_once\"";
const STATE: &str = "\"active\" or \"draining\"";

/// A text that is not valid JSON with comments, or not a configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentTextError {
    kind: DocumentTextErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum DocumentTextErrorKind {
    Syntax(JsoncError),
    Structure(DocumentError),
}

impl From<DocumentTextErrorKind> for DocumentTextError {
    fn from(kind: DocumentTextErrorKind) -> Self {
        Self { kind }
    }
}

impl fmt::Display for DocumentTextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            DocumentTextErrorKind::Syntax(error) => error.fmt(f),
            DocumentTextErrorKind::Structure(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for DocumentTextError {}

impl ConfigDocument {
    /// Parses a document written in JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails with the line of a syntax error, or with the path of each unknown
    /// key, missing key and value of the wrong type.
    pub fn parse(text: &str) -> Result<Self, DocumentTextError> {
        let value = parse_jsonc(text).map_err(DocumentTextErrorKind::Syntax)?;
        Self::try_from(&value).map_err(|error| DocumentTextErrorKind::Structure(error).into())
    }
}

impl TryFrom<&Value> for ConfigDocument {
    type Error = DocumentError;

    fn try_from(value: &Value) -> Result<Self, DocumentError> {
        let mut faults = FaultList::default();
        let mut root = ObjectReader::new(String::new(), value, &mut faults);
        let services = root.entries("services", &mut faults, read_service);
        let indexes = root.entries("indexes", &mut faults, read_index);
        root.finish(&mut faults);
        faults.finish(Self { services, indexes })
    }
}

fn read_service(path: String, value: &Value, faults: &mut FaultList) -> Option<ServiceDocument> {
    let mut reader = ObjectReader::new(path, value, faults);
    let repeat = reader.optional("repeat", REPEAT, faults).unwrap_or_default();
    let deadline_ms = reader.required("deadline_ms", U64, faults);
    let hedge = reader.nested("hedge", faults).map(|nested| read_hedge(nested, faults));
    if reader.object.is_some_and(|object| !object.contains_key("servers")) {
        faults.push(&child_path(&reader.path, "servers"), "is missing");
    }
    let servers = reader.entries("servers", faults, read_server);
    reader.finish(faults);
    Some(ServiceDocument {
        repeat,
        deadline_ms: deadline_ms?,
        hedge: hedge.unwrap_or_default(),
        servers,
    })
}

fn read_hedge(mut reader: ObjectReader<'_>, faults: &mut FaultList) -> HedgeDocument {
    let default = HedgeDocument::default();
    let hedge = HedgeDocument {
        hedge_percent: reader
            .optional("hedge_percent", NUMBER, faults)
            .unwrap_or(default.hedge_percent),
        retry_percent: reader
            .optional("retry_percent", NUMBER, faults)
            .unwrap_or(default.retry_percent),
    };
    reader.finish(faults);
    hedge
}

fn read_server(path: String, value: &Value, faults: &mut FaultList) -> Option<ServerDocument> {
    let mut reader = ObjectReader::new(path, value, faults);
    let zone = reader.required("zone", STRING, faults);
    let address = reader.required("address", STRING, faults);
    let slots = reader.required("slots", U16, faults);
    let connections = reader.required("connections", U16, faults);
    let state = reader.optional("state", STATE, faults).unwrap_or_default();
    reader.finish(faults);
    Some(ServerDocument {
        zone: zone?,
        address: address?,
        slots: slots?,
        connections: connections?,
        state,
    })
}

fn read_index(path: String, value: &Value, faults: &mut FaultList) -> Option<IndexDocument> {
    let mut reader = ObjectReader::new(path, value, faults);
    let deadline_ms = reader.required("deadline_ms", U64, faults);
    reader.finish(faults);
    Some(IndexDocument { deadline_ms: deadline_ms? })
}

/// Reads the members of one JSON object by key and remembers which keys are known.
struct ObjectReader<'a> {
    path: String,
    object: Option<&'a Map<String, Value>>,
    known_keys: Vec<&'static str>,
}

impl<'a> ObjectReader<'a> {
    fn new(path: String, value: &'a Value, faults: &mut FaultList) -> Self {
        let object = value.as_object();
        if object.is_none() {
            faults.push(&path, format!("{} is not an object", excerpt(value)));
        }
        Self { path, object, known_keys: Vec::new() }
    }

    /// Marks `key` as known and returns its value, if present.
    fn lookup(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known_keys.push(key);
        self.object?.get(key)
    }

    /// Reads a member that may be absent; reports a value of the wrong type.
    fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        expected: &str,
        faults: &mut FaultList,
    ) -> Option<T> {
        let value = self.lookup(key)?;
        if let Ok(parsed) = T::deserialize(value) {
            return Some(parsed);
        }
        let message = format!("{} is not {expected}", excerpt(value));
        faults.push(&child_path(&self.path, key), message);
        None
    }

    /// Reads a member and reports it if it is absent or of the wrong type.
    fn required<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        expected: &str,
        faults: &mut FaultList,
    ) -> Option<T> {
        if self.object.is_some_and(|object| !object.contains_key(key)) {
            faults.push(&child_path(&self.path, key), "is missing");
        }
        self.optional(key, expected, faults)
    }

    /// Returns a reader for a nested object that may be absent.
    fn nested(&mut self, key: &'static str, faults: &mut FaultList) -> Option<Self> {
        let value = self.lookup(key)?;
        Some(Self::new(child_path(&self.path, key), value, faults))
    }

    /// Reads an object that maps names to entries; an absent object is read as
    /// empty.
    fn entries<T>(
        &mut self,
        key: &'static str,
        faults: &mut FaultList,
        read: fn(String, &Value, &mut FaultList) -> Option<T>,
    ) -> IndexMap<String, T> {
        let mut entries = IndexMap::new();
        let Some(nested) = self.nested(key, faults) else { return entries };
        let Some(object) = nested.object else { return entries };
        for (name, value) in object {
            let Some(entry) = read(child_path(&nested.path, name), value, faults) else { continue };
            entries.insert(name.clone(), entry);
        }
        entries
    }

    /// Reports every key that was never looked up.
    fn finish(self, faults: &mut FaultList) {
        let Some(object) = self.object else { return };
        for (key, value) in object {
            if self.known_keys.contains(&key.as_str()) {
                continue;
            }
            let message = format!("unknown key with value {}", excerpt(value));
            faults.push(&child_path(&self.path, key), message);
        }
    }
}

fn excerpt(value: &Value) -> String {
    shorten(&value.to_string())
}
