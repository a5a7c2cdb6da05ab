//! Bodies of h2 streams: one bounded frame to the peer, and one or several back.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;

use crate::{
    codec::MAX_FRAME_BYTES,
    error::{WireError, WireErrorKind},
};

/// Flow-control window of one stream, in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Flow-control window of one connection, in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// Streams that one connection may have open at the same time.
pub(crate) const MAX_STREAMS: u32 = 16 * 1024;

/// Time to open a connection, finish its handshake and get a first pong.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a peer that could not be connected is not tried again.
pub(crate) const CONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Shortest time without a reply or a pong after which a connection is probed.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest mean time between two probes of a node, over all its connections.
const PING_SPACING: Duration = Duration::from_millis(20);

/// Time after which an unanswered probe marks the connection as dead.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an unanswered probe makes the peer suspect.
pub(crate) const PING_SLOW: Duration = Duration::from_millis(50);

/// Time after which a call without a reply asks for a probe.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_millis(50);

/// Time without a reply or a pong after which each of a node's open
/// connections to peers is probed.
///
/// It grows with the connections, so that the probes of a large fleet stay
/// within a fixed rate.
#[must_use]
pub fn probe_interval(connections: usize) -> Duration {
    let connections = u32::try_from(connections).unwrap_or(u32::MAX);
    MIN_PING_INTERVAL.max(PING_SPACING.saturating_mul(connections))
}

/// Reads a whole body, which must stay within [`MAX_FRAME_BYTES`].
pub(crate) async fn read_frame(mut body: RecvStream) -> Result<Bytes, WireError> {
    let mut frame = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| lost(&error))?;
        if frame.len() + chunk.len() > MAX_FRAME_BYTES {
            let message = format!("frame is over {MAX_FRAME_BYTES} bytes");
            return Err(WireError::new(WireErrorKind::Codec, message));
        }
        // A failure to return capacity means that the stream is already closed.
        let _ = body.flow_control().release_capacity(chunk.len());
        frame.extend_from_slice(&chunk);
    }
    Ok(frame.freeze())
}

/// Bytes of the length in front of each reply's frame.
const LENGTH_BYTES: usize = size_of::<u32>();

/// A reply's frame with its length in front, since several may follow one another.
pub(crate) fn with_length(frame: &[u8]) -> Bytes {
    let mut message = BytesMut::with_capacity(LENGTH_BYTES + frame.len());
    // Frames are bounded far below 4 GiB.
    message.put_u32_le(u32::try_from(frame.len()).unwrap_or(u32::MAX));
    message.put_slice(frame);
    message.freeze()
}

/// Reads the frames of a reply stream one by one.
#[derive(Debug)]
pub(crate) struct FrameReader {
    body: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(body: RecvStream) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// The next frame, `None` behind the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, WireError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.body.data().await else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                let message = format!("{} bytes of a broken frame", self.buffer.len());
                return Err(WireError::new(WireErrorKind::Codec, message));
            };
            let chunk = chunk.map_err(|error| lost(&error))?;
            // A failure to return capacity means that the stream is already closed.
            let _ = self.body.flow_control().release_capacity(chunk.len());
            self.buffer.extend_from_slice(&chunk);
        }
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            let message = format!("frame of {length} bytes is over {MAX_FRAME_BYTES}");
            return Err(WireError::new(WireErrorKind::Codec, message));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}

/// Turns an h2 error after the request was sent into its kind.
pub(crate) fn lost(error: &h2::Error) -> WireError {
    let kind = match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => WireErrorKind::NotSent,
        _ => WireErrorKind::Lost,
    };
    WireError::new(kind, error.to_string())
}

/// Turns an h2 error before the request was sent into its kind.
pub(crate) fn not_sent(error: &h2::Error) -> WireError {
    WireError::new(WireErrorKind::NotSent, error.to_string())
}
