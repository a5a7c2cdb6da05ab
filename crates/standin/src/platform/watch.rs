//! Streams the changes of a kind to a client.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use carobstep_store::{ObjectKind, ObjectVersion};
use tokio::{sync::mpsc, time::sleep};

use super::{
    objects::{Change, VersionGone},
    state::PlatformState,
};
use crate::http::{ChannelBody, ConnectionDropped, ResponseBody};

/// Interval between the blank lines that show a client that its watch is alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of chunks of a watch that can be queued for sending.
const CHUNK_QUEUE_LENGTH: usize = 16;

/// One open watch; counted in `open_watches` until it is dropped.
struct OpenWatch {
    state: Arc<PlatformState>,
    zone: Option<String>,
}

impl OpenWatch {
    fn new(state: &Arc<PlatformState>, zone: Option<&str>) -> Self {
        state.counter().report.open_watches += 1;
        Self { state: Arc::clone(state), zone: zone.map(str::to_owned) }
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.state.counter().report.open_watches -= 1;
    }
}

/// Starts a watch and returns the response body that streams its changes.
///
/// Fails when the change log no longer contains every change since `after`.
pub(crate) fn start(
    state: &Arc<PlatformState>,
    zone: Option<&str>,
    kind: ObjectKind,
    after: ObjectVersion,
) -> Result<ResponseBody, VersionGone> {
    state.table().changes(kind, after)?;
    let (chunk_tx, chunk_rx) = mpsc::channel(CHUNK_QUEUE_LENGTH);
    let watch = OpenWatch::new(state, zone);
    tokio::spawn(async move {
        tokio::select! {
            () = watch.send_changes(kind, after, &chunk_tx) => {}
            () = chunk_tx.closed() => {}
        }
    });
    Ok(ChannelBody::boxed(chunk_rx))
}

impl OpenWatch {
    /// Sends changes until the client disconnects or the change log no longer contains the next
    /// change.
    ///
    /// Changes that occur while the client's zone is silent are sent when the
    /// silence ends, as TCP would retransmit them after a packet loss.
    async fn send_changes(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        chunk_tx: &mpsc::Sender<Result<Bytes, ConnectionDropped>>,
    ) {
        let mut last_sent = after;
        let mut wakeups = self.state.subscribe();
        // The first blank line makes the HTTP server send the response head at once.
        let mut keep_alive = true;
        loop {
            if !self.state.is_silent(self.zone.as_deref()) {
                let chunk = self.next_chunk(kind, &mut last_sent, keep_alive);
                let is_broken = chunk.is_err();
                self.state.delay().await;
                if chunk != Ok(Bytes::new()) && chunk_tx.send(chunk).await.is_err() || is_broken {
                    return;
                }
            }
            keep_alive = tokio::select! {
                _ = wakeups.changed() => false,
                () = sleep(KEEP_ALIVE_INTERVAL) => true,
            };
        }
    }

    /// Returns the lines to send now, which may be none.
    fn next_chunk(
        &self,
        kind: ObjectKind,
        last_sent: &mut ObjectVersion,
        keep_alive: bool,
    ) -> Result<Bytes, ConnectionDropped> {
        let changes =
            self.state.table().changes(kind, *last_sent).map_err(|_| ConnectionDropped)?;
        match changes.last() {
            Some(change) => {
                *last_sent = change.version;
                Ok(serialize_changes(&changes))
            }
            None if keep_alive => Ok(Bytes::from_static(b"\n")),
            None => Ok(Bytes::new()),
        }
    }
}

fn serialize_changes(changes: &[Change]) -> Bytes {
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
