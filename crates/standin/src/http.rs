//! HTTP helpers shared by both stand-ins: size-limited bodies, responses and dropped connections.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::BoxBody};
use hyper::{
    body::{Body, Frame, Incoming},
    server::conn::http1,
};
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use tokio::{sync::mpsc, time::timeout};

/// Maximum time to receive a complete request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request line with its headers.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Body of every response; an error in it closes the connection.
pub(crate) type ResponseBody = BoxBody<Bytes, ConnectionDropped>;

/// A response, or an error that closes the connection without sending one.
pub(crate) type HandlerResult = Result<Response<ResponseBody>, ConnectionDropped>;

/// An error that makes the server close the connection without completing a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closed the connection to simulate a fault")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Builds an HTTP/1.1 server that closes a connection when a request head is
/// larger than [`MAX_HEAD_BYTES`] or is not complete `head_timeout` after the
/// connection became idle.
pub(crate) fn server_builder(head_timeout: Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(head_timeout).max_buf_size(MAX_HEAD_BYTES);
    builder
}

/// Builds a response with `value` serialized as its JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => raw_json(status, body.into()),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Builds a response whose `body` is already serialized JSON.
pub(crate) fn raw_json(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let media_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}

/// Builds a problem details response (RFC 9457).
pub(crate) fn problem(status: StatusCode, detail: &str) -> Response<ResponseBody> {
    let document = serde_json::json!({
        "type": "about:blank",
        "title": status.canonical_reason().unwrap_or("error"),
        "status": status.as_u16(),
        "detail": detail,
    });
    let mut response = raw_json(status, document.to_string().into());
    let media_type = http::HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Builds a response body from bytes that are already complete.
pub(crate) fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

/// Reads a request body of at most `limit` bytes.
///
/// Returns the error response to send when the body is too large, does not
/// arrive within [`BODY_TIMEOUT`] or cannot be read.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
) -> Result<Bytes, Response<ResponseBody>> {
    let too_large = || {
        let detail = format!("the body is longer than {limit} bytes");
        problem(StatusCode::PAYLOAD_TOO_LARGE, &detail)
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let collecting = Limited::new(body, limit).collect();
    let Ok(collected) = timeout(BODY_TIMEOUT, collecting).await else {
        return Err(problem(StatusCode::REQUEST_TIMEOUT, "the body did not end in time"));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
        Err(error) => Err(problem(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// A response body whose chunks arrive through a channel; an error closes the connection.
pub(crate) struct ChannelBody {
    chunk_rx: mpsc::Receiver<Result<Bytes, ConnectionDropped>>,
}

impl ChannelBody {
    /// Boxes a body that streams the chunks received from `chunk_rx`.
    pub(crate) fn boxed(
        chunk_rx: mpsc::Receiver<Result<Bytes, ConnectionDropped>>,
    ) -> ResponseBody {
        BodyExt::boxed(Self { chunk_rx })
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = ConnectionDropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionDropped>>> {
        self.chunk_rx.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
