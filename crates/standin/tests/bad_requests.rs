//! Requests that make no sense get a clear status and harm no other request.

use std::{net::SocketAddr, time::Duration};

use carobstep_standin::{BackendStandin, PlatformSettings, PlatformStandin, ServerSettings};
use carobstep_store::MAX_VALUE_BYTES;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

struct Case {
    name: &'static str,
    request: &'static str,
    /// Status line prefix, or the empty text for a connection closed without a reply.
    expected: &'static str,
}

const PLATFORM_CASES: &[Case] = &[
    case("no such path", "GET /nothing HTTP/1.1", "HTTP/1.1 404"),
    case("no such kind", "GET /objects/hats/a HTTP/1.1", "HTTP/1.1 400"),
    case("bad name", "GET /objects/lease/a%20b HTTP/1.1", "HTTP/1.1 400"),
    case("method", "PATCH /objects/lease/a HTTP/1.1", "HTTP/1.1 405"),
    case("no condition", "PUT /objects/lease/a HTTP/1.1", "HTTP/1.1 428"),
    case("bad tag", "PUT /objects/lease/a HTTP/1.1\r\nif-match: 4", "HTTP/1.1 400"),
    case("other absent", "PUT /objects/lease/a HTTP/1.1\r\nif-none-match: \"4\"", "HTTP/1.1 400"),
    case(
        "two conditions",
        "PUT /objects/lease/a HTTP/1.1\r\nif-match: \"4\"\r\nif-none-match: *",
        "HTTP/1.1 400",
    ),
    case("no value", "PUT /objects/lease/a HTTP/1.1\r\nif-none-match: *", "HTTP/1.1 400"),
    case("deletion", "DELETE /objects/lease/a HTTP/1.1\r\nif-none-match: *", "HTTP/1.1 428"),
    case("watch without version", "GET /watch/lease HTTP/1.1", "HTTP/1.1 400"),
    case("watch from nowhere", "GET /watch/lease?after=x HTTP/1.1", "HTTP/1.1 400"),
    case("not HTTP", "hello", "HTTP/1.1 400"),
    case("no such fault", "POST /standin/faults HTTP/1.1\r\ncontent-length: 9", "HTTP/1.1 400"),
];

const BACKEND_CASES: &[Case] = &[
    case("no such path", "GET /nothing HTTP/1.1", "HTTP/1.1 404"),
    case("no request id", "POST /query HTTP/1.1", "HTTP/1.1 400"),
    case(
        "bad snapshot",
        "POST /query HTTP/1.1\r\nx-request-id: r\r\nx-snapshot: x",
        "HTTP/1.1 400",
    ),
    case(
        "bad deadline",
        "POST /query HTTP/1.1\r\nx-request-id: r\r\nx-deadline-ms: -1",
        "HTTP/1.1 400",
    ),
    case("not HTTP", "hello", "HTTP/1.1 400"),
];

const fn case(name: &'static str, request: &'static str, expected: &'static str) -> Case {
    Case { name, request, expected }
}

/// Sends text and returns the reply as far as one read brings it.
async fn ask(address: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text).await.unwrap();
    let mut buffer = vec![0; 1024];
    let count = timeout(REPLY_TIMEOUT, stream.read(&mut buffer)).await.unwrap().unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

async fn check(address: SocketAddr, cases: &[Case]) {
    for case in cases {
        let text = format!("{}\r\nhost: x\r\n\r\n{{\"a\": 12}}", case.request);
        let reply = ask(address, text.as_bytes()).await;
        assert!(reply.starts_with(case.expected), "{}: {reply:?}", case.name);
    }
}

#[tokio::test]
async fn the_platform_answers_bad_requests_with_their_status() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    check(platform.address(), PLATFORM_CASES).await;
    assert_eq!(platform.report().conflicts, 0);
}

#[tokio::test]
async fn a_server_answers_bad_requests_with_their_status() {
    let server = BackendStandin::start(ServerSettings::default()).await.unwrap();
    check(server.address(), BACKEND_CASES).await;
    assert_eq!(server.report().executed, 0);
}

fn put_of(length: usize) -> Vec<u8> {
    let head = format!(
        "PUT /objects/lease/a HTTP/1.1\r\nhost: x\r\nif-none-match: *\r\ncontent-length: {length}\r\n\r\n"
    );
    head.into_bytes()
}

#[tokio::test]
async fn the_largest_value_is_taken_and_a_larger_one_refused() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let mut largest = put_of(MAX_VALUE_BYTES);
    largest.push(b'"');
    largest.resize(largest.len() + MAX_VALUE_BYTES - 2, b'x');
    largest.push(b'"');
    let reply = ask(platform.address(), &largest).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply:?}");
    let reply = ask(platform.address(), &put_of(MAX_VALUE_BYTES + 1)).await;
    assert!(reply.starts_with("HTTP/1.1 413"), "{reply:?}");
}

#[tokio::test]
async fn an_endless_head_is_cut_off() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let mut request = b"GET /vms HTTP/1.1\r\nx-long: ".to_vec();
    request.resize(1024 * 1024, b'x');
    let mut stream = TcpStream::connect(platform.address()).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(&request).await;
    let mut buffer = vec![0; 1024];
    let count = timeout(REPLY_TIMEOUT, stream.read(&mut buffer)).await.unwrap().unwrap_or(0);
    let reply = String::from_utf8_lossy(&buffer[..count]).into_owned();
    assert!(count == 0 || reply.starts_with("HTTP/1.1 431"), "{reply:?}");
    assert_eq!(platform.report().total, 0);
}

#[tokio::test]
async fn a_client_that_stops_in_its_request_holds_up_nobody() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let mut slow = TcpStream::connect(platform.address()).await.unwrap();
    slow.write_all(b"GET /vms HTT").await.unwrap();
    let reply = ask(platform.address(), b"GET /vms HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply:?}");
}

#[tokio::test]
async fn a_client_that_never_ends_its_head_is_closed() {
    let settings = ServerSettings { idle_ms: 50, ..ServerSettings::default() };
    let server = BackendStandin::start(settings).await.unwrap();
    let reply = ask(server.address(), b"POST /query HTT").await;
    assert!(reply.is_empty() || reply.starts_with("HTTP/1.1 408"), "{reply:?}");
    assert_eq!(server.report().executed, 0);
}
