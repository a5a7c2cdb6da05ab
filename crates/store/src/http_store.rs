//! HTTP/1.1 client of the object API.

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

/// Default timeout of a call, including the time to connect.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Default time without data after which a watch fails; the platform sends a line
/// each second.
const DEFAULT_WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Default limit of concurrent calls.
const DEFAULT_MAX_CONCURRENT_CALLS: usize = 64;

/// Options of an [`HttpStore`].
#[derive(Clone, Debug)]
pub struct HttpStoreBuilder {
    address: SocketAddr,
    zone: Option<ZoneName>,
    timeout: Duration,
    watch_idle_timeout: Duration,
    max_concurrent_calls: usize,
}

impl HttpStoreBuilder {
    /// Sets the availability zone of the client, which each request names in its
    /// `x-zone` header.
    #[must_use]
    pub fn zone(mut self, zone: ZoneName) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Sets the timeout of each call, including the time to connect.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time without data after which a watch fails.
    #[must_use]
    pub const fn watch_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.watch_idle_timeout = idle_timeout;
        self
    }

    /// Sets the limit of concurrent calls; watches don't count.
    ///
    /// A call above the limit waits for another one to end. If its deadline passes
    /// first, it fails with [`StoreErrorKind::NotSent`]. Create one store for each
    /// group of calls that must not wait for the calls of another group.
    #[must_use]
    pub const fn max_concurrent_calls(mut self, max_concurrent_calls: usize) -> Self {
        self.max_concurrent_calls = max_concurrent_calls;
        self
    }

    /// Builds the store; connections are opened on first use.
    #[must_use]
    pub fn build(self) -> HttpStore {
        HttpStore {
            transport: StoreTransport::new(self.address),
            zone: self.zone.and_then(|zone| HeaderValue::from_str(zone.as_str()).ok()),
            timeout: self.timeout,
            watch_idle_timeout: self.watch_idle_timeout,
            call_permits: Semaphore::new(self.max_concurrent_calls),
        }
    }
}

/// An [`ObjectStore`] that uses HTTP/1.1 over pooled connections.
#[derive(Debug)]
pub struct HttpStore {
    transport: StoreTransport,
    zone: Option<HeaderValue>,
    timeout: Duration,
    watch_idle_timeout: Duration,
    call_permits: Semaphore,
}

impl HttpStore {
    /// Returns a builder for a store that calls the platform at `address`.
    #[must_use]
    pub const fn builder(address: SocketAddr) -> HttpStoreBuilder {
        HttpStoreBuilder {
            address,
            zone: None,
            timeout: DEFAULT_CALL_TIMEOUT,
            watch_idle_timeout: DEFAULT_WATCH_IDLE_TIMEOUT,
            max_concurrent_calls: DEFAULT_MAX_CONCURRENT_CALLS,
        }
    }

    fn with_headers(&self, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
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
        let request = self.with_headers(exchange::encode_call(&call)?);
        let deadline = Instant::now() + self.timeout;
        let Ok(_permit) = timeout_at(deadline, self.call_permits.acquire()).await else {
            let message = format!(
                "platform {}: too many concurrent calls until the deadline",
                self.transport.address()
            );
            return Err(StoreError::new(StoreErrorKind::NotSent, message));
        };
        let reply = self.transport.exchange(request, deadline).await?;
        exchange::decode_reply(&call, &reply)
    }

    async fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
    ) -> Result<WatchStream, StoreError> {
        let request = self.with_headers(exchange::encode_watch(kind, after)?);
        let deadline = Instant::now() + self.timeout;
        let mut sender = self.transport.pool.connect(deadline).await?;
        let response = timeout_at(deadline, sender.send_request(request))
            .await
            .map_err(|_| {
                self.transport.reply_lost("no reply to a watch request before the deadline")
            })?
            .map_err(|error| self.transport.reply_lost(&error.to_string()))?;
        exchange::check_watch(kind, after, response.status())?;
        Ok(watch::spawn_reader(sender, response.into_body(), kind, after, self.watch_idle_timeout))
    }
}
