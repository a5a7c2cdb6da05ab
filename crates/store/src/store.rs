//! The interface to the platform's object API: single calls and watches.

use std::future::Future;

use tokio::sync::mpsc;

use crate::call::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError};

/// Client interface to the platform's object API.
pub trait ObjectStore: Send + Sync + 'static {
    /// Makes one call and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails when no valid reply arrived; the
    /// [`StoreErrorKind`](crate::StoreErrorKind) says whether a write may have taken
    /// effect.
    fn call(
        &self,
        call: ObjectCall,
    ) -> impl Future<Output = Result<ObjectReply, StoreError>> + Send;

    /// Streams the changes of all objects of a kind that come after a version.
    ///
    /// # Errors
    ///
    /// [`StoreErrorKind::VersionGone`](crate::StoreErrorKind::VersionGone) when
    /// the platform no longer has all changes since `after`: list the kind and
    /// watch from the version of that list.
    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
    ) -> impl Future<Output = Result<WatchStream, StoreError>> + Send;
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Name of the object.
    pub name: String,
    /// Its version after the change.
    pub version: ObjectVersion,
    /// Its value, or `None` after a deletion.
    pub value: Option<serde_json::Value>,
}

/// Changes in the order of their versions.
///
/// When the watch ends for any reason, such as an idle timeout, the stream yields
/// one error as its last item, and `None` after it.
#[derive(Debug)]
pub struct WatchStream {
    events: mpsc::Receiver<Result<WatchEvent, StoreError>>,
}

impl WatchStream {
    /// Wraps the receiving end of a channel.
    #[must_use]
    pub const fn new(events: mpsc::Receiver<Result<WatchEvent, StoreError>>) -> Self {
        Self { events }
    }

    /// Waits for the next change.
    pub async fn next(&mut self) -> Option<Result<WatchEvent, StoreError>> {
        self.events.recv().await
    }
}
