//! An HTTP/1.1 client with connection reuse, for requests and control calls.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::{net::TcpStream, time};

use crate::error::{BenchError, BenchErrorKind};

/// Timeout of a control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

type Sender = SendRequest<Full<Bytes>>;

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Parses the body as JSON; returns null when it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A request that can be sent: method, path, header fields and body.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl HttpCall {
    /// Creates a GET call without a body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, Bytes::new())
    }

    /// Creates a DELETE call without a body.
    #[must_use]
    pub fn delete(path: &str) -> Self {
        Self::new(Method::DELETE, path, Bytes::new())
    }

    /// Creates a POST call with a JSON body.
    #[must_use]
    pub fn post(path: &str, body: &Value) -> Self {
        Self::new(Method::POST, path, Bytes::from(body.to_string()))
    }

    /// Creates a PUT call with a JSON body.
    #[must_use]
    pub fn put(path: &str, body: &Value) -> Self {
        Self::new(Method::PUT, path, Bytes::from(body.to_string()))
    }

    /// Adds a header field.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn new(method: Method, path: &str, body: Bytes) -> Self {
        Self { method, path: path.to_owned(), headers: Vec::new(), body }
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, BenchError> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", address.to_string())
            .header("content-type", "application/json");
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request
            .body(Full::new(self.body.clone()))
            .map_err(|error| http_error(address, self, &error.to_string()))
    }
}

/// An HTTP client with a pool of idle connections for each address.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<IndexMap<SocketAddr, Vec<Sender>>>,
}

impl HttpClient {
    /// Sends a call and reads the complete response.
    ///
    /// When a pooled connection turns out to be closed before any byte of the
    /// call was written, the call is sent on another connection. It is not
    /// retried after any other failure.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, or no complete response arrives.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &HttpCall,
    ) -> Result<HttpAnswer, BenchError> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.send_request(call.request(address)?).await {
                Ok(response) => {
                    let response = read_response(address, call, response).await?;
                    self.return_to_pool(address, sender);
                    return Ok(response);
                }
                Err(error) if error.is_canceled() => continue,
                Err(error) => return Err(http_error(address, call, &error_chain(&error))),
            }
        }
        let (response, sender) = send_once(address, call).await?;
        self.return_to_pool(address, sender);
        Ok(response)
    }

    /// Sends a control call on a new connection and returns the response body as
    /// JSON.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, when no complete response arrives
    /// within ten seconds, and on any status other than 2xx.
    pub async fn call_json(
        &self,
        address: SocketAddr,
        call: &HttpCall,
    ) -> Result<Value, BenchError> {
        Ok(self.call_checked(address, call).await?.json())
    }

    /// Sends a control call like [`HttpClient::call_json`], but returns the whole
    /// response.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`HttpClient::call_json`].
    pub async fn call_checked(
        &self,
        address: SocketAddr,
        call: &HttpCall,
    ) -> Result<HttpAnswer, BenchError> {
        // A new connection, since a pooled one may have just been closed by the
        // server, and control calls must not be sent twice.
        let (response, _) = time::timeout(CALL_TIMEOUT, send_once(address, call))
            .await
            .map_err(|_| http_error(address, call, "call timed out"))??;
        if response.status.is_success() {
            return Ok(response);
        }
        let message = format!(
            "{} {address}{}: status {}: {}",
            call.method,
            call.path,
            response.status,
            String::from_utf8_lossy(&response.body)
        );
        Err(BenchError::new(BenchErrorKind::Response, message))
    }

    fn return_to_pool(&self, address: SocketAddr, sender: Sender) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.entry(address).or_default().push(sender);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        self.idle.lock().ok()?.get_mut(&address)?.pop()
    }
}

async fn send_once(
    address: SocketAddr,
    call: &HttpCall,
) -> Result<(HttpAnswer, Sender), BenchError> {
    let mut sender = connect(address, call).await?;
    let response = sender
        .send_request(call.request(address)?)
        .await
        .map_err(|error| http_error(address, call, &error_chain(&error)))?;
    Ok((read_response(address, call, response).await?, sender))
}

async fn read_response(
    address: SocketAddr,
    call: &HttpCall,
    response: http::Response<hyper::body::Incoming>,
) -> Result<HttpAnswer, BenchError> {
    let (head, body) = response.into_parts();
    let body =
        body.collect().await.map_err(|error| http_error(address, call, &error_chain(&error)))?;
    Ok(HttpAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
}

async fn connect(address: SocketAddr, call: &HttpCall) -> Result<Sender, BenchError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| http_error(address, call, &format!("cannot connect: {error}")))?;
    stream
        .set_nodelay(true)
        .map_err(|error| http_error(address, call, &format!("cannot set TCP_NODELAY: {error}")))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| http_error(address, call, &error_chain(&error)))?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Formats an error with its sources, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}

fn http_error(address: SocketAddr, call: &HttpCall, message: &str) -> BenchError {
    let message = format!("{} {address}{}: {message}", call.method, call.path);
    BenchError::new(BenchErrorKind::Http, message)
}
