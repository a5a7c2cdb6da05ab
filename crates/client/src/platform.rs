//! Typed reads of the objects stored on the platform.

use carobstep_config::{ConfigRecord, ConfigVersion, UtcTime};
use carobstep_store::{ObjectCall, ObjectKind, ObjectReply, ObjectStore, StoredObject, VmRecord};
use serde_json::Value;

use crate::error::{ClientError, ExitStatus};

/// Name of the object that holds the configuration in force.
pub(crate) const CURRENT_NAME: &str = "current";

/// Parses a stored object as a configuration.
pub(crate) fn parse_record(
    kind: ObjectKind,
    object: &StoredObject,
) -> Result<ConfigRecord, ClientError> {
    serde_json::from_value(object.value.clone()).map_err(|error| {
        let message = format!("{kind}/{} is not a configuration: {error}", object.name);
        ClientError::new(ExitStatus::Failure, message)
    })
}

/// Returns the JSON form of a configuration.
pub(crate) fn record_value(record: &ConfigRecord) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// Returns the current time of the operator's machine, in seconds since 1970.
pub(crate) fn now() -> UtcTime {
    UtcTime::now()
}

/// Reads one object; returns `None` if it does not exist.
pub(crate) async fn get_object(
    store: &impl ObjectStore,
    kind: ObjectKind,
    name: &str,
) -> Result<Option<StoredObject>, ClientError> {
    match store.call(ObjectCall::Get { kind, name: name.to_owned() }).await? {
        ObjectReply::Found(object) => Ok(Some(object)),
        ObjectReply::Missing => Ok(None),
        reply => Err(unexpected_reply_error(&reply)),
    }
}

/// Reads every object of a kind.
pub(crate) async fn list_objects(
    store: &impl ObjectStore,
    kind: ObjectKind,
) -> Result<Vec<StoredObject>, ClientError> {
    match store.call(ObjectCall::List { kind }).await? {
        ObjectReply::Listed { items, .. } => Ok(items),
        reply => Err(unexpected_reply_error(&reply)),
    }
}

/// Reads the list of VMs.
pub(crate) async fn list_vms(store: &impl ObjectStore) -> Result<Vec<VmRecord>, ClientError> {
    match store.call(ObjectCall::ListVms).await? {
        ObjectReply::Vms(records) => Ok(records),
        reply => Err(unexpected_reply_error(&reply)),
    }
}

/// Reads the configuration in force.
pub(crate) async fn current_config(store: &impl ObjectStore) -> Result<ConfigRecord, ClientError> {
    let object = get_object(store, ObjectKind::Config, CURRENT_NAME).await?;
    let object = object.ok_or_else(|| {
        ClientError::new(ExitStatus::NotFound, "the platform holds no configuration")
    })?;
    parse_record(ObjectKind::Config, &object)
}

/// Reads a configuration from the history; returns `None` if it does not exist.
pub(crate) async fn history_record(
    store: &impl ObjectStore,
    version: ConfigVersion,
) -> Result<Option<ConfigRecord>, ClientError> {
    let object = get_object(store, ObjectKind::History, &version.to_string()).await?;
    object.map(|object| parse_record(ObjectKind::History, &object)).transpose()
}

/// Reads a configuration version, whether in force or from the history.
pub(crate) async fn config_at(
    store: &impl ObjectStore,
    version: ConfigVersion,
) -> Result<ConfigRecord, ClientError> {
    let record = current_config(store).await?;
    if record.version == version {
        return Ok(record);
    }
    history_record(store, version).await?.ok_or_else(|| {
        let message =
            format!("version {version} does not exist; version {} is in force", record.version);
        ClientError::new(ExitStatus::NotFound, message)
    })
}

/// Returns the error for a reply that does not match the call.
pub(crate) fn unexpected_reply_error(reply: &ObjectReply) -> ClientError {
    ClientError::new(ExitStatus::Failure, format!("unexpected reply from the platform: {reply:?}"))
}
