//! Encoding of messages as bincode frames of limited size.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{WireError, WireErrorKind};

/// Largest accepted frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

type FrameConfig = Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>>;

const FRAME_CONFIG: FrameConfig = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// Encodes one message as one frame.
///
/// # Errors
///
/// Fails when the message is larger than [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let frame = bincode::serde::encode_to_vec(message, FRAME_CONFIG)
        .map_err(|error| WireError::new(WireErrorKind::Codec, error.to_string()))?;
    if frame.len() > MAX_FRAME_BYTES {
        let message = format!("frame has {} bytes; the limit is {MAX_FRAME_BYTES}", frame.len());
        return Err(WireError::new(WireErrorKind::Codec, message));
    }
    Ok(frame.into())
}

/// Decodes one message from one complete frame.
///
/// # Errors
///
/// Fails when the frame is malformed, too large or has trailing bytes.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, WireError> {
    let (message, used) = bincode::serde::decode_from_slice(frame, FRAME_CONFIG)
        .map_err(|error| WireError::new(WireErrorKind::Codec, error.to_string()))?;
    if used != frame.len() {
        let message =
            format!("frame of {} bytes has {} trailing bytes", frame.len(), frame.len() - used);
        return Err(WireError::new(WireErrorKind::Codec, message));
    }
    Ok(message)
}
