//! Figures of a load: latency, coverage, extra load, refusals and costs.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    answer::CallerView,
    load::{LoadSample, SampleKind},
};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Latencies in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Largest.
    pub max_us: u64,
}

impl LatencySummary {
    /// Summarises latencies.
    #[must_use]
    pub fn of(latencies: impl Iterator<Item = Duration>) -> Self {
        let bounds = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        let Ok(mut histogram) = bounds else { return Self::default() };
        for latency in latencies {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            histogram.saturating_record(micros.max(1));
        }
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with a result.
    pub answered: u64,
    /// Answers that cover every shard, for searches.
    pub full: u64,
    /// Mean covered share of the answers' shards, for searches.
    pub mean_coverage: f64,
    /// Lacking shards by reason.
    pub lacking: IndexMap<String, u64>,
    /// Refusals as not run by reason.
    pub not_run: IndexMap<String, u64>,
    /// Unknown outcomes by reason.
    pub unknown: IndexMap<String, u64>,
    /// Refused callers that came back at the time they were told.
    pub came_back: u64,
    /// Of these, the ones that were served.
    pub served_later: u64,
    /// Requests without a whole answer.
    pub cut: u64,
    /// Answers that contradict the manifest, the request or the protocol.
    pub false_answers: u64,
    /// First message of a cut request or a false answer.
    pub first_fault: Option<String>,
    /// Latency of the requests answered with a result.
    pub latency: LatencySummary,
    /// Latency of the refusals.
    pub refusal_latency: LatencySummary,
}

impl OutcomeSummary {
    /// Summarises the samples of one kind.
    #[must_use]
    pub fn of(samples: &[LoadSample], kind: SampleKind) -> Self {
        let mut summary = Self::default();
        let samples: Vec<&LoadSample> = samples.iter().filter(|it| it.kind == kind).collect();
        let mut coverage_sum = 0.0;
        for sample in &samples {
            summary.sent += 1;
            coverage_sum += summary.count(&sample.view);
            summary.came_back += u64::from(sample.later.is_some());
            summary.served_later +=
                u64::from(sample.later.as_ref().is_some_and(CallerView::is_served));
        }
        if summary.answered > 0 {
            summary.mean_coverage = coverage_sum / summary.answered as f64;
        }
        summary.latency = latency_of(&samples, is_answered);
        summary.refusal_latency =
            latency_of(&samples, |view| matches!(view, CallerView::NotRun { .. }));
        summary
    }

    /// Counts one view; returns the covered share of an answer.
    fn count(&mut self, view: &CallerView) -> f64 {
        match view {
            CallerView::Searched(search) => {
                self.answered += 1;
                self.full += u64::from(search.lacking.is_empty());
                for reason in &search.lacking {
                    *self.lacking.entry(reason.clone()).or_default() += 1;
                }
                return search.covered as f64 / (search.covered + search.lacking.len()) as f64;
            }
            CallerView::Ran { .. } => self.answered += 1,
            CallerView::NotRun { reason, .. } => {
                *self.not_run.entry(reason.clone()).or_default() += 1;
            }
            CallerView::Unknown { reason } => {
                *self.unknown.entry(reason.clone()).or_default() += 1;
            }
            CallerView::Cut(message) => {
                self.cut += 1;
                self.first_fault.get_or_insert_with(|| message.clone());
            }
            CallerView::False(message) => {
                self.false_answers += 1;
                self.first_fault.get_or_insert_with(|| message.clone());
            }
        }
        0.0
    }
}

const fn is_answered(view: &CallerView) -> bool {
    matches!(view, CallerView::Searched(_) | CallerView::Ran { .. })
}

fn latency_of(samples: &[&LoadSample], wanted: impl Fn(&CallerView) -> bool) -> LatencySummary {
    let wanted = samples.iter().filter(|sample| wanted(&sample.view));
    LatencySummary::of(wanted.map(|sample| sample.latency))
}
