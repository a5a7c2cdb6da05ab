//! Decisions of the query tier on a machine that shares its servers with others.
//!
//! Every type here is a state machine or a table without I/O: the caller
//! passes the time in and carries out what comes back. The same code runs in
//! the daemon, in table tests and on a paused clock.
//!
//! - what is believed: [`Configuration`], [`RouteTable`], [`ServerDirectory`]
//! - which server gets a request: [`ServerFleet`]
//! - which availability zones are reached: [`ZoneReachability`]
//! - which node calls the servers of a shard: [`PeerTable`]
//! - one request to one service or to every shard of an index: [`FanoutState`]
//! - ready and stopping: [`NodeLifecycle`]
//!
//! ```
//! use carobstep_tier::merge_records;
//!
//! let parts = [b"0000000000000002".as_slice(), b"0000000000000001".as_slice()];
//! assert_eq!(&merge_records(parts, 1)[..], b"0000000000000002");
//! ```

mod delegation;
mod directory;
mod fanout;
mod fanout_plan;
mod fleet;
mod lifecycle;
mod merge;
mod model;
mod peers;
mod reach;
mod routes;
mod server_state;
mod stats;

pub use delegation::{DealtShards, DelegationRequest, plan_delegations};
pub use directory::{DirectoryChange, DirectoryNews, ServerDirectory, VersionedServer};
pub use fanout::FanoutState;
pub use fanout_plan::{
    Delegation, DelegationNews, FanoutAction, FanoutEnd, FanoutPlan, GroupIndex, LackingShards,
    ShardIndex,
};
pub use fleet::{
    FleetLimits, PickScope, SearchRank, SentTicket, ServerEndpoint, ServerFleet, ServerKey,
    ServiceKey,
};
pub use lifecycle::{LifecyclePhase, NodeLifecycle, StopTiming};
pub use merge::{RECORD_BYTES, merge_records};
pub use model::{
    ClientLimits, Configuration, GatherPlan, MachineSettings, PromiseBounds, RetryPolicy,
    RouteConfig, RouteTarget, ServerEntry, ServerPhase, ServiceConfig, SplitPart,
};
pub use peers::{PeerEntry, PeerTable, StoreFollower};
pub use reach::ZoneReachability;
pub use routes::{RouteTable, SplitRotation};
pub use stats::{AttemptEnd, ClassKey, ClassTable};
