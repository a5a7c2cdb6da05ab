//! Outcomes of requests: parses responses and checks them against the manifest.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde_json::Value;

use crate::http::HttpAnswer;

/// Outcome of one request, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A search response that is consistent with the manifest.
    Searched(SearchOutcome),
    /// A service request that was executed.
    Ran {
        /// Whether this is the recorded outcome of an earlier request.
        replayed: bool,
    },
    /// The request was refused, and is guaranteed not to have been executed.
    NotRun {
        /// Reason of the refusal.
        reason: String,
        /// Delay after which the request may be retried.
        retry_after: Option<Duration>,
    },
    /// The request may or may not have been executed.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: String,
    },
    /// No complete response arrived; holds an error message.
    NoResponse(String),
    /// The response contradicts the manifest, the request or the protocol; holds
    /// an error message.
    Invalid(String),
}

impl RequestOutcome {
    /// Returns whether the request was served in full: a search that covers every
    /// shard, or a service request that was executed.
    #[must_use]
    pub const fn is_served(&self) -> bool {
        match self {
            Self::Searched(search) => search.missing.is_empty(),
            Self::Ran { .. } => true,
            _ => false,
        }
    }
}

/// A search response that is consistent with the manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of the snapshot that was searched.
    pub snapshot: u64,
    /// Number of covered shards.
    pub covered: usize,
    /// Reason of each missing shard.
    pub missing: Vec<String>,
}

/// Checks search responses against the shards of each published snapshot.
#[derive(Clone, Debug, Default)]
pub struct ManifestCheck {
    snapshots: IndexMap<u64, IndexSet<String>>,
}

impl ManifestCheck {
    /// Adds the snapshots of a manifest. Snapshots added earlier stay valid, since
    /// a search may have been planned before they were removed.
    pub fn add(&mut self, manifest: &Value) {
        for snapshot in manifest["snapshots"].as_array().into_iter().flatten() {
            let Some(number) = snapshot["number"].as_u64() else { continue };
            let shards = snapshot["shards"].as_object().into_iter().flatten();
            self.snapshots.insert(number, shards.map(|(name, _)| name.clone()).collect());
        }
    }

    /// Returns the outcome of a search with the request body `request`.
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
        let number = body["snapshot"].as_u64().ok_or("the response has no snapshot number")?;
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

/// Checks that there is exactly one result for each covered shard, and that each
/// result belongs to this snapshot and this request.
fn check_results(
    request: &Value,
    snapshot: u64,
    covered: &[&str],
    results: &Value,
) -> Result<(), String> {
    let results = results.as_array().ok_or("the response has no results")?;
    if results.len() != covered.len() {
        return Err(format!("{} results for {} shards", results.len(), covered.len()));
    }
    let mut pending: IndexSet<&str> = covered.iter().copied().collect();
    for result in results {
        let shard = result["shard"].as_str().unwrap_or_default();
        if !pending.swap_remove(shard) {
            return Err(format!(
                "unexpected result for shard {shard:?}: not covered, or listed twice"
            ));
        }
        let body = &result["body"];
        if body["shard"] != result["shard"] {
            return Err(format!("the result of shard {shard} holds shard {}", body["shard"]));
        }
        if body["snapshot"].as_u64() != Some(snapshot) {
            return Err(format!("the result of shard {shard} is of snapshot {}", body["snapshot"]));
        }
        if &body["echo"] != request {
            return Err(format!("the result of shard {shard} belongs to another request"));
        }
    }
    Ok(())
}

/// Returns the outcome of a service request.
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

/// Returns the outcome of a request whose response is not a success.
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

/// Returns the shard names in a coverage list; `field` selects the name in an item.
fn shard_names<'a>(
    list: &'a Value,
    field: impl Fn(&'a Value) -> &'a Value,
) -> Result<Vec<&'a str>, String> {
    let list = list.as_array().ok_or("the response has no list of covered or missing shards")?;
    let shard_names = list.iter().map(|item| field(item).as_str().ok_or("a shard without a name"));
    shard_names.collect::<Result<Vec<&str>, &str>>().map_err(str::to_owned)
}
