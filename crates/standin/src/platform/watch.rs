//! Sends the changes of a kind to one watch.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use carobstep_platform::{ObjectKind, ObjectVersion};
use tokio::{sync::mpsc, time::sleep};

use super::{
    objects::{Change, VersionGone},
    state::PlatformState,
};
use crate::http::{ChannelBody, ConnectionDropped, ReplyBody};

/// Time between the blank lines that keep a watch alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Parts of a watch that wait to be sent.
const PART_QUEUE_LENGTH: usize = 16;

/// Counts a watch as open while it lives.
struct OpenWatch {
    state: Arc<PlatformState>,
}

impl OpenWatch {
    fn new(state: &Arc<PlatformState>) -> Self {
        state.counter().report.open_watches += 1;
        Self { state: Arc::clone(state) }
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.state.counter().report.open_watches -= 1;
    }
}

/// Starts a watch, unless its first change has left the log.
pub(crate) fn start(
    state: &Arc<PlatformState>,
    kind: ObjectKind,
    after: ObjectVersion,
) -> Result<ReplyBody, VersionGone> {
    state.table().changes(kind, after)?;
    let (parts, receiver) = mpsc::channel(PART_QUEUE_LENGTH);
    let watch = OpenWatch::new(state);
    tokio::spawn(async move {
        tokio::select! {
            () = send_changes(&watch.state, kind, after, &parts) => {}
            () = parts.closed() => {}
        }
    });
    Ok(ChannelBody::boxed(receiver))
}

async fn send_changes(
    state: &PlatformState,
    kind: ObjectKind,
    after: ObjectVersion,
    parts: &mpsc::Sender<Result<Bytes, ConnectionDropped>>,
) {
    let mut last = after;
    let mut wakeups = state.subscribe();
    // The first blank line makes the reply's head leave at once.
    let mut part = Bytes::from_static(b"\n");
    loop {
        sleep(Duration::from_millis(state.faults().delay_ms)).await;
        if !part.is_empty() && !state.is_silent() && parts.send(Ok(part)).await.is_err() {
            return;
        }
        let keep_alive = tokio::select! {
            _ = wakeups.changed() => false,
            () = sleep(KEEP_ALIVE_INTERVAL) => true,
        };
        part = Bytes::new();
        if state.is_silent() {
            continue;
        }
        let changes = state.table().changes(kind, last);
        let Ok(changes) = changes else {
            let _ = parts.send(Err(ConnectionDropped)).await;
            return;
        };
        if let Some(change) = changes.last() {
            last = change.version;
            part = write_lines(&changes);
        } else if keep_alive {
            part = Bytes::from_static(b"\n");
        }
    }
}

fn write_lines(changes: &[Change]) -> Bytes {
    let mut lines = BytesMut::new();
    for change in changes {
        let head =
            format!("{{\"name\":\"{}\",\"version\":{},\"value\":", change.name, change.version.0);
        lines.extend_from_slice(head.as_bytes());
        lines.extend_from_slice(change.value.as_deref().unwrap_or(b"null"));
        lines.extend_from_slice(b"}\n");
    }
    lines.freeze()
}
