//! Calls to the platform's store: connections, deadlines, and whether a call was sent.

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

/// Largest accepted reply.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// A reply that was read to its end.
#[derive(Clone, Debug)]
pub struct ReplyParts {
    /// Status of the reply.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Carries HTTP/1.1 requests to the store over pooled connections.
#[derive(Debug)]
pub struct StoreTransport {
    pub(crate) pool: ConnectionPool,
}

impl StoreTransport {
    /// Builds a transport; nothing is connected yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { pool: ConnectionPool::new(address) }
    }

    /// Address of the store.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Sends a request and reads its whole reply within `limit`.
    ///
    /// # Errors
    ///
    /// Fails when no whole reply came; the kind tells whether the request was sent.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<ReplyParts, StoreError> {
        self.exchange(request, Instant::now() + limit).await
    }

    /// Sends a request on an idle connection, or on a new one.
    ///
    /// A request that an idle connection hands back untouched, because the
    /// platform closed it in the meantime, goes out again; one of which a byte
    /// may have left does not.
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
            let sending = timeout_at(deadline, sender.try_send_request(request)).await;
            let mut failure = match sending {
                Ok(Ok(response)) => return Ok((sender, response)),
                Ok(Err(failure)) => failure,
                Err(_) => return Err(self.timed_out("no answer in time")),
            };
            match failure.take_message() {
                Some(unsent) if reused => request = unsent,
                Some(_) => {
                    let message = format!("platform {}: {}", self.pool.address(), failure.error());
                    return Err(StoreError::new(StoreErrorKind::NotSent, message));
                }
                None => return Err(self.lost(&failure.error().to_string())),
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
        let collecting = Limited::new(body, MAX_REPLY_BYTES).collect();
        let collected = timeout_at(deadline, collecting)
            .await
            .map_err(|_| self.timed_out("the answer stopped before its end"))?;
        let body = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                let message = format!("the reply is longer than {MAX_REPLY_BYTES} bytes");
                return Err(StoreError::new(StoreErrorKind::AnswerLost, message));
            }
            Err(error) => return Err(self.lost(&error.to_string())),
        };
        self.pool.give_back(sender);
        Ok(ReplyParts { status: head.status, headers: head.headers, body })
    }

    /// Also gives up the idle connections, which may be as silent.
    fn timed_out(&self, reason: &str) -> StoreError {
        self.pool.clear();
        self.lost(reason)
    }

    pub(crate) fn lost(&self, reason: &str) -> StoreError {
        let message = format!("platform {}: {reason}", self.pool.address());
        StoreError::new(StoreErrorKind::AnswerLost, message)
    }
}
