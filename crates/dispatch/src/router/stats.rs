//! What one entry node has seen of one backend server.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_wire::RefusalReason;

use super::condition::{ConditionEvent, ServerCondition};
use crate::estimate::{MeanEstimate, as_micros};

/// Weight of one attempt in the failure rate.
const FAILURE_WEIGHT: f64 = 1.0 / 8.0;

/// Failure rate at which a server is ejected: four failures in a row.
const EJECT_FAILURE_RATE: f64 = 0.4;

/// A server is ejected when it is this many times slower than its best peer.
pub(super) const EJECT_SLOWNESS: f64 = 4.0;

/// Samples before a server's time counts against it.
pub(super) const EJECT_SAMPLES: u32 = 8;

/// Smallest difference of times that leads to an ejection.
const EJECT_DIFFERENCE_US: f64 = 1_000.0;

/// Time from an ejection to the first probe.
const PROBE_DELAY: Duration = Duration::from_millis(250);

/// Longest time between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Probes in a row that must pass; a slow server answers some requests fast.
const PASSED_PROBES: u8 = 3;

/// Time over which a cold server's share grows to the whole.
const RAMP: Duration = Duration::from_secs(2);

/// Samples before a server can be warm.
const WARM_SAMPLES: u32 = 8;

/// Smallest weight of a cold server.
const COLD_WEIGHT: f64 = 0.1;

/// Time after which an observation no longer counts.
const STALE: Duration = Duration::from_secs(1);

/// Time for which a reported queue length counts.
const QUEUE_STALE: Duration = Duration::from_millis(200);

/// Time for which a reported queue keeps hedges away.
const HEDGE_QUEUE_STALE: Duration = Duration::from_millis(20);

/// Longest time that a refusal of the holder keeps requests away.
const MAX_AVOID: Duration = Duration::from_millis(100);

/// Time for which a server is passed over for a snapshot that it lacks.
const SNAPSHOT_AVOID: Duration = Duration::from_millis(500);

/// Assumed whole time of a cancelled request, as a multiple of the time it had.
const CANCELLED_FACTOR: u32 = 2;

/// Factor on the score of a server that just refused.
const AVOID_FACTOR: f64 = 8.0;

/// Factor on the score of a server in another availability zone.
const OTHER_ZONE_FACTOR: f64 = 1.25;

/// Latency assumed before anything was observed.
const PRIOR_US: f64 = 5_000.0;

/// How one attempt ended, seen from the entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The whole reply came.
    Answered,
    /// The holder's queue was too long for it.
    Overloaded,
    /// The path to the server refused it; not the server's fault.
    Refused,
    /// The server shed it, failed, or went silent.
    Failed,
    /// The server lacks the snapshot.
    SnapshotMissing,
    /// The attempt was given up while it ran.
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

/// One finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptObservation {
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since it was sent.
    pub latency: Duration,
    /// Queue length that the holder reported.
    pub queue_length: u16,
    /// Time that the server took, zero if unknown.
    pub service: Duration,
    /// Time after which the holder expects to take requests again.
    pub retry_after: Duration,
    /// The snapshot that was asked for.
    pub snapshot: Option<u64>,
}

/// Counts and estimates for one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerStats {
    pub(super) usable: bool,
    pub(super) condition: ServerCondition,
    pub(super) in_flight: u32,
    pub(super) latency: MeanEstimate,
    /// Time on the server, without the queue.
    pub(super) service: MeanEstimate,
    queue_length: u16,
    queue_seen: BootTime,
    seen: BootTime,
    avoid_until: BootTime,
    failure_rate: f64,
    cold_since: BootTime,
    ejections: u8,
    probe_at: BootTime,
    passed_probes: u8,
    lacking: Option<(u64, BootTime)>,
    load_hint: f64,
}

