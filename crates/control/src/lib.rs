//! Membership, leases, grants and distribution of the configuration.
//!
//! [`ControlState`] is the control plane of one node as a pure state machine:
//! it takes [`ControlEvent`]s with the time at which they happened and returns
//! [`ControlEffect`]s. It does no I/O and reads no clock.
//!
//! A grant gives one node at a time the right to dispatch requests to a backend
//! server. It is valid while the lease of that node's incarnation is. Each
//! lease records its witnesses, the live nodes of the zone. When a node cannot
//! renew its lease, its witnesses may vouch for it: they confirm that they have
//! not been notified that the lease is closed. A node that takes over another
//! node's grants closes its lease, notifies more than half of the witnesses and
//! then waits for the fence time, after which earlier vouches have expired.
//!
//! [`LeaseGuard`], [`LeaseWitness`] and [`LeaseTakeover`] implement these rules.
//! The model checker in `tests/grant_model` explores them exhaustively for
//! small zones.
//!
//! ```
//! use carobstep_clock::BootTime;
//! use carobstep_control::{LeaseGuard, LeaseTiming};
//! use std::time::Duration;
//!
//! let timing = LeaseTiming::default();
//! let sent = BootTime::from_millis(1_000);
//! let mut guard = LeaseGuard::new("a");
//! guard.begin_renewal(sent, &["b", "c"]);
//! guard.confirm();
//! assert!(guard.may_dispatch(sent + Duration::from_secs(1), &timing));
//! assert!(!guard.may_dispatch(sent + timing.term, &timing));
//!
//! // Past the term, half of the witnesses must vouch.
//! guard.record_vouch("b", sent + timing.term);
//! assert!(guard.may_dispatch(sent + timing.term, &timing));
//! ```

mod assignment;
mod compression;
mod documents;
mod event;
mod grants;
mod lease;
mod leaving;
mod options;
mod peers;
mod random;
mod record;
mod state;
mod takeover;
mod witness;

pub use assignment::assign_servers;
pub use documents::{ConfigEntry, DocumentError, DocumentTable};
pub use event::{CallKey, ControlEffect, ControlEvent, PeerFailure, ReplyKey, ServerRoute};
pub use lease::{LeaseGuard, LeaseState};
pub use options::{ControlOptions, GossipTiming, GrantTiming, LeaseTiming};
pub use record::{
    ConfigRecord, GrantRecord, GrantRecordState, LeaseRecord, LeaseRecordState, StatusRecord,
};
pub use state::{ControlState, NodePhase};
pub use takeover::{LeaseTakeover, LeaseView, TakeoverState, TakeoverStep};
pub use witness::LeaseWitness;
