//! Client of the platform's object API.
//!
//! The platform is the service that runs the VMs and stores the configuration,
//! manifests, leases, grants and claims as versioned objects. [`ObjectStore`] is
//! the interface to it. Calls and
//! replies are plain [`ObjectCall`] and [`ObjectReply`] values, so that the code
//! that decides what to call can be tested without I/O.

mod backoff;
mod call;
mod claim;
mod claim_calls;
mod claim_machine;
mod exchange;
mod http_store;
mod pool;
mod resolve;
mod store;
mod transport;
mod watch;

pub use call::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    VmRecord, VmRole, VmState, WriteCondition, is_object_name,
};
pub use claim::{
    AttemptId, ClaimDecision, ClaimError, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState,
    ClaimWrite, MAX_STORED_RESPONSE_BYTES, OwnerStatus, RecordDecision, RecordedOutcome,
    decide_claim, decide_record, hex_digest,
};
pub use claim_calls::{abandon_claim, acquire_claim, record_claim};
pub use claim_machine::{ClaimMachine, ClaimRead, ClaimResult, ClaimStep};
pub use exchange::MAX_VALUE_BYTES;
pub use http_store::{HttpStore, HttpStoreBuilder};
pub use resolve::{
    MarkedWrite, PutOutcome, ReadOutcome, ResolveStep, ResolvedOutcome, ResolvedWrite,
    WriteResolver, resolve_write,
};
pub use store::{ObjectStore, WatchEvent, WatchStream};
pub use transport::{ReplyParts, StoreTransport};
