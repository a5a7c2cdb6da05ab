//! HTTP listeners for callers, the load balancer and metrics.

use std::{convert::Infallible, future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_platform::READINESS_PATH;
use carobstep_tier::{CallerFault, LifecyclePhase};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    callers::{CallerConnection, CallerListener, CallerStream},
    gateway::Gateway,
    handler,
};

const METRICS_PATH: &str = "/metrics";

/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Buffer space in bytes beyond the largest allowed header section.
const BUFFER_MARGIN: usize = 1024;

/// Maximum number of header fields. The parser allocates a table of that many entries for
/// each request; with larger ones, the allocator returns the memory to the system each time.
const MAX_FIELDS: usize = 1600;

/// Time in which a client can read the answer to a request that took too long, before its
/// connection closes.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers' connections until the node starts closing.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut closing = gateway.closing.subscribe();
    loop {
        tokio::select! {
            (socket, connection) = accept(&gateway, &gateway.callers.callers, &listener) => {
                let gateway = gateway.clone();
                spawn_local(serve_connection(gateway, socket, connection, handler::handle));
            }
            _ = closing.wait_for(|closing| *closing) => return,
        }
    }
}

/// Serves the load balancer's readiness checks for the lifetime of the process.
pub(crate) async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (socket, connection) = accept(&gateway, &gateway.callers.readiness, &listener).await;
        spawn_local(serve_connection(gateway.clone(), socket, connection, readiness));
    }
}

/// Serves the metrics for the lifetime of the process.
pub(crate) async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (socket, connection) = accept(&gateway, &gateway.callers.metrics, &listener).await;
        spawn_local(serve_connection(gateway.clone(), socket, connection, metrics));
    }
}

async fn metrics(
    gateway: Rc<Gateway>,
    _connection: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    Response::new(Full::from(gateway.metrics()))
}

async fn readiness(
    gateway: Rc<Gateway>,
    _connection: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (request.uri().path(), gateway.phase()) {
        (READINESS_PATH, LifecyclePhase::Ready) => StatusCode::OK,
        (READINESS_PATH, _) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}

/// Accepts the next connection, as soon as there is room for it; retries after a pause on
/// failure.
async fn accept(
    gateway: &Rc<Gateway>,
    listener: &Rc<CallerListener>,
    socket: &TcpListener,
) -> (TcpStream, Rc<CallerConnection>) {
    let accepted = loop {
        match socket.accept().await {
            Ok((accepted, _)) => break accepted,
            Err(error) => {
                debug!(error:% = error; "accepting a connection failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    };
    (accepted, listener.connect(gateway).await)
}

async fn serve_connection<H, F>(
    gateway: Rc<Gateway>,
    socket: TcpStream,
    caller: Rc<CallerConnection>,
    handle: H,
) where
    H: Fn(Rc<Gateway>, Rc<CallerConnection>, Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    // Nagle's algorithm would hold back small responses until earlier ones are
    // acknowledged.
    if let Err(error) = socket.set_nodelay(true) {
        debug!(error:% = error; "setting TCP_NODELAY failed");
    }
    let limits = caller.limits();
    let mut closing = gateway.closing.subscribe();
    let service = service_fn(|request: Request<Incoming>| {
        let is_sent_ahead = caller.is_sent_ahead();
        let has_room = caller.begin(request.headers());
        let response = has_room.then(|| handle(gateway.clone(), caller.clone(), request));
        let caller = caller.clone();
        async move {
            let turn = caller.wait_for_turn(is_sent_ahead).await;
            let response = match (response, turn) {
                (Some(response), Some(_permit)) => response.await,
                _ => {
                    caller.count_fault(CallerFault::NoRoom);
                    handler::no_room_response()
                }
            };
            let body_bytes = response.body().size_hint().lower();
            caller.begin_answer(usize::try_from(body_bytes).unwrap_or(usize::MAX));
            Ok::<_, Infallible>(response)
        }
    });
    let max_bytes = (limits.header_bytes + BUFFER_MARGIN).max(MIN_BUFFER_BYTES);
    let mut builder = http1::Builder::new();
    builder.max_headers(MAX_FIELDS).max_buf_size(max_bytes);
    let stream = CallerStream::new(socket, caller.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_closing = false;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = caller.evicted() => {
                // A request whose body took too long is answered.
                if caller.is_answerable() {
                    let _ = timeout(LAST_ANSWER_TIMEOUT, connection.as_mut()).await;
                }
                return;
            }
        }
    };
    if let Err(error) = result {
        if error.is_parse_too_large() {
            caller.count_fault(CallerFault::HeadTooLarge);
        }
        debug!(error:% = error; "caller connection failed");
    }
}
