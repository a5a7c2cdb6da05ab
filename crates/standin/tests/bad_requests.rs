//! Checks that invalid requests get the right status and do not affect other requests.

use std::{net::SocketAddr, time::Duration};

use carobstep_standin::{BackendStandin, PlatformSettings, PlatformStandin, ServerSettings};
use carobstep_store::MAX_VALUE_BYTES;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

struct RequestCase {
    name: &'static str,
    request: &'static str,
    /// Prefix of the status line, or empty if the connection is closed without a response.
    expected: &'static str,
}

const PLATFORM_CASES: &[RequestCase] = &[
    case("no such path", "GET /nothing HTTP/1.1", "HTTP/1.1 404"),
    case("no such kind", "GET /objects/hats/a HTTP/1.1", "HTTP/1.1 400"),
    case("bad name", "GET /objects/lease/a%20b HTTP/1.1", "HTTP/1.1 400"),
    case("method", "PATCH /objects/lease/a HTTP/1.1", "HTTP/1.1 405"),
    case("no condition", "PUT /objects/lease/a HTTP/1.1", "HTTP/1.1 428"),
    case("bad tag", "PUT /objects/lease/a HTTP/1.1\r\nif-match: 4", "HTTP/1.1 400"),
    case(
        "bad if-none-match",
        "PUT /objects/lease/a HTTP/1.1\r\nif-none-match: \"4\"",
        "HTTP/1.1 400",
    ),
    case(
        "two conditions",
        "PUT /objects/lease/a HTTP/1.1\r\nif-match: \"4\"\r\nif-none-match: *",
        "HTTP/1.1 400",
    ),
    case("no value", "PUT /objects/lease/a HTTP/1.1\r\nif-none-match: *", "HTTP/1.1 400"),
    case("deletion", "DELETE /objects/lease/a HTTP/1.1\r\nif-none-match: *", "HTTP/1.1 428"),
    case("watch without version", "GET /watch/lease HTTP/1.1", "HTTP/1.1 400"),
    case("watch from bad version", "GET /watch/lease?after=x HTTP/1.1", "HTTP/1.1 400"),
    case("not HTTP", "hello", "HTTP/1.1 400"),
    case("no such fault", "POST /standin/faults HTTP/1.1\r\ncontent-length: 9", "HTTP/1.1 400"),
];

const BACKEND_CASES: &[RequestCase] = &[
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

const fn case(name: &'static str, request: &'static str, expected: &'static str) -> RequestCase {
    RequestCase { name, request, expected }
}

/// Sends `text` on a new connection and returns what the first read yields of the response.
async fn send_raw(address: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text).await.unwrap();
    let mut buffer = vec![0; 1024];
    let count = timeout(RESPONSE_TIMEOUT, stream.read(&mut buffer)).await.unwrap().unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

async fn check_cases(address: SocketAddr, cases: &[RequestCase]) {
    for case in cases {
        let text = format!("{}\r\nhost: x\r\n\r\n{{\"a\": 12}}", case.request);
        let response = send_raw(address, text.as_bytes()).await;
        assert!(response.starts_with(case.expected), "{}: {response:?}", case.name);
    }
}

#[tokio::test]
async fn the_platform_rejects_bad_requests_with_the_right_status() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    check_cases(platform.address(), PLATFORM_CASES).await;
    assert_eq!(platform.report().conflicts, 0);
}

#[tokio::test]
async fn a_server_rejects_bad_requests_with_the_right_status() {
    let server = BackendStandin::start(ServerSettings::default()).await.unwrap();
    check_cases(server.address(), BACKEND_CASES).await;
    assert_eq!(server.report().executed, 0);
}

fn put_head(length: usize) -> Vec<u8> {
    let head = format!(
        "PUT /objects/lease/a HTTP/1.1\r\nhost: x\r\nif-none-match: *\r\ncontent-length: {length}\r\n\r\n"
    );
    head.into_bytes()
}

#[tokio::test]
async fn the_largest_value_is_accepted_and_a_larger_one_rejected() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let mut largest = put_head(MAX_VALUE_BYTES);
    largest.push(b'"');
    largest.resize(largest.len() + MAX_VALUE_BYTES - 2, b'x');
    largest.push(b'"');
    let response = send_raw(platform.address(), &largest).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    let response = send_raw(platform.address(), &put_head(MAX_VALUE_BYTES + 1)).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
}

#[tokio::test]
async fn an_oversized_head_is_rejected() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let mut request = b"GET /vms HTTP/1.1\r\nx-long: ".to_vec();
    request.resize(1024 * 1024, b'x');
    let mut stream = TcpStream::connect(platform.address()).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(&request).await;
    let mut buffer = vec![0; 1024];
    let count = timeout(RESPONSE_TIMEOUT, stream.read(&mut buffer)).await.unwrap().unwrap_or(0);
    let response = String::from_utf8_lossy(&buffer[..count]).into_owned();
    assert!(count == 0 || response.starts_with("HTTP/1.1 431"), "{response:?}");
    assert_eq!(platform.report().total, 0);
}

#[tokio::test]
async fn an_incomplete_request_does_not_block_other_clients() {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let mut slow = TcpStream::connect(platform.address()).await.unwrap();
    slow.write_all(b"GET /vms HTT").await.unwrap();
    let response = send_raw(platform.address(), b"GET /vms HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

#[tokio::test]
async fn a_connection_with_an_incomplete_head_is_closed() {
    let settings = ServerSettings { idle_ms: 50, ..ServerSettings::default() };
    let server = BackendStandin::start(settings).await.unwrap();
    let response = send_raw(server.address(), b"POST /query HTT").await;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 408"), "{response:?}");
    assert_eq!(server.report().executed, 0);
}
