//! HTTP listeners with limits, and their graceful stop.

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

use crate::problem::AnswerBody;

/// Time for which an idle HTTP/1.1 connection is kept open.
///
/// It is longer than the idle timeout of common balancers, so that the side
/// which sends requests is the one that closes.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(90);

/// Time without a frame after which an HTTP/2 connection is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Streams that one HTTP/2 connection may have open at the same time.
const MAX_HTTP2_STREAMS: u32 = 1024;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Time to send the header section, and again for the body.
    pub read_timeout: Duration,
}

/// Answers the requests of one listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller disconnects.
    fn handle(
        &self,
        remote: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Counts a connection that did not carry valid HTTP.
    fn count_bad_input(&self);

    /// Whether connections should be closed after their current request.
    fn is_stopping(&self) -> bool;
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// The body is over the limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The connection broke.
    Broken,
}

/// Reads a whole request body within the listener's limits.
///
/// # Errors
///
/// Fails when the body is too large, too slow, or ends early.
pub async fn read_body(body: Incoming, limits: ListenerLimits) -> Result<Bytes, BodyFailure> {
    let whole = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.read_timeout, whole).await {
        Err(_) => Err(BodyFailure::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyFailure::TooLarge),
        Ok(Err(_)) => Err(BodyFailure::Broken),
    }
}

/// Serves a listener until `stop` becomes `true`, then lets every request in
/// flight finish and returns.
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
    // Without the option, small answers wait for the acknowledgement of earlier ones.
    let _ = socket.set_nodelay(true);
    let started = AtomicBool::new(false);
    let service = service_fn(|request| {
        started.store(true, Ordering::Relaxed);
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
    let mut overdue = false;
    let first_deadline = sleep(limits.read_timeout);
    tokio::pin!(first_deadline);
    loop {
        tokio::select! {
            () = first_deadline.as_mut(), if !overdue => {
                overdue = true;
                if !started.load(Ordering::Relaxed) {
                    handler.count_bad_input();
                    return;
                }
            }
            ended = connection.as_mut() => {
                let started = started.load(Ordering::Relaxed);
                if ended.is_err_and(|error| is_bad_input(error.as_ref(), started)) {
                    handler.count_bad_input();
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

/// Whether a connection ended because of what was sent on it.
///
/// After the first request, a timeout means that the connection was idle, and
/// an incomplete message may mean that the caller went away before its answer.
fn is_bad_input(error: &(dyn Error + 'static), started: bool) -> bool {
    let Some(error) = error.downcast_ref::<hyper::Error>() else { return false };
    // An error that this side found, not a reset or a closed socket.
    let is_bad_frame = error
        .source()
        .and_then(|source| source.downcast_ref::<h2::Error>())
        .is_some_and(h2::Error::is_library);
    let is_cut = error.is_incomplete_message() && !started;
    error.is_parse() || error.is_parse_too_large() || is_bad_frame || is_cut
}
