//! The accept loop that every listener of a node shares.

use std::{future::Future, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves each accepted connection in a task of its own until `stop` becomes
/// `true`, then waits for the connections that are open and returns.
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

/// Accepts the next connection; a failure is tried again after a pause.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            // Without file descriptors, every call fails at once.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}
