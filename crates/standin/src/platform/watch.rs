//! Sends the changes of a kind to one watch.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use carobstep_store::{ObjectKind, ObjectVersion};
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

/// Starts a watch, unless its first change has left the log.
pub(crate) fn start(
    state: &Arc<PlatformState>,
    zone: Option<&str>,
    kind: ObjectKind,
    after: ObjectVersion,
) -> Result<ReplyBody, VersionGone> {
    state.table().changes(kind, after)?;
    let (parts, receiver) = mpsc::channel(PART_QUEUE_LENGTH);
    let watch = OpenWatch::new(state, zone);
    tokio::spawn(async move {
        tokio::select! {
            () = watch.send_changes(kind, after, &parts) => {}
            () = parts.closed() => {}
        }
    });
    Ok(ChannelBody::boxed(receiver))
}

impl OpenWatch {
    /// Sends changes until the watch breaks.
    ///
    /// What is due while the connection is silent goes out when it no longer
    /// is, as TCP would send it again.
    async fn send_changes(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        parts: &mpsc::Sender<Result<Bytes, ConnectionDropped>>,
    ) {
        let mut last = after;
        let mut wakeups = self.state.subscribe();
        // The first blank line makes the reply's head leave at once.
        let mut keep_alive = true;
        loop {
            if !self.state.is_silent(self.zone.as_deref()) {
                let part = self.next_part(kind, &mut last, keep_alive);
                let is_broken = part.is_err();
                self.state.delay().await;
                if part != Ok(Bytes::new()) && parts.send(part).await.is_err() || is_broken {
                    return;
                }
            }
            keep_alive = tokio::select! {
                _ = wakeups.changed() => false,
                () = sleep(KEEP_ALIVE_INTERVAL) => true,
            };
        }
    }

    /// The lines that are due, which may be none.
    fn next_part(
        &self,
        kind: ObjectKind,
        last: &mut ObjectVersion,
        keep_alive: bool,
    ) -> Result<Bytes, ConnectionDropped> {
        let changes = self.state.table().changes(kind, *last).map_err(|_| ConnectionDropped)?;
        match changes.last() {
            Some(change) => {
                *last = change.version;
                Ok(write_lines(&changes))
            }
            None if keep_alive => Ok(Bytes::from_static(b"\n")),
            None => Ok(Bytes::new()),
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
