//! Decision logic of the query tier: routing, load balancing, retries, hedging and
//! delegation.
//!
//! All types are state machines or tables without I/O: the caller passes in the
//! current time and executes the returned actions. The same code runs in the
//! daemon, in table-driven tests and on a simulated clock.
//!
//! - known configuration, routes and servers: [`Configuration`], [`RouteTable`],
//!   [`ServerDirectory`]
//! - zones whose servers get no requests: [`EvacuationTable`]
//! - client accounts and their keys: [`AccountTable`]; limits on their requests:
//!   [`AccountUses`], [`OwnedAccounts`]
//! - load balancing over backend servers: [`ServerFleet`]
//! - failures of servers that the nodes of a zone tell each other: [`ObservationLedger`]
//! - whether a search can still be served: [`SearchAdmission`]
//! - limits on requests that servers name: [`LimitTable`]
//! - limits that all nodes share: [`ShareLedger`]
//! - requests that crash servers: [`CrashTable`]
//! - links to servers, judged by what they answer: [`ServerFleet::due_probes`]
//! - which node calls the servers of a shard: [`place_request`], [`PeerTable`],
//!   [`LinkReports`], [`RelayRoom`]
//! - spreading of the store's data over the nodes: [`UpdateSource`], [`SpreadTiming`]
//! - one request to a service or to every shard of an index: [`FanoutState`]
//! - what client connections hold together, and which of them end: [`CallerBudget`]
//! - readiness and graceful shutdown: [`NodeLifecycle`]; what a stopping node still passes
//!   on: [`StopHorizon`]
//!
//! ```
//! use carobstep_tier::merge_records;
//!
//! let parts = [b"0000000000000002".as_slice(), b"0000000000000001".as_slice()];
//! assert_eq!(&merge_records(parts, 1)[..], b"0000000000000002");
//! ```

mod account_owner;
mod account_quota;
mod accounts;
mod admission;
mod caller_budget;
mod cold;
mod crash_doubts;
mod crashes;
mod credit;
mod directory;
mod evacuations;
mod fanout;
mod fanout_plan;
mod fingerprint;
mod finish_lag;
mod fleet;
mod lifecycle;
mod limits;
mod link_reports;
mod links;
mod merge;
mod model;
mod observations;
mod pace;
mod peers;
mod placement;
mod quota;
mod registration;
mod relay_room;
mod relays;
mod retry_budget;
mod routes;
mod server_state;
mod shares;
mod stats;
mod stopping;
mod update_tree;

pub use account_owner::{AccountHandover, OwnedAccounts};
pub use account_quota::{
    AccountDecision, AccountUses, AdmissionSource, OWNER_REPLY_TIMEOUT, OwnerReply, QuotaTerms,
    TOKEN_WAIT,
};
pub use accounts::{
    AccountAccess, AccountEntry, AccountKey, AccountTable, KeyConflict, RequestPriority, SecretKey,
};
pub use admission::{SearchAdmission, SearchDemand, SearchRefusal};
pub use caller_budget::{
    CallerBounds, CallerBudget, CallerEviction, CallerFault, CallerKey, CallerPhase, MAX_ROOM_WAIT,
    MAX_SENT_AHEAD, MIN_PACE,
};
pub use cold::{ColdAsk, ColdTerms, SupportedOwners};
pub use crash_doubts::CrashDoubts;
pub use crashes::{
    CrashEvidence, CrashRecord, CrashTable, CrashUpdate, QuarantineChange, RequestAdmission,
};
pub use directory::{
    DirectoryChange, DirectoryUpdate, ServerDirectory, StoreRevision, VersionedServer,
};
pub use evacuations::{EvacuationChange, EvacuationTable, EvacuationUpdate};
pub use fanout::FanoutState;
pub use fanout_plan::{
    Delegation, DelegationIndex, DelegationUpdate, FanoutAction, FanoutOutcome, FanoutPlan,
    FanoutRole, MissingShards, ShardIndex,
};
pub use fingerprint::RequestFingerprint;
pub use finish_lag::FinishLag;
pub use fleet::{
    AttemptKind, AttemptTicket, ExtraUse, FleetLimits, LimitChange, LimitedUse, PaceEvent,
    PickScope, SearchRank, ServerEndpoint, ServerFleet, ServerKey, ServiceKey, ServicesDigest,
};
pub use lifecycle::{LifecyclePhase, NodeLifecycle, ServingReach, StopTiming};
pub use limits::{LimitRecord, LimitTable, LimitUpdate};
pub use link_reports::{LinkReport, LinkReports, LinkUpdate};
pub use links::ProbeOutcome;
pub use merge::{RECORD_BYTES, merge_records};
pub use model::{
    AccountConfig, AccountQuota, CallerLimits, ColdBounds, Configuration, GatherConfig,
    InvalidRate, LimitNotice, NodeSettings, PauseRequest, QuotaBounds, RequestRate, RetryPolicy,
    RouteConfig, RouteTarget, ServerEntry, ServerIncarnation, ServerNotice, ServerPhase,
    ServiceBounds, ServiceConfig, WeightedService,
};
pub use observations::{
    AttemptStake, FailureOdds, ObservationLedger, ServerObservation, report_interval,
};
pub use pace::{PaceEnd, PaceRule};
pub use peers::{PeerEntry, PeerTable, PeerUpdate};
pub use placement::{Placement, PlacementRequest, UnplacedShard, place_request, place_with_peers};
pub use quota::{OwnerSupport, QuotaAsk, ask_interval, server_terms, support_interval};
pub use registration::NodeRegistration;
pub use relay_room::RelayRoom;
pub use routes::{RouteTable, WeightedRoundRobin};
pub use shares::{ExtraPool, ShareAsk, ShareGrant, ShareLedger, ShareTerms, SharedSubject};
pub use stats::{AttemptOutcome, ClassKey, ClassTable};
pub use stopping::{RequestTerms, StopHorizon, WorkDemand, WorkEstimate, return_delay};
pub use update_tree::{SpreadTiming, TreePlace, UpdateSource};
