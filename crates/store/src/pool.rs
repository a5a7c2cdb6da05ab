//! Keep-alive HTTP/1.1 connections to the platform.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

use crate::call::{StoreError, StoreErrorKind};

/// Maximum number of idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Idle time after which a connection is closed instead of reused: a firewall or
/// load balancer on the path may have dropped its state.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);

/// The sending half of one connection.
pub(crate) type RequestSender = SendRequest<Full<Bytes>>;

/// Pool of idle connections to one address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    idle_since: Instant,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::new(Vec::new()) }
    }

    /// Returns the address that the pool connects to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Removes and returns an idle connection that is ready for a request, if there is one.
    pub(crate) async fn take_idle(&self) -> Option<RequestSender> {
        loop {
            let mut sender = self.pop_idle()?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    fn pop_idle(&self) -> Option<RequestSender> {
        let mut idle = self.lock_idle();
        idle.retain(|connection| connection.idle_since.elapsed() < MAX_IDLE_TIME);
        idle.pop().map(|connection| connection.sender)
    }

    /// Closes every idle connection.
    ///
    /// Called after a call has timed out: the cause may affect every idle
    /// connection, while a new one shows whether the platform is reachable.
    pub(crate) fn clear(&self) {
        self.lock_idle().clear();
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection to the pool after its last reply was read completely.
    pub(crate) fn return_idle(&self, sender: RequestSender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock_idle();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { sender, idle_since: Instant::now() });
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreErrorKind::NotSent`] when the connection can't be opened.
    pub(crate) async fn connect(&self, deadline: Instant) -> Result<RequestSender, StoreError> {
        let stream = timeout_at(deadline, TcpStream::connect(self.address))
            .await
            .map_err(|_| self.not_sent_error("connection not established before the deadline"))?
            .map_err(|error| self.not_sent_error(&error.to_string()))?;
        // A failure to turn off Nagle's algorithm costs latency, not correctness.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = timeout_at(deadline, http1::handshake(TokioIo::new(stream)))
            .await
            .map_err(|_| self.not_sent_error("no handshake before the deadline"))?
            .map_err(|error| self.not_sent_error(&error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the platform ended: {error}");
            }
        });
        Ok(sender)
    }

    fn not_sent_error(&self, reason: &str) -> StoreError {
        let message = format!("platform {}: {reason}", self.address);
        StoreError::new(StoreErrorKind::NotSent, message)
    }
}
