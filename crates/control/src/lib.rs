//! Membership, leases, grants and configuration spread.
//!
//! [`ControlState`] is the control side of one node as a pure state machine:
//! it takes [`ControlEvent`]s with the time at which they happened and returns
//! [`ControlEffect`]s. It does no I/O and reads no clock. The rules that keep
//! two nodes from dispatching to the same backend server stand in small types
//! of their own, [`LeaseGuard`], [`LeaseWitness`] and [`LeaseTakeover`], which the model
//! checking in `tests/` explores exhaustively.
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
//! // Past the term, an answer of half of the witnesses is needed.
//! guard.vouched("b", sent + timing.term);
//! assert!(guard.may_dispatch(sent + timing.term, &timing));
//! ```

mod assignment;
mod event;
mod lease;
mod options;
mod packing;
mod peers;
mod random;
mod record;
mod routes;
mod signs;
mod spread;
mod state;
mod takeover;
mod witness;

pub use assignment::assign_servers;
pub use event::{CallKey, ControlEffect, ControlEvent, PeerFailure, ReplyKey, ServerRoute};
pub use lease::{LeaseGuard, LeaseState};
pub use options::{ControlOptions, GossipTiming, GrantTiming, LeaseTiming};
pub use record::{ConfigRecord, GrantMark, GrantRecord, LeaseMark, LeaseRecord, StatusRecord};
pub use spread::{ConfigEntry, ConfigSpread, SpreadError};
pub use state::{ControlState, NodePhase};
pub use takeover::{LeaseTakeover, LeaseView, TakeoverState, TakeoverStep};
pub use witness::LeaseWitness;
