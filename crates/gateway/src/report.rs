//! Metrics, and a log line for each request that failed or was slow.

mod gauges;

use std::{cell::Cell, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_platform::headers;
use carobstep_tier::{
    AdmissionSource, AttemptKind, AttemptOutcome, CallerFault, EvacuationChange, FanoutOutcome,
    MissingShards, PaceEnd, RequestFingerprint, RouteConfig, RouteTarget, SearchRefusal,
};
use http::{HeaderMap, HeaderValue, StatusCode};
use log::info;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
};

pub(crate) use self::gauges::GaugeReadings;
use self::gauges::Gauges;

/// One in this many requests served within the latency objective is logged.
const SERVED_SAMPLE_INTERVAL: u64 = 256;

/// Maximum number of request log lines per second.
const MAX_LINES_PER_SECOND: u32 = 100;

/// Maximum number of failed attempts listed in one log line.
const MAX_LOGGED_ATTEMPTS: usize = 6;

/// Upper bounds of the latency buckets in seconds, from a fast response of one
/// shard to the longest deadline in use.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24];

/// Metrics of the process, and the sampling and rate limit of request log lines.
pub(crate) struct Reporter {
    registry: Registry,
    requests: IntCounterVec,
    account_requests: IntCounterVec,
    account_admissions: IntCounterVec,
    latencies: HistogramVec,
    attempts: IntCounterVec,
    delegations: IntCounterVec,
    store_calls: IntCounterVec,
    unreadable_objects: IntCounterVec,
    log_lines: IntCounterVec,
    server_notices: IntCounterVec,
    limited_attempts: IntCounterVec,
    broken_attempts: IntCounter,
    relayed_requests: IntCounterVec,
    observations: IntCounterVec,
    evacuation_changes: IntCounterVec,
    pace_ends: IntCounterVec,
    caller_faults: IntCounterVec,
    gauges: Gauges,
    /// Number of requests served within the latency objective.
    served_in_time: Cell<u64>,
    /// Start of the current one-second rate limit window.
    window_start: Cell<BootTime>,
    /// Log lines counted in the current window, including dropped ones.
    window_lines: Cell<u32>,
}

/// Final classification of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RequestVerdict {
    /// The caller disconnected before the response.
    Abandoned,
    /// No configuration is known yet.
    Starting,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// No route matches the request.
    NoRoute,
    /// The route needs the key of a client account, and no account has the request's key.
    UnknownKey,
    /// The client account has used up its limit.
    OverLimit,
    /// Enough servers responded successfully.
    Answered,
    /// No server executed the request.
    NotRun,
    /// No server executed the request, and this node is stopping.
    Stopping,
    /// The request was not sent, because several servers crashed under it.
    Quarantined,
    /// The search was not sent, because too few shards could be expected to respond.
    Hopeless,
    /// Too few servers responded successfully; the request may have been executed.
    Failed,
    /// Too few servers responded before the deadline.
    TimedOut,
}

impl From<FanoutOutcome> for RequestVerdict {
    fn from(outcome: FanoutOutcome) -> Self {
        match outcome {
            FanoutOutcome::Answered => Self::Answered,
            FanoutOutcome::NotRun => Self::NotRun,
            FanoutOutcome::Failed => Self::Failed,
            FanoutOutcome::TimedOut => Self::TimedOut,
        }
    }
}

/// Outcome of delegating shards to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum DelegationOutcome {
    /// The peer has sent results.
    Answered,
    /// The peer sent no request to any server.
    NotSent,
    /// The peer called no server for some of the shards.
    NotCalled,
    /// The peer called servers for a request to one service without success.
    Failed,
    /// No server that the peer called for a request to one service has run it.
    NotRun,
    /// The peer or the connection to it failed.
    Lost,
}

/// Whether this node takes a request of a node that has lost its links to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RelayAdmission {
    /// It calls servers for it.
    Taken,
    /// It has no room for it.
    Full,
}

/// Call to another node of the zone about servers that fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ObservationCall {
    /// This node reported its attempts to the node that adds them up.
    Reported,
    /// That node did not reply.
    Unanswered,
    /// This node told another one of the failures in the zone.
    Told,
}

