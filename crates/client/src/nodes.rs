//! HTTP client for the nodes' listeners for operators.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{body::Body, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time};

/// Path of a node's status without the parts whose size grows with the size of
/// the deployment.
pub(crate) const BRIEF_STATUS_PATH: &str = "/v1/status?brief=true";

/// Maximum time to wait for a node's response, including the connection set-up.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a node's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// The reason why a node gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeQueryError(pub String);

/// Access to the nodes' listeners for operators.
pub trait NodeApi: Send + Sync + 'static {
    /// Reads a path of a node's listener for operators.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond with valid JSON in time.
    fn get(
        &self,
        address: SocketAddr,
        path: &'static str,
    ) -> impl Future<Output = Result<Value, NodeQueryError>> + Send;
}

/// A [`NodeApi`] over HTTP/1.1 that opens a new connection for each request.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpNodeApi;

impl NodeApi for HttpNodeApi {
    async fn get(&self, address: SocketAddr, path: &'static str) -> Result<Value, NodeQueryError> {
        time::timeout(NODE_TIMEOUT, fetch(address, path))
            .await
            .map_err(|_| NodeQueryError(format!("no answer in {} ms", NODE_TIMEOUT.as_millis())))?
    }
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Value, NodeQueryError> {
    let stream = TcpStream::connect(address).await.map_err(|error| query_error(&error))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| query_error(&error))?;
    // The connection task needs no separate result: a connection error also fails
    // the request.
    let driver = tokio::spawn(connection);
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| query_error(&error))?;
    let response = sender.send_request(request).await.map_err(|error| query_error(&error))?;
    let status = response.status();
    if !status.is_success() {
        return Err(NodeQueryError(format!("status {status}")));
    }
    if response.body().size_hint().lower() > MAX_RESPONSE_BYTES as u64 {
        return Err(NodeQueryError(format!("answer is longer than {MAX_RESPONSE_BYTES} bytes")));
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let bytes = body.collect().await.map_err(|error| query_error(&error))?.to_bytes();
    driver.abort();
    serde_json::from_slice(&bytes).map_err(|error| query_error(&error))
}

fn query_error(error: &impl ToString) -> NodeQueryError {
    NodeQueryError(error.to_string())
}
