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

/// Idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Age at which an idle connection is closed rather than used: something
/// between the two ends may have lost track of it.
const MAX_IDLE_AGE: Duration = Duration::from_secs(15);

/// The sending half of one connection.
pub(crate) type RequestSender = SendRequest<Full<Bytes>>;

/// Idle connections to one address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    since: Instant,
}

impl ConnectionPool {
    /// Builds an empty pool.
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::new(Vec::new()) }
    }

    /// Address that the pool connects to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that can carry a request, if there is one.
    pub(crate) async fn take_idle(&self) -> Option<RequestSender> {
        loop {
            let mut sender = self.pop()?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    fn pop(&self) -> Option<RequestSender> {
        let mut idle = self.lock_idle();
        idle.retain(|connection| connection.since.elapsed() < MAX_IDLE_AGE);
        idle.pop().map(|connection| connection.sender)
    }

    /// Closes every idle connection.
    ///
    /// When one connection has gone silent, the others may have as well; new
    /// ones tell whether the platform is there.
    pub(crate) fn clear(&self) {
        self.lock_idle().clear();
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection whose last reply was read to its end.
    pub(crate) fn give_back(&self, sender: RequestSender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock_idle();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { sender, since: Instant::now() });
        }
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self, deadline: Instant) -> Result<RequestSender, StoreError> {
        let stream = timeout_at(deadline, TcpStream::connect(self.address))
            .await
            .map_err(|_| self.not_sent("connecting timed out"))?
            .map_err(|error| self.not_sent(&error.to_string()))?;
        // A failure to turn off Nagle's algorithm costs latency, not correctness.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.not_sent(&error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the platform ended: {error}");
            }
        });
        Ok(sender)
    }

    fn not_sent(&self, reason: &str) -> StoreError {
        let message = format!("platform {}: {reason}", self.address);
        StoreError::new(StoreErrorKind::NotSent, message)
    }
}
