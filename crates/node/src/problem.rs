//! Problem documents (RFC 9457) and JSON responses.

use std::time::Duration;

use bytes::Bytes;
use carobstep_wire::{RefusalReason, RequestId, RequestOutcome};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use crate::counters::CounterSet;

/// Body type of all responses.
pub type ResponseBody = Full<Bytes>;

/// Problem document that reports a refusal to a caller.
#[derive(Clone, Debug, Serialize)]
pub struct ProblemDocument {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    detail: String,
    request_id: String,
    outcome: RequestOutcome,
    reason: RefusalReason,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl ProblemDocument {
    /// Builds a problem, with the HTTP status for its outcome and reason.
    #[must_use]
    pub fn new(outcome: RequestOutcome, reason: RefusalReason, detail: impl Into<String>) -> Self {
        let status = status_of(outcome, reason);
        Self {
            kind: "about:blank",
            title: title_of(outcome),
            status: status.as_u16(),
            detail: detail.into(),
            request_id: String::new(),
            outcome,
            reason,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX).max(1));
        self
    }

    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Logs the problem and builds the response, with a `retry-after` header if a
    /// delay is set.
    #[must_use]
    pub fn into_response(mut self, request: RequestId) -> Response<ResponseBody> {
        self.request_id = request.to_string();
        self.log();
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = json_response(status, &self);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(delay) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(delay.div_ceil(1_000)));
        }
        response
    }

    fn log(&self) {
        log::debug!(
            request_id = self.request_id.as_str(),
            reason:% = self.reason,
            outcome:% = self.outcome;
            "refused: {}", self.detail
        );
    }
}

/// Counts the refusal of a request and builds the response.
#[must_use]
pub fn refuse(
    counters: &CounterSet,
    request: RequestId,
    problem: ProblemDocument,
) -> Response<ResponseBody> {
    counters.count_refusal(problem.reason);
    problem.into_response(request)
}

const fn title_of(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Ran => "request ran and failed",
        RequestOutcome::NotRun => "request not run",
        RequestOutcome::Unknown => "request outcome unknown",
    }
}

const fn status_of(outcome: RequestOutcome, reason: RefusalReason) -> StatusCode {
    match (outcome, reason) {
        (RequestOutcome::Ran, _) => StatusCode::BAD_GATEWAY,
        (RequestOutcome::Unknown, RefusalReason::ClaimInProgress) => StatusCode::CONFLICT,
        (RequestOutcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (RequestOutcome::NotRun, RefusalReason::UnknownTarget) => StatusCode::NOT_FOUND,
        (RequestOutcome::NotRun, RefusalReason::ClaimMismatch) => StatusCode::UNPROCESSABLE_ENTITY,
        (RequestOutcome::NotRun, RefusalReason::BadRequest | RefusalReason::KeyMissing) => {
            StatusCode::BAD_REQUEST
        }
        (RequestOutcome::NotRun, RefusalReason::CallerLimit) => StatusCode::TOO_MANY_REQUESTS,
        (RequestOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    // Serialization fails only for maps with non-string keys, which these structs
    // do not contain.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
