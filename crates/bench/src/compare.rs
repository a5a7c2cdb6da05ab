//! Compares two variants of a deployment in alternating rounds, by the median and
//! the range of the ratios of their figures.

use std::fmt::Write;

use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    deployment::DeploymentOptions,
    error::{BenchError, BenchErrorKind},
    load::LoadOptions,
    report::{LoadReport, measure},
    scenario::ScenarioPlan,
    variant::DeploymentVariant,
};

/// Minimum number of rounds of a comparison.
pub const MIN_ROUNDS: usize = 5;

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct CompareOptions {
    /// Number of rounds; each runs both variants once.
    pub rounds: usize,
    /// Load of each run; the round number is added to its seed.
    pub load: LoadOptions,
    /// The baseline, and the rival that is compared with it.
    pub variants: [DeploymentVariant; 2],
}

/// Values and ratios of one figure over all rounds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FigureRatio {
    /// Values of the baseline, by round.
    pub baseline: Vec<f64>,
    /// Values of the rival, by round.
    pub rival: Vec<f64>,
    /// Median of the ratios of rival to baseline, one ratio for each round.
    pub median: f64,
    /// Smallest ratio.
    pub least: f64,
    /// Largest ratio.
    pub largest: f64,
}

impl FigureRatio {
    /// Computes the ratio for each round; rounds whose baseline is zero are left
    /// out.
    #[must_use]
    pub fn from_rounds(baseline: Vec<f64>, rival: Vec<f64>) -> Self {
        let pairs = baseline.iter().zip(&rival);
        let pairs = pairs.filter(|(baseline, _)| **baseline > 0.0);
        let mut ratios: Vec<f64> = pairs.map(|(baseline, rival)| rival / baseline).collect();
        ratios.sort_by(f64::total_cmp);
        let ratio_at = |position: usize| ratios.get(position).copied().unwrap_or(f64::NAN);
        let (median, least, largest) =
            (ratio_at(ratios.len() / 2), ratio_at(0), ratio_at(ratios.len().saturating_sub(1)));
        Self { baseline, rival, median, least, largest }
    }
}

/// Results of a comparison.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CompareReport {
    /// Ratios by the name of the figure.
    pub figures: IndexMap<&'static str, FigureRatio>,
    /// Number of runs in which an invariant was violated.
    #[serde(rename = "unsound_runs")]
    pub invalid_runs: usize,
}

impl CompareReport {
    /// Formats the report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "{:<22}{:>12}{:>12}{:>9}{:>18}\n",
            "figure", "baseline", "rival", "ratio", "least - largest"
        );
        for (name, figure) in &self.figures {
            let (baseline, rival) = (median(&figure.baseline), median(&figure.rival));
            let spread = format!("{:.3} - {:.3}", figure.least, figure.largest);
            let median = figure.median;
            // Writing to a string never fails.
            let _ =
                writeln!(text, "{name:<22}{baseline:>12.4}{rival:>12.4}{median:>9.3}{spread:>18}");
        }
        text
    }
}

/// Runs both variants in each round and compares their figures.
///
/// # Errors
///
/// Fails on fewer than [`MIN_ROUNDS`] rounds, and when a run fails.
pub async fn compare(
    plan: &ScenarioPlan,
    deployment: &DeploymentOptions,
    options: &CompareOptions,
) -> Result<CompareReport, BenchError> {
    if options.rounds < MIN_ROUNDS {
        let message = format!("{} rounds are fewer than {MIN_ROUNDS}", options.rounds);
        return Err(BenchError::new(BenchErrorKind::Usage, message));
    }
    let mut figures: IndexMap<&'static str, [Vec<f64>; 2]> = IndexMap::new();
    let mut invalid_runs = 0;
    for round in 0..options.rounds {
        for turn in 0..2 {
            // The variants swap their order in each round, so that a gradual
            // change of the machine's speed does not favour one of them.
            let variant_idx = (round + turn) % 2;
            let report = run_variant(plan, deployment, options, round, variant_idx).await?;
            invalid_runs += usize::from(!report.is_valid());
            for (name, value) in report_figures(&report) {
                figures.entry(name).or_default()[variant_idx].push(value);
            }
        }
    }
    let figures = figures.into_iter();
    let figures =
        figures.map(|(name, [baseline, rival])| (name, FigureRatio::from_rounds(baseline, rival)));
    Ok(CompareReport { figures: figures.collect(), invalid_runs })
}

async fn run_variant(
    plan: &ScenarioPlan,
    deployment: &DeploymentOptions,
    options: &CompareOptions,
    round: usize,
    variant_idx: usize,
) -> Result<LoadReport, BenchError> {
    let mut plan = plan.clone();
    let mut deployment = deployment.clone();
    deployment.run_dir = deployment.run_dir.join(format!("round-{round}-{variant_idx}"));
    let mut load = options.load;
    load.seed += round as u64;
    deployment.seed = load.seed;
    options.variants[variant_idx].apply(&mut plan, &mut deployment);
    measure(plan, deployment, load).await.map(|(report, _)| report)
}

fn report_figures(report: &LoadReport) -> [(&'static str, f64); 16] {
    let searches = &report.searches;
    let millis = |micros: u64| micros as f64 / 1e3;
    let cores: f64 = report.cost.nodes.values().map(|node| node.cores).sum();
    let resident: u64 = report.cost.nodes.values().map(|node| node.resident_bytes).sum();
    let calls = report.cost.platform_calls.get("total").copied().unwrap_or(0);
    [
        ("search p50 ms", millis(searches.latency.p50_us)),
        ("search p99 ms", millis(searches.latency.p99_us)),
        ("search p99.9 ms", millis(searches.latency.p999_us)),
        ("coverage", searches.mean_coverage),
        ("searches full", searches.full as f64),
        ("searches sent", searches.sent as f64),
        ("extra load", report.mean_extra_load),
        ("order p99 ms", millis(report.orders.latency.p99_us)),
        ("orders answered", report.orders.answered as f64),
        ("orders sent", report.orders.sent as f64),
        ("cores of all nodes", cores),
        ("MB of all nodes", resident as f64 / 1e6),
        ("platform calls", calls as f64),
        ("connections opened", report.cost.connections_opened as f64),
        ("most at one server", report.cost.peak_connections as f64),
        ("limit violations", report.cost.violations as f64),
    ]
}

fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
