//! The edge towards the nodes' operators listeners.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{body::Body, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time};

/// Path of a node's status without what grows with the fleet.
pub(crate) const BRIEF_STATUS_PATH: &str = "/v1/status?brief=true";

/// Longest wait for a node's answer, connecting included.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted answer of a node, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A node that gave no usable answer; the text says why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSilence(pub String);

/// The operators listeners of the nodes.
pub trait NodeApi: Send + Sync + 'static {
    /// Reads a path of a node's operators listener.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer with JSON in time.
    fn get(
        &self,
        address: SocketAddr,
        path: &'static str,
    ) -> impl Future<Output = Result<Value, NodeSilence>> + Send;
}

/// A [`NodeApi`] over HTTP/1.1, with a connection for each request.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpNodeApi;

impl NodeApi for HttpNodeApi {
    async fn get(&self, address: SocketAddr, path: &'static str) -> Result<Value, NodeSilence> {
        time::timeout(NODE_TIMEOUT, fetch(address, path))
            .await
            .map_err(|_| NodeSilence(format!("no answer in {} ms", NODE_TIMEOUT.as_millis())))?
    }
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Value, NodeSilence> {
    let stream = TcpStream::connect(address).await.map_err(|error| silence(&error))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| silence(&error))?;
    // The connection ends with the sender; its result is that of the request.
    let driver = tokio::spawn(connection);
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| silence(&error))?;
    let answer = sender.send_request(request).await.map_err(|error| silence(&error))?;
    let status = answer.status();
    if !status.is_success() {
        return Err(NodeSilence(format!("status {status}")));
    }
    if answer.body().size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(NodeSilence(format!("answer is longer than {MAX_ANSWER_BYTES} bytes")));
    }
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let bytes = body.collect().await.map_err(|error| silence(&error))?.to_bytes();
    driver.abort();
    serde_json::from_slice(&bytes).map_err(|error| silence(&error))
}

fn silence(error: &impl ToString) -> NodeSilence {
    NodeSilence(error.to_string())
}
