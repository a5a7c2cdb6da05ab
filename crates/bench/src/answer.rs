//! Callers' views: what an answer claims, checked against the manifest.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde_json::Value;

use crate::http::HttpAnswer;

/// What one request came to, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A search answer that fits the manifest.
    Searched(SearchOutcome),
    /// A service request that ran.
    Ran {
        /// Whether the outcome was recorded by an earlier request.
        replayed: bool,
    },
    /// Refused, and certainly not executed.
    NotRun {
        /// The refusal reason.
        reason: String,
        /// When a new attempt makes sense.
        retry_after: Option<Duration>,
    },
    /// May or may not have executed.
    Unknown {
        /// The reason.
        reason: String,
    },
    /// No whole answer arrived.
    NoResponse(String),
    /// An answer that contradicts the manifest, the request or the protocol.
    Invalid(String),
}

impl RequestOutcome {
    /// Whether the caller got a result: a search with every shard, or a
    /// service request that ran.
    #[must_use]
    pub const fn is_served(&self) -> bool {
        match self {
            Self::Searched(search) => search.missing.is_empty(),
            Self::Ran { .. } => true,
            _ => false,
        }
    }
}

/// A search answer that fits the manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Snapshot of the answer.
    pub snapshot: u64,
    /// Shards covered.
    pub covered: usize,
    /// Reasons of the lacking shards.
    pub missing: Vec<String>,
}

/// The shards of each published snapshot.
#[derive(Clone, Debug, Default)]
pub struct ManifestCheck {
    snapshots: IndexMap<u64, IndexSet<String>>,
}

impl ManifestCheck {
    /// Adds the snapshots of a manifest; snapshots added earlier stay valid,
    /// since a search may have been planned before they were dropped.
    pub fn add(&mut self, manifest: &Value) {
        for snapshot in manifest["snapshots"].as_array().into_iter().flatten() {
            let Some(number) = snapshot["number"].as_u64() else { continue };
            let shards = snapshot["shards"].as_object().into_iter().flatten();
            self.snapshots.insert(number, shards.map(|(name, _)| name.clone()).collect());
        }
    }

    /// Judges the answer to a search whose request body was `request`.
    #[must_use]
    pub fn search_outcome(&self, request: &Value, response: &HttpAnswer) -> RequestOutcome {
        if !response.status.is_success() {
            return refusal_outcome(response);
        }
        match self.parse_search(request, &response.json()) {
            Ok(outcome) => RequestOutcome::Searched(outcome),
            Err(message) => RequestOutcome::Invalid(message),
        }
    }

    fn parse_search(&self, request: &Value, body: &Value) -> Result<SearchOutcome, String> {
        let number = body["snapshot"].as_u64().ok_or("the answer names no snapshot")?;
        let shards = self
            .snapshots
            .get(&number)
            .ok_or_else(|| format!("snapshot {number} was never published"))?;
        let covered = shard_names(&body["coverage"]["covered"], |item| item)?;
        let missing = shard_names(&body["coverage"]["lacking"], |item| &item["shard"])?;
        let mut listed: IndexSet<&str> = IndexSet::new();
        for shard in covered.iter().chain(&missing) {
            if !shards.contains(*shard) {
                return Err(format!("snapshot {number} has no shard {shard}"));
            }
            if !listed.insert(shard) {
                return Err(format!("shard {shard} is listed twice"));
            }
        }
        if listed.len() != shards.len() {
            return Err(format!("{} of {} shards are listed", listed.len(), shards.len()));
        }
        check_results(request, number, &covered, &body["results"])?;
        let reasons = body["coverage"]["lacking"].as_array().into_iter().flatten();
        let reasons = reasons.map(|item| item["reason"].as_str().unwrap_or("none").to_owned());
        Ok(SearchOutcome { snapshot: number, covered: covered.len(), missing: reasons.collect() })
    }
}

/// Checks that exactly the covered shards have results, each of them from
/// this snapshot and for this request.
fn check_results(
    request: &Value,
    snapshot: u64,
    covered: &[&str],
    results: &Value,
) -> Result<(), String> {
    let results = results.as_array().ok_or("the answer has no results")?;
    if results.len() != covered.len() {
        return Err(format!("{} results for {} shards", results.len(), covered.len()));
    }
    let mut pending: IndexSet<&str> = covered.iter().copied().collect();
    for result in results {
        let shard = result["shard"].as_str().unwrap_or_default();
        if !pending.swap_remove(shard) {
            return Err(format!("a result for shard {shard:?} that is not covered"));
        }
        let body = &result["body"];
        if body["shard"] != result["shard"] {
            return Err(format!("the result of shard {shard} holds shard {}", body["shard"]));
        }
        if body["snapshot"].as_u64() != Some(snapshot) {
            return Err(format!("the result of shard {shard} is of snapshot {}", body["snapshot"]));
        }
        if &body["echo"] != request {
            return Err(format!("the result of shard {shard} answers another request"));
        }
    }
    Ok(())
}

/// Judges the answer to a service request.
#[must_use]
pub fn service_outcome(response: &HttpAnswer) -> RequestOutcome {
    if !response.status.is_success() {
        return refusal_outcome(response);
    }
    let body = response.json();
    if body["outcome"] != "ran" {
        return RequestOutcome::Invalid(format!(
            "status {} with outcome {}",
            response.status, body["outcome"]
        ));
    }
    RequestOutcome::Ran { replayed: body["replayed"] == true }
}

fn refusal_outcome(response: &HttpAnswer) -> RequestOutcome {
    let body = response.json();
    let reason = body["reason"].as_str().unwrap_or("none").to_owned();
    match body["outcome"].as_str() {
        Some("not_run") => {
            let retry_after = body["retry_after_ms"].as_u64().map(Duration::from_millis);
            RequestOutcome::NotRun { reason, retry_after }
        }
        Some("unknown") => RequestOutcome::Unknown { reason },
        _ => RequestOutcome::Invalid(format!("status {} without an outcome", response.status)),
    }
}

fn shard_names<'a>(
    list: &'a Value,
    field: impl Fn(&'a Value) -> &'a Value,
) -> Result<Vec<&'a str>, String> {
    let list = list.as_array().ok_or("the answer lacks a coverage list")?;
    let shard_names = list.iter().map(|item| field(item).as_str().ok_or("a shard without a name"));
    shard_names.collect::<Result<Vec<&str>, &str>>().map_err(str::to_owned)
}
