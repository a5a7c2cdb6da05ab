//! Load and health of one backend server, as observed by this node.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::{
    fleet::ServiceKey,
    links::ServerLink,
    model::{ServerEntry, ServerPhase},
    observations::ServerTrouble,
    pace::{PaceEnd, PaceRule, PaceSign, ServerPace},
    quota::NodeShare,
    stats::AttemptOutcome,
};

/// Weight of one attempt in a server's slowness.
const SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

/// Backoff time after a server shed a request.
const SHED_BACKOFF: Duration = Duration::from_millis(20);

/// Backoff time after a server could not be reached once; doubles with each further
/// failure.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff time for a server that cannot be reached.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Longest pause after a refusal that a server may ask for. A longer one would take the
/// server out of use because of one damaged response.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// Time without any response after which what was observed of a server is forgotten. It is
/// then taken for as fast as the fastest one of its service and tried again, at a pace.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(10);

/// Time after which a server that has never been observed is taken for that fast.
const UNOBSERVED_TIME: Duration = Duration::from_secs(3);

/// Slowness of a server of which nothing is known until then: that of a median response.
const DEFAULT_SLOWNESS: f64 = 1.0;

/// Lower bound on the slowness in the score, because smaller values are noise.
const MIN_SLOWNESS: f64 = 0.5;

/// Upper bound on the latency of one attempt, in multiples of the median, to limit
/// the effect of outliers.
const MAX_SLOWNESS: f64 = 20.0;

/// Upper bound on the window: this node's requests in flight at a server.
const MAX_WINDOW: f64 = 8.0;

/// Growth of the window per window of answers (additive increase, as in congestion
/// control).
const WINDOW_GROWTH: f64 = 0.5;

/// Share of its latency objective beyond which an attempt indicates a queue at the
/// server. Requests should rather wait at the node, which knows their priorities.
const MAX_OBJECTIVE_SHARE: f64 = 0.3;

/// Factor on the window after such an answer (multiplicative decrease).
const QUEUED_WINDOW_FACTOR: f64 = 0.8;

/// Factor on the window after a server refused a request because it was full.
const REFUSED_WINDOW_FACTOR: f64 = 0.6;

/// Latency of an attempt relative to the median and the objective of its class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLatency {
    pub(crate) in_medians: f64,
    pub(crate) in_objectives: f64,
}

/// What the outcomes of requests have shown of a server.
#[derive(Clone, Copy, Debug)]
struct ObservedHealth {
    /// Moving average of the latency, in multiples of the class's median.
    slowness: f64,
}

#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) entry: ServerEntry,
    pub(crate) service: ServiceKey,
    pub(crate) in_flight: u32,
    pub(crate) link: ServerLink,
    /// Estimated number of this node's requests that the server can process at once.
    window: f64,
    /// Start of the wait for the next response, while requests are in flight.
    pub(crate) waiting_since: BootTime,
    /// What this node's requests have shown; an assumption until the first one has ended.
    health: ObservedHealth,
    /// Until when that holds.
    health_until: BootTime,
    /// Recent failures.
    pub(crate) trouble: ServerTrouble,
    /// Whether a request has shown something of it since its start or since its links were
    /// lost. Lost links say nothing of the server itself.
    is_observed: bool,
    pub(crate) backoff_until: BootTime,
    /// Until when the server wants no requests from this node.
    pub(crate) paused_until: BootTime,
    unreachable_count: u32,
    pub(crate) cold_until: BootTime,
    pace_rule: PaceRule,
    /// Set while it gets fewer requests than others, since it has started or recovered.
    pace: Option<ServerPace>,
    is_misdirected: bool,
    /// Whether the servers of its zone get no requests.
    pub(crate) is_evacuated: bool,
    /// Since when the server may have crashed, unless it has responded on an older connection.
    pub(crate) accused_since: Option<BootTime>,
    /// This node's part of the limit that the server names.
    pub(crate) quota: Option<NodeShare>,
    /// This node's part of the limit that holds while the server is cold.
    pub(crate) cold_quota: Option<NodeShare>,
}

/// Returns the slowness to expect of a server of which nothing is known: that of the
/// fastest one of its service, so that neither is preferred.
pub(crate) fn typical_slowness<'fleet>(
    now: BootTime,
    servers: impl Iterator<Item = &'fleet ServerState>,
) -> f64 {
    let recent = servers.filter(|server| now < server.health_until);
    recent.map(|server| server.health.slowness).min_by(f64::total_cmp).unwrap_or(DEFAULT_SLOWNESS)
}

impl ServerState {
    /// Creates the state of a server without any observations.
    pub(crate) fn new(
        now: BootTime,
        entry: ServerEntry,
        service: ServiceKey,
        pace_rule: PaceRule,
    ) -> Self {
        let cold_until = now + entry.cold_left;
        Self {
            cold_until,
            pace_rule,
            pace: Some(ServerPace::new(pace_rule, now, cold_until)),
            entry,
            service,
            in_flight: 0,
            link: ServerLink::new(),
            window: MAX_WINDOW,
            waiting_since: now,
            health: ObservedHealth { slowness: DEFAULT_SLOWNESS },
            trouble: ServerTrouble::default(),
            health_until: now + UNOBSERVED_TIME,
            is_observed: false,
            backoff_until: BootTime::ZERO,
            paused_until: BootTime::ZERO,
            unreachable_count: 0,
            is_misdirected: false,
            is_evacuated: false,
            accused_since: None,
            quota: None,
            cold_quota: None,
        }
    }

