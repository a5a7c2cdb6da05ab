//! HTTP listeners for callers, the load balancer and metrics.

use std::{convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_platform::READINESS_PATH;
use carobstep_tier::LifecyclePhase;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

use crate::{gateway::Gateway, handler};

const METRICS_PATH: &str = "/metrics";

/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Buffer space in bytes beyond the largest allowed header section.
const BUFFER_MARGIN: usize = 1024;

/// Serves callers' connections until the node starts closing.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut closing = gateway.closing.subscribe();
    loop {
        tokio::select! {
            (socket, remote) = accept(&listener) => {
                let gateway = gateway.clone();
                spawn_local(serve_connection(gateway, socket, remote, handler::handle));
            }
            _ = closing.wait_for(|closing| *closing) => return,
        }
    }
}

/// Serves the load balancer's readiness checks for the lifetime of the process.
pub(crate) async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (socket, remote) = accept(&listener).await;
        spawn_local(serve_connection(gateway.clone(), socket, remote, readiness));
    }
}

/// Serves the metrics for the lifetime of the process.
pub(crate) async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (socket, remote) = accept(&listener).await;
        spawn_local(serve_connection(gateway.clone(), socket, remote, metrics));
    }
}

async fn metrics(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    Response::new(Full::from(gateway.metrics()))
}

async fn readiness(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (request.uri().path(), gateway.phase()) {
        (READINESS_PATH, LifecyclePhase::Ready) => StatusCode::OK,
        (READINESS_PATH, _) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}

/// Accepts the next connection; retries after a pause on failure.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                debug!(error:% = error; "accepting a connection failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H, F>(
    gateway: Rc<Gateway>,
    socket: TcpStream,
    remote: SocketAddr,
    handle: H,
) where
    H: Fn(Rc<Gateway>, Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    // Nagle's algorithm would hold back small responses until earlier ones are
    // acknowledged.
    if let Err(error) = socket.set_nodelay(true) {
        debug!(remote:% = remote, error:% = error; "setting TCP_NODELAY failed");
    }
    let limits = gateway.state.borrow().configuration.limits;
    let mut closing = gateway.closing.subscribe();
    let service = service_fn(|request| {
        let response = handle(gateway.clone(), request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.header_bytes + BUFFER_MARGIN).max(MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(remote:% = remote, error:% = error; "caller connection failed");
    }
}
