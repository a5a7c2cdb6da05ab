//! Variants of a deployment, for comparisons.

use std::path::PathBuf;

use serde_json::Value;

use crate::{
    deployment::DeploymentOptions,
    error::{BenchError, BenchErrorKind},
    scenario::ScenarioPlan,
};

/// Prefix of the keys that change the nodes' settings.
const SETTINGS_PREFIX: &str = "settings.";

/// Changes to a deployment for one side of a comparison.
///
/// Parsed from `KEY=VALUE,...`; an empty string changes nothing. Keys are
/// `bin-dir`, `nodes-per-zone`, `hedge-percent`, `retry-percent`, `split`
/// (`true` for a static split of the limits over all nodes) and
/// `settings.PATH` for a setting of the nodes, such as `settings.lease.term_ms`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentVariant {
    changes: Vec<VariantChange>,
}

#[derive(Clone, Debug, PartialEq)]
enum VariantChange {
    BinDir(PathBuf),
    NodesPerZone(usize),
    HedgePercent(f64),
    RetryPercent(f64),
    Split(bool),
    Setting(Vec<String>, Value),
}

impl TryFrom<&str> for DeploymentVariant {
    type Error = BenchError;

    fn try_from(text: &str) -> Result<Self, BenchError> {
        let mut changes = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let change = parse_change(part).ok_or_else(|| {
                let message = format!("variant {part:?} is not a known KEY=VALUE");
                BenchError::new(BenchErrorKind::Usage, message)
            })?;
            changes.push(change);
        }
        Ok(Self { changes })
    }
}

impl DeploymentVariant {
    /// Applies the changes to a plan and to deployment options.
    pub fn apply(&self, plan: &mut ScenarioPlan, options: &mut DeploymentOptions) {
        for change in &self.changes {
            match change {
                VariantChange::BinDir(dir) => options.bin_dir.clone_from(dir),
                VariantChange::NodesPerZone(count) => plan.nodes_per_zone = *count,
                VariantChange::HedgePercent(percent) => options.hedge.hedge_percent = *percent,
                VariantChange::RetryPercent(percent) => options.hedge.retry_percent = *percent,
                VariantChange::Split(split) => options.split = *split,
                VariantChange::Setting(path, value) => {
                    set_at_path(&mut options.node_settings, path, value);
                }
            }
        }
    }
}

fn parse_change(part: &str) -> Option<VariantChange> {
    let (key, value) = part.split_once('=')?;
    if let Some(path) = key.strip_prefix(SETTINGS_PREFIX) {
        let path = path.split('.').map(str::to_owned).collect();
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        return Some(VariantChange::Setting(path, value));
    }
    match key {
        "bin-dir" => Some(VariantChange::BinDir(PathBuf::from(value))),
        "nodes-per-zone" => value.parse().ok().map(VariantChange::NodesPerZone),
        "hedge-percent" => value.parse().ok().map(VariantChange::HedgePercent),
        "retry-percent" => value.parse().ok().map(VariantChange::RetryPercent),
        "split" => value.parse().ok().map(VariantChange::Split),
        _ => None,
    }
}

/// Sets the value at a path in a JSON value; replaces whatever is not an object
/// on the path by an empty object.
fn set_at_path(root: &mut Value, path: &[String], value: &Value) {
    let mut target = root;
    for key in path {
        if !target.is_object() {
            *target = Value::Object(serde_json::Map::new());
        }
        target = &mut target[key.as_str()];
    }
    *target = value.clone();
}
