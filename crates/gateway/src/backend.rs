//! HTTP connections to a backend server, and request-response exchanges on them.

mod probe;

pub(crate) use probe::ProbeFailure;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use carobstep_clock::BootTime;
use carobstep_platform::headers::{self, ServerVerdict};
use carobstep_tier::{
    AttemptOutcome, LimitNotice, PauseRequest, RequestFingerprint, ServerEntry, ServerIncarnation,
    ServerNotice,
};
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

use crate::byte_budget::{ByteBudget, ByteMeter, ByteReservation, MeteredStream};

/// Timeout for opening a connection. The kernel retransmits a lost SYN after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time in milliseconds for which sent bytes may stay unacknowledged; longer than
/// two retransmissions of a lost packet take.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;

/// Idle time before the first TCP keep-alive probe and between two probes. The
/// socket option takes whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle time after which a connection is not reused, if the server states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which connections to a server are not reused after it sent the response to
/// another request: more of them may carry late responses.
const NO_REUSE_TIME: Duration = Duration::from_secs(60);

/// Time before the server's idle timeout from which on a connection is not reused.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Maximum size of a response's header section, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest request body in bytes after which a connection is reused. A server may
/// respond before it has read a larger body, and would then parse the rest of the
/// body as the next request.
const MAX_REUSE_BODY_BYTES: usize = 16 * 1024;

/// A request in the form in which it is sent to backend servers.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequest {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// Headers other than the expected server and the deadline, which are set for
    /// each attempt.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BackendRequest {
    /// Returns what identifies the request when it comes again.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let host = self.headers.get(header::HOST).map_or(&[][..], HeaderValue::as_bytes);
        // Written in the form in which routes are found, which has no port.
        let host = host.split(|byte| *byte == b':').next().unwrap_or_default();
        let host = host.to_ascii_lowercase();
        RequestFingerprint::of(&[
            self.method.as_str().as_bytes(),
            &host,
            self.target.path().as_bytes(),
            self.target.query().unwrap_or_default().as_bytes(),
            headers::caller_of(&self.headers),
            &self.body,
        ])
    }
}

/// A complete response of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Counts the response against the process's limit until it is dropped.
    _reservation: Rc<ByteReservation>,
}

/// Limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeLimits {
    pub(crate) deadline: Instant,
    /// Maximum number of bytes of the response, with its header section and framing.
    pub(crate) response_bytes: usize,
}

/// Outcome of an exchange.
#[derive(Clone, Debug)]
pub(crate) struct ExchangeOutcome {
    pub(crate) outcome: AttemptOutcome,
    /// The response, also if it reports a failure.
    pub(crate) response: Option<BackendResponse>,
    /// Reason for the failure; empty on success.
    pub(crate) reason: String,
    /// Whether the server closed the connection after it had received the request and
    /// before it responded, as it does when it crashes.
    pub(crate) is_broken: bool,
}

/// Pool of idle connections to one instance of a backend server.
#[derive(Debug)]
pub(crate) struct ServerPool {
    address: SocketAddr,
    expected_id: HeaderValue,
    incarnation: ServerIncarnation,
    budget: Rc<ByteBudget>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Connection that carried a probe. It carries no other request: a late answer to a
    /// probe names no request, and could be taken for that of another one.
    idle_probe: RefCell<Option<IdleConnection>>,
    /// Whether a response said that the server is leaving.
    is_leaving: Cell<bool>,
    /// Whether the servers of its zone get no requests.
    pub(crate) is_evacuated: Cell<bool>,
    /// Until when the server wants no requests.
    paused_until: Cell<BootTime>,
    /// Until when connections are not reused.
    no_reuse_until: Cell<BootTime>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    /// When the connection becomes too old to be reused.
    expires: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.expires > now && self.connection.sender.is_ready()
    }
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    opened: BootTime,
    /// Whether a request was sent on it before.
    is_used: bool,
    driver: AbortHandle,
    meter: Rc<ByteMeter>,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl BackendResponse {
    /// Creates a response from its parts, the bytes of which are counted by `reservation`.
    pub(crate) const fn new(
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        reservation: Rc<ByteReservation>,
    ) -> Self {
        Self { status, headers, body, _reservation: reservation }
    }
}

