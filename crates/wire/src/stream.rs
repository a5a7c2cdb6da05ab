//! Limits of peer connections, and the framing of request and response bodies.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{
    codec::MAX_FRAME_BYTES,
    error::{WireError, WireErrorKind},
};

/// Flow-control window of one stream, in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Flow-control window of one connection, in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// Maximum number of concurrent streams on one connection.
pub(crate) const MAX_STREAMS: u32 = 16 * 1024;

/// Timeout of opening a connection with its handshake, of its first pong, and of
/// waiting for a free stream.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before connecting to a peer is retried after a failure.
pub(crate) const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Shortest time without a reply or a pong after which a connection is probed.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest mean time between two probes that a node sends, over all its connections.
const MIN_PROBE_SPACING: Duration = Duration::from_millis(20);

/// Timeout of a probe, after which the connection is considered dead.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a pong after which a probed peer is reported as suspect.
pub(crate) const PROBE_SUSPECT_AFTER: Duration = Duration::from_millis(50);

/// Time without a reply after which a call requests a probe of its connection.
pub(crate) const CALL_PROBE_DELAY: Duration = Duration::from_millis(50);

/// Returns the time without a reply or a pong after which a node probes a connection
/// to a peer, given the number of its open connections.
///
/// It grows with that number, so that the rate of all probes of a node is bounded.
#[must_use]
pub fn probe_interval(connections: usize) -> Duration {
    let connections = u32::try_from(connections).unwrap_or(u32::MAX);
    MIN_PROBE_INTERVAL.max(MIN_PROBE_SPACING.saturating_mul(connections))
}

/// Reads a complete request body of at most [`MAX_FRAME_BYTES`], taking a permit of `room`
/// for each byte.
///
/// # Errors
///
/// An error of the kind [`WireErrorKind::NotSent`] means that there is no room.
pub(crate) async fn read_frame(
    mut body: RecvStream,
    room: &Semaphore,
) -> Result<(Bytes, Option<SemaphorePermit<'_>>), WireError> {
    let mut frame = BytesMut::new();
    let mut permits: Option<SemaphorePermit<'_>> = None;
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| error_after_send(&error))?;
        if frame.len() + chunk.len() > MAX_FRAME_BYTES {
            let message = format!("frame exceeds {MAX_FRAME_BYTES} bytes");
            return Err(WireError::new(WireErrorKind::Codec, message));
        }
        let Ok(permit) = room.try_acquire_many(u32::try_from(chunk.len()).unwrap_or(u32::MAX))
        else {
            let message = "no room for the frames of peers".to_owned();
            return Err(WireError::new(WireErrorKind::NotSent, message));
        };
        match &mut permits {
            Some(permits) => permits.merge(permit),
            None => permits = Some(permit),
        }
        // A failure to return capacity means that the stream is already closed.
        let _ = body.flow_control().release_capacity(chunk.len());
        frame.extend_from_slice(&chunk);
    }
    Ok((frame.freeze(), permits))
}

/// Size of the length prefix of each reply frame, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Returns a reply frame with its length prefix, which separates it from the frames of
/// further replies.
pub(crate) fn with_length_prefix(frame: &[u8]) -> Bytes {
    let mut message = BytesMut::with_capacity(LENGTH_BYTES + frame.len());
    // `encode` limits frames to `MAX_FRAME_BYTES`, far below 4 GiB.
    message.put_u32_le(u32::try_from(frame.len()).unwrap_or(u32::MAX));
    message.put_slice(frame);
    message.freeze()
}

/// Reader of the frames in a response body.
#[derive(Debug)]
pub(crate) struct FrameReader {
    body: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(body: RecvStream) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Returns the next frame, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, WireError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.body.data().await else {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                let message =
                    format!("stream ended after {} bytes of an incomplete frame", self.buf.len());
                return Err(WireError::new(WireErrorKind::Codec, message));
            };
            let chunk = chunk.map_err(|error| error_after_send(&error))?;
            // A failure to return capacity means that the stream is already closed.
            let _ = self.body.flow_control().release_capacity(chunk.len());
            self.buf.extend_from_slice(&chunk);
        }
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(head) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            let message = format!("frame has {length} bytes; the limit is {MAX_FRAME_BYTES}");
            return Err(WireError::new(WireErrorKind::Codec, message));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        Ok(Some(self.buf.split_to(length).freeze()))
    }
}

/// Converts an h2 error that occurred after the request was sent.
///
/// A refused stream was not processed by the peer and counts as not sent.
pub(crate) fn error_after_send(error: &h2::Error) -> WireError {
    let kind = match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => WireErrorKind::NotSent,
        _ => WireErrorKind::Lost,
    };
    WireError::new(kind, error.to_string())
}

/// Converts an h2 error that occurred before the request was sent.
pub(crate) fn error_before_send(error: &h2::Error) -> WireError {
    WireError::new(WireErrorKind::NotSent, error.to_string())
}
