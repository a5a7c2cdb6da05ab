//! What both stand-ins need of HTTP: bounded bodies, replies and dropped connections.

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

/// Time within which a client sends the whole of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Body of every reply.
pub(crate) type ReplyBody = BoxBody<Bytes, ConnectionDropped>;

/// A reply, or the wish to close the connection without one.
pub(crate) type Reply = Result<Response<ReplyBody>, ConnectionDropped>;

/// Closes the connection instead of answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in drops the connection")
    }
}

impl std::error::Error for ConnectionDropped {}

/// An HTTP/1.1 server that closes a connection when a request's head is too
/// large, or is not there `head_timeout` after the connection became idle.
pub(crate) fn server(head_timeout: Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(head_timeout).max_buf_size(MAX_HEAD_BYTES);
    builder
}

/// A reply with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(body) => raw_json(status, body.into()),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// A reply with a body that is JSON already.
pub(crate) fn raw_json(status: StatusCode, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let media_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}

/// A problem document.
pub(crate) fn problem(status: StatusCode, detail: &str) -> Response<ReplyBody> {
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

/// A reply without a body.
pub(crate) fn empty(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A body that is already whole.
pub(crate) fn full(body: Bytes) -> ReplyBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

/// Reads a request body of at most `limit` bytes.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Response<ReplyBody>> {
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

/// A body whose parts come through a channel; an error drops the connection.
pub(crate) struct ChannelBody {
    parts: mpsc::Receiver<Result<Bytes, ConnectionDropped>>,
}

impl ChannelBody {
    /// Wraps the receiving end of a channel.
    pub(crate) fn boxed(parts: mpsc::Receiver<Result<Bytes, ConnectionDropped>>) -> ReplyBody {
        BodyExt::boxed(Self { parts })
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = ConnectionDropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionDropped>>> {
        self.parts.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
    }
}
