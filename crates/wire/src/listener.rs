//! Accept loop shared by all listeners of a node.

use std::{future::Future, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// Delay before accepting is retried after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until `stop` becomes `true` and serves each in its own task,
/// then waits until all open connections have ended.
pub async fn serve_connections<S, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    mut serve: S,
) where
    S: FnMut(TcpStream, SocketAddr) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            (socket, remote) = accept(&listener) => {
                connections.spawn(serve(socket, remote));
            }
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = connections.join_next() => {}
        }
    }
    while connections.join_next().await.is_some() {}
}

/// Accepts the next connection; retries after a delay on errors.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            // While the process has no free file descriptors, `accept` fails immediately
            // each time; the delay avoids a busy loop.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
