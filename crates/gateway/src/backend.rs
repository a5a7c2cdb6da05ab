//! Connections to one backend server and the exchanges on them.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use carobstep_platform::headers::{self, ServerVerdict};
use carobstep_tier::{AttemptEnd, ServerEntry};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use log::debug;
use rustix::net::sockopt;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::{Instant, timeout, timeout_at},
};

/// Longest time to open a connection; a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which sent bytes may stay unacknowledged, in milliseconds: longer
/// than a lost packet takes to be sent again twice.
const UNACKNOWLEDGED_MS: u32 = 1_500;

/// Idle time before a keep-alive probe, and between two; the system call takes whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle time after which a connection is not used again, when the server says nothing.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);

/// Time before the server's own idle timeout at which a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Largest accepted answer of a server, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Request body size up to which a connection is used again: a server that
/// answers before it has read a longer one would find other bytes in its place.
const MAX_REUSED_BODY: usize = 16 * 1024;

/// A request as it goes to backend servers.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequest {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// Headers without those that depend on the server or the time.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How an exchange ended.
#[derive(Clone, Debug)]
pub(crate) struct ExchangeEnd {
    pub(crate) end: AttemptEnd,
    /// The answer, also one that is a failure.
    pub(crate) answer: Option<BackendAnswer>,
    /// Why there is no success.
    pub(crate) reason: String,
}

/// Idle connections to one life of a backend server.
#[derive(Debug)]
pub(crate) struct ServerPool {
    address: SocketAddr,
    expected: HeaderValue,
    idle: RefCell<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    /// When the connection is too old to be used.
    expires: Instant,
}

/// An open connection; its socket is closed when it is dropped.
#[derive(Debug)]
struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ExchangeEnd {
    pub(crate) fn without_answer(end: AttemptEnd, reason: impl Into<String>) -> Self {
        Self { end, answer: None, reason: reason.into() }
    }
}

impl ServerPool {
    pub(crate) fn new(entry: &ServerEntry) -> Self {
        // A name that is no header value matches no server, which then refuses.
        let expected = HeaderValue::from_str(&entry.id)
            .unwrap_or_else(|_| HeaderValue::from_static("invalid"));
        Self { address: entry.address, expected, idle: RefCell::default() }
    }

    /// Sends a request and reads the whole answer until `deadline`.
    ///
    /// A kept connection that the server closed in the meantime is replaced
    /// by a new one if no byte of the request has left.
    pub(crate) async fn exchange(
        &self,
        request: &BackendRequest,
        deadline: Instant,
    ) -> ExchangeEnd {
        while let Some(connection) = self.take_idle() {
            if let Some(end) = self.exchange_on(connection, request, deadline).await {
                return end;
            }
        }
        let connecting = timeout_at(deadline, timeout(CONNECT_TIMEOUT, self.connect()));
        let connection = match connecting.await {
            Ok(Ok(Ok(connection))) => connection,
            Ok(Ok(Err(error))) => {
                return ExchangeEnd::without_answer(AttemptEnd::Unsent, error.to_string());
            }
            Ok(Err(_)) | Err(_) => {
                return ExchangeEnd::without_answer(AttemptEnd::Unsent, "connecting timed out");
            }
        };
        self.exchange_on(connection, request, deadline).await.unwrap_or_else(|| {
            ExchangeEnd::without_answer(AttemptEnd::Unsent, "a new connection was closed")
        })
    }

