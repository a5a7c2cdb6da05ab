//! Waits until a configuration version is in force on every node.

use std::{collections::HashSet, sync::Arc, time::Duration};

use carobstep_config::ConfigVersion;
use carobstep_store::ObjectStore;
use serde::Serialize;
use tokio::time::{self, Instant};

use crate::{
    error::{ClientError, ExitStatus},
    fleet::{NodeResponse, NodeRoster},
    nodes::{BRIEF_STATUS_PATH, NodeApi},
    output::{CommandReport, ReportPrinter},
    platform::current_config,
    run::print_report,
};

/// Delay after the first round of queries; it grows with each round.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay between two rounds of queries.
const MAX_POLL_DELAY: Duration = Duration::from_secs(2);

/// Time after which progress is reported again even if it has not changed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Progress of the rollout of a configuration version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RolloutProgress {
    /// The version being rolled out.
    pub version: ConfigVersion,
    /// Number of nodes that have this or a later version in force.
    pub reached: usize,
    /// Number of nodes that need to have the version for the rollout to complete.
    pub awaited: usize,
    /// Nodes that do not have the version yet, each with its state.
    pub waiting_for: Vec<String>,
}

/// Records which nodes have a version in force.
///
/// A node never reverts to an older version, so a node that has the version is
/// not queried again. Each round queries only the remaining nodes.
#[derive(Clone, Debug)]
pub struct RolloutTracker {
    version: ConfigVersion,
    reached: HashSet<String>,
}

impl RolloutTracker {
    /// Creates a tracker that has not recorded any node yet.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self { version, reached: HashSet::new() }
    }

    /// Whether a node is known to have the version in force.
    #[must_use]
    pub fn has_reached(&self, node: &str) -> bool {
        self.reached.contains(node)
    }

    /// Evaluates the responses of the nodes not yet known to have the version.
    pub fn observe(&mut self, responses: &[NodeResponse]) -> RolloutProgress {
        let mut waiting_for = Vec::new();
        for node in responses {
            if !node.is_awaited() {
                continue;
            }
            if node.config_version().is_some_and(|in_force| in_force >= self.version) {
                self.reached.insert(node.entry.node.clone());
                continue;
            }
            waiting_for.push(describe_pending_node(node));
        }
        let reached = self.reached.len();
        let awaited = reached + waiting_for.len();
        RolloutProgress { version: self.version, reached, awaited, waiting_for }
    }
}

impl RolloutProgress {
    /// Whether every node that needs to have the version has it.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.awaited > 0 && self.waiting_for.is_empty()
    }

    fn report(&self, elapsed: Duration) -> CommandReport {
        let mut plain = format!(
            "version {}: {} of {} nodes after {:.1} s",
            self.version,
            self.reached,
            self.awaited,
            elapsed.as_secs_f64()
        );
        if !self.waiting_for.is_empty() {
            plain.push_str(&format!("; waiting for {}", self.waiting_for.join(", ")));
        }
        let mut value = serde_json::to_value(self).unwrap_or_default();
        value["elapsed_ms"] = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX).into();
        value["done"] = self.is_complete().into();
        CommandReport { plain, value }
    }
}

/// Describes a node that does not have the version yet.
fn describe_pending_node(node: &NodeResponse) -> String {
    match (&node.response, node.config_version()) {
        (Ok(_), Some(version)) => format!("{} (has {version})", node.entry.node),
        (Ok(_), None) => format!("{} (has none)", node.entry.node),
        (Err(error), _) => format!("{} ({})", node.entry.node, error.0),
    }
}

/// Waits until `version`, or the one in force, is in force on every node.
///
/// While the platform is unavailable, the nodes it listed last are queried.
///
/// # Errors
///
/// Fails after `timeout`, or if the platform is unavailable at the start.
pub async fn follow<A: NodeApi>(
    store: &impl ObjectStore,
    api: &Arc<A>,
    version: Option<ConfigVersion>,
    timeout: Duration,
    printer: &mut ReportPrinter<'_>,
) -> Result<(), ClientError> {
    let version = match version {
        Some(version) => version,
        None => current_config(store).await?.version,
    };
    let start = Instant::now();
    let mut roster = NodeRoster::read(store).await?;
    let mut tracker = RolloutTracker::new(version);
    let mut poll_delay = INITIAL_POLL_DELAY;
    let mut last_reported = None;
    let mut last_reported_at = Duration::ZERO;
    loop {
        roster.exclude(|node| tracker.has_reached(node));
        let progress = tracker.observe(&roster.query(api, BRIEF_STATUS_PATH).await);
        let elapsed = start.elapsed();
        let is_report_due = elapsed >= last_reported_at + PROGRESS_INTERVAL;
        if is_report_due || last_reported.as_ref() != Some(&progress) {
            print_report(printer, &progress.report(elapsed))?;
            last_reported_at = elapsed;
        }
        if progress.is_complete() {
            return Ok(());
        }
        if elapsed >= timeout {
            return Err(timeout_error(&progress, timeout));
        }
        last_reported = Some(progress);
        time::sleep(poll_delay.min(timeout.saturating_sub(elapsed))).await;
        poll_delay = MAX_POLL_DELAY.min(poll_delay * 3 / 2);
        if let Ok(updated) = NodeRoster::read(store).await {
            roster = updated;
        }
    }
}

fn timeout_error(progress: &RolloutProgress, timeout: Duration) -> ClientError {
    let message = format!(
        "version {} is in force on {} of {} nodes after {} s",
        progress.version,
        progress.reached,
        progress.awaited,
        timeout.as_secs()
    );
    ClientError::new(ExitStatus::Timeout, message)
}
