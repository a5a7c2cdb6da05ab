//! The object API over HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carobstep_config::ZoneName;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout_at},
};

use crate::{
    call::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind},
    exchange::{self, MAX_REPLY_BYTES, ReplyParts},
    pool::{ConnectionPool, RequestSender},
    store::{ObjectStore, WatchStream},
    watch,
};

/// Time for one call, connecting included, unless the builder is told otherwise.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which a watch counts as broken; the platform sends a line each second.
const DEFAULT_WATCH_SILENCE: Duration = Duration::from_secs(3);

/// Calls that may be under way at a time, unless the builder is told otherwise.
const DEFAULT_MAX_CALLS: usize = 64;

/// Options of an [`HttpStore`].
#[derive(Clone, Debug)]
pub struct HttpStoreBuilder {
    address: SocketAddr,
    zone: Option<ZoneName>,
    timeout: Duration,
    watch_silence: Duration,
    max_calls: usize,
}

impl HttpStoreBuilder {
    /// Names the client's availability zone in each request.
    #[must_use]
    pub fn zone(mut self, zone: ZoneName) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Bounds each call, connecting included.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the silence after which a watch counts as broken.
    #[must_use]
    pub const fn watch_silence(mut self, silence: Duration) -> Self {
        self.watch_silence = silence;
        self
    }

    /// Sets how many calls may be under way at a time; watches don't count.
    ///
    /// A call beyond that waits for its turn, and is not sent when its time is
    /// up first. Callers that must not wait for one another use a store each.
    #[must_use]
    pub const fn max_calls(mut self, max_calls: usize) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Builds the store; nothing is connected yet.
    #[must_use]
    pub fn build(self) -> HttpStore {
        HttpStore {
            pool: ConnectionPool::new(self.address),
            zone: self.zone.and_then(|zone| HeaderValue::from_str(zone.as_str()).ok()),
            timeout: self.timeout,
            watch_silence: self.watch_silence,
            turns: Semaphore::new(self.max_calls),
        }
    }
}

/// An [`ObjectStore`] that speaks HTTP/1.1 over pooled connections.
#[derive(Debug)]
pub struct HttpStore {
    pool: ConnectionPool,
    zone: Option<HeaderValue>,
    timeout: Duration,
    watch_silence: Duration,
    turns: Semaphore,
}

impl HttpStore {
    /// Starts building a store that calls the platform at `address`.
    #[must_use]
    pub const fn builder(address: SocketAddr) -> HttpStoreBuilder {
        HttpStoreBuilder {
            address,
            zone: None,
            timeout: DEFAULT_CALL_TIMEOUT,
            watch_silence: DEFAULT_WATCH_SILENCE,
            max_calls: DEFAULT_MAX_CALLS,
        }
    }

    fn finish_request(&self, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&self.pool.address().to_string()) {
            headers.insert(http::header::HOST, host);
        }
        if let Some(zone) = &self.zone {
            headers.insert("x-zone", zone.clone());
        }
        request
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

    async fn exchange(
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

    fn lost(&self, reason: &str) -> StoreError {
        let message = format!("platform {}: {reason}", self.pool.address());
        StoreError::new(StoreErrorKind::AnswerLost, message)
    }
}

impl ObjectStore for HttpStore {
    async fn call(&self, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        let request = self.finish_request(exchange::request_of(&call)?);
        let deadline = Instant::now() + self.timeout;
        let Ok(_turn) = timeout_at(deadline, self.turns.acquire()).await else {
            let message = format!("platform {}: too many calls under way", self.pool.address());
            return Err(StoreError::new(StoreErrorKind::NotSent, message));
        };
        let reply = self.exchange(request, deadline).await?;
        exchange::reply_of(&call, &reply)
    }

    async fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
    ) -> Result<WatchStream, StoreError> {
        let request = self.finish_request(exchange::watch_request(kind, after)?);
        let deadline = Instant::now() + self.timeout;
        let mut sender = self.pool.connect(deadline).await?;
        let response = timeout_at(deadline, sender.send_request(request))
            .await
            .map_err(|_| self.lost("no answer to a watch in time"))?
            .map_err(|error| self.lost(&error.to_string()))?;
        exchange::check_watch(kind, after, response.status())?;
        Ok(watch::spawn_reader(sender, response.into_body(), kind, after, self.watch_silence))
    }
}
