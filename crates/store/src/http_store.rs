//! The object API over HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carobstep_config::ZoneName;
use http::{HeaderValue, Request};
use http_body_util::Full;
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout_at},
};

use crate::{
    call::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind},
    exchange,
    store::{ObjectStore, WatchStream},
    transport::StoreTransport,
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
            transport: StoreTransport::new(self.address),
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
    transport: StoreTransport,
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
        if let Ok(host) = HeaderValue::from_str(&self.transport.address().to_string()) {
            headers.insert(http::header::HOST, host);
        }
        if let Some(zone) = &self.zone {
            headers.insert("x-zone", zone.clone());
        }
        request
    }
}

impl ObjectStore for HttpStore {
    async fn call(&self, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        let request = self.finish_request(exchange::request_of(&call)?);
        let deadline = Instant::now() + self.timeout;
        let Ok(_turn) = timeout_at(deadline, self.turns.acquire()).await else {
            let message =
                format!("platform {}: too many calls under way", self.transport.address());
            return Err(StoreError::new(StoreErrorKind::NotSent, message));
        };
        let reply = self.transport.exchange(request, deadline).await?;
        exchange::reply_of(&call, &reply)
    }

    async fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
    ) -> Result<WatchStream, StoreError> {
        let request = self.finish_request(exchange::watch_request(kind, after)?);
        let deadline = Instant::now() + self.timeout;
        let mut sender = self.transport.pool.connect(deadline).await?;
        let response = timeout_at(deadline, sender.send_request(request))
            .await
            .map_err(|_| self.transport.lost("no answer to a watch in time"))?
            .map_err(|error| self.transport.lost(&error.to_string()))?;
        exchange::check_watch(kind, after, response.status())?;
        Ok(watch::spawn_reader(sender, response.into_body(), kind, after, self.watch_silence))
    }
}
