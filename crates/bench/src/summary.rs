//! Summaries of a load: outcomes, coverage, refusals and latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    answer::RequestOutcome,
    load::{LoadSample, SampleKind},
};

/// Largest latency that is recorded, in microseconds; larger ones are clamped.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Distribution of latencies, in microseconds.
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
    /// Maximum.
    pub max_us: u64,
}

impl LatencySummary {
    /// Summarises the given latencies.
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
    /// Requests that returned a result, complete or partial.
    pub answered: u64,
    /// Searches that covered every shard.
    pub full: u64,
    /// Mean fraction of the shards that a search with a result covered.
    pub mean_coverage: f64,
    /// Missing shards by reason.
    #[serde(rename = "lacking")]
    pub missing: IndexMap<String, u64>,
    /// Requests refused as not run, by reason.
    pub not_run: IndexMap<String, u64>,
    /// Requests with an unknown outcome, by reason.
    pub unknown: IndexMap<String, u64>,
    /// Refused requests that were retried after the given delay.
    #[serde(rename = "came_back")]
    pub retried: u64,
    /// Retries that were served in full.
    #[serde(rename = "served_later")]
    pub retries_served: u64,
    /// Requests without a complete response.
    #[serde(rename = "cut")]
    pub no_response: u64,
    /// Responses that contradict the manifest, the request or the protocol.
    #[serde(rename = "false_answers")]
    pub invalid_responses: u64,
    /// Error message of the first request that had no complete response or an
    /// invalid one.
    #[serde(rename = "first_fault")]
    pub first_failure: Option<String>,
    /// Latency of the requests that returned a result.
    pub latency: LatencySummary,
    /// Latency of the requests refused as not run.
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
        summary.latency = latency_of(&samples, has_result);
        summary.refusal_latency =
            latency_of(&samples, |outcome| matches!(outcome, RequestOutcome::NotRun { .. }));
        summary
    }

    /// Counts one outcome; returns the fraction of shards that a search covered, or
    /// zero for other outcomes.
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

const fn has_result(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Searched(_) | RequestOutcome::Ran { .. })
}

fn latency_of(
    samples: &[&LoadSample],
    selected: impl Fn(&RequestOutcome) -> bool,
) -> LatencySummary {
    let selected = samples.iter().filter(|sample| selected(&sample.outcome));
    LatencySummary::from_latencies(selected.map(|sample| sample.latency))
}