    /// Applies a new report of the same incarnation.
    pub(crate) fn apply_report(&mut self, now: BootTime, entry: ServerEntry) {
        if entry.report_number != self.entry.report_number {
            self.record_cold(now, entry.cold_left);
        }
        self.entry = entry;
        self.is_misdirected = false;
    }

    /// Returns the limit on this node's requests in flight at the server; at least 1.
    pub(crate) fn window(&self) -> u32 {
        (self.window as u32).max(1)
    }

    /// Returns the expected cost of one more request in multiples of the class's median
    /// latency. `typical_slowness` is that of a server of which nothing is known.
    pub(crate) fn expected_load(&self, now: BootTime, typical_slowness: f64) -> f64 {
        let health = self.health_at(now, typical_slowness);
        f64::from(self.in_flight + 1) * health.slowness.max(MIN_SLOWNESS)
    }

    /// Returns how good the server is at the moment, in comparison with the fastest one of
    /// its service: from 0 to 1.
    pub(crate) fn quality(&self, now: BootTime, typical_slowness: f64) -> f64 {
        let health = self.health_at(now, typical_slowness);
        let slowness = health.slowness.max(MIN_SLOWNESS);
        let speed = typical_slowness.max(MIN_SLOWNESS) / slowness;
        speed.min(1.0) * (1.0 - self.trouble.odds(now).total()).max(0.0)
    }

    /// Returns the health by which the server is compared with others. While it gets fewer
    /// requests, those that it gets must not be kept from it by what was seen before.
    fn health_at(&self, now: BootTime, typical_slowness: f64) -> ObservedHealth {
        if self.pace.is_some() {
            return ObservedHealth { slowness: typical_slowness };
        }
        self.observed_health(now, typical_slowness)
    }

    fn observed_health(&self, now: BootTime, typical_slowness: f64) -> ObservedHealth {
        if now < self.health_until {
            self.health
        } else {
            ObservedHealth { slowness: typical_slowness }
        }
    }

    /// Returns whether the server is in use, judged by its registration, by whether it
    /// said that it is leaving, by whether its zone is evacuated, and by whether another
    /// server answered at its address.
    pub(crate) const fn is_in_use(&self) -> bool {
        matches!(self.entry.phase, ServerPhase::Ready) && !self.is_misdirected && !self.is_evacuated
    }

    /// Returns whether the server accepts new requests: it is in use and has not asked
    /// this node for a pause.
    pub(crate) fn is_available(&self, now: BootTime) -> bool {
        self.is_in_use() && now >= self.paused_until
    }

    /// Stops requests to the server for a time that it asked for. A shorter pause does not
    /// end a longer one.
    pub(crate) fn pause(&mut self, now: BootTime, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        self.start_pace(self.paused_until);
    }

    /// Returns the share of requests that the server gets in comparison with others; 1 is
    /// that of a server that is known.
    pub(crate) fn share(&self, now: BootTime) -> f64 {
        let is_lapsed = self.is_observed && now >= self.health_until;
        let pace = self.pace.or_else(|| is_lapsed.then(|| self.lapsed_pace()));
        pace.map_or(1.0, |pace| pace.share(now).min(1.0))
    }

    /// Returns the pace of a server that nothing is known of any more.
    const fn lapsed_pace(&self) -> ServerPace {
        ServerPace::new(self.pace_rule, self.health_until, self.cold_until)
    }

    /// Lets the server get fewer requests than others from `since` on, and then more.
    pub(crate) fn start_pace(&mut self, since: BootTime) {
        self.pace = Some(ServerPace::new(self.pace_rule, since, self.cold_until));
    }

    /// Returns whether the server gets its whole share and is not cold.
    pub(crate) fn is_warm(&self, now: BootTime) -> bool {
        self.pace.is_none() && now >= self.cold_until
    }

    /// Lets the server, which has not just started, get as many requests as others.
    pub(crate) const fn skip_pace(&mut self) {
        self.pace = None;
    }

    /// Records that the server says that it stays cold for a time.
    pub(crate) fn record_cold(&mut self, now: BootTime, cold_left: Duration) {
        if cold_left.is_zero() {
            return;
        }
        let was_cold = now < self.cold_until;
        self.cold_until = now + cold_left;
        if !was_cold {
            self.start_pace(now);
        }
    }

    /// Returns this node's part of the limit that holds because the server is cold.
    pub(crate) fn cold_share(&self, now: BootTime) -> Option<&NodeShare> {
        self.cold_quota.as_ref().filter(|_| now < self.cold_until)
    }

