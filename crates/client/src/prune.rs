//! Removes old versions from the history.
//!
//! Versions are removed oldest first, so the remaining ones always form a
//! contiguous range up to the version in force, even if pruning is interrupted.
//! The oldest version can therefore be found by binary search.

use std::time::Duration;

use carobstep_config::ConfigVersion;
use carobstep_store::{ObjectCall, ObjectKind, ObjectReply, ObjectStore, StoreErrorKind};
use serde_json::json;
use tokio::time;

use crate::{
    error::{ClientError, ExitStatus},
    output::CommandReport,
    platform::{current_config, get_object, unexpected_reply_error},
};

/// Maximum number of attempts to remove one version.
const REMOVE_ATTEMPTS: u32 = 6;

/// Delay between two attempts.
const REMOVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Removes all versions except the newest `keep`.
///
/// # Errors
///
/// Fails if platform calls keep failing. Versions already removed stay removed.
pub async fn prune(store: &impl ObjectStore, keep: u64) -> Result<CommandReport, ClientError> {
    let newest = current_config(store).await?.version.0;
    let first_kept = newest.saturating_sub(keep.saturating_sub(1)).max(1);
    let oldest = oldest_version(store, newest).await?;
    for version in oldest..first_kept {
        remove(store, ConfigVersion(version)).await.map_err(|error| {
            let message = format!("{error}; removed {} versions", version - oldest);
            ClientError::new(error.status(), message)
        })?;
    }
    let removed = first_kept.saturating_sub(oldest);
    let oldest_kept = oldest.max(first_kept);
    let plain = format!("removed {removed} versions; versions {oldest_kept} to {newest} are left");
    let value = json!({"removed": removed, "oldest": oldest_kept, "newest": newest});
    Ok(CommandReport { plain, value })
}

/// Finds the oldest version in the history by binary search; `newest` is the
/// version in force.
async fn oldest_version(store: &impl ObjectStore, newest: u64) -> Result<u64, ClientError> {
    let (mut low, mut high) = (1, newest);
    while low < high {
        let middle = low + (high - low) / 2;
        match get_object(store, ObjectKind::History, &middle.to_string()).await? {
            Some(_) => high = middle,
            None => low = middle + 1,
        }
    }
    Ok(low)
}

/// Removes one version with retries; removal is idempotent.
async fn remove(store: &impl ObjectStore, version: ConfigVersion) -> Result<(), ClientError> {
    let name = version.to_string();
    let mut reason = String::new();
    for _ in 0..REMOVE_ATTEMPTS {
        match try_remove(store, &name).await {
            Ok(()) => return Ok(()),
            Err(error) if error.status() != ExitStatus::Unreachable => return Err(error),
            Err(error) => reason = error.to_string(),
        }
        time::sleep(REMOVE_RETRY_DELAY).await;
    }
    Err(ClientError::new(ExitStatus::Unreachable, reason))
}

async fn try_remove(store: &impl ObjectStore, name: &str) -> Result<(), ClientError> {
    let Some(object) = get_object(store, ObjectKind::History, name).await? else { return Ok(()) };
    let call =
        ObjectCall::Delete { kind: ObjectKind::History, name: name.to_owned(), at: object.version };
    match store.call(call).await {
        Ok(ObjectReply::Deleted) => Ok(()),
        Ok(ObjectReply::ConditionFailed) => {
            let message = format!("history/{name} was modified while it was being removed");
            Err(ClientError::new(ExitStatus::Unreachable, message))
        }
        Ok(reply) => Err(unexpected_reply_error(&reply)),
        Err(error) if error.kind() == StoreErrorKind::Rejected => {
            Err(ClientError::new(ExitStatus::Failure, error.to_string()))
        }
        Err(error) => Err(error.into()),
    }
}
