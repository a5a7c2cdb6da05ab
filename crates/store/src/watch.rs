//! Reads the lines of a watch and notices when they stop.

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

/// Events that wait for the consumer before the connection is no longer read.
const EVENT_QUEUE_LENGTH: usize = 256;

/// Longest accepted line: a value and room for its name and other JSON spelling.
const MAX_LINE_BYTES: usize = 2 * MAX_VALUE_BYTES;

#[derive(Deserialize)]
struct WatchLine {
    name: String,
    version: ObjectVersion,
    value: Option<serde_json::Value>,
}

/// Reads `body` in a task until it ends, goes silent, or nobody listens.
///
/// The sender is kept because dropping it would close the connection.
pub(crate) fn spawn_reader(
    sender: RequestSender,
    body: Incoming,
    kind: ObjectKind,
    after: ObjectVersion,
    silence: Duration,
) -> WatchStream {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let mut reader = WatchReader { body, line: BytesMut::new(), last: after, silence };
    tokio::spawn(async move {
        let _sender = sender;
        let reading = reader.forward(&events);
        let reason = tokio::select! {
            reason = reading => reason,
            () = events.closed() => return,
        };
        let message = format!("watch {kind}: {reason}");
        let _ = events.send(Err(StoreError::new(StoreErrorKind::AnswerLost, message))).await;
    });
    WatchStream::new(receiver)
}

struct WatchReader {
    body: Incoming,
    line: BytesMut,
    last: ObjectVersion,
    silence: Duration,
}

impl WatchReader {
    /// Forwards events until the watch breaks, and tells why it did.
    async fn forward(&mut self, events: &mpsc::Sender<Result<WatchEvent, StoreError>>) -> String {
        loop {
            let frame = match timeout(self.silence, self.body.frame()).await {
                Err(_) => return format!("silent for {} ms", self.silence.as_millis()),
                Ok(None) => return "the platform ended it".to_owned(),
                Ok(Some(Err(error))) => return error.to_string(),
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(data) = frame.data_ref() else { continue };
            self.line.extend_from_slice(data);
            while let Some(line) = self.take_line() {
                let event = match self.read_line(&line) {
                    Ok(Some(event)) => event,
                    Ok(None) => continue,
                    Err(reason) => return reason,
                };
                if events.send(Ok(event)).await.is_err() {
                    return "nobody listens".to_owned();
                }
            }
            if self.line.len() > MAX_LINE_BYTES {
                return format!("a line is longer than {MAX_LINE_BYTES} bytes");
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.line.iter().position(|byte| *byte == b'\n')?;
        let line = self.line.split_to(end);
        self.line.advance(1);
        Some(line)
    }

    fn read_line(&mut self, line: &[u8]) -> Result<Option<WatchEvent>, String> {
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        let line: WatchLine =
            serde_json::from_slice(line).map_err(|error| format!("unreadable line: {error}"))?;
        if line.version <= self.last {
            let message = format!("version {} came after version {}", line.version.0, self.last.0);
            return Err(message);
        }
        self.last = line.version;
        Ok(Some(WatchEvent { name: line.name, version: line.version, value: line.value }))
    }
}
