//! Compression of documents that peers send to each other.

use std::io::{self, Read};

use carobstep_store::MAX_VALUE_BYTES;
use flate2::{Compression, read::DeflateDecoder, read::DeflateEncoder};

/// Compresses a document (DEFLATE, RFC 1951).
pub(crate) fn compress(text: &str) -> Vec<u8> {
    let mut packed = Vec::new();
    let mut encoder = DeflateEncoder::new(text.as_bytes(), Compression::fast());
    // Reading from memory does not fail.
    let _ = encoder.read_to_end(&mut packed);
    packed
}

/// Decompresses a document.
///
/// # Errors
///
/// Fails when the bytes are malformed, when the text is longer than
/// [`MAX_VALUE_BYTES`], the limit of the platform, or when it is not UTF-8.
pub(crate) fn decompress(packed: &[u8]) -> io::Result<String> {
    let limit = MAX_VALUE_BYTES as u64;
    let mut text = String::new();
    let mut decoder = DeflateDecoder::new(packed).take(limit + 1);
    decoder.read_to_string(&mut text)?;
    if text.len() > MAX_VALUE_BYTES {
        let message = format!("the document is longer than {MAX_VALUE_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(text)
}
