//! HTTP/1.1 client connection to a backend server.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use carobstep_config::ShardName;
use carobstep_wire::{RefusalReason, RequestId, RequestOutcome};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time::timeout,
};

use crate::identity::header_text;

/// Time limit for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest accepted reply body, in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Longest wait for the server to close its end of an abandoned connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Size in bytes of the buffer for discarding what the server still sends on an
/// abandoned connection.
const DISCARD_BYTES: usize = 4096;

/// Request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Identifier that the server must echo.
    pub id: RequestId,
    /// Name of the shard, for searches.
    pub shard: Option<ShardName>,
    /// Number of the snapshot, for searches.
    pub snapshot: Option<u64>,
    /// Idempotency key, for a request that must run at most once.
    pub idempotency_key: Option<String>,
    /// Time left until the deadline.
    pub budget: Duration,
    /// Body to send.
    pub body: Bytes,
}

/// Health that a backend server reports about itself. It may be outdated or
/// wrong.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HealthReport {
    state: String,
}

impl HealthReport {
    /// Whether the server reports that it is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state == "draining"
    }
}

/// Result of one request to a backend server.
#[derive(Debug)]
pub enum BackendResult {
    /// The server ran the request and the reply is complete.
    Ran {
        /// Reply body.
        body: Bytes,
        /// Shard that the server echoed.
        shard: Option<ShardName>,
        /// Snapshot that the server echoed.
        snapshot: Option<u64>,
    },
    /// The server refused or failed the request, or the exchange failed.
    Failed {
        /// Whether the request may have been executed.
        outcome: RequestOutcome,
        /// Why it failed.
        reason: RefusalReason,
        /// Delay after which the server accepts a retry.
        retry_after: Option<Duration>,
        /// Whether the connection may carry another request.
        reusable: bool,
    },
}

/// Check of whether the node may write to a backend server now.
pub type WriteFence = Arc<dyn Fn() -> bool + Send + Sync>;

/// TCP stream that calls its [`WriteFence`] immediately before each write.
///
/// The lease is checked when a request is dispatched, but the process may be
/// suspended between that check and the write, and the lease may expire
/// meanwhile. Checking again here narrows that gap to the system call itself.
struct FencedStream {
    socket: TcpStream,
    fence: WriteFence,
}

impl AsyncRead for FencedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for FencedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if !(self.fence)() {
            let error = std::io::Error::other(
                "write refused: the node may not send requests to this server now",
            );
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

/// Open connection that carries one request at a time.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that runs hyper's side of the connection.
    connection_task: AbortHandle,
    /// Second handle on the socket, for closing it and waiting for the server to
    /// do the same.
    socket: std::net::TcpStream,
    host: HeaderValue,
}

impl BackendConnection {
    /// Opens a connection whose writes are checked by `fence`.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr, fence: WriteFence) -> Result<Self, std::io::Error> {
        let connect = async {
            let socket = TcpStream::connect(address).await?;
            socket.set_nodelay(true)?;
            let socket = socket.into_std()?;
            let second_socket = socket.try_clone()?;
            let socket = TcpStream::from_std(socket)?;
            let (sender, connection) = handshake(TokioIo::new(FencedStream { socket, fence }))
                .await
                .map_err(std::io::Error::other)?;
            let connection_task = tokio::spawn(async move {
                // The request in flight gets the same error and reports it.
                let _ = connection.await;
            });
            let host = HeaderValue::try_from(address.to_string()).map_err(std::io::Error::other)?;
            Ok(Self {
                sender,
                connection_task: connection_task.abort_handle(),
                socket: second_socket,
                host,
            })
        };
        timeout(CONNECT_TIMEOUT, connect).await?
    }

    /// Whether the connection can accept a request.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends one request and reads the complete reply within the request's time
    /// budget.
    pub async fn exchange(&mut self, request: &BackendRequest) -> BackendResult {
        match timeout(request.budget, self.exchange_without_timeout(request)).await {
            Ok(result) => result,
            Err(_) => BackendResult::unknown_outcome(RefusalReason::DeadlinePassed),
        }
    }

    async fn exchange_without_timeout(&mut self, request: &BackendRequest) -> BackendResult {
        let Ok(http_request) = self.build_request(request) else {
            return BackendResult::not_run(RefusalReason::BadRequest, true);
        };
        let response = match self.sender.try_send_request(http_request).await {
            Ok(response) => response,
            // hyper returns the message only if none of it was written.
            Err(mut error) => {
                return match error.take_message() {
                    Some(_) => BackendResult::not_run(RefusalReason::ConnectFailed, false),
                    None => BackendResult::unknown_outcome(RefusalReason::ConnectionLost),
                };
            }
        };
        read_response(response, request).await
    }

    fn build_request(&self, request: &BackendRequest) -> Result<Request<Full<Bytes>>, http::Error> {
        let budget_ms = u64::try_from(request.budget.as_millis()).unwrap_or(u64::MAX);
        let mut builder = Request::post("/query")
            .header(http::header::HOST, self.host.clone())
            .header("x-request-id", request.id.to_string())
            .header("x-deadline-ms", budget_ms.max(1));
        if let Some(shard) = &request.shard {
            builder = builder.header("x-shard", shard.as_str());
        }
        if let Some(snapshot) = request.snapshot {
            builder = builder.header("x-snapshot", snapshot);
        }
        if let Some(key) = &request.idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        builder.body(Full::new(request.body.clone()))
    }

    /// Requests the server's health. Returns `None` if no valid report arrives
    /// within `time_limit`.
    pub async fn probe(&mut self, time_limit: Duration) -> Option<HealthReport> {
        let http_request = Request::get("/health")
            .header(http::header::HOST, self.host.clone())
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let response = self.sender.send_request(http_request).await.ok()?;
            let body = read_body(response.into_body()).await?;
            serde_json::from_slice(&body).ok()
        };
        timeout(time_limit, exchange).await.ok()?
    }

    /// Closes the connection, even if a request is in flight, and waits until the
    /// server has closed its end too. Returns `false` if that is not known after
    /// [`CLOSE_TIMEOUT`].
    pub async fn abandon(self) -> bool {
        self.connection_task.abort();
        let Ok(mut socket) = TcpStream::from_std(self.socket) else { return false };
        if socket.shutdown().await.is_err() {
            return true;
        }
        let mut discarded = [0; DISCARD_BYTES];
        let closed =
            async { while socket.read(&mut discarded).await.is_ok_and(|count| count > 0) {} };
        timeout(CLOSE_TIMEOUT, closed).await.is_ok()
    }
}