    async fn connect(&self) -> std::io::Result<BackendConnection> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        set_socket_options(&socket)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(socket)).await.map_err(std::io::Error::other)?;
        let address = self.address;
        let driver = spawn_local(async move {
            if let Err(error) = connection.await {
                debug!(address:% = address, error:% = error; "connection to a server ended");
            }
        });
        Ok(BackendConnection { sender, driver: driver.abort_handle() })
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| kept.expires > now && kept.connection.sender.is_ready());
        idle.pop().map(|kept| kept.connection)
    }

    /// Carries out an exchange; `None` when no byte of the request has left.
    async fn exchange_on(
        &self,
        mut connection: BackendConnection,
        request: &BackendRequest,
        deadline: Instant,
    ) -> Option<ExchangeEnd> {
        let sending = connection.sender.try_send_request(self.build(request, deadline));
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                if error.take_message().is_some() {
                    return None;
                }
                let reason = error.into_error().to_string();
                return Some(ExchangeEnd::without_answer(AttemptEnd::Failed, reason));
            }
            Err(_) => {
                // Other connections to the server may be as silent.
                self.idle.borrow_mut().clear();
                return Some(ExchangeEnd::without_answer(AttemptEnd::TimedOut, "no answer"));
            }
        };
        let end = match timeout_at(deadline, read_answer(response)).await {
            Ok(Ok(answer)) => self.judge(request, answer),
            Ok(Err(reason)) => ExchangeEnd::without_answer(AttemptEnd::Failed, reason),
            Err(_) => ExchangeEnd::without_answer(AttemptEnd::TimedOut, "the answer stopped"),
        };
        self.keep(connection, request, &end);
        Some(end)
    }

    fn build(&self, request: &BackendRequest, deadline: Instant) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.target.clone();
        *message.headers_mut() = request.headers.clone();
        let left = deadline.saturating_duration_since(Instant::now());
        let headers = message.headers_mut();
        headers.insert(headers::DEADLINE_MS, headers::deadline_value(left));
        headers.insert(headers::EXPECTED_SERVER, self.expected.clone());
        message
    }

    fn judge(&self, request: &BackendRequest, answer: BackendAnswer) -> ExchangeEnd {
        let sent = request.headers.get(headers::REQUEST_ID);
        let echoed = answer.headers.get(headers::REQUEST_ID);
        if echoed.is_some() && echoed != sent {
            let reason = "the answer belongs to another request";
            return ExchangeEnd::without_answer(AttemptEnd::Failed, reason);
        }
        if headers::is_encoded(&answer.headers) {
            return ExchangeEnd::without_answer(AttemptEnd::Failed, "the answer is encoded");
        }
        let status = answer.status;
        let verdict = ServerVerdict::of(status, &answer.headers);
        let signed = answer.headers.contains_key(headers::SERVER_STAMP);
        let (end, reason) = match verdict {
            ServerVerdict::Success if signed => (AttemptEnd::Answered, String::new()),
            ServerVerdict::Success => {
                return ExchangeEnd::without_answer(AttemptEnd::Failed, "a success is not signed");
            }
            ServerVerdict::Failure => (AttemptEnd::Failed, format!("status {status}")),
            ServerVerdict::NotRun => (AttemptEnd::NotRun, format!("status {status}")),
            ServerVerdict::WrongServer => (AttemptEnd::WrongServer, "another server".to_owned()),
        };
        ExchangeEnd { end, answer: Some(answer), reason }
    }

    /// Keeps a connection that can carry another request.
    fn keep(&self, connection: BackendConnection, request: &BackendRequest, end: &ExchangeEnd) {
        let Some(answer) = &end.answer else { return };
        if headers::closes_connection(&answer.headers) || request.body.len() > MAX_REUSED_BODY {
            return;
        }
        let idle = headers::keep_alive_timeout(&answer.headers).unwrap_or(DEFAULT_IDLE);
        let expires = Instant::now() + idle.saturating_sub(IDLE_MARGIN);
        self.idle.borrow_mut().push(IdleConnection { connection, expires });
    }
}

/// Makes the kernel end a connection whose other end has lost power or is cut off.
fn set_socket_options(socket: &TcpStream) -> std::io::Result<()> {
    sockopt::set_tcp_user_timeout(socket, UNACKNOWLEDGED_MS)?;
    sockopt::set_tcp_keepidle(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
    sockopt::set_socket_keepalive(socket, true)?;
    Ok(())
}

async fn read_answer(response: Response<Incoming>) -> Result<BackendAnswer, String> {
    let (head, mut body) = response.into_parts();
    let stated = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let mut whole = BytesMut::with_capacity(stated.unwrap_or(0).min(MAX_ANSWER_BYTES));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("the answer broke off: {error}"))?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(format!("the answer is longer than {MAX_ANSWER_BYTES} bytes"));
        }
        whole.extend_from_slice(&data);
    }
    Ok(BackendAnswer { status: head.status, headers: head.headers, body: whole.freeze() })
}
