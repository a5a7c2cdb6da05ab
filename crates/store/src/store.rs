//! The edge towards the platform: one call, one reply, and a watch.

use std::future::Future;

use tokio::sync::mpsc;

use crate::call::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError};

/// The platform's object API as the rest of the process sees it.
pub trait ObjectStore: Send + Sync + 'static {
    /// Makes one call and waits for its reply.
    ///
    /// # Errors
    ///
    /// The [`StoreErrorKind`](crate::StoreErrorKind) tells whether a write may
    /// have taken effect.
    fn call(
        &self,
        call: ObjectCall,
    ) -> impl Future<Output = Result<ObjectReply, StoreError>> + Send;

    /// Follows the changes of a kind that come after a version.
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
/// The stream yields at most one error, as its last item. A watch that ends
/// for any reason, silence included, yields an error; `None` follows it.
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
