//! HTTP listeners with limits and graceful shutdown.

use std::{
    convert::Infallible,
    error::Error,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use carobstep_wire::serve_connections;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::problem::ResponseBody;

/// Time for which an idle HTTP/1.1 connection is kept open.
///
/// It is longer than the idle timeout of common load balancers, so that the
/// balancer, which sends the requests, is the one that closes the connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(90);

/// Time without a frame after which an HTTP/2 connection is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Time within which the other end must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of concurrent streams on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 1024;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Time limit for receiving the header section, and again for the body.
    pub read_timeout: Duration,
}

/// Handler of the requests of one listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the client disconnects.
    fn handle(
        &self,
        remote: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;

    /// Counts a connection that did not carry valid HTTP.
    fn count_invalid_input(&self);

    /// Whether HTTP/1.1 connections should be closed after their current request.
    fn is_stopping(&self) -> bool;
}

/// Reason why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// The body is over the limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The connection ended or failed before the end of the body.
    Broken,
}

/// Reads a complete request body within the listener's limits.
///
/// # Errors
///
/// Fails if the body is too large, arrives too slowly or ends early.
pub async fn read_body(body: Incoming, limits: ListenerLimits) -> Result<Bytes, BodyFailure> {
    let collect = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.read_timeout, collect).await {
        Err(_) => Err(BodyFailure::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyFailure::TooLarge),
        Ok(Err(_)) => Err(BodyFailure::Broken),
    }
}

/// Serves a listener until `stop` becomes `true`, then waits for the requests in
/// flight to finish and returns.
pub async fn serve_http<H: RequestHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: ListenerLimits,
    stop: watch::Receiver<bool>,
) {
    let connection_stop = stop.clone();
    let serve = |socket, remote| {
        serve_connection(socket, remote, handler.clone(), limits, connection_stop.clone())
    };
    serve_connections(listener, stop, serve).await;
}

async fn serve_connection<H: RequestHandler>(
    socket: TcpStream,
    remote: SocketAddr,
    handler: Arc<H>,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
) {
    // Without TCP_NODELAY, small responses are delayed until earlier ones are
    // acknowledged. If setting it fails, the connection is only slower.
    let _ = socket.set_nodelay(true);
    let request_started = AtomicBool::new(false);
    let service = service_fn(|request| {
        request_started.store(true, Ordering::Relaxed);
        let handler = handler.clone();
        async move {
            let mut response = handler.handle(remote, request).await;
            if handler.is_stopping() && response.version() < http::Version::HTTP_2 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let builder = connection_builder(limits);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let mut stopping = false;
    let mut deadline_passed = false;
    let first_request_deadline = sleep(limits.read_timeout);
    tokio::pin!(first_request_deadline);
    loop {
        tokio::select! {
            () = first_request_deadline.as_mut(), if !deadline_passed => {
                deadline_passed = true;
                if !request_started.load(Ordering::Relaxed) {
                    handler.count_invalid_input();
                    return;
                }
            }
            ended = connection.as_mut() => {
                let request_started = request_started.load(Ordering::Relaxed);
                if ended.is_err_and(|error| is_invalid_input(error.as_ref(), request_started)) {
                    handler.count_invalid_input();
                }
                return;
            }
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

fn connection_builder(limits: ListenerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(KEEP_ALIVE_TIMEOUT)
        .max_buf_size(limits.header_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    builder
}

/// Whether a connection failed because of invalid input from the client.
///
/// After the first request, a timeout means that the connection was idle, and an
/// incomplete message may mean that the client disconnected before it got its
/// response. Neither counts as invalid input.
fn is_invalid_input(error: &(dyn Error + 'static), request_started: bool) -> bool {
    let Some(error) = error.downcast_ref::<hyper::Error>() else { return false };
    // The error was detected by this side's HTTP/2 library; it is not a reset or
    // a closed socket.
    let is_bad_frame = error
        .source()
        .and_then(|source| source.downcast_ref::<h2::Error>())
        .is_some_and(h2::Error::is_library);
    let is_truncated = error.is_incomplete_message() && !request_started;
    error.is_parse() || error.is_parse_too_large() || is_bad_frame || is_truncated
}