    /// Returns this node's parts of the limits that hold now.
    pub(crate) fn limits(&self, now: BootTime) -> impl Iterator<Item = &NodeShare> {
        self.quota.iter().chain(self.cold_share(now))
    }

    /// Like [`ServerState::limits`].
    pub(crate) fn limits_mut(&mut self, now: BootTime) -> impl Iterator<Item = &mut NodeShare> {
        let is_cold = now < self.cold_until;
        self.quota.iter_mut().chain(self.cold_quota.iter_mut().filter(move |_| is_cold))
    }

    /// Returns whether requests to the server are limited now.
    pub(crate) fn is_limited(&self, now: BootTime) -> bool {
        self.limits(now).next().is_some()
    }

    /// Applies an outcome to the pace; returns why it ended, with the numbers of good and bad
    /// answers, if it did.
    pub(crate) fn observe_pace(
        &mut self,
        now: BootTime,
        outcome: AttemptOutcome,
        in_medians: f64,
        typical_slowness: f64,
    ) -> Option<(PaceEnd, u32, u32)> {
        let relative = in_medians / typical_slowness.max(DEFAULT_SLOWNESS);
        let sign = match outcome {
            AttemptOutcome::Answered => PaceSign::Answered(relative),
            AttemptOutcome::NotRun
            | AttemptOutcome::Failed
            | AttemptOutcome::Oversized
            | AttemptOutcome::TimedOut => PaceSign::Bad,
            // A connection that fails says nothing of the server: the links may be lost.
            AttemptOutcome::Unsent | AttemptOutcome::WrongServer | AttemptOutcome::Cancelled => {
                return None;
            }
        };
        if self.pace.is_none() && self.is_observed && now >= self.health_until {
            self.pace = Some(self.lapsed_pace());
        }
        let pace = self.pace.as_mut()?;
        let end = pace.observe(now, sign);
        let (good, bad) = (pace.good, pace.bad);
        let end = end.inspect(|_| self.pace = None)?;
        if end == PaceEnd::Warm {
            // What was seen of it while it was cold says little now.
            self.health = ObservedHealth { slowness: in_medians };
        }
        Some((end, good, bad))
    }

    /// Returns whether requests wait for a response of the server.
    pub(crate) const fn is_waiting(&self) -> bool {
        self.in_flight > 0
    }

    /// Ends the backoff after attempts that could not be sent.
    pub(crate) const fn forget_link_failures(&mut self) {
        self.backoff_until = BootTime::ZERO;
        self.unreachable_count = 0;
    }

    /// Forgets what the outcomes of requests have shown.
    pub(crate) fn forget_observations(&mut self, now: BootTime) {
        self.forget_link_failures();
        self.trouble = ServerTrouble::default();
        self.health_until = now;
        self.is_observed = false;
        self.pace = None;
        self.window = MAX_WINDOW;
        self.waiting_since = now;
    }

    /// Updates the statistics with the outcome of an attempt. `typical_slowness` is that
    /// of a server of which nothing is known.
    pub(crate) fn observe(
        &mut self,
        now: BootTime,
        outcome: AttemptOutcome,
        latency: AttemptLatency,
        typical_slowness: f64,
    ) {
        self.trouble.observe(now, outcome);
        let mut health = self.observed_health(now, typical_slowness);
        let slowness = latency.in_medians;
        match outcome {
            AttemptOutcome::Answered => {
                self.waiting_since = now;
                self.unreachable_count = 0;
                self.window = if latency.in_objectives > MAX_OBJECTIVE_SHARE {
                    (self.window * QUEUED_WINDOW_FACTOR).max(1.0)
                } else {
                    (self.window + WINDOW_GROWTH / self.window).min(MAX_WINDOW)
                };
                health.record_slowness(slowness);
            }
            AttemptOutcome::NotRun => {
                self.waiting_since = now;
                self.backoff_until = now + SHED_BACKOFF;
                let in_use = f64::from(self.in_flight + 1).min(self.window);
                self.window = (in_use * REFUSED_WINDOW_FACTOR).max(1.0);
            }
            AttemptOutcome::WrongServer => {
                self.is_misdirected = true;
                return;
            }
            AttemptOutcome::Unsent => {
                let backoff = UNREACHABLE_BACKOFF * 2u32.pow(self.unreachable_count.min(5));
                self.unreachable_count += 1;
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
                return;
            }
            AttemptOutcome::Failed | AttemptOutcome::Oversized => {
                self.waiting_since = now;
            }
            AttemptOutcome::TimedOut => {
                health.record_slowness(slowness);
            }
            // The attempt would have taken at least this long.
            AttemptOutcome::Cancelled if slowness > health.slowness => {
                health.record_slowness(slowness);
            }
            AttemptOutcome::Cancelled => return,
        }
        self.health = health;
        self.is_observed = true;
        self.health_until = now + OBSERVATION_LIFETIME;
    }
}

impl ObservedHealth {
    fn record_slowness(&mut self, slowness: f64) {
        self.slowness += SAMPLE_WEIGHT * (slowness.min(MAX_SLOWNESS) - self.slowness);
    }
}