/// What a server said about itself in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum NoticeKind {
    /// The server is leaving.
    Leaving,
    /// The server wants no requests for a time.
    Pause,
    /// The server asked for a pause in a form that can't be read; it is ignored.
    UnreadablePause,
    /// The server names a limit on its requests.
    Limit,
    /// The server names a limit in a form that can't be read; it is ignored.
    UnreadableLimit,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub(crate) struct FailedAttempt {
    /// Position of the shard in the route; the first shard of a delegation.
    pub(crate) shard: u16,
    /// The server, or the peer that the shard was delegated to.
    pub(crate) target: Arc<str>,
    pub(crate) outcome: &'static str,
    /// Time from the start of the attempt or, for a delegation, of the fan-out.
    pub(crate) after: Duration,
    pub(crate) reason: String,
}

/// The first [`MAX_LOGGED_ATTEMPTS`] failed attempts of a request, and the number of
/// further ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailedAttempts {
    attempts: Vec<FailedAttempt>,
    omitted: usize,
}

impl FailedAttempts {
    pub(crate) fn push(&mut self, attempt: FailedAttempt) {
        if self.attempts.len() < MAX_LOGGED_ATTEMPTS {
            self.attempts.push(attempt);
        } else {
            self.omitted += 1;
        }
    }

    fn to_log_text(&self) -> String {
        let mut text = String::new();
        for attempt in &self.attempts {
            let FailedAttempt { shard, target, outcome, after, reason } = attempt;
            let millis = after.as_millis();
            text.push_str(&format!("shard {shard} at {target}: {outcome} after {millis} ms"));
            text.push_str(if reason.is_empty() { "" } else { ", " });
            text.push_str(reason);
            text.push_str("; ");
        }
        if self.omitted > 0 {
            text.push_str(&format!("{} more", self.omitted));
        }
        text
    }
}

/// Collects the details of one request; updates the metrics and logs them on drop.
pub(crate) struct RequestReport<'gateway> {
    reporter: &'gateway Reporter,
    id: Option<HeaderValue>,
    arrived: BootTime,
    /// Version of the configuration in force; zero if none is known.
    pub(crate) version: u64,
    /// Time since the store last answered this node or the peer that it follows.
    pub(crate) store_age: Duration,
    pub(crate) route: Option<Arc<RouteConfig>>,
    /// Name of the client account.
    pub(crate) account: Option<Arc<str>>,
    /// Name under which the account is counted.
    pub(crate) account_label: Option<Arc<str>>,
    pub(crate) caller_timeout: Duration,
    pub(crate) verdict: RequestVerdict,
    pub(crate) shards: usize,
    pub(crate) answered: usize,
    pub(crate) missing: MissingShards,
    pub(crate) delegations: usize,
    pub(crate) extra_attempts: u32,
    pub(crate) failed_attempts: FailedAttempts,
    /// What identifies the request when it comes again.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    /// Why the search was refused at its arrival, if it was.
    pub(crate) refusal: Option<SearchRefusal>,
    status: Option<StatusCode>,
}