impl ExchangeOutcome {
    pub(crate) fn without_response(outcome: AttemptOutcome, reason: impl Into<String>) -> Self {
        Self { outcome, response: None, reason: reason.into(), is_broken: false }
    }
}

impl ServerPool {
    pub(crate) fn new(entry: &ServerEntry, budget: Rc<ByteBudget>) -> Self {
        // An id that is not a valid header value is replaced by one that matches no
        // server, so that the server refuses the request.
        let expected_id = HeaderValue::from_str(&entry.id)
            .unwrap_or_else(|_| HeaderValue::from_static("invalid"));
        Self {
            address: entry.address,
            expected_id,
            incarnation: ServerIncarnation { id: entry.id.clone(), born_ms: entry.born_ms },
            budget,
            idle: RefCell::default(),
            idle_probe: RefCell::default(),
            is_leaving: Cell::new(false),
            is_evacuated: Cell::new(false),
            paused_until: Cell::new(BootTime::ZERO),
            no_reuse_until: Cell::new(BootTime::ZERO),
        }
    }

    /// Returns the incarnation of the server that the connections lead to.
    pub(crate) const fn incarnation(&self) -> &ServerIncarnation {
        &self.incarnation
    }

    /// Sends a request and reads the complete response, until the deadline. Passes what
    /// the response says about the server to `on_notice` once its header section is read,
    /// and when the connection was opened.
    ///
    /// Uses an idle connection if there is one. If the server has closed it and no
    /// byte of the request was sent, tries the next one, then a new connection. Asks
    /// `may_send` before it uses a new one, since opening it takes time.
    pub(crate) async fn exchange(
        &self,
        request: &BackendRequest,
        limits: ExchangeLimits,
        may_send: impl Fn() -> bool,
        on_notice: impl Fn(BootTime, ServerNotice),
    ) -> ExchangeOutcome {
        while let Some(connection) = self.take_idle() {
            if let Some(outcome) = self.exchange_on(connection, request, limits, &on_notice).await {
                return outcome;
            }
        }
        let connecting = timeout_at(limits.deadline, timeout(CONNECT_TIMEOUT, self.connect()));
        let connection = match connecting.await {
            Ok(Ok(Ok(connection))) => connection,
            Ok(Ok(Err(error))) => {
                return ExchangeOutcome::without_response(
                    AttemptOutcome::Unsent,
                    error.to_string(),
                );
            }
            Ok(Err(_)) | Err(_) => {
                return ExchangeOutcome::without_response(
                    AttemptOutcome::Unsent,
                    "connecting timed out",
                );
            }
        };
        // Another exchange may have learned it while this one was connecting.
        if self.is_leaving.get()
            || self.is_evacuated.get()
            || BootTime::now() < self.paused_until.get()
        {
            return ExchangeOutcome::without_response(
                AttemptOutcome::Unsent,
                "the server is leaving, evacuated or asked for a pause",
            );
        }
        if !may_send() {
            return ExchangeOutcome::without_response(
                AttemptOutcome::Unsent,
                "this node exits before the request could end",
            );
        }
        self.exchange_on(connection, request, limits, &on_notice).await.unwrap_or_else(|| {
            ExchangeOutcome::without_response(
                AttemptOutcome::Unsent,
                "the server closed a new connection",
            )
        })
    }

