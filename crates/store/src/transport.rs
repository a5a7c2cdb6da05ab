//! Sends HTTP requests to the platform's store with deadlines, and classifies
//! failures by whether the request may have been sent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::{StoreError, StoreErrorKind},
    pool::{ConnectionPool, RequestSender},
};

/// Largest accepted reply body, in bytes.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// An HTTP reply that was received completely.
#[derive(Clone, Debug)]
pub struct ReplyParts {
    /// Status of the reply.
    pub status: StatusCode,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// Complete body of the reply.
    pub body: Bytes,
}

/// Sends HTTP/1.1 requests to the store over pooled connections.
#[derive(Debug)]
pub struct StoreTransport {
    pub(crate) pool: ConnectionPool,
}

impl StoreTransport {
    /// Creates a transport; connections are opened on first use.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { pool: ConnectionPool::new(address) }
    }

    /// Returns the address of the store.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Sends a request and reads its complete reply within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when no complete reply arrived; the error kind says whether the request
    /// may have been sent.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<ReplyParts, StoreError> {
        self.exchange(request, Instant::now() + timeout).await
    }

    /// Sends a request on an idle connection, or on a new one.
    ///
    /// When the platform has closed an idle connection, hyper returns the unsent
    /// request and it is retried on another connection. A request that may have
    /// been sent in part is not retried.
    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(RequestSender, Response<Incoming>), StoreError> {
        loop {
            let idle = timeout_at(deadline, self.pool.take_idle()).await.unwrap_or(None);
            let reused = idle.is_some();
            let mut sender = match idle {
                Some(sender) => sender,
                None => self.pool.connect(deadline).await?,
            };
            let result = timeout_at(deadline, sender.try_send_request(request)).await;
            let mut failure = match result {
                Ok(Ok(response)) => return Ok((sender, response)),
                Ok(Err(failure)) => failure,
                Err(_) => return Err(self.timeout_error("no reply before the deadline")),
            };
            match failure.take_message() {
                Some(unsent) if reused => request = unsent,
                Some(_) => {
                    let message = format!("platform {}: {}", self.pool.address(), failure.error());
                    return Err(StoreError::new(StoreErrorKind::NotSent, message));
                }
                None => return Err(self.reply_lost(&failure.error().to_string())),
            }
        }
    }

    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<ReplyParts, StoreError> {
        let (sender, response) = self.send(request, deadline).await?;
        let (head, body) = response.into_parts();
        let body_read = Limited::new(body, MAX_REPLY_BYTES).collect();
        let collected = timeout_at(deadline, body_read)
            .await
            .map_err(|_| self.timeout_error("reply incomplete at the deadline"))?;
        let body = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                let message = format!("reply body exceeds {MAX_REPLY_BYTES} bytes");
                return Err(StoreError::new(StoreErrorKind::AnswerLost, message));
            }
            Err(error) => return Err(self.reply_lost(&error.to_string())),
        };
        self.pool.return_idle(sender);
        Ok(ReplyParts { status: head.status, headers: head.headers, body })
    }

    /// Returns the error for a call that timed out, and closes the idle connections
    /// because they may be broken as well.
    fn timeout_error(&self, reason: &str) -> StoreError {
        self.pool.clear();
        self.reply_lost(reason)
    }

    pub(crate) fn reply_lost(&self, reason: &str) -> StoreError {
        let message = format!("platform {}: {reason}", self.pool.address());
        StoreError::new(StoreErrorKind::AnswerLost, message)
    }
}
