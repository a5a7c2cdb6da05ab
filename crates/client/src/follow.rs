//! Waits until every node has a configuration in force.

use std::{collections::HashSet, sync::Arc, time::Duration};

use carobstep_config::ConfigVersion;
use carobstep_store::ObjectStore;
use serde::Serialize;
use tokio::time::{self, Instant};

use crate::{
    error::{ClientError, ExitStatus},
    fleet::{NodeAnswer, NodeRoster},
    nodes::{BRIEF_STATUS_PATH, NodeApi},
    output::{CommandReport, ReportPrinter},
    platform::current,
    run::print,
};

/// Pause after the first round of questions; it grows with each round.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between two rounds of questions.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Longest time without a line of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// How far a configuration has spread.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SpreadProgress {
    /// The version that is followed.
    pub version: ConfigVersion,
    /// Nodes that have it, or a later one, in force.
    pub reached: usize,
    /// Nodes that must have it.
    pub awaited: usize,
    /// The nodes that are waited for.
    pub waiting_for: Vec<String>,
}

/// Collects the nodes that have a version in force.
///
/// A version never reverts, so a node that has it is not asked again: a round
/// costs only as much as there are nodes that lack it.
#[derive(Clone, Debug)]
pub struct SpreadTracker {
    version: ConfigVersion,
    reached: HashSet<String>,
}

impl SpreadTracker {
    /// Starts with no node.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self { version, reached: HashSet::new() }
    }

    /// Whether a node is known to have the version in force.
    #[must_use]
    pub fn has_reached(&self, node: &str) -> bool {
        self.reached.contains(node)
    }

    /// Judges the answers of the nodes that were not known to have it.
    pub fn observe(&mut self, answers: &[NodeAnswer]) -> SpreadProgress {
        let mut waiting_for = Vec::new();
        for node in answers {
            if !node.is_awaited() {
                continue;
            }
            if node.config_version().is_some_and(|running| running >= self.version) {
                self.reached.insert(node.entry.node.clone());
                continue;
            }
            waiting_for.push(describe(node));
        }
        let reached = self.reached.len();
        let awaited = reached + waiting_for.len();
        SpreadProgress { version: self.version, reached, awaited, waiting_for }
    }
}

impl SpreadProgress {
    /// Whether every node that must have the version has it.
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

fn describe(node: &NodeAnswer) -> String {
    match (&node.answer, node.config_version()) {
        (Ok(_), Some(version)) => format!("{} (has {version})", node.entry.node),
        (Ok(_), None) => format!("{} (has none)", node.entry.node),
        (Err(silence), _) => format!("{} ({})", node.entry.node, silence.0),
    }
}

/// Follows `version`, or the one in force, until every node has it.
///
/// While the platform is down, the nodes that it last named are asked.
///
/// # Errors
///
/// Fails after `timeout`, or when the platform is down from the start.
pub async fn follow<A: NodeApi>(
    store: &impl ObjectStore,
    api: &Arc<A>,
    version: Option<ConfigVersion>,
    timeout: Duration,
    printer: &mut ReportPrinter<'_>,
) -> Result<(), ClientError> {
    let version = match version {
        Some(version) => version,
        None => current(store).await?.version,
    };
    let start = Instant::now();
    let mut roster = NodeRoster::read(store).await?;
    let mut tracker = SpreadTracker::new(version);
    let mut pause = FIRST_PAUSE;
    let mut shown = None;
    let mut shown_at = Duration::ZERO;
    loop {
        roster.forget(|node| tracker.has_reached(node));
        let progress = tracker.observe(&roster.ask(api, BRIEF_STATUS_PATH).await);
        let elapsed = start.elapsed();
        let is_due = elapsed >= shown_at + PROGRESS_INTERVAL;
        if is_due || shown.as_ref() != Some(&progress) {
            print(printer, &progress.report(elapsed))?;
            shown_at = elapsed;
        }
        if progress.is_complete() {
            return Ok(());
        }
        if elapsed >= timeout {
            return Err(timed_out(&progress, timeout));
        }
        shown = Some(progress);
        time::sleep(pause.min(timeout.saturating_sub(elapsed))).await;
        pause = MAX_PAUSE.min(pause * 3 / 2);
        if let Ok(newer) = NodeRoster::read(store).await {
            roster = newer;
        }
    }
}

fn timed_out(progress: &SpreadProgress, timeout: Duration) -> ClientError {
    let message = format!(
        "version {} is in force on {} of {} nodes after {} s",
        progress.version,
        progress.reached,
        progress.awaited,
        timeout.as_secs()
    );
    ClientError::new(ExitStatus::Timeout, message)
}
