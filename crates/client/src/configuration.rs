//! Commands that show configuration versions, their differences and the history.

use carobstep_config::{ConfigRecord, ConfigVersion};
use carobstep_store::ObjectStore;
use serde_json::json;

use crate::{
    difference::{MemberChange, differences},
    error::ClientError,
    output::{CommandReport, TextTable},
    platform::{config_at, current_config, history_record, record_value},
};

/// Shows the configuration in force, or a given version.
///
/// # Errors
///
/// Fails if a platform call fails or the version does not exist.
pub async fn show(
    store: &impl ObjectStore,
    version: Option<ConfigVersion>,
) -> Result<CommandReport, ClientError> {
    let record = match version {
        Some(version) => config_at(store, version).await?,
        None => current_config(store).await?,
    };
    let document = serde_json::to_string_pretty(&record.document).unwrap_or_default();
    let plain = format!("// {}\n{document}", record_summary(&record));
    Ok(CommandReport { plain, value: record_value(&record) })
}

/// Shows the differences between two versions.
///
/// # Errors
///
/// Fails if a platform call fails or one of the versions does not exist.
pub async fn diff(
    store: &impl ObjectStore,
    from: ConfigVersion,
    to: ConfigVersion,
) -> Result<CommandReport, ClientError> {
    let before = config_at(store, from).await?;
    let after = config_at(store, to).await?;
    let changes = record_differences(&before, &after);
    let plain = format!(
        "{}\n{}\n{}",
        record_summary(&before),
        record_summary(&after),
        change_lines(&changes)
    );
    Ok(CommandReport { plain, value: json!({"from": from, "to": to, "changes": changes}) })
}

/// Lists the newest versions, at most `count`, newest first.
///
/// # Errors
///
/// Fails if a platform call fails or the platform holds no configuration.
pub async fn history(store: &impl ObjectStore, count: u64) -> Result<CommandReport, ClientError> {
    let newest = current_config(store).await?;
    let oldest = newest.version.0.saturating_sub(count.saturating_sub(1)).max(1);
    let mut table = TextTable::new(&["VERSION", "TIME", "AUTHOR", "PATCH"]);
    let mut rows = Vec::new();
    for number in (oldest..=newest.version.0).rev() {
        let version = ConfigVersion(number);
        let record = if version == newest.version {
            Some(newest.clone())
        } else {
            history_record(store, version).await?
        };
        let Some(record) = record else {
            table.push([version.to_string(), "missing".into(), String::new(), String::new()]);
            rows.push(json!({"version": version, "missing": true}));
            continue;
        };
        table.push([
            version.to_string(),
            record.time.clone(),
            record.author.clone(),
            record.patch_id.clone(),
        ]);
        rows.push(json!({
            "version": version,
            "time": record.time,
            "author": record.author,
            "patch_id": record.patch_id,
        }));
    }
    Ok(CommandReport { plain: table.to_text(), value: rows.into() })
}

/// Returns one line with the version, time, author and patch id of a record.
pub(crate) fn record_summary(record: &ConfigRecord) -> String {
    format!(
        "version {} of {} by {}, patch {}",
        record.version, record.time, record.author, record.patch_id
    )
}

/// Returns the document members that differ between two configurations.
pub(crate) fn record_differences(before: &ConfigRecord, after: &ConfigRecord) -> Vec<MemberChange> {
    let before = serde_json::to_value(&before.document).unwrap_or_default();
    let after = serde_json::to_value(&after.document).unwrap_or_default();
    differences(&before, &after)
}

/// Formats the changes, one per line.
pub(crate) fn change_lines(changes: &[MemberChange]) -> String {
    if changes.is_empty() {
        return "no difference".to_owned();
    }
    let lines: Vec<_> = changes.iter().map(MemberChange::to_line).collect();
    lines.join("\n")
}
