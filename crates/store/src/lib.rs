//! Client of the platform's object API.
//!
//! The platform holds configuration, manifests, leases, grants and claims.
//! [`ObjectStore`] is the edge of the process: everything behind it speaks in
//! [`ObjectCall`] and [`ObjectReply`] values, so that the decisions stay free
//! of I/O.

mod call;
mod claim;
mod claim_calls;
mod claim_machine;
mod exchange;
mod http_store;
mod pacing;
mod pool;
mod settle;
mod store;
mod transport;
mod watch;

pub use call::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    VmRecord, VmRole, VmState, WriteCondition, is_object_name,
};
pub use claim::{
    AttemptId, ClaimDecision, ClaimError, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState,
    ClaimWrite, MAX_ANSWER_BYTES, OwnerSight, RecordDecision, RecordedOutcome, decide_claim,
    digest_of, record_outcome,
};
pub use claim_calls::{abandon_claim, acquire_claim, record_claim};
pub use claim_machine::{ClaimEnd, ClaimMachine, ClaimRead, ClaimStep};
pub use exchange::MAX_VALUE_BYTES;
pub use http_store::{HttpStore, HttpStoreBuilder};
pub use settle::{
    MarkedWrite, PutEnd, ReadEnd, SettleEnd, SettleStep, WriteOutcome, WriteSettlement,
    settle_write,
};
pub use store::{ObjectStore, WatchEvent, WatchStream};
pub use transport::{ReplyParts, StoreTransport};
