//! Runs a load and reports it as JSON, text and a plot.

use std::{fs, path::Path, time::Duration};

use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    deployment::{Deployment, DeploymentOptions},
    error::{BenchError, BenchErrorKind},
    ledger::{ExecutionLedger, LedgerMismatches},
    load::{CallerGroup, LoadOptions, LoadSample, SampleKind, run_load},
    observe::{DeploymentCost, DeploymentReading},
    plot::plot_latencies,
    scenario::ScenarioPlan,
    summary::OutcomeSummary,
};

/// Timeout until every node is ready and every grant is held.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Results of one load on one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of arrivals, payloads and service times.
    pub seed: u64,
    /// Mean searches per second.
    pub search_rate: f64,
    /// Mean orders per second.
    pub order_rate: f64,
    /// Length of the load in seconds, including the warm-up.
    pub seconds: f64,
    /// Outcomes of the searches.
    pub searches: OutcomeSummary,
    /// Outcomes of the orders.
    pub orders: OutcomeSummary,
    /// Executions per search, by searched service, including the warm-up.
    pub extra_load: IndexMap<String, f64>,
    /// Mean of `extra_load` over the searched services.
    pub mean_extra_load: f64,
    /// Contradictions between the executions of orders and their outcomes.
    pub ledger: LedgerMismatches,
    /// Resources that the processes used, including the warm-up.
    pub cost: DeploymentCost,
}

impl LoadReport {
    /// Formats the report as lines of text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut lines = vec![format!(
            "{}: {} nodes, {} searches/s, {} orders/s, {} s, seed {}",
            self.scenario, self.nodes, self.search_rate, self.order_rate, self.seconds, self.seed
        )];
        lines.extend(outcome_lines("searches", &self.searches));
        lines.extend(outcome_lines("orders", &self.orders));
        lines.push(format!("extra load: {:.4}", self.mean_extra_load));
        lines.push(format!("limit violations: {}", self.cost.violations));
        lines.push(format!("peak connections of a server: {}", self.cost.peak_connections));
        for (node, cost) in &self.cost.nodes {
            let megabytes = cost.resident_bytes as f64 / 1e6;
            lines.push(format!("{node}: {:.3} cores, {megabytes:.1} MB", cost.cores));
        }
        for (name, value) in self.cost.counters.iter().chain(&self.cost.platform_calls) {
            lines.push(format!("{name}: {value}"));
        }
        lines.join("\n") + "\n"
    }

    /// Returns whether all invariants held: no limit violation, no contradiction
    /// in the ledger and no invalid response.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.cost.violations == 0
            && self.ledger == LedgerMismatches::default()
            && self.searches.invalid_responses == 0
            && self.orders.invalid_responses == 0
    }

    /// Writes `NAME.json`, `NAME.txt` and `NAME.svg` into a directory.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written.
    pub fn write(&self, dir: &Path, name: &str, samples: &[LoadSample]) -> Result<(), BenchError> {
        write_json(&dir.join(format!("{name}.json")), self)?;
        write_file(&dir.join(format!("{name}.txt")), &self.text())?;
        write_file(&dir.join(format!("{name}.svg")), &plot_latencies(samples)?)
    }
}

/// Starts a deployment, runs one load on it, and returns the report and the
/// samples.
///
/// # Errors
///
/// Fails when a process fails, or when the deployment does not become ready.
pub async fn measure(
    plan: ScenarioPlan,
    deployment_options: DeploymentOptions,
    options: LoadOptions,
) -> Result<(LoadReport, Vec<LoadSample>), BenchError> {
    let snapshots = deployment_options.snapshots.clone();
    let mut deployment = Deployment::start(plan, deployment_options).await?;
    deployment.wait_ready(READY_TIMEOUT).await?;
    let callers = CallerGroup::new(&deployment, &snapshots);
    measure_load(&mut deployment, &callers, options).await
}

