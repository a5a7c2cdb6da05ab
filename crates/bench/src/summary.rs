//! Figures of a load: latency, coverage, extra load, refusals and costs.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    answer::RequestOutcome,
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
    pub fn from_latencies(latencies: impl Iterator<Item = Duration>) -> Self {
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
    #[serde(rename = "lacking")]
    pub missing: IndexMap<String, u64>,
    /// Refusals as not run by reason.
    pub not_run: IndexMap<String, u64>,
    /// Unknown outcomes by reason.
    pub unknown: IndexMap<String, u64>,
    /// Refused callers that came back at the time they were told.
    #[serde(rename = "came_back")]
    pub retried: u64,
    /// Of these, the ones that were served.
    #[serde(rename = "served_later")]
    pub retries_served: u64,
    /// Requests without a whole answer.
    #[serde(rename = "cut")]
    pub no_response: u64,
    /// Answers that contradict the manifest, the request or the protocol.
    #[serde(rename = "false_answers")]
    pub invalid_responses: u64,
    /// First message of a cut request or a false answer.
    #[serde(rename = "first_fault")]
    pub first_failure: Option<String>,
    /// Latency of the requests answered with a result.
    pub latency: LatencySummary,
    /// Latency of the refusals.
    pub refusal_latency: LatencySummary,
}

impl OutcomeSummary {
    /// Summarises the samples of one kind.
    #[must_use]
    pub fn from_samples(samples: &[LoadSample], kind: SampleKind) -> Self {
        let mut summary = Self::default();
        let samples: Vec<&LoadSample> =
            samples.iter().filter(|sample| sample.kind == kind).collect();
        let mut coverage_sum = 0.0;
        for sample in &samples {
            summary.sent += 1;
            coverage_sum += summary.record_outcome(&sample.outcome);
            summary.retried += u64::from(sample.retry_outcome.is_some());
            summary.retries_served +=
                u64::from(sample.retry_outcome.as_ref().is_some_and(RequestOutcome::is_served));
        }
        if summary.answered > 0 {
            summary.mean_coverage = coverage_sum / summary.answered as f64;
        }
        summary.latency = latency_of(&samples, is_answered);
        summary.refusal_latency =
            latency_of(&samples, |outcome| matches!(outcome, RequestOutcome::NotRun { .. }));
        summary
    }

    /// Counts one view; returns the covered share of an answer.
    fn record_outcome(&mut self, outcome: &RequestOutcome) -> f64 {
        match outcome {
            RequestOutcome::Searched(search) => {
                self.answered += 1;
                self.full += u64::from(search.missing.is_empty());
                for reason in &search.missing {
                    *self.missing.entry(reason.clone()).or_default() += 1;
                }
                return search.covered as f64 / (search.covered + search.missing.len()) as f64;
            }
            RequestOutcome::Ran { .. } => self.answered += 1,
            RequestOutcome::NotRun { reason, .. } => {
                *self.not_run.entry(reason.clone()).or_default() += 1;
            }
            RequestOutcome::Unknown { reason } => {
                *self.unknown.entry(reason.clone()).or_default() += 1;
            }
            RequestOutcome::NoResponse(message) => {
                self.no_response += 1;
                self.first_failure.get_or_insert_with(|| message.clone());
            }
            RequestOutcome::Invalid(message) => {
                self.invalid_responses += 1;
                self.first_failure.get_or_insert_with(|| message.clone());
            }
        }
        0.0
    }
}

const fn is_answered(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Searched(_) | RequestOutcome::Ran { .. })
}

fn latency_of(
    samples: &[&LoadSample],
    selected: impl Fn(&RequestOutcome) -> bool,
) -> LatencySummary {
    let selected = samples.iter().filter(|sample| selected(&sample.outcome));
    LatencySummary::from_latencies(selected.map(|sample| sample.latency))
}
