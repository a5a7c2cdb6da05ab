//! One connection to a backend server stand-in.

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

/// Time after which a reply counts as never coming.
const SILENCE: Duration = Duration::from_secs(3);

/// A reply that was read to its end.
#[derive(Debug)]
pub struct WholeReply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl WholeReply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

/// How a query ended for its caller.
#[derive(Debug)]
pub enum QueryEnd {
    Replied(WholeReply),
    Broken,
    Silent,
}

impl QueryEnd {
    pub fn reply(self) -> WholeReply {
        match self {
            Self::Replied(reply) => reply,
            other => panic!("no reply: {other:?}"),
        }
    }
}

/// A connection that sends one query after the other.
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a query and waits for its end without a limit of time.
    pub async fn query(&mut self, headers: &[(&str, &str)], body: &str) -> QueryEnd {
        let mut request = Request::post("/query").header("host", "x");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap();
        if self.sender.ready().await.is_err() {
            return QueryEnd::Broken;
        }
        let Ok(response) = self.sender.send_request(request).await else {
            return QueryEnd::Broken;
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return QueryEnd::Broken };
        let body = body.to_bytes();
        QueryEnd::Replied(WholeReply { status: head.status, headers: head.headers, body })
    }

    /// Sends a query and gives up on it after [`SILENCE`].
    pub async fn query_or_silence(&mut self, request_id: &str) -> QueryEnd {
        let headers = [("x-request-id", request_id)];
        timeout(SILENCE, self.query(&headers, "{}")).await.unwrap_or(QueryEnd::Silent)
    }
}

/// Waits until a condition holds; the test's own limit of time ends a wait in vain.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        sleep(Duration::from_millis(5)).await;
    }
}