/// Runs one load on a running deployment, and returns the report and the
/// samples after the warm-up.
///
/// # Errors
///
/// Fails when a backend server or the platform does not respond.
pub async fn measure_load(
    deployment: &mut Deployment,
    callers: &CallerGroup,
    options: LoadOptions,
) -> Result<(LoadReport, Vec<LoadSample>), BenchError> {
    let before = DeploymentReading::read(deployment).await?;
    // Backend servers also count executions of the warm-up, so the comparison
    // with the executions needs the samples of the warm-up.
    let options_with_warmup = LoadOptions { warmup: Duration::ZERO, ..options };
    let samples_with_warmup = run_load(callers, options_with_warmup).await;
    let after = DeploymentReading::read(deployment).await?;
    let cost = after.since(&before, options.length);
    let ledger = ExecutionLedger::read(deployment, deployment.plan.order_service).await?;
    let search_count =
        samples_with_warmup.iter().filter(|sample| sample.kind == SampleKind::Search).count();
    let extra_load = extra_load(&deployment.plan, &cost, search_count);
    let mean_extra_load = extra_load.values().sum::<f64>() / extra_load.len().max(1) as f64;
    let mismatches = ledger.compare(&samples_with_warmup);
    let samples: Vec<LoadSample> = samples_with_warmup
        .into_iter()
        .filter(|sample| sample.scheduled_at >= options.warmup)
        .collect();
    let report = LoadReport {
        scenario: deployment.plan.name.to_string(),
        nodes: deployment.nodes.len(),
        seed: options.seed,
        search_rate: options.search_rate,
        order_rate: options.order_rate,
        seconds: options.length.as_secs_f64(),
        searches: OutcomeSummary::from_samples(&samples, SampleKind::Search),
        orders: OutcomeSummary::from_samples(&samples, SampleKind::Order),
        extra_load,
        mean_extra_load,
        ledger: mismatches,
        cost,
    };
    Ok((report, samples))
}

/// Returns the executions per search for each searched service. Every search
/// needs one execution on each of them, since each serves one shard.
fn extra_load(
    plan: &ScenarioPlan,
    cost: &DeploymentCost,
    search_count: usize,
) -> IndexMap<String, f64> {
    let mut ratios = IndexMap::new();
    for service in plan.searched_services() {
        let executed = cost.executed.get(&service).copied().unwrap_or(0);
        ratios.insert(service, executed as f64 / search_count.max(1) as f64);
    }
    ratios
}

fn outcome_lines(name: &str, summary: &OutcomeSummary) -> Vec<String> {
    if summary.sent == 0 {
        return vec![format!("{name}: none")];
    }
    let latency = summary.latency;
    let mut lines = vec![
        format!(
            "{name}: {} sent, {} answered, {} full, coverage {:.5}, {} cut, {} false",
            summary.sent,
            summary.answered,
            summary.full,
            summary.mean_coverage,
            summary.no_response,
            summary.invalid_responses
        ),
        format!(
            "{name}: p50 {} us, p99 {} us, p99.9 {} us, max {} us",
            latency.p50_us, latency.p99_us, latency.p999_us, latency.max_us
        ),
    ];
    for (title, reasons) in [
        ("lacking", &summary.missing),
        ("not run", &summary.not_run),
        ("unknown", &summary.unknown),
    ] {
        for (reason, count) in reasons {
            lines.push(format!("{name}: {title} {reason}: {count}"));
        }
    }
    if summary.refusal_latency.count > 0 {
        lines.push(format!(
            "{name}: refusals p99 {} us, {} of {} callers that came back were served",
            summary.refusal_latency.p99_us, summary.retries_served, summary.retried
        ));
    }
    if let Some(fault) = &summary.first_failure {
        lines.push(format!("{name}: first fault: {fault}"));
    }
    lines
}

/// Writes a value to a file as JSON.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), BenchError> {
    let json = serde_json::to_string_pretty(value)
        .map_err(|error| BenchError::new(BenchErrorKind::Output, error.to_string()))?;
    write_file(path, &json)
}

fn write_file(path: &Path, text: &str) -> Result<(), BenchError> {
    fs::write(path, text).map_err(|error| {
        BenchError::new(BenchErrorKind::Output, format!("{}: {error}", path.display()))
    })
}
