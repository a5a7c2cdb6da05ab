//! Client of the platform's object API.
//!
//! The platform holds configuration, manifests, leases, grants and claims.
//! [`ObjectStore`] is the edge of the process: everything behind it speaks in
//! [`ObjectCall`] and [`ObjectReply`] values, so that the decisions stay free
//! of I/O.

mod call;
mod exchange;
mod http_store;
mod pool;
mod store;
mod watch;

pub use call::{
    Condition, ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind,
    StoredObject, VmRecord, VmRole, VmState,
};
pub use exchange::MAX_VALUE_BYTES;
pub use http_store::{HttpStore, HttpStoreBuilder};
pub use store::{ObjectStore, WatchEvent, WatchStream};
