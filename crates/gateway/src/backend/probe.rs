//! Probes that find out whether a backend server responds.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_tier::{ProbeOutcome, ServerNotice};
use http::{HeaderMap, HeaderValue, Method, header};
use tokio::time::{Instant, timeout, timeout_at};

use super::{BackendConnection, BackendRequest, ServerPool, read_response};

/// Timeout for the connection of a probe; the zones of a region are a few milliseconds
/// apart.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for the response on an open connection, if no other can be opened.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for the response to a probe, which waits for a slot like any request.
const PROBE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum size of the response to a probe, in bytes.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// Why a probe got no response.
#[derive(Clone, Debug)]
pub(crate) struct ProbeFailure {
    pub(crate) outcome: ProbeOutcome,
    pub(crate) reason: String,
}

impl ProbeFailure {
    fn silent() -> Self {
        Self { outcome: ProbeOutcome::Silent, reason: "no response".to_owned() }
    }

    fn unreachable(reason: impl Into<String>) -> Self {
        Self { outcome: ProbeOutcome::Unreachable, reason: reason.into() }
    }
}

impl ServerPool {
    /// Finds out whether the server responds, on an open connection or a new one: either may
    /// be lost while the other is not. Without `path`, an accepted connection has to do.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn probe(
        &self,
        path: Option<&str>,
        on_notice: impl Fn(BootTime, ServerNotice),
    ) -> Result<(), ProbeFailure> {
        let connecting = async {
            match timeout(PROBE_CONNECT_TIMEOUT, self.connect()).await {
                Ok(Ok(connection)) => Ok(connection),
                Ok(Err(error)) => Err(ProbeFailure::unreachable(error.to_string())),
                Err(_) => Err(ProbeFailure::unreachable("connecting timed out")),
            }
        };
        let Some(path) = path else { return connecting.await.map(drop) };
        let request = self.probe_request(path);
        let mut on_new =
            pin!(async { self.probe_on(connecting.await?, &request, &on_notice).await });
        let idle = self.take_idle_probe().or_else(|| self.take_idle());
        let Some(idle) = idle else { return on_new.await };
        let mut on_idle = pin!(self.probe_on(idle, &request, &on_notice));
        let idle_until = Instant::now() + PROBE_IDLE_TIMEOUT;
        tokio::select! {
            outcome = on_new.as_mut() => match outcome {
                Ok(()) => Ok(()),
                // A connection that stays open shows that the server may only be slow.
                Err(_) => timeout_at(idle_until, on_idle)
                    .await
                    .unwrap_or_else(|_| Err(ProbeFailure::silent())),
            },
            outcome = on_idle.as_mut() => match outcome {
                Ok(()) => Ok(()),
                Err(_) => on_new.await,
            },
        }
    }

    async fn probe_on(
        &self,
        mut connection: BackendConnection,
        request: &BackendRequest,
        on_notice: &impl Fn(BootTime, ServerNotice),
    ) -> Result<(), ProbeFailure> {
        let deadline = Instant::now() + PROBE_RESPONSE_TIMEOUT;
        let reservation = connection.meter.start(MAX_PROBE_BYTES);
        let sending = connection.sender.try_send_request(self.build_request(request, deadline));
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                let error = error.into_error();
                // Bytes that are no response have come from the server as well.
                return if error.is_parse() {
                    Ok(())
                } else {
                    Err(ProbeFailure::unreachable(error.to_string()))
                };
            }
            Err(_) => return Err(ProbeFailure::silent()),
        };
        self.record_notice(connection.opened, request, &response, on_notice);
        let reading = read_response(response, MAX_PROBE_BYTES, reservation);
        // The link works even if the body is incomplete.
        if let Ok(Ok(response)) = timeout_at(deadline, reading).await {
            self.idle_probe.replace(self.idle_after(connection, request, &response));
        }
        Ok(())
    }

    fn probe_request(&self, path: &str) -> BackendRequest {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        let target = path.parse().unwrap_or_default();
        BackendRequest { method: Method::GET, target, headers, body: Bytes::new() }
    }

    fn take_idle_probe(&self) -> Option<BackendConnection> {
        let entry = self.idle_probe.take().filter(|entry| entry.is_usable(Instant::now()))?;
        Some(entry.connection)
    }
}