impl Reporter {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let options = HistogramOpts::new(
            "carobstep_request_seconds",
            "Time from a request's header section to its answer, by kind of route.",
        );
        let latencies =
            HistogramVec::new(options.buckets(LATENCY_BUCKETS.to_vec()), &["route_kind"])?;
        registry.register(Box::new(latencies.clone()))?;
        let account_requests = IntCounterVec::new(
            Opts::new(
                "carobstep_account_requests_total",
                "Requests by client account, the smaller ones together, and verdict.",
            ),
            &["account", "verdict"],
        )?;
        registry.register(Box::new(account_requests.clone()))?;
        Ok(Self {
            account_requests,
            account_admissions: counters(
                "carobstep_account_admissions_total",
                "Requests of client accounts with limits, by whose word they were admitted.",
                "source",
            )?,
            requests: counters("carobstep_requests_total", "Requests by verdict.", "verdict")?,
            latencies,
            attempts: counters("carobstep_attempts_total", "Attempts at servers by end.", "end")?,
            delegations: counters(
                "carobstep_delegations_total",
                "Shards handed to peers, by the end of the call.",
                "end",
            )?,
            store_calls: counters("carobstep_store_calls_total", "Calls to the store.", "end")?,
            unreadable_objects: counters(
                "carobstep_unreadable_objects_total",
                "Revisions of objects in the store that can't be read and are ignored.",
                "kind",
            )?,
            log_lines: counters("carobstep_log_lines_total", "Lines about requests.", "fate")?,
            server_notices: counters(
                "carobstep_server_notices_total",
                "Responses in which a server says that it is leaving, asks for a pause or names a limit.",
                "kind",
            )?,
            relayed_requests: counters(
                "carobstep_relayed_requests_total",
                "Requests of nodes that have lost their links to servers.",
                "kind",
            )?,
            observations: counters(
                "carobstep_observation_calls_total",
                "Calls to nodes of this zone about servers that fail.",
                "kind",
            )?,
            pace_ends: counters(
                "carobstep_pace_ends_total",
                "Servers that no longer get fewer requests than others after a start or recovery.",
                "kind",
            )?,
            evacuation_changes: counters(
                "carobstep_evacuation_changes_total",
                "Evacuations of availability zones that this node has seen start or end.",
                "kind",
            )?,
            caller_faults: counters(
                "carobstep_caller_faults_total",
                "Connections ended and requests refused because of what clients do, by reason.",
                "reason",
            )?,
            broken_attempts: {
                let help = "Attempts whose server closed the connection before it responded.";
                let counter = IntCounter::new("carobstep_broken_attempts_total", help)?;
                registry.register(Box::new(counter.clone()))?;
                counter
            },
            limited_attempts: counters(
                "carobstep_limited_attempts_total",
                "Attempts at servers that name a limit on their requests.",
                "kind",
            )?,
            gauges: Gauges::register(&registry)?,
            registry,
            served_in_time: Cell::new(0),
            window_start: Cell::new(BootTime::ZERO),
            window_lines: Cell::new(0),
        })
    }

    pub(crate) fn count_attempt(&self, outcome: AttemptOutcome) {
        self.attempts.with_label_values(&[<&str>::from(outcome)]).inc();
    }

    pub(crate) fn count_admission(&self, source: AdmissionSource) {
        self.account_admissions.with_label_values(&[<&str>::from(source)]).inc();
    }

    pub(crate) fn count_delegation(&self, outcome: DelegationOutcome) {
        self.delegations.with_label_values(&[<&str>::from(outcome)]).inc();
    }

    pub(crate) fn count_server_notice(&self, kind: NoticeKind) {
        self.server_notices.with_label_values(&[<&str>::from(kind)]).inc();
    }

    pub(crate) fn count_limited_attempt(&self, kind: AttemptKind) {
        self.limited_attempts.with_label_values(&[<&str>::from(kind)]).inc();
    }

    pub(crate) fn count_broken_attempt(&self) {
        self.broken_attempts.inc();
    }

    pub(crate) fn count_relayed(&self, admission: RelayAdmission) {
        self.relayed_requests.with_label_values(&[<&str>::from(admission)]).inc();
    }

    pub(crate) fn count_observations(&self, call: ObservationCall) {
        self.observations.with_label_values(&[<&str>::from(call)]).inc();
    }

    pub(crate) fn count_pace_end(&self, end: PaceEnd) {
        self.pace_ends.with_label_values(&[<&str>::from(end)]).inc();
    }

    pub(crate) fn count_evacuation_change(&self, change: &EvacuationChange) {
        let kind = match change {
            EvacuationChange::Started(_) => "started",
            EvacuationChange::Ended(_) => "ended",
        };
        self.evacuation_changes.with_label_values(&[kind]).inc();
    }

    pub(crate) fn count_caller_fault(&self, fault: CallerFault) {
        self.caller_faults.with_label_values(&[<&str>::from(fault)]).inc();
    }

    pub(crate) fn count_store_call(&self, answered: bool) {
        let outcome = if answered { "answered" } else { "lost" };
        self.store_calls.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_unreadable(&self, kind: &str) {
        self.unreadable_objects.with_label_values(&[kind]).inc();
    }

    /// Returns every metric in the text format of Prometheus.
    pub(crate) fn encode_metrics(&self, readings: GaugeReadings) -> Vec<u8> {
        self.gauges.set(readings);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:% = error; "encoding the metrics failed");
        }
        text
    }

    /// Counts a log line and returns whether the rate limit lets it be written.
    fn allow_line(&self, now: BootTime) -> bool {
        if now.since(self.window_start.get()) >= Duration::from_secs(1) {
            self.window_start.set(now);
            self.window_lines.set(0);
        }
        self.window_lines.set(self.window_lines.get() + 1);
        let outcome =
            if self.window_lines.get() <= MAX_LINES_PER_SECOND { "written" } else { "dropped" };
        self.log_lines.with_label_values(&[outcome]).inc();
        outcome == "written"
    }
}