    async fn connect(&self) -> std::io::Result<BackendConnection> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        set_socket_options(&socket)?;
        let meter = Rc::new(ByteMeter::new(self.budget.clone()));
        let stream = MeteredStream::new(socket, meter.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let address = self.address;
        let driver = spawn_local(async move {
            if let Err(error) = connection.await {
                debug!(address:% = address, error:% = error; "connection to a server failed");
            }
        });
        let opened = BootTime::now();
        let driver = driver.abort_handle();
        Ok(BackendConnection { sender, opened, is_used: false, driver, meter })
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|entry| entry.is_usable(now));
        idle.pop().map(|entry| entry.connection)
    }

    /// Performs an exchange on a connection; `None` if no byte of the request was sent.
    async fn exchange_on(
        &self,
        mut connection: BackendConnection,
        request: &BackendRequest,
        limits: ExchangeLimits,
        on_notice: &impl Fn(BootTime, ServerNotice),
    ) -> Option<ExchangeOutcome> {
        let deadline = limits.deadline;
        let reservation = connection.meter.start(limits.response_bytes);
        let sending = connection.sender.try_send_request(self.build_request(request, deadline));
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                if error.take_message().is_some() {
                    return None;
                }
                let error = error.into_error();
                if error.is_parse_too_large() {
                    reservation.exceed();
                }
                let is_broken = !error.is_parse() && !error.is_user();
                let outcome = failure_outcome(&reservation, error.to_string());
                return Some(ExchangeOutcome { is_broken, ..outcome });
            }
            Err(_) => {
                // The other connections to the server may be broken as well.
                self.idle.borrow_mut().clear();
                return Some(ExchangeOutcome::without_response(
                    AttemptOutcome::TimedOut,
                    "no response",
                ));
            }
        };
        let status = response.status();
        if !is_final(status) {
            // The connection is closed: what follows on it has no meaning in HTTP.
            let reason = format!("status {status} is no final response to this request");
            return Some(ExchangeOutcome::without_response(AttemptOutcome::Failed, reason));
        }
        self.record_notice(connection.opened, request, &response, on_notice);
        let reading = read_response(response, limits.response_bytes, reservation.clone());
        let outcome = match timeout_at(deadline, reading).await {
            Ok(Ok(response)) => self.classify_response(&connection, request, response),
            Ok(Err(reason)) => failure_outcome(&reservation, reason),
            Err(_) => ExchangeOutcome::without_response(
                AttemptOutcome::TimedOut,
                "response body incomplete at the deadline",
            ),
        };
        if let Some(response) = &outcome.response
            && let Some(entry) = self.idle_after(connection, request, response)
        {
            self.idle.borrow_mut().push(entry);
        }
        Some(outcome)
    }

    /// Records what the header section of a response says about the server.
    fn record_notice(
        &self,
        opened: BootTime,
        request: &BackendRequest,
        response: &Response<Incoming>,
        on_notice: &impl Fn(BootTime, ServerNotice),
    ) {
        let mut notice = headers::server_notice(response.status(), response.headers());
        // A late copy of an earlier response may name a limit that has ended since.
        let sent_id = request.headers.get(headers::REQUEST_ID);
        if response.headers().get(headers::REQUEST_ID) != sent_id {
            notice.limit = LimitNotice::Unknown;
        }
        if is_for_another_request(request, response.headers()) {
            self.stop_reuse();
        }
        if notice.is_leaving {
            self.is_leaving.set(true);
        }
        if let PauseRequest::For(pause) = notice.pause {
            let until = BootTime::now() + pause;
            self.paused_until.set(self.paused_until.get().max(until));
        }
        on_notice(opened, notice);
    }

    fn stop_reuse(&self) {
        self.no_reuse_until.set(BootTime::now() + NO_REUSE_TIME);
        self.idle.borrow_mut().clear();
    }

    fn build_request(&self, request: &BackendRequest, deadline: Instant) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.target.clone();
        *message.headers_mut() = request.headers.clone();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let headers = message.headers_mut();
        headers.insert(headers::DEADLINE_MS, headers::deadline_value(remaining));
        headers.insert(headers::EXPECTED_SERVER, self.expected_id.clone());
        message
    }

    /// Classifies a complete response as an outcome.
    fn classify_response(
        &self,
        connection: &BackendConnection,
        request: &BackendRequest,
        response: BackendResponse,
    ) -> ExchangeOutcome {
        if is_for_another_request(request, &response.headers) {
            let reason = "the response belongs to another request";
            return ExchangeOutcome::without_response(AttemptOutcome::Failed, reason);
        }
        if headers::is_encoded(&response.headers) {
            return ExchangeOutcome::without_response(
                AttemptOutcome::Failed,
                "the response has a content encoding",
            );
        }
        let status = response.status;
        let verdict = ServerVerdict::of(status, &response.headers);
        let is_refusal = matches!(verdict, ServerVerdict::NotRun | ServerVerdict::WrongServer);
        if is_refusal && !is_certain_answer(connection, request, &response.headers) {
            // The server's refusals may never name the request. On new connections they
            // are certain.
            self.stop_reuse();
            let reason = "the refusal may belong to another request";
            return ExchangeOutcome::without_response(AttemptOutcome::Failed, reason);
        }
        let has_stamp = response.headers.contains_key(headers::SERVER_STAMP);
        let (outcome, reason) = match verdict {
            ServerVerdict::Success if has_stamp => (AttemptOutcome::Answered, String::new()),
            ServerVerdict::Success => {
                return ExchangeOutcome::without_response(
                    AttemptOutcome::Failed,
                    "a successful response has no server stamp",
                );
            }
            ServerVerdict::Failure => (AttemptOutcome::Failed, format!("status {status}")),
            ServerVerdict::NotRun => (AttemptOutcome::NotRun, format!("status {status}")),
            ServerVerdict::WrongServer => {
                (AttemptOutcome::WrongServer, "another server has the address".to_owned())
            }
        };
        ExchangeOutcome { outcome, response: Some(response), reason, is_broken: false }
    }

    /// Returns a connection on which a request was answered, if it can be reused.
    fn idle_after(
        &self,
        mut connection: BackendConnection,
        request: &BackendRequest,
        response: &BackendResponse,
    ) -> Option<IdleConnection> {
        if headers::closes_connection(&response.headers)
            || request.body.len() > MAX_REUSE_BODY_BYTES
            || BootTime::now() < self.no_reuse_until.get()
        {
            return None;
        }
        connection.meter.stop();
        connection.is_used = true;
        let idle = headers::keep_alive_timeout(&response.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let expires = Instant::now() + idle.saturating_sub(IDLE_MARGIN);
        Some(IdleConnection { connection, expires })
    }
}

