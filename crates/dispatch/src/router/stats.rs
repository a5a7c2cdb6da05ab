//! Observations of one backend server by one entry node.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_wire::RefusalReason;

use super::condition::{ConditionEvent, ServerCondition};
use crate::estimate::{MeanEstimate, as_micros};

/// Weight of one attempt in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 1.0 / 8.0;

/// Failure rate at which a server is ejected; four failures in a row reach it.
const EJECT_FAILURE_RATE: f64 = 0.4;

/// Multiple of the service time of its service's fastest other server above which a server
/// is ejected.
pub(super) const EJECT_SLOWNESS: f64 = 4.0;

/// Minimum number of service time samples to compare a server with its service's others.
pub(super) const MIN_EJECT_SAMPLES: u32 = 8;

/// Minimum excess over the service time of the fastest other server for an ejection.
const MIN_EJECT_EXCESS_US: f64 = 1_000.0;

/// Initial delay before an ejected server is probed; doubles with each ejection or failed probe.
const PROBE_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay before the next probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Number of probes in a row that must pass, since a slow server answers some requests fast.
const REQUIRED_PROBES: u8 = 3;

/// Time in which a cold server's share of the load ramps up to its full share.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Minimum number of latency samples for a server to become warm.
const MIN_WARM_SAMPLES: u32 = 8;

/// Minimum weight of a cold server.
const MIN_COLD_WEIGHT: f64 = 0.1;

/// Time in which the weight of the observed latency falls to zero.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(1);

/// Time for which a reported queue length counts in the score.
const QUEUE_LENGTH_MAX_AGE: Duration = Duration::from_millis(200);

/// Time for which a reported non-empty queue prevents hedges.
const HEDGE_QUEUE_LENGTH_MAX_AGE: Duration = Duration::from_millis(20);

/// Maximum time for which a refusal by the holder worsens a server's score.
const MAX_AVOID_TIME: Duration = Duration::from_millis(100);

/// Time for which a server is skipped for a snapshot that it is missing.
const SNAPSHOT_AVOID_TIME: Duration = Duration::from_millis(500);

/// Assumed service time of a cancelled request, as a multiple of its time until the cancellation.
const CANCELLED_FACTOR: u32 = 2;

/// Factor on the score of a server whose holder just refused a request.
const AVOID_FACTOR: f64 = 8.0;

/// Factor on the score of a server outside the entry node's availability zone.
const OTHER_ZONE_FACTOR: f64 = 1.25;

/// Latency assumed before the first observation, in microseconds.
const INITIAL_LATENCY_US: f64 = 5_000.0;

/// Final status of one attempt, as seen by the entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The complete reply arrived.
    Answered,
    /// The holder's queue was too long for the attempt.
    Overloaded,
    /// The holder or the path to it refused the attempt; not the server's fault.
    Refused,
    /// The server shed the attempt, failed or stopped responding.
    Failed,
    /// The server does not have the snapshot.
    SnapshotMissing,
    /// The attempt was cancelled while in flight, or its deadline passed.
    Cancelled,
}

impl From<RefusalReason> for AttemptStatus {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::ServerShed
            | RefusalReason::ReplyMismatch
            | RefusalReason::ReplyTruncated
            | RefusalReason::ConnectFailed
            | RefusalReason::ConnectionLost
            | RefusalReason::ConnectionSilent
            | RefusalReason::ServerError => Self::Failed,
            RefusalReason::SnapshotGone | RefusalReason::SnapshotAhead => Self::SnapshotMissing,
            RefusalReason::DeadlinePassed | RefusalReason::Cancelled => Self::Cancelled,
            RefusalReason::DeadlineUnreachable
            | RefusalReason::QueueFull
            | RefusalReason::CallerLimit => Self::Overloaded,
            _ => Self::Refused,
        }
    }
}

/// Observation of one finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptObservation {
    /// Final status of the attempt.
    pub status: AttemptStatus,
    /// Time since the attempt was sent.
    pub latency: Duration,
    /// Queue length that the holder reported.
    pub queue_length: u16,
    /// Time that the backend server took, zero if unknown.
    pub service_time: Duration,
    /// Delay after which the holder expects to accept requests again.
    pub retry_after: Duration,
    /// The requested snapshot.
    pub snapshot: Option<u64>,
}

