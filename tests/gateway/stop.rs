//! Planned stops: what becomes of requests that come late in the grace period.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time::sleep,
};

use super::{
    backend::{HUGE_BODY_BYTES, ServerFault},
    fixture,
};

/// Guards against a response that a slow caller has not read completely when the process
/// exits, although the grace period isn't over.
#[tokio::test]
async fn a_stopping_node_sends_its_last_response_to_the_end() {
    let fixture = fixture().await;
    for server in &fixture.single {
        server.set_fault(ServerFault::Huge);
    }
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(64 * 1024).expect("a small buffer");
    let mut socket = socket.connect(fixture.node.callers).await.expect("a connection");
    fixture.node.signal("TERM");
    sleep(Duration::from_millis(2_700)).await;
    let head = "GET /fetch/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-carobstep-request-id: id-1\r\n\r\n";
    socket.write_all(head.as_bytes()).await.expect("a request");
    // The listener closes meanwhile, and no request is in progress any more.
    sleep(Duration::from_millis(1_000)).await;
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await.expect("the rest of the response");
    let received = response.len();
    assert!(received > HUGE_BODY_BYTES, "{received} bytes of more than {HUGE_BODY_BYTES}");
}