impl<'gateway> RequestReport<'gateway> {
    pub(crate) fn new(
        reporter: &'gateway Reporter,
        headers: &HeaderMap,
        arrived: BootTime,
    ) -> Self {
        Self {
            reporter,
            id: headers.get(headers::REQUEST_ID).cloned(),
            arrived,
            version: 0,
            store_age: Duration::ZERO,
            route: None,
            account: None,
            account_label: None,
            caller_timeout: Duration::ZERO,
            verdict: RequestVerdict::Abandoned,
            shards: 0,
            answered: 0,
            missing: MissingShards::default(),
            delegations: 0,
            extra_attempts: 0,
            failed_attempts: FailedAttempts::default(),
            fingerprint: None,
            refusal: None,
            status: None,
        }
    }

    pub(crate) fn finish(mut self, status: StatusCode) {
        self.status = Some(status);
    }

    fn route_kind(&self) -> &'static str {
        match self.route.as_ref().map(|route| &route.target) {
            Some(RouteTarget::Gather(_)) => "gather",
            Some(RouteTarget::Split(_)) => "split",
            Some(RouteTarget::Service(_)) => "service",
            None => "none",
        }
    }

    /// Whether the request succeeded within the latency objective and is not
    /// sampled for the log.
    fn is_ordinary(&self, took: Duration) -> bool {
        let is_in_time = self.route.as_ref().is_some_and(|route| took <= route.objective);
        let is_served = self.status.is_some_and(|status| status.is_success());
        if !is_served || !is_in_time {
            return false;
        }
        let count = self.reporter.served_in_time.get() + 1;
        self.reporter.served_in_time.set(count);
        !count.is_multiple_of(SERVED_SAMPLE_INTERVAL)
    }
}

impl Drop for RequestReport<'_> {
    fn drop(&mut self) {
        let now = BootTime::now();
        let took = now.since(self.arrived);
        self.reporter.requests.with_label_values(&[<&str>::from(self.verdict)]).inc();
        if let Some(label) = &self.account_label {
            let labels = [label, <&str>::from(self.verdict)];
            self.reporter.account_requests.with_label_values(&labels).inc();
        }
        let latencies = self.reporter.latencies.with_label_values(&[self.route_kind()]);
        latencies.observe(took.as_secs_f64());
        if self.is_ordinary(took) || !self.reporter.allow_line(now) {
            return;
        }
        let id = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
        let route = self.route.as_ref().map_or("", |route| route.name.as_ref());
        if let Some(refusal) = self.refusal {
            info!(
                request_id = id, route = route, chance = refusal.chance,
                failing_shards = refusal.failing_shards, extra = refusal.extra,
                retry_ms = refusal.retry_in.as_millis() as u64;
                "search refused at its arrival"
            );
            return;
        }
        info!(
            request_id = id,
            fingerprint = self.fingerprint.map(|it| it.to_string()).unwrap_or_default().as_str(),
            route = route,
            account = self.account.as_deref().unwrap_or(""),
            version = self.version,
            store_age_ms = self.store_age.as_millis() as u64,
            status = self.status.map_or(0, |status| status.as_u16()),
            verdict:% = self.verdict,
            shards = self.shards,
            answered = self.answered,
            lacking:% = self.missing,
            delegations = self.delegations,
            extra = self.extra_attempts,
            patience_ms = self.caller_timeout.as_millis() as u64,
            took_ms = took.as_millis() as u64,
            attempts = self.failed_attempts.to_log_text().as_str();
            "request"
        );
    }
}
