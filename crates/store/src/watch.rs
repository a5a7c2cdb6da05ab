//! Reads the lines of a watch and detects when the stream breaks.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    call::{ObjectKind, ObjectVersion, StoreError, StoreErrorKind},
    exchange::MAX_VALUE_BYTES,
    pool::RequestSender,
    store::{WatchEvent, WatchStream},
};

/// Maximum number of queued events; while the queue is full, the connection is not read.
const EVENT_QUEUE_LENGTH: usize = 256;

/// Longest accepted line, in bytes: a value, its name, and the overhead of escapes
/// and white space in the JSON.
const MAX_LINE_BYTES: usize = 2 * MAX_VALUE_BYTES;

#[derive(Deserialize)]
struct WatchLine {
    name: String,
    version: ObjectVersion,
    value: Option<serde_json::Value>,
}

/// Spawns a task that reads `body` until it ends, sends no data for
/// `idle_timeout`, or the returned stream is dropped.
///
/// The task keeps `sender` because dropping it would close the connection.
pub(crate) fn spawn_reader(
    sender: RequestSender,
    body: Incoming,
    kind: ObjectKind,
    after: ObjectVersion,
    idle_timeout: Duration,
) -> WatchStream {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let mut reader = WatchReader { body, buf: BytesMut::new(), last_version: after, idle_timeout };
    tokio::spawn(async move {
        let _sender = sender;
        let forwarding = reader.forward(&events);
        let reason = tokio::select! {
            reason = forwarding => reason,
            () = events.closed() => return,
        };
        let message = format!("watch {kind}: {reason}");
        let _ = events.send(Err(StoreError::new(StoreErrorKind::AnswerLost, message))).await;
    });
    WatchStream::new(receiver)
}

struct WatchReader {
    body: Incoming,
    buf: BytesMut,
    last_version: ObjectVersion,
    idle_timeout: Duration,
}

impl WatchReader {
    /// Forwards events until the watch breaks, and returns the reason.
    async fn forward(&mut self, events: &mpsc::Sender<Result<WatchEvent, StoreError>>) -> String {
        loop {
            let frame = match timeout(self.idle_timeout, self.body.frame()).await {
                Err(_) => return format!("no data for {} ms", self.idle_timeout.as_millis()),
                Ok(None) => return "the platform closed the stream".to_owned(),
                Ok(Some(Err(error))) => return error.to_string(),
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(data) = frame.data_ref() else { continue };
            self.buf.extend_from_slice(data);
            while let Some(line) = self.take_line() {
                let event = match self.parse_line(&line) {
                    Ok(Some(event)) => event,
                    Ok(None) => continue,
                    Err(reason) => return reason,
                };
                if events.send(Ok(event)).await.is_err() {
                    return "the consumer dropped the stream".to_owned();
                }
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return format!("line exceeds {MAX_LINE_BYTES} bytes");
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line)
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<Option<WatchEvent>, String> {
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        let line: WatchLine =
            serde_json::from_slice(line).map_err(|error| format!("malformed line: {error}"))?;
        if line.version <= self.last_version {
            let message = format!(
                "version {} received after version {}",
                line.version.0, self.last_version.0
            );
            return Err(message);
        }
        self.last_version = line.version;
        Ok(Some(WatchEvent { name: line.name, version: line.version, value: line.value }))
    }
}
