//! A stand-in of a backend server that writes its answers byte by byte.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time that a server works on a request which it answers personally.
const WORK: Duration = Duration::from_millis(4);

/// Time that a slow server works on a request.
const SLOW_WORK: Duration = Duration::from_millis(150);

/// How a server treats its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerFault {
    /// It answers.
    #[default]
    None,
    /// It answers after [`SLOW_WORK`].
    Slow,
    /// It refuses as not run.
    Shed,
    /// It runs and answers with 500.
    Error,
    /// It runs and closes the connection without an answer.
    Lose,
    /// It runs and never answers.
    Hang,
    /// It sends a second answer after each one.
    Extra,
    /// It answers a success without its signature.
    Unsigned,
    /// It breaks the answer off.
    Truncate,
    /// It says that another server has the address.
    Misdirect,
}

/// A request that came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub head: String,
    /// Whether the server began to work on it.
    pub ran: bool,
}

#[derive(Default)]
struct ServerState {
    fault: ServerFault,
    arrivals: Vec<Arrival>,
    /// Requests that ended because their connection was closed.
    cancelled: usize,
    connections: usize,
}

/// A running backend server; its tasks end with the test's runtime.
#[derive(Clone)]
pub struct StandinServer {
    pub id: String,
    pub address: SocketAddr,
    /// The one record that it answers with.
    pub record: [u8; 16],
    /// Service whose answers differ for each request, by [`personal_record`].
    personal: Option<String>,
    state: Arc<Mutex<ServerState>>,
}

impl StandinServer {
    pub async fn start(id: &str, record: u8) -> Self {
        Self::listen(id, record, None).await
    }

    /// A server whose answers belong to one request and one service.
    pub async fn start_personal(id: &str, service: &str) -> Self {
        Self::listen(id, 0, Some(service.to_owned())).await
    }

    async fn listen(id: &str, record: u8, personal: Option<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: [record; 16],
            personal,
            state: Arc::default(),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                serving.lock().connections += 1;
                tokio::spawn(serving.clone().serve(socket));
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

    /// Heads of the requests that ran.
    pub fn ran(&self) -> Vec<String> {
        let state = self.lock();
        state.arrivals.iter().filter(|it| it.ran).map(|it| it.head.clone()).collect()
    }

    /// Every request that came, refused ones too.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    pub fn stamp(&self) -> String {
        format!("stamp-{}", self.id)
    }

    async fn serve(self, mut socket: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let Some(head) = read_request(&mut socket, &mut bytes).await else { return };
            let mut fault = self.lock().fault;
            if field(&head, "x-carobstep-expect-instance").is_some_and(|id| id != self.id) {
                fault = ServerFault::Misdirect;
            }
            let ran = !matches!(fault, ServerFault::Shed | ServerFault::Misdirect);
            self.lock().arrivals.push(Arrival { at: Instant::now(), head: head.clone(), ran });
            let request_id = field(&head, "x-carobstep-request-id").unwrap_or_default();
            let (body, stamp) = match &self.personal {
                Some(service) => {
                    sleep(WORK).await;
                    let record = personal_record(service, &request_id);
                    (record, format!("{}/{service}/{request_id}", self.id))
                }
                None => (String::from_utf8_lossy(&self.record).into_owned(), self.stamp()),
            };
            let echo = format!("x-carobstep-request-id: {request_id}\r\n");
            let signed = format!("x-carobstep-server-stamp: {stamp}\r\n{echo}");
            let answer = match fault {
                ServerFault::None => message(200, &signed, &body),
                ServerFault::Slow => {
                    sleep(SLOW_WORK).await;
                    message(200, &signed, &body)
                }
                ServerFault::Extra => {
                    let other = "x-carobstep-server-stamp: other\r\n\
                        x-carobstep-request-id: other\r\n";
                    message(200, &signed, &body) + &message(200, other, "not yours 123456")
                }
                ServerFault::Unsigned => message(200, &echo, &body),
                ServerFault::Truncate => {
                    let whole = message(200, &signed, &body);
                    whole[..whole.len() - 4].to_owned()
                }
                ServerFault::Shed => message(503, "x-carobstep-not-executed: 1\r\n", ""),
                ServerFault::Misdirect => message(421, "", ""),
                ServerFault::Error => message(500, &signed, "broken"),
                ServerFault::Lose => return,
                ServerFault::Hang => {
                    let mut rest = [0; 64];
                    while socket.read(&mut rest).await.is_ok_and(|count| count > 0) {}
                    self.lock().cancelled += 1;
                    return;
                }
            };
            if socket.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if fault == ServerFault::Truncate {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// The record with which every server of a service answers a request.
pub fn personal_record(service: &str, request_id: &str) -> String {
    let mut hash = DefaultHasher::new();
    (service, request_id).hash(&mut hash);
    format!("{:016x}", hash.finish())
}

async fn read_request(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end + 4]).into_owned();
            let length: usize =
                field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
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

/// Value of a header field.
pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

fn message(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
