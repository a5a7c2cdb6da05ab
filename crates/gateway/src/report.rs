//! Counters, and one line per request whose outcome needs an explanation.

use std::{cell::Cell, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_platform::headers;
use carobstep_tier::{AttemptEnd, FanoutEnd, RouteConfig};
use http::{HeaderMap, StatusCode};
use log::info;

/// One in this many served requests is logged.
const SERVED_SAMPLE: u64 = 256;

/// Counters of the process.
#[derive(Debug, Default)]
pub(crate) struct Reporter {
    requests: Cell<u64>,
    attempts: Cell<u64>,
    store_calls: Cell<u64>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Verdict {
    /// Its client left before the answer.
    Abandoned,
    /// No configuration is known yet.
    Starting,
    /// It is malformed or over a limit.
    BadRequest,
    /// No route takes it.
    NoRoute,
    /// It was sent to servers.
    #[strum(to_string = "fanout")]
    Fanout(FanoutEnd),
}

/// Collects what decided about one request, and logs it at the end.
pub(crate) struct RequestReport<'gateway> {
    reporter: &'gateway Reporter,
    id: Option<http::HeaderValue>,
    arrived: BootTime,
    pub(crate) version: u64,
    pub(crate) route: Option<Arc<RouteConfig>>,
    pub(crate) patience: Duration,
    pub(crate) verdict: Verdict,
    pub(crate) shards: usize,
    pub(crate) answered: usize,
    pub(crate) extra_attempts: u32,
    pub(crate) reason: String,
    status: Option<StatusCode>,
}

impl Reporter {
    pub(crate) fn count_attempt(&self, _end: AttemptEnd) {
        self.attempts.set(self.attempts.get() + 1);
    }

    pub(crate) fn count_store_call(&self, _answered: bool) {
        self.store_calls.set(self.store_calls.get() + 1);
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
            route: None,
            patience: Duration::ZERO,
            verdict: Verdict::Abandoned,
            shards: 0,
            answered: 0,
            extra_attempts: 0,
            reason: String::new(),
            status: None,
        }
    }

    pub(crate) fn finish(mut self, status: StatusCode) {
        self.status = Some(status);
    }
}

impl Drop for RequestReport<'_> {
    fn drop(&mut self) {
        let count = self.reporter.requests.get() + 1;
        self.reporter.requests.set(count);
        let served = self.status.is_some_and(|status| status.is_success());
        if served && !count.is_multiple_of(SERVED_SAMPLE) {
            return;
        }
        let id = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
        let route = self.route.as_ref().map_or("", |route| route.name.as_ref());
        info!(
            request_id = id,
            route = route,
            version = self.version,
            status = self.status.map_or(0, |status| status.as_u16()),
            verdict:% = self.verdict,
            shards = self.shards,
            answered = self.answered,
            extra = self.extra_attempts,
            patience_ms = self.patience.as_millis() as u64,
            took_ms = BootTime::now().since(self.arrived).as_millis() as u64,
            reason = self.reason.as_str();
            "request"
        );
    }
}
