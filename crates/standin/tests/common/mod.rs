//! A query client for a backend server stand-in, with one connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time after which a response is considered missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A response with its complete body.
#[derive(Debug)]
pub struct CompleteResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CompleteResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

/// Outcome of a query for its client.
#[derive(Debug)]
pub enum QueryOutcome {
    Response(CompleteResponse),
    ConnectionClosed,
    TimedOut,
}

impl QueryOutcome {
    pub fn expect_response(self) -> CompleteResponse {
        match self {
            Self::Response(response) => response,
            other => panic!("no response: {other:?}"),
        }
    }
}

/// A client that sends queries one after the other on one connection.
pub struct QueryClient {
    sender: SendRequest<Full<Bytes>>,
}

impl QueryClient {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a query and waits for its outcome without a timeout.
    pub async fn query(&mut self, headers: &[(&str, &str)], body: &str) -> QueryOutcome {
        let mut request = Request::post("/query").header("host", "x");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap();
        if self.sender.ready().await.is_err() {
            return QueryOutcome::ConnectionClosed;
        }
        let Ok(response) = self.sender.send_request(request).await else {
            return QueryOutcome::ConnectionClosed;
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return QueryOutcome::ConnectionClosed };
        let body = body.to_bytes();
        QueryOutcome::Response(CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a query and cancels it if no response arrives within [`RESPONSE_TIMEOUT`].
    pub async fn query_with_timeout(&mut self, request_id: &str) -> QueryOutcome {
        let headers = [("x-request-id", request_id)];
        timeout(RESPONSE_TIMEOUT, self.query(&headers, "{}"))
            .await
            .unwrap_or(QueryOutcome::TimedOut)
    }
}

/// Waits until a condition holds, without a timeout: the test runner ends a test that hangs.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(5)).await;
    }
}
