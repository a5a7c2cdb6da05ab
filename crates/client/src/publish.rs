//! Writes that are not patches: the first configuration and index manifests.

use std::time::Duration;

use carobstep_config::{
    AuthorName, ConfigDocument, ConfigRecord, ConfigTopology, IndexManifest, ManifestDocument,
    PatchId, parse_jsonc,
};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectStore, StoreErrorKind, StoredObject, WriteCondition,
};
use serde_json::{Value, json};
use tokio::time;

use crate::{
    configuration::title,
    error::{ClientError, ExitStatus},
    output::CommandReport,
    platform::{CURRENT_NAME, current, get, now, past, read_record, record_value, unexpected},
    submission::archive,
    submit::refusal,
};

/// Times that a write is tried.
const WRITE_ATTEMPTS: u32 = 6;

/// Pause between two tries of a write.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// One conditional write.
struct ObjectWrite<'a> {
    kind: ObjectKind,
    name: &'a str,
    condition: WriteCondition,
    value: Value,
}

/// Stores the first configuration.
///
/// # Errors
///
/// Fails when the document is not valid and as a conflict when the platform
/// already holds another configuration.
pub async fn init(
    store: &impl ObjectStore,
    id: &PatchId,
    author: &AuthorName,
    text: &str,
) -> Result<CommandReport, ClientError> {
    let document = ConfigDocument::parse(text)
        .map_err(|error| ClientError::new(ExitStatus::Refused, error.to_string()))?;
    let record =
        ConfigRecord::first(id, author, now(), document).map_err(|error| refusal(&error))?;
    // Nodes ignore a version below the one they have, so the numbers must not
    // start again after the configuration in force was deleted.
    if let Some(found) = past(store, record.version).await? {
        check_own(&record, &found)?;
    }
    let write = ObjectWrite {
        kind: ObjectKind::Config,
        name: CURRENT_NAME,
        condition: WriteCondition::Absent,
        value: record_value(&record),
    };
    if let Some(found) = write_once(store, &write).await? {
        check_own(&record, &read_record(ObjectKind::Config, &found)?)?;
    }
    let archived = store.call(archive(&record)).await.is_ok();
    let plain = format!("stored: {}", title(&record));
    let value = json!({
        "version": record.version,
        "patch_id": record.patch_id,
        "archived": archived,
    });
    Ok(CommandReport { plain, value })
}

fn check_own(record: &ConfigRecord, found: &ConfigRecord) -> Result<(), ClientError> {
    if found.patch_id == record.patch_id {
        return Ok(());
    }
    let message = format!("nothing changed: there is {}", title(found));
    Err(ClientError::new(ExitStatus::Conflict, message))
}

/// Publishes the manifest of an index.
///
/// # Errors
///
/// Fails when the manifest does not fit the configuration in force or is older
/// than the published one, and as a conflict when another manifest came first.
pub async fn publish(
    store: &impl ObjectStore,
    index: &str,
    text: &str,
) -> Result<CommandReport, ClientError> {
    let document = parse_manifest(index, text)?;
    let record = current(store).await?;
    let topology = ConfigTopology::try_from((record.version, &record.document))
        .map_err(|error| ClientError::new(ExitStatus::Failure, error.to_string()))?;
    let manifest =
        IndexManifest::try_from((&topology, &document)).map_err(|error| refused(&error))?;
    let number = manifest.newest().number;
    let published = get(store, ObjectKind::Manifest, index).await?;
    if let Some(published) = &published {
        check_newer(published, number)?;
    }
    let value = serde_json::to_value(&document).map_err(|error| refused(&error))?;
    let write = ObjectWrite {
        kind: ObjectKind::Manifest,
        name: index,
        condition: published
            .map_or(WriteCondition::Absent, |object| WriteCondition::At(object.version)),
        value,
    };
    let found = write_once(store, &write).await?;
    if found.is_some_and(|found| found.value != write.value) {
        let message = format!("another manifest of index {index} came first; nothing changed");
        return Err(ClientError::new(ExitStatus::Conflict, message));
    }
    let plain = format!("published: index {index}, newest snapshot {number}");
    Ok(CommandReport { plain, value: json!({"index": index, "snapshot": number}) })
}

fn parse_manifest(index: &str, text: &str) -> Result<ManifestDocument, ClientError> {
    let value = parse_jsonc(text).map_err(|error| refused(&error))?;
    let document: ManifestDocument =
        serde_json::from_value(value).map_err(|error| refused(&error))?;
    if document.index.as_str() != index {
        let message = format!("manifest is of index {}, not of {index:?}", document.index);
        return Err(ClientError::new(ExitStatus::Refused, message));
    }
    Ok(document)
}

fn check_newer(published: &StoredObject, number: u64) -> Result<(), ClientError> {
    let snapshots = published.value["snapshots"].as_array();
    let newest = snapshots.and_then(|list| list.last()).and_then(|last| last["number"].as_u64());
    if newest.is_none_or(|newest| number >= newest) {
        return Ok(());
    }
    let message = format!(
        "newest snapshot {number} is older than the published {}; nothing changed",
        newest.unwrap_or_default()
    );
    Err(ClientError::new(ExitStatus::Conflict, message))
}

/// Writes an object once, also when answers are lost.
///
/// Returns `None` when the platform confirmed the write, or else the object
/// that stands there now, which may be this very write: an earlier try whose
/// answer was lost makes the next one fail its condition.
async fn write_once(
    store: &impl ObjectStore,
    write: &ObjectWrite<'_>,
) -> Result<Option<StoredObject>, ClientError> {
    let mut doubtful = false;
    let mut last_error = String::new();
    for _ in 0..WRITE_ATTEMPTS {
        let call = ObjectCall::Put {
            kind: write.kind,
            name: write.name.to_owned(),
            condition: write.condition,
            value: write.value.clone(),
        };
        let error = match store.call(call).await {
            Ok(ObjectReply::Written(_)) => return Ok(None),
            Ok(ObjectReply::ConditionFailed) => match get(store, write.kind, write.name).await {
                Ok(Some(found)) => return Ok(Some(found)),
                Ok(None) => "the platform refused the write but shows no object".to_owned(),
                Err(error) => error.to_string(),
            },
            Ok(reply) => return Err(unexpected(&reply)),
            Err(error) if error.kind() == StoreErrorKind::Rejected => return Err(error.into()),
            Err(error) => {
                doubtful |= error.kind() == StoreErrorKind::AnswerLost;
                error.to_string()
            }
        };
        last_error = error;
        time::sleep(WRITE_PAUSE).await;
    }
    Err(give_up(&last_error, doubtful))
}

fn give_up(reason: &str, doubtful: bool) -> ClientError {
    if doubtful {
        let message = format!("{reason}; the write may be in force");
        return ClientError::new(ExitStatus::Unknown, message);
    }
    ClientError::new(ExitStatus::Unreachable, format!("{reason}; nothing changed"))
}

fn refused(error: &impl ToString) -> ClientError {
    ClientError::new(ExitStatus::Refused, error.to_string())
}
