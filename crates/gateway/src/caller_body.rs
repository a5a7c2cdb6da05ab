//! Request bodies: received into one buffer within the limits, or discarded.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_tier::{CallerFault, CallerPhase, MAX_ROOM_WAIT};
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::callers::{CallerConnection, header_bytes};

/// Pause before a body that waits for room is checked again.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

/// Smallest capacity of a buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;

/// Time for which the rest of a body is discarded after its request was answered.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the body of a request wasn't received. The request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFailure {
    /// The client has exceeded a limit; the status says which one.
    Refused(StatusCode),
    /// There was no room for the body in time.
    NoRoom,
}

/// The body of a request that may be refused; discarded on drop unless it was received, so
/// that the client gets the answer.
pub(crate) struct CallerBody {
    connection: Rc<CallerConnection>,
    body: Option<Incoming>,
    is_continue_expected: bool,
}

impl CallerBody {
    pub(crate) fn new(
        connection: Rc<CallerConnection>,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Self {
        let is_continue_expected = headers.contains_key(header::EXPECT);
        Self { connection, body: Some(body), is_continue_expected }
    }

    /// Receives the body.
    pub(crate) async fn receive(mut self, headers: &HeaderMap) -> Result<Bytes, BodyFailure> {
        let limits = self.connection.limits();
        if header_bytes(headers) > limits.header_bytes {
            self.connection.count_fault(CallerFault::HeadTooLarge);
            return Err(BodyFailure::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        let size = self.body.as_ref().map(Body::size_hint).unwrap_or_default();
        if size.lower() > limits.body_bytes as u64 {
            self.connection.count_fault(CallerFault::BodyTooLarge);
            return Err(BodyFailure::Refused(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if size.exact() == Some(0) {
            self.body = None;
            return Ok(Bytes::new());
        }
        let max_bytes = size.exact().map_or(limits.body_bytes, |exact| exact as usize);
        self.connection.enter(CallerPhase::Body);
        let received = self.receive_within(max_bytes).await;
        if received.is_ok() {
            self.body = None;
            self.connection.end_body();
            self.connection.enter(CallerPhase::Working);
        }
        received
    }

    async fn receive_within(&mut self, max_bytes: usize) -> Result<Bytes, BodyFailure> {
        let Self { connection, body, .. } = self;
        let Some(body) = body else { return Ok(Bytes::new()) };
        let mut received = Vec::new();
        loop {
            let frame = tokio::select! {
                // First, since the connection closes even if the body is complete.
                biased;
                () = connection.evicted() => {
                    return Err(BodyFailure::Refused(StatusCode::REQUEST_TIMEOUT));
                }
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return Ok(received.into()) };
            let Ok(frame) = frame else {
                return Err(BodyFailure::Refused(StatusCode::BAD_REQUEST));
            };
            let Some(data) = frame.data_ref() else { continue };
            let length = received.len() + data.len();
            if length > max_bytes {
                connection.count_fault(CallerFault::BodyTooLarge);
                return Err(BodyFailure::Refused(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if length > received.capacity() {
                let doubled = (2 * received.capacity()).max(MIN_BUFFER_BYTES);
                let capacity = doubled.min(max_bytes).max(length);
                wait_for_room(connection, capacity - received.capacity()).await?;
                received.reserve_exact(capacity - received.len());
            }
            received.extend_from_slice(data);
        }
    }
}

/// Charges the connection with bytes, as soon as there is room for them.
async fn wait_for_room(connection: &CallerConnection, bytes: usize) -> Result<(), BodyFailure> {
    let give_up = BootTime::now() + MAX_ROOM_WAIT;
    while !connection.try_hold(bytes) {
        if connection.is_evicted() || BootTime::now() >= give_up {
            connection.count_fault(CallerFault::NoRoom);
            return Err(BodyFailure::NoRoom);
        }
        sleep(ROOM_PAUSE).await;
    }
    Ok(())
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else { return };
        // A client that waits for status 100 has not sent its body.
        let is_expected = self.is_continue_expected || self.connection.is_evicted();
        if is_expected || body.is_end_stream() {
            return;
        }
        spawn_local(discard(self.connection.clone(), body));
    }
}

/// Receives the rest of a body without keeping it. The connection closes after the answer
/// if that is too long or takes too long.
async fn discard(connection: Rc<CallerConnection>, mut body: Incoming) {
    let max_bytes = connection.limits().body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return;
    }
    let receive = async {
        let mut discarded = 0;
        // Once the answer is sent, the HTTP implementation reports no end of the body.
        while !body.is_end_stream() {
            let Some(Ok(frame)) = body.frame().await else { return };
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > max_bytes {
                return;
            }
        }
    };
    if timeout(DISCARD_TIMEOUT, receive).await.is_ok() {
        connection.end_body();
    }
}