/// Counters and estimates for one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerStats {
    pub(super) usable: bool,
    pub(super) condition: ServerCondition,
    pub(super) in_flight: u32,
    pub(super) latency: MeanEstimate,
    /// Time on the backend server, without the time in the queue.
    pub(super) service_time: MeanEstimate,
    queue_length: u16,
    queue_observed_at: BootTime,
    observed_at: BootTime,
    avoid_until: BootTime,
    failure_rate: f64,
    ramp_started: BootTime,
    ejections: u8,
    probe_at: BootTime,
    passed_probes: u8,
    missing_snapshot: Option<(u64, BootTime)>,
    load_hint: f64,
}

impl ServerStats {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            usable: false,
            condition: ServerCondition::initial(),
            in_flight: 0,
            latency: MeanEstimate::default(),
            service_time: MeanEstimate::default(),
            queue_length: 0,
            queue_observed_at: BootTime::ZERO,
            observed_at: BootTime::ZERO,
            avoid_until: BootTime::ZERO,
            failure_rate: 0.0,
            ramp_started: now,
            ejections: 0,
            probe_at: BootTime::ZERO,
            passed_probes: 0,
            missing_snapshot: None,
            load_hint: 0.0,
        }
    }

    /// Restarts the ramp-up and drops the estimates.
    pub(super) fn restart_ramp(&mut self, now: BootTime) {
        self.ramp_started = now;
        self.failure_rate = 0.0;
        self.latency = MeanEstimate::default();
        self.service_time = MeanEstimate::default();
    }

    /// Returns whether the server accepts new requests.
    pub(super) const fn accepts_requests(&self) -> bool {
        self.usable && !matches!(self.condition, ServerCondition::Leaving)
    }

    /// Returns whether the server recently reported that it does not have the snapshot.
    pub(super) fn is_missing_snapshot(&self, snapshot: Option<u64>, now: BootTime) -> bool {
        self.missing_snapshot.is_some_and(|(number, until)| Some(number) == snapshot && now < until)
    }

    /// Returns whether the server may get hedges: it is warm and no waiting requests are known.
    pub(super) fn accepts_hedge(&self, now: BootTime) -> bool {
        self.condition == ServerCondition::Warm
            && self.recent_queue_length(now, HEDGE_QUEUE_LENGTH_MAX_AGE) == 0
    }

    /// Returns whether the server is ejected and due for a probe.
    pub(super) fn probe_due(&self, now: BootTime) -> bool {
        self.condition == ServerCondition::Ejected && now >= self.probe_at
    }

    /// Schedules the next probe after one was sent.
    pub(super) fn on_probe_sent(&mut self, now: BootTime) {
        self.probe_at = now + MAX_PROBE_DELAY;
    }

    /// Returns the expected latency of one more request, weighted by penalties; lower is better.
    ///
    /// `mean_latency_us` is the service's mean latency, or zero if unknown.
    pub(super) fn score(
        &self,
        now: BootTime,
        mean_latency_us: f64,
        slots: u16,
        is_local_zone: bool,
    ) -> f64 {
        let fallback_us = if mean_latency_us > 0.0 { mean_latency_us } else { INITIAL_LATENCY_US };
        let age = now.since(self.observed_at).as_secs_f64() / LATENCY_MAX_AGE.as_secs_f64();
        let freshness = if self.latency.samples() == 0 { 0.0 } else { (1.0 - age).max(0.0) };
        let hinted_us = fallback_us * (1.0 + self.load_hint);
        let mut expected_us = self.latency.mean_us() * freshness + hinted_us * (1.0 - freshness);
        expected_us *= f64::from(self.in_flight + 1);
        let queue_length = f64::from(self.recent_queue_length(now, QUEUE_LENGTH_MAX_AGE));
        expected_us += queue_length * self.service_time.mean_us() / f64::from(slots.max(1));
        if now < self.avoid_until {
            expected_us *= AVOID_FACTOR;
        }
        if !is_local_zone {
            expected_us *= OTHER_ZONE_FACTOR;
        }
        expected_us / self.weight(now)
    }

    /// Returns the queue length if it was reported less than `max_age` ago, else zero.
    fn recent_queue_length(&self, now: BootTime, max_age: Duration) -> u16 {
        if now.since(self.queue_observed_at) < max_age { self.queue_length } else { 0 }
    }

    /// Returns the share of a warm server's load that the server takes now.
    fn weight(&self, now: BootTime) -> f64 {
        if self.condition != ServerCondition::Cold {
            return 1.0;
        }
        let ramp_share = now.since(self.ramp_started).as_secs_f64() / RAMP_TIME.as_secs_f64();
        ramp_share.clamp(MIN_COLD_WEIGHT, 1.0)
    }

    /// Stores the load that the server reported, used while there are no recent observations.
    pub(super) const fn set_load_hint(&mut self, load: f64) {
        self.load_hint = load.clamp(0.0, 10.0);
    }

    /// Records a finished attempt and returns the resulting change of condition, if any.
    ///
    /// `best_replica_us` is the smallest mean service time of the service's other servers, or zero
    /// if unknown.
    pub(super) fn observe(
        &mut self,
        now: BootTime,
        observation: &AttemptObservation,
        best_replica_us: f64,
    ) -> Option<ConditionEvent> {
        match observation.status {
            AttemptStatus::Answered => self.observe_answer(now, observation, best_replica_us),
            AttemptStatus::Failed => self.observe_failure(now),
            AttemptStatus::Refused | AttemptStatus::Overloaded => {
                self.avoid_until = now + observation.retry_after.min(MAX_AVOID_TIME);
                self.record_queue_length(now, observation);
                None
            }
            AttemptStatus::SnapshotMissing => {
                self.missing_snapshot =
                    observation.snapshot.map(|number| (number, now + SNAPSHOT_AVOID_TIME));
                None
            }
            AttemptStatus::Cancelled => {
                // The complete latency is unknown, but at least this long.
                let is_slower = as_micros(observation.latency) > self.latency.mean_us();
                if !is_slower || self.latency.samples() == 0 {
                    return None;
                }
                self.latency.record_clamped(observation.latency);
                self.observed_at = now;
                if self.recent_queue_length(now, QUEUE_LENGTH_MAX_AGE) > 0 {
                    return None;
                }
                self.service_time.record_clamped(observation.latency * CANCELLED_FACTOR);
                self.check_slowness(now, best_replica_us)
            }
        }
    }

    fn observe_answer(
        &mut self,
        now: BootTime,
        observation: &AttemptObservation,
        best_replica_us: f64,
    ) -> Option<ConditionEvent> {
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        self.record_queue_length(now, observation);
        let is_reported = !observation.service_time.is_zero();
        let service_time = if is_reported { observation.service_time } else { observation.latency };
        if self.condition == ServerCondition::Ejected {
            return self.observe_probe(now, as_micros(service_time), best_replica_us);
        }
        self.latency.record_clamped(observation.latency);
        self.service_time.record_clamped(service_time);
        if let Some(event) = self.check_slowness(now, best_replica_us) {
            return Some(event);
        }
        let is_ramp_over = now.since(self.ramp_started) >= RAMP_TIME;
        if self.condition == ServerCondition::Cold
            && is_ramp_over
            && self.latency.samples() >= MIN_WARM_SAMPLES
        {
            self.ejections = 0;
            return Some(ConditionEvent::RampDone);
        }
        None
    }

    fn observe_probe(
        &mut self,
        now: BootTime,
        service_us: f64,
        best_replica_us: f64,
    ) -> Option<ConditionEvent> {
        if is_slow(service_us, best_replica_us) {
            self.schedule_probe(now);
            return None;
        }
        self.passed_probes += 1;
        if self.passed_probes < REQUIRED_PROBES {
            self.probe_at = now;
            return None;
        }
        self.restart_ramp(now);
        Some(ConditionEvent::ProbePassed)
    }

    fn observe_failure(&mut self, now: BootTime) -> Option<ConditionEvent> {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.observed_at = now;
        if self.condition == ServerCondition::Ejected {
            self.schedule_probe(now);
            return None;
        }
        if self.failure_rate < EJECT_FAILURE_RATE {
            return None;
        }
        self.schedule_probe(now);
        Some(ConditionEvent::Tripped)
    }

    fn check_slowness(&mut self, now: BootTime, best_replica_us: f64) -> Option<ConditionEvent> {
        let known = self.service_time.samples() >= MIN_EJECT_SAMPLES;
        if !known || !is_slow(self.service_time.mean_us(), best_replica_us) {
            return None;
        }
        self.schedule_probe(now);
        Some(ConditionEvent::Tripped)
    }

    fn schedule_probe(&mut self, now: BootTime) {
        let delay = PROBE_DELAY * 2u32.pow(u32::from(self.ejections.min(4)));
        self.probe_at = now + delay.min(MAX_PROBE_DELAY);
        self.passed_probes = 0;
        self.ejections = self.ejections.saturating_add(1);
    }

    fn record_queue_length(&mut self, now: BootTime, observation: &AttemptObservation) {
        self.observed_at = now;
        self.queue_observed_at = now;
        self.queue_length = observation.queue_length;
    }
}

fn is_slow(service_us: f64, best_replica_us: f64) -> bool {
    best_replica_us > 0.0
        && service_us > best_replica_us * EJECT_SLOWNESS
        && service_us > best_replica_us + MIN_EJECT_EXCESS_US
}
