//! Stores the first configuration and publishes index manifests.

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
    configuration::record_summary,
    error::{ClientError, ExitStatus},
    output::CommandReport,
    platform::{
        CURRENT_NAME, current_config, get_object, history_record, now, parse_record, record_value,
        unexpected_reply_error,
    },
    submission::archive_call,
    submit::refused_patch_error,
};

/// Maximum number of attempts for one write.
const WRITE_ATTEMPTS: u32 = 6;

/// Delay between two attempts of a write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A conditional write of one object.
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
/// Fails if the document is invalid, and with [`ExitStatus::Conflict`] if the
/// platform already holds another configuration.
pub async fn init(
    store: &impl ObjectStore,
    id: &PatchId,
    author: &AuthorName,
    text: &str,
) -> Result<CommandReport, ClientError> {
    let document = ConfigDocument::parse(text).map_err(|error| {
        let message = format!("configuration document refused, nothing changed: {error}");
        ClientError::new(ExitStatus::Refused, message)
    })?;
    let record = ConfigRecord::initial(id, author, now(), document)
        .map_err(|error| refused_patch_error(&error))?;
    // Nodes ignore versions older than the one they have. Version numbers must
    // therefore not restart after the configuration in force was deleted.
    if let Some(found) = history_record(store, record.version).await? {
        check_same_patch(&record, &found)?;
    }
    let write = ObjectWrite {
        kind: ObjectKind::Config,
        name: CURRENT_NAME,
        condition: WriteCondition::Absent,
        value: record_value(&record),
    };
    if let Some(found) = write_with_retry(store, &write).await? {
        check_same_patch(&record, &parse_record(ObjectKind::Config, &found)?)?;
    }
    let archived = store.call(archive_call(&record)).await.is_ok();
    let plain = format!("stored: {}", record_summary(&record));
    let value = json!({
        "version": record.version,
        "patch_id": record.patch_id,
        "archived": archived,
    });
    Ok(CommandReport { plain, value })
}

/// Fails with a conflict unless `found` was created by the same patch as `record`.
fn check_same_patch(record: &ConfigRecord, found: &ConfigRecord) -> Result<(), ClientError> {
    if found.patch_id == record.patch_id {
        return Ok(());
    }
    let message = format!("nothing changed: the platform already holds {}", record_summary(found));
    Err(ClientError::new(ExitStatus::Conflict, message))
}

/// Publishes the manifest of an index.
///
/// # Errors
///
/// Fails if the manifest is invalid under the configuration in force, and with
/// [`ExitStatus::Conflict`] if it is older than the published one or another
/// manifest was published concurrently.
pub async fn publish(
    store: &impl ObjectStore,
    index: &str,
    text: &str,
) -> Result<CommandReport, ClientError> {
    let document = parse_manifest(index, text)?;
    let record = current_config(store).await?;
    let topology = ConfigTopology::try_from((record.version, &record.document))
        .map_err(|error| ClientError::new(ExitStatus::Failure, error.to_string()))?;
    let manifest =
        IndexManifest::try_from((&topology, &document)).map_err(|error| refused_error(&error))?;
    let number = manifest.newest().number;
    let published = get_object(store, ObjectKind::Manifest, index).await?;
    if let Some(published) = &published {
        check_not_older(published, number)?;
    }
    let value = serde_json::to_value(&document).map_err(|error| refused_error(&error))?;
    let write = ObjectWrite {
        kind: ObjectKind::Manifest,
        name: index,
        condition: published
            .map_or(WriteCondition::Absent, |object| WriteCondition::At(object.version)),
        value,
    };
    let found = write_with_retry(store, &write).await?;
    if found.is_some_and(|found| found.value != write.value) {
        let message =
            format!("another manifest of index {index} was published first; nothing changed");
        return Err(ClientError::new(ExitStatus::Conflict, message));
    }
    let plain = format!("published: index {index}, newest snapshot {number}");
    Ok(CommandReport { plain, value: json!({"index": index, "snapshot": number}) })
}

fn parse_manifest(index: &str, text: &str) -> Result<ManifestDocument, ClientError> {
    let value = parse_jsonc(text).map_err(|error| refused_error(&error))?;
    let document: ManifestDocument =
        serde_json::from_value(value).map_err(|error| refused_error(&error))?;
    if document.index.as_str() != index {
        let message = format!(
            "manifest refused, nothing changed: it belongs to index {}, not to {index:?}",
            document.index
        );
        return Err(ClientError::new(ExitStatus::Refused, message));
    }
    Ok(document)
}

/// Fails with a conflict if snapshot `number` is older than the newest one in
/// `published`.
fn check_not_older(published: &StoredObject, number: u64) -> Result<(), ClientError> {
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

/// Writes an object with retries; at most one of the attempts takes effect.
///
/// Returns `None` if the platform confirmed the write. If the condition failed,
/// returns the object stored now. It may be the result of this write, because
/// an earlier attempt whose response was lost makes the next one fail its
/// condition.
async fn write_with_retry(
    store: &impl ObjectStore,
    write: &ObjectWrite<'_>,
) -> Result<Option<StoredObject>, ClientError> {
    let mut outcome_unknown = false;
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
            Ok(ObjectReply::ConditionFailed) => {
                match get_object(store, write.kind, write.name).await {
                    Ok(Some(found)) => return Ok(Some(found)),
                    Ok(None) => {
                        "the platform rejected the conditional write, but the object does not exist"
                            .to_owned()
                    }
                    Err(error) => error.to_string(),
                }
            }
            Ok(reply) => return Err(unexpected_reply_error(&reply)),
            Err(error) if error.kind() == StoreErrorKind::Rejected => return Err(error.into()),
            Err(error) => {
                outcome_unknown |= error.kind() == StoreErrorKind::AnswerLost;
                error.to_string()
            }
        };
        last_error = error;
        time::sleep(WRITE_RETRY_DELAY).await;
    }
    Err(abandoned_write_error(&last_error, outcome_unknown))
}

/// Returns the error for a write whose attempts all failed.
fn abandoned_write_error(reason: &str, outcome_unknown: bool) -> ClientError {
    if outcome_unknown {
        let message = format!("{reason}; the write may have taken effect");
        return ClientError::new(ExitStatus::Unknown, message);
    }
    ClientError::new(ExitStatus::Unreachable, format!("{reason}; nothing changed"))
}

fn refused_error(error: &impl ToString) -> ClientError {
    let message = format!("manifest refused, nothing changed: {}", error.to_string());
    ClientError::new(ExitStatus::Refused, message)
}