impl ServerStats {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            usable: false,
            condition: ServerCondition::initial(),
            in_flight: 0,
            latency: MeanEstimate::default(),
            service: MeanEstimate::default(),
            queue_length: 0,
            queue_seen: BootTime::ZERO,
            seen: BootTime::ZERO,
            avoid_until: BootTime::ZERO,
            failure_rate: 0.0,
            cold_since: now,
            ejections: 0,
            probe_at: BootTime::ZERO,
            passed_probes: 0,
            lacking: None,
            load_hint: 0.0,
        }
    }

    /// Marks the start of a ramp.
    pub(super) fn restart_ramp(&mut self, now: BootTime) {
        self.cold_since = now;
        self.failure_rate = 0.0;
        self.latency = MeanEstimate::default();
        self.service = MeanEstimate::default();
    }

    /// Whether it takes new requests at all.
    pub(super) const fn is_open(&self) -> bool {
        self.usable && !matches!(self.condition, ServerCondition::Leaving)
    }

    /// Whether the server said that it lacks the snapshot.
    pub(super) fn lacks(&self, snapshot: Option<u64>, now: BootTime) -> bool {
        self.lacking.is_some_and(|(number, until)| Some(number) == snapshot && now < until)
    }

    /// Whether a hedge may go there: warm, and nothing known to wait.
    pub(super) fn takes_hedge(&self, now: BootTime) -> bool {
        self.condition == ServerCondition::Warm && self.known_queue(now, HEDGE_QUEUE_STALE) == 0
    }

    /// Whether an ejected server is due for a probe.
    pub(super) fn probe_due(&self, now: BootTime) -> bool {
        self.condition == ServerCondition::Ejected && now >= self.probe_at
    }

    /// Notes that a probe was sent; the next one waits.
    pub(super) fn note_probe(&mut self, now: BootTime) {
        self.probe_at = now + MAX_PROBE_DELAY;
    }

    /// Expected cost of one more request; lower is better.
    pub(super) fn score(&self, now: BootTime, peer_us: f64, slots: u16, own_zone: bool) -> f64 {
        let prior_us = if peer_us > 0.0 { peer_us } else { PRIOR_US };
        let age = now.since(self.seen).as_secs_f64() / STALE.as_secs_f64();
        let fresh = if self.latency.samples() == 0 { 0.0 } else { (1.0 - age).max(0.0) };
        let hinted_us = prior_us * (1.0 + self.load_hint);
        let mut expected_us = self.latency.mean_us() * fresh + hinted_us * (1.0 - fresh);
        expected_us *= f64::from(self.in_flight + 1);
        let queue_length = f64::from(self.known_queue(now, QUEUE_STALE));
        expected_us += queue_length * self.service.mean_us() / f64::from(slots.max(1));
        if now < self.avoid_until {
            expected_us *= AVOID_FACTOR;
        }
        if !own_zone {
            expected_us *= OTHER_ZONE_FACTOR;
        }
        expected_us / self.weight(now)
    }

    /// Queue length reported within the given time, else zero.
    fn known_queue(&self, now: BootTime, stale: Duration) -> u16 {
        if now.since(self.queue_seen) < stale { self.queue_length } else { 0 }
    }

    /// Share of a warm server's load that it takes now.
    fn weight(&self, now: BootTime) -> f64 {
        if self.condition != ServerCondition::Cold {
            return 1.0;
        }
        let grown = now.since(self.cold_since).as_secs_f64() / RAMP.as_secs_f64();
        grown.clamp(COLD_WEIGHT, 1.0)
    }

    /// Keeps a load that the server reported, for times without own observations.
    pub(super) const fn set_load_hint(&mut self, load: f64) {
        self.load_hint = load.clamp(0.0, 10.0);
    }

    /// Takes in the end of one attempt; `peer_us` is the best peer's mean or zero.
    pub(super) fn observe(
        &mut self,
        now: BootTime,
        observation: &AttemptObservation,
        peer_us: f64,
    ) -> Option<ConditionEvent> {
        match observation.status {
            AttemptStatus::Answered => self.observe_answer(now, observation, peer_us),
            AttemptStatus::Failed => self.observe_failure(now),
            AttemptStatus::Refused | AttemptStatus::Overloaded => {
                self.avoid_until = now + observation.retry_after.min(MAX_AVOID);
                self.note_queue(now, observation);
                None
            }
            AttemptStatus::SnapshotMissing => {
                self.lacking = observation.snapshot.map(|number| (number, now + SNAPSHOT_AVOID));
                None
            }
            AttemptStatus::Cancelled => {
                // The whole latency is unknown but at least this long.
                let long = as_micros(observation.latency) > self.latency.mean_us();
                if !long || self.latency.samples() == 0 {
                    return None;
                }
                self.latency.record_cut(observation.latency);
                self.seen = now;
                if self.known_queue(now, QUEUE_STALE) > 0 {
                    return None;
                }
                self.service.record_cut(observation.latency * CANCELLED_FACTOR);
                self.check_slowness(now, peer_us)
            }
        }
    }

    fn observe_answer(
        &mut self,
        now: BootTime,
        observation: &AttemptObservation,
        peer_us: f64,
    ) -> Option<ConditionEvent> {
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        self.note_queue(now, observation);
        let known = !observation.service.is_zero();
        let service = if known { observation.service } else { observation.latency };
        if self.condition == ServerCondition::Ejected {
            return self.judge_probe(now, as_micros(service), peer_us);
        }
        self.latency.record_cut(observation.latency);
        self.service.record_cut(service);
        if let Some(event) = self.check_slowness(now, peer_us) {
            return Some(event);
        }
        let ramped = now.since(self.cold_since) >= RAMP;
        if self.condition == ServerCondition::Cold
            && ramped
            && self.latency.samples() >= WARM_SAMPLES
        {
            self.ejections = 0;
            return Some(ConditionEvent::RampDone);
        }
        None
    }

    fn judge_probe(
        &mut self,
        now: BootTime,
        service_us: f64,
        peer_us: f64,
    ) -> Option<ConditionEvent> {
        if is_slow(service_us, peer_us) {
            self.schedule_probe(now);
            return None;
        }
        self.passed_probes += 1;
        if self.passed_probes < PASSED_PROBES {
            self.probe_at = now;
            return None;
        }
        self.restart_ramp(now);
        Some(ConditionEvent::ProbePassed)
    }

    fn observe_failure(&mut self, now: BootTime) -> Option<ConditionEvent> {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.seen = now;
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

    fn check_slowness(&mut self, now: BootTime, peer_us: f64) -> Option<ConditionEvent> {
        let known = self.service.samples() >= EJECT_SAMPLES;
        if !known || !is_slow(self.service.mean_us(), peer_us) {
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

    fn note_queue(&mut self, now: BootTime, observation: &AttemptObservation) {
        self.seen = now;
        self.queue_seen = now;
        self.queue_length = observation.queue_length;
    }
}

fn is_slow(service_us: f64, peer_us: f64) -> bool {
    peer_us > 0.0
        && service_us > peer_us * EJECT_SLOWNESS
        && service_us > peer_us + EJECT_DIFFERENCE_US
}