impl BackendResult {
    const fn unknown_outcome(reason: RefusalReason) -> Self {
        Self::Failed {
            outcome: RequestOutcome::Unknown,
            reason,
            retry_after: None,
            reusable: false,
        }
    }

    const fn not_run(reason: RefusalReason, reusable: bool) -> Self {
        Self::Failed { outcome: RequestOutcome::NotRun, reason, retry_after: None, reusable }
    }

    /// Whether the connection may carry another request.
    #[must_use]
    pub const fn is_reusable(&self) -> bool {
        match self {
            Self::Ran { .. } => true,
            Self::Failed { reusable, .. } => *reusable,
        }
    }
}

async fn read_response(response: Response<Incoming>, request: &BackendRequest) -> BackendResult {
    let (head, body) = response.into_parts();
    let Some(body) = read_body(body).await else {
        return BackendResult::unknown_outcome(RefusalReason::ReplyTruncated);
    };
    if head.status != StatusCode::OK {
        return parse_refusal(head.status, &head.headers);
    }
    if header_text(&head.headers, "x-request-id") != Some(request.id.to_string().as_str()) {
        return BackendResult::unknown_outcome(RefusalReason::ReplyMismatch);
    }
    let shard =
        header_text(&head.headers, "x-shard").and_then(|name| ShardName::try_from(name).ok());
    let snapshot = header_text(&head.headers, "x-snapshot").and_then(|number| number.parse().ok());
    if shard != request.shard || snapshot != request.snapshot {
        return BackendResult::unknown_outcome(RefusalReason::ReplyMismatch);
    }
    BackendResult::Ran { body, shard, snapshot }
}

async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if collected.len() + data.len() > MAX_REPLY_BYTES {
            return None;
        }
        collected.extend_from_slice(&data);
    }
    Some(collected.freeze())
}

/// Parses a response with an error status. The outcome is `NotRun` only if the
/// server says so in the `x-not-run` header, and unknown otherwise.
fn parse_refusal(status: StatusCode, headers: &HeaderMap) -> BackendResult {
    let reason = match (status, header_text(headers, "x-not-run")) {
        (StatusCode::SERVICE_UNAVAILABLE, Some("shed")) => RefusalReason::ServerShed,
        (StatusCode::SERVICE_UNAVAILABLE, Some("draining")) => RefusalReason::ServerLeaving,
        (StatusCode::CONFLICT, Some("snapshot-gone")) => RefusalReason::SnapshotGone,
        (StatusCode::CONFLICT, Some("snapshot-ahead")) => RefusalReason::SnapshotAhead,
        _ => {
            return BackendResult::Failed {
                outcome: RequestOutcome::Unknown,
                reason: RefusalReason::ServerError,
                retry_after: None,
                reusable: true,
            };
        }
    };
    let retry_after = header_text(headers, "retry-after-ms")
        .and_then(|millis| millis.parse().ok())
        .map(Duration::from_millis);
    BackendResult::Failed { outcome: RequestOutcome::NotRun, reason, retry_after, reusable: true }
}