/// Returns whether a status can end an exchange that asked for no other protocol (RFC 9110, 15:
/// codes outside 100 to 599 are invalid, and informational ones precede the response).
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response is certain to be that of the request: it names the request,
/// or nothing else was sent on the connection.
fn is_certain_answer(
    connection: &BackendConnection,
    request: &BackendRequest,
    response: &HeaderMap,
) -> bool {
    let echoed_id = response.get(headers::REQUEST_ID);
    !connection.is_used
        || (echoed_id.is_some() && echoed_id == request.headers.get(headers::REQUEST_ID))
}

/// Returns whether a response names another request than the one that was sent.
fn is_for_another_request(request: &BackendRequest, response: &HeaderMap) -> bool {
    let echoed_id = response.get(headers::REQUEST_ID);
    echoed_id.is_some() && echoed_id != request.headers.get(headers::REQUEST_ID)
}

/// Sets socket options so that the kernel closes a connection whose remote host
/// lost power or is unreachable.
fn set_socket_options(socket: &TcpStream) -> std::io::Result<()> {
    sockopt::set_tcp_user_timeout(socket, TCP_USER_TIMEOUT_MS)?;
    sockopt::set_tcp_keepidle(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
    sockopt::set_socket_keepalive(socket, true)?;
    Ok(())
}

/// Returns the outcome of an exchange whose response could not be read.
fn failure_outcome(reservation: &ByteReservation, reason: String) -> ExchangeOutcome {
    let outcome =
        if reservation.is_exceeded() { AttemptOutcome::Oversized } else { AttemptOutcome::Failed };
    ExchangeOutcome::without_response(outcome, reason)
}

async fn read_response(
    response: Response<Incoming>,
    max_bytes: usize,
    reservation: Rc<ByteReservation>,
) -> Result<BackendResponse, String> {
    /// Initial capacity of the buffer, unless the response states a smaller length.
    const INITIAL_CAPACITY: usize = 16 * 1024;
    let (head, mut body) = response.into_parts();
    let content_length = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > max_bytes) {
        reservation.exceed();
        return Err(format!("the response is longer than {max_bytes} bytes"));
    }
    let mut body_buf = BytesMut::with_capacity(content_length.unwrap_or(0).min(INITIAL_CAPACITY));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("reading the response failed: {error}"))?;
        let Ok(data) = frame.into_data() else { continue };
        body_buf.extend_from_slice(&data);
    }
    Ok(BackendResponse::new(head.status, head.headers, body_buf.freeze(), reservation))
}
