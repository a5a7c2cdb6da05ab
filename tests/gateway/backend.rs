//! A stand-in for a backend server that writes raw HTTP responses, so that it can
//! produce malformed ones.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::sleep,
};

/// Processing time of a request whose response depends on the request.
const PROCESSING_TIME: Duration = Duration::from_millis(4);

/// Processing time of a slow server.
const SLOW_PROCESSING_TIME: Duration = Duration::from_millis(150);

/// Number of requests that a server with [`ServerFault::WorkInPath`] executes at once.
pub const WORK_SLOTS: usize = 8;

/// Part of a path before the milliseconds that its request takes, see
/// [`ServerFault::WorkInPath`].
const WORK_PREFIX: &str = "/work-";

/// Part of the path of requests that crash a server with [`ServerFault::CrashOnRequest`].
pub const CRASHING_PATH: &str = "crashing";

/// Path of the health check.
pub const HEALTH_PATH: &str = "/healthz";

/// Time for which a crashed server refuses connections.
const CRASH_TIME: Duration = Duration::from_millis(400);

/// Size of a large response body.
pub const LARGE_BODY_BYTES: usize = 600_000;

/// Size of a response body that the buffers of a connection don't hold.
pub const HUGE_BODY_BYTES: usize = 4_000_000;

/// Fault of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerFault {
    /// The server works.
    #[default]
    None,
    /// The server responds after [`SLOW_PROCESSING_TIME`].
    Slow,
    /// The server executes [`WORK_SLOTS`] requests at once, each for as long as its path says
    /// behind `/work-`, in milliseconds. Others wait.
    WorkInPath,
    /// The server refuses requests as not executed.
    Shed,
    /// Like [`Self::Shed`], with the server's stamp.
    StampedShed,
    /// The server executes requests and responds with status 500.
    Error,
    /// The server executes a request and closes the connection without a response.
    CloseWithoutResponse,
    /// The server executes requests and never responds.
    Hang,
    /// The server sends a second, unrelated response after each one.
    ExtraResponse,
    /// The server sends each response a second time when the next request arrives on the
    /// connection, before the response to that one.
    LateCopy,
    /// The server sends a refusal that names no request before the response to each request
    /// but the first on a connection.
    LateRefusal,
    /// The server responds with bytes that depend on this seed and are no response.
    Noise(u64),
    /// The server responds with success but without its stamp.
    NoStamp,
    /// The server closes the connection within a response.
    Truncate,
    /// The server executes requests and closes the connection at this place of the response.
    Cut(CutPlace),
    /// The server responds with a body of [`LARGE_BODY_BYTES`].
    Large,
    /// The server responds with a body of [`HUGE_BODY_BYTES`], more than sockets buffer.
    Huge,
    /// The server responds that the address belongs to another server (status 421).
    Misdirect,
    /// The server says in each response that it is leaving.
    Leaving,
    /// The server refuses requests as not executed and says that it is leaving.
    LeavingAndShed,
    /// The server refuses requests as not executed, with this `Retry-After`.
    Pause(&'static str),
    /// The server names this limit on its requests in each response.
    Limited(&'static str),
    /// The server crashes when a request's path contains [`CRASHING_PATH`] and is back
    /// after [`CRASH_TIME`]. Other requests take [`PROCESSING_TIME`].
    CrashOnRequest,
    /// The server sends the start of a response and then bytes without end.
    Endless(EndlessBytes),
    /// The server responds with this text as the status.
    Status(&'static str),
    /// The server's responses have this value of `Connection`.
    Connection(&'static str),
}

impl ServerFault {
    /// Whether a server with this fault answers health checks as usual.
    const fn answers_health_checks(self) -> bool {
        !matches!(self, Self::Hang | Self::Noise(_) | Self::Endless(_) | Self::CloseWithoutResponse)
    }
}

/// Place of a response at which a server closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum CutPlace {
    /// Before the first byte.
    Start,
    /// Within the status line.
    StatusLine,
    /// After the status line.
    AfterStatusLine,
    /// Within the name of a header field.
    FieldName,
    /// Within the value of the field that states the length.
    LengthValue,
    /// After the last field, before the empty line.
    BeforeEmptyLine,
    /// Within the line end that ends the header section.
    WithinEmptyLine,
    /// Within an informational response.
    Informational,
    /// Within the header section that follows an informational response.
    AfterInformational,
    /// Within the header section of a response without a length.
    NoLength,
    /// Within the header section of a response in chunks.
    ChunkedHead,
    /// Before the first chunk.
    BeforeChunks,
    /// Within the size of a chunk.
    ChunkSize,
    /// Within a chunk.
    WithinChunk,
    /// Between the chunks and the empty one that ends the body.
    BeforeLastChunk,
}

impl CutPlace {
    /// Returns what the server sends of a response with these fields and this body.
    fn text(self, fields: &str, body: &str) -> String {
        let status = "HTTP/1.1 200 OK\r\n";
        let length = body.len();
        let chunked = format!("{status}{fields}transfer-encoding: chunked\r\n");
        match self {
            Self::Start => String::new(),
            Self::StatusLine => "HTTP/1.1 20".to_owned(),
            Self::AfterStatusLine => status.to_owned(),
            Self::FieldName => format!("{status}{fields}content-le"),
            Self::LengthValue => format!("{status}{fields}content-length: {}", length / 10),
            Self::BeforeEmptyLine => format!("{status}{fields}content-length: {length}\r\n"),
            Self::WithinEmptyLine => format!("{status}{fields}content-length: 0\r\n\r"),
            Self::Informational => "HTTP/1.1 100 Contin".to_owned(),
            Self::AfterInformational => {
                format!("HTTP/1.1 100 Continue\r\n\r\n{status}{fields}content-length: 0\r\n")
            }
            Self::NoLength => format!("{status}{fields}x-more: 1\r\n"),
            Self::ChunkedHead => chunked,
            Self::BeforeChunks => format!("{chunked}\r\n"),
            Self::ChunkSize => format!("{chunked}\r\n1"),
            Self::WithinChunk => format!("{chunked}\r\n{length:x}\r\n{}", &body[..length / 2]),
            Self::BeforeLastChunk => format!("{chunked}\r\n{length:x}\r\n{body}\r\n"),
        }
    }
}

/// Where a server sends bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBytes {
    /// One line of the header section.
    HeaderLine,
    /// Many lines of the header section.
    HeaderLines,
    /// Many responses with status 100, which precede a final one.
    InformationalResponses,
    /// A body that ends with the connection.
    Body,
    /// A body with a very large stated length.
    BodyWithLength,
    /// A body in chunks.
    Chunks,
}

impl EndlessBytes {
    /// Returns the start of the response and what follows it again and again.
    fn texts(self, headers: &str) -> (String, &'static [u8]) {
        let ok = "HTTP/1.1 200 OK\r\n";
        let (start, rest): (String, &[u8]) = match self {
            Self::HeaderLine => (format!("{ok}{headers}x-long: "), b"yyyyyyyyyyyyyyyy"),
            Self::HeaderLines => (format!("{ok}{headers}"), b"x-more: yyyyyyy\r\n"),
            Self::InformationalResponses => (String::new(), b"HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Body => (format!("{ok}{headers}\r\n"), b"0123456789abcdef"),
            Self::BodyWithLength => {
                let length = u64::MAX / 4;
                (format!("{ok}{headers}content-length: {length}\r\n\r\n"), b"0123456789abcdef")
            }
            Self::Chunks => {
                let head = format!("{ok}{headers}transfer-encoding: chunked\r\n\r\n");
                (head, b"10\r\n0123456789abcdef\r\n")
            }
        };
        (start, rest)
    }
}

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub head: String,
    /// Whether the server executed the request.
    pub executed: bool,
}

#[derive(Default)]
struct ServerState {
    fault: ServerFault,
    arrivals: Vec<Arrival>,
    /// Requests that were cancelled because the gateway closed the connection.
    cancelled: usize,
    connections: usize,
    /// Bytes written for [`ServerFault::Endless`].
    endless_bytes: usize,
}

/// A running backend server; its tasks stop with the test's async runtime.
#[derive(Clone)]
pub struct StandinServer {
    pub id: String,
    pub address: SocketAddr,
    /// The record in each response.
    pub record: [u8; 16],
    /// Service of a server whose response depends on the request, see
    /// [`per_request_record`]; `None` if each response holds `record`.
    per_request_service: Option<String>,
    state: Arc<Mutex<ServerState>>,
    slots: Arc<Semaphore>,
    /// Number of crashes; each closes all connections.
    crashes: Arc<watch::Sender<usize>>,
}

impl StandinServer {
    pub async fn start(id: &str, record: u8) -> Self {
        Self::listen(id, record, None).await
    }

    /// Starts a server whose responses identify the request and the service.
    pub async fn start_per_request(id: &str, service: &str) -> Self {
        Self::listen(id, 0, Some(service.to_owned())).await
    }

    async fn listen(id: &str, record: u8, per_request_service: Option<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: [record; 16],
            per_request_service,
            state: Arc::default(),
            slots: Arc::new(Semaphore::new(WORK_SLOTS)),
            crashes: Arc::new(watch::Sender::new(0)),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            let mut crash = serving.crashes.subscribe();
            let mut listener = listener;
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = crash.changed() => {
                        drop(listener);
                        sleep(CRASH_TIME).await;
                        let Ok(bound) = TcpListener::bind(serving.address).await else { return };
                        listener = bound;
                        continue;
                    }
                };
                let Ok((socket, _)) = accepted else { return };
                serving.lock().connections += 1;
                let server = serving.clone();
                let mut crashes = serving.crashes.subscribe();
                tokio::spawn(async move {
                    tokio::select! {
                        () = server.serve(socket) => {}
                        _ = crashes.changed() => {}
                    }
                });
            }
        });
        server
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_fault(&self, fault: ServerFault) {
        self.lock().fault = fault;
    }

    pub fn fault(&self) -> ServerFault {
        self.lock().fault
    }

    /// Returns the heads of the executed requests.
    pub fn executed(&self) -> Vec<String> {
        let state = self.lock();
        state.arrivals.iter().filter(|it| it.executed).map(|it| it.head.clone()).collect()
    }

    /// Returns every received request, including refused ones.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> usize {
        *self.crashes.borrow()
    }

    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    /// Returns how many bytes were written for [`ServerFault::Endless`].
    pub fn endless_bytes(&self) -> usize {
        self.lock().endless_bytes
    }

    pub fn stamp(&self) -> String {
        format!("stamp-{}", self.id)
    }

    async fn serve(self, mut socket: TcpStream) {
        let mut bytes = Vec::new();
        let mut last_response = String::new();
        let mut requests = 0;
        loop {
            let Some(head) = read_request(&mut socket, &mut bytes).await else { return };
            requests += 1;
            let mut fault = self.lock().fault;
            let is_health_check = head.starts_with(&format!("GET {HEALTH_PATH} "));
            if is_health_check && fault.answers_health_checks() {
                if socket.write_all(response_text(200, "", "").as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if header_value(&head, "x-carobstep-expect-instance").is_some_and(|id| id != self.id) {
                fault = ServerFault::Misdirect;
            }
            let executed = !matches!(
                fault,
                ServerFault::Shed
                    | ServerFault::StampedShed
                    | ServerFault::Misdirect
                    | ServerFault::LeavingAndShed
                    | ServerFault::Pause(_)
            );
            if !is_health_check {
                let arrival = Arrival { at: Instant::now(), head: head.clone(), executed };
                self.lock().arrivals.push(arrival);
            }
            let request_id = header_value(&head, "x-carobstep-request-id").unwrap_or_default();
            let (body, stamp) = match &self.per_request_service {
                Some(service) => {
                    sleep(PROCESSING_TIME).await;
                    let record = per_request_record(service, &request_id);
                    (record, format!("{}/{service}/{request_id}", self.id))
                }
                None => (String::from_utf8_lossy(&self.record).into_owned(), self.stamp()),
            };
            let echo = format!("x-carobstep-request-id: {request_id}\r\n");
            let stamp_headers = format!("x-carobstep-server-stamp: {stamp}\r\n{echo}");
            let response = match fault {
                ServerFault::None => {
                    // Even the shortest sleep takes a millisecond.
                    if let Some(work) = work_of(&head) {
                        sleep(work).await;
                    }
                    response_text(200, &stamp_headers, &body)
                }
                ServerFault::Slow => {
                    sleep(SLOW_PROCESSING_TIME).await;
                    response_text(200, &stamp_headers, &body)
                }
                ServerFault::WorkInPath => {
                    let slot = self.slots.acquire().await.expect("the semaphore stays open");
                    sleep(work_of(&head).unwrap_or_default()).await;
                    drop(slot);
                    response_text(200, &stamp_headers, &body)
                }
                ServerFault::ExtraResponse => {
                    let other = "x-carobstep-server-stamp: other\r\n\
                        x-carobstep-request-id: other\r\n";
                    response_text(200, &stamp_headers, &body)
                        + &response_text(200, other, "not yours 123456")
                }
                ServerFault::LateCopy => {
                    let response = response_text(200, &stamp_headers, &body);
                    std::mem::replace(&mut last_response, response.clone()) + &response
                }
                ServerFault::LateRefusal => {
                    let refusal = response_text(503, "x-carobstep-not-executed: 1\r\n", "");
                    let late = if requests > 1 { refusal } else { String::new() };
                    late + &response_text(200, &stamp_headers, &body)
                }
                ServerFault::Noise(seed) => {
                    let mut rng = StdRng::seed_from_u64(seed);
                    let noise: Vec<u8> =
                        (0..rng.random_range(1..600)).map(|_| rng.random()).collect();
                    // The gateway may have closed the connection.
                    let _ = socket.write_all(&noise).await;
                    return;
                }
                ServerFault::NoStamp => response_text(200, &echo, &body),
                ServerFault::Truncate => {
                    let complete = response_text(200, &stamp_headers, &body);
                    complete[..complete.len() - 4].to_owned()
                }
                ServerFault::Shed => response_text(503, "x-carobstep-not-executed: 1\r\n", ""),
                ServerFault::StampedShed => {
                    let headers = format!("{stamp_headers}x-carobstep-not-executed: 1\r\n");
                    response_text(503, &headers, "")
                }
                ServerFault::Leaving => {
                    response_text(200, &format!("{stamp_headers}server-leaving: 1\r\n"), &body)
                }
                ServerFault::Limited(rate) => {
                    let headers = format!("{stamp_headers}server-limit: {rate}\r\n");
                    response_text(200, &headers, &body)
                }
                ServerFault::Connection(options) => {
                    let headers = format!("connection: {options}\r\n{stamp_headers}");
                    response_text(200, &headers, &body)
                }
                ServerFault::LeavingAndShed => {
                    let headers = "x-carobstep-not-executed: 1\r\nserver-leaving: 1\r\n";
                    response_text(503, headers, "")
                }
                ServerFault::Pause(wait) => {
                    let headers = format!("x-carobstep-not-executed: 1\r\nretry-after: {wait}\r\n");
                    response_text(503, &headers, "")
                }
                ServerFault::Large => {
                    response_text(200, &stamp_headers, &"x".repeat(LARGE_BODY_BYTES))
                }
                ServerFault::Huge => {
                    response_text(200, &stamp_headers, &"x".repeat(HUGE_BODY_BYTES))
                }
                ServerFault::Endless(bytes) => {
                    let (start, rest) = bytes.texts(&stamp_headers);
                    let block = rest.repeat(4096);
                    let mut sent = socket.write_all(start.as_bytes()).await;
                    while sent.is_ok() {
                        sent = socket.write_all(&block).await;
                        self.lock().endless_bytes += block.len();
                    }
                    self.lock().cancelled += 1;
                    return;
                }
                ServerFault::Cut(place) => {
                    // The gateway may have closed the connection.
                    let _ = socket.write_all(place.text(&stamp_headers, &body).as_bytes()).await;
                    return;
                }
                ServerFault::Status(status) => {
                    let length = body.len();
                    format!(
                        "HTTP/1.1 {status}\r\n{stamp_headers}content-length: {length}\r\n\r\n{body}"
                    )
                }
                ServerFault::Misdirect => response_text(421, "", ""),
                ServerFault::Error => response_text(500, &stamp_headers, "broken"),
                ServerFault::CloseWithoutResponse => return,
                ServerFault::CrashOnRequest if head.contains(CRASHING_PATH) => {
                    sleep(PROCESSING_TIME).await;
                    self.crashes.send_modify(|count| *count += 1);
                    return;
                }
                ServerFault::CrashOnRequest => {
                    sleep(PROCESSING_TIME).await;
                    response_text(200, &stamp_headers, &body)
                }
                ServerFault::Hang => {
                    let mut rest = [0; 64];
                    while socket.read(&mut rest).await.is_ok_and(|count| count > 0) {}
                    self.lock().cancelled += 1;
                    return;
                }
            };
            if socket.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            if fault == ServerFault::Truncate {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Returns the record that every server of a service returns for a request.
pub fn per_request_record(service: &str, request_id: &str) -> String {
    let mut hash = DefaultHasher::new();
    (service, request_id).hash(&mut hash);
    format!("{:016x}", hash.finish())
}

async fn read_request(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end + 4]).into_owned();
            let length: usize = header_value(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                bytes.drain(..end + 4 + length);
                return Some(head);
            }
        }
        let mut chunk = [0; 4096];
        let count = socket.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Returns the time that the path of a request asks a server to work for, if it does.
fn work_of(head: &str) -> Option<Duration> {
    let (_, digits) = head.split_once(WORK_PREFIX)?;
    let end = digits.find(|it: char| !it.is_ascii_digit()).unwrap_or(digits.len());
    digits[..end].parse().ok().map(Duration::from_millis)
}

/// Returns the value of a header.
pub fn header_value(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

fn response_text(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
