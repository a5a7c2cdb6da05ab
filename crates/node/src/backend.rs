//! One HTTP/1.1 connection to a backend server.

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

/// Time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest accepted reply body, in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Time to wait for a server's end of an abandoned connection to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes read at once while waiting for the end of an abandoned connection.
const DISCARD_BYTES: usize = 4096;

/// A request as the backend server gets it.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Identifier that the server must echo.
    pub id: RequestId,
    /// Shard, for searches.
    pub shard: Option<ShardName>,
    /// Snapshot, for searches.
    pub snapshot: Option<u64>,
    /// Key of a request that must run at most once.
    pub idempotency_key: Option<String>,
    /// Time left until the deadline.
    pub budget: Duration,
    /// Body to send.
    pub body: Bytes,
}

/// What a backend server says of itself; it may lag or mislead.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HealthReport {
    state: String,
}

impl HealthReport {
    /// Whether the server says that it drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state == "draining"
    }
}

/// What one exchange came to.
#[derive(Debug)]
pub enum BackendResult {
    /// The whole reply, with the shard and snapshot that the server echoed.
    Ran {
        /// Reply body.
        body: Bytes,
        /// Shard that the server answered for.
        shard: Option<ShardName>,
        /// Snapshot that the server answered from.
        snapshot: Option<u64>,
    },
    /// The server gave the request up, or the exchange failed.
    Failed {
        /// Whether the request may have executed.
        outcome: RequestOutcome,
        /// Why it failed.
        reason: RefusalReason,
        /// Time after which the server wants to be asked again.
        retry_after: Option<Duration>,
        /// Whether the connection may carry another request.
        reusable: bool,
    },
}

/// Tells whether bytes may be written to the backend server now.
pub type WriteFence = Arc<dyn Fn() -> bool + Send + Sync>;

/// A socket that asks its fence right before each write.
///
/// The lease is checked when a request is dispatched, but the process may be
/// frozen between that check and the write. The check here leaves only the
/// system call itself in between.
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
            let error = std::io::Error::other("the grant does not allow requests now");
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

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// A second handle on the socket, to watch for the server's close.
    socket: std::net::TcpStream,
    host: HeaderValue,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with the text of the cause when the server can't be reached in time.
    pub async fn open(address: SocketAddr, fence: WriteFence) -> Result<Self, std::io::Error> {
        let connect = async {
            let socket = TcpStream::connect(address).await?;
            socket.set_nodelay(true)?;
            let socket = socket.into_std()?;
            let twin = socket.try_clone()?;
            let socket = TcpStream::from_std(socket)?;
            let (sender, connection) = handshake(TokioIo::new(FencedStream { socket, fence }))
                .await
                .map_err(std::io::Error::other)?;
            let driver = tokio::spawn(async move {
                // The exchange sees the same error and reports it.
                let _ = connection.await;
            });
            let host = HeaderValue::try_from(address.to_string()).map_err(std::io::Error::other)?;
            Ok(Self { sender, driver: driver.abort_handle(), socket: twin, host })
        };
        timeout(CONNECT_TIMEOUT, connect).await?
    }

    /// Whether the connection can take a request.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends one request and reads its whole reply within its budget.
    pub async fn exchange(&mut self, request: &BackendRequest) -> BackendResult {
        match timeout(request.budget, self.exchange_untimed(request)).await {
            Ok(result) => result,
            Err(_) => BackendResult::lost(RefusalReason::DeadlinePassed),
        }
    }

    async fn exchange_untimed(&mut self, request: &BackendRequest) -> BackendResult {
        let Ok(head) = self.build(request) else {
            return BackendResult::not_run(RefusalReason::BadRequest, true);
        };
        let response = match self.sender.try_send_request(head).await {
            Ok(response) => response,
            // The message comes back only when none of it was written.
            Err(mut error) => {
                return match error.take_message() {
                    Some(_) => BackendResult::not_run(RefusalReason::ConnectFailed, false),
                    None => BackendResult::lost(RefusalReason::ConnectionLost),
                };
            }
        };
        read_response(response, request).await
    }

    fn build(&self, request: &BackendRequest) -> Result<Request<Full<Bytes>>, http::Error> {
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

    /// Asks for the server's health; `None` when the connection gave no answer
    /// in time.
    pub async fn probe(&mut self, limit: Duration) -> Option<HealthReport> {
        let head = Request::get("/health")
            .header(http::header::HOST, self.host.clone())
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let response = self.sender.send_request(head).await.ok()?;
            let body = read_body(response.into_body()).await?;
            serde_json::from_slice(&body).ok()
        };
        timeout(limit, exchange).await.ok()?
    }

    /// Gives the connection up while a request may still be on it, and returns
    /// once the server's end is closed. `false`: its end is not known to be
    /// closed after [`CLOSE_TIMEOUT`].
    pub async fn abandon(self) -> bool {
        self.driver.abort();
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
    const fn lost(reason: RefusalReason) -> Self {
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
    pub const fn reusable(&self) -> bool {
        match self {
            Self::Ran { .. } => true,
            Self::Failed { reusable, .. } => *reusable,
        }
    }
}

async fn read_response(response: Response<Incoming>, request: &BackendRequest) -> BackendResult {
    let (head, body) = response.into_parts();
    let Some(body) = read_body(body).await else {
        return BackendResult::lost(RefusalReason::ReplyTruncated);
    };
    if head.status != StatusCode::OK {
        return refused(head.status, &head.headers);
    }
    if header_text(&head.headers, "x-request-id") != Some(request.id.to_string().as_str()) {
        return BackendResult::lost(RefusalReason::ReplyMismatch);
    }
    let shard =
        header_text(&head.headers, "x-shard").and_then(|name| ShardName::try_from(name).ok());
    let snapshot = header_text(&head.headers, "x-snapshot").and_then(|number| number.parse().ok());
    if shard != request.shard || snapshot != request.snapshot {
        return BackendResult::lost(RefusalReason::ReplyMismatch);
    }
    BackendResult::Ran { body, shard, snapshot }
}

async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if whole.len() + data.len() > MAX_REPLY_BYTES {
            return None;
        }
        whole.extend_from_slice(&data);
    }
    Some(whole.freeze())
}

/// Reads a refusal; only what the server itself calls not run is not run.
fn refused(status: StatusCode, headers: &HeaderMap) -> BackendResult {
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
