//! Decisions about load: queueing, limits, routing, hedges, retries, coverage.
//!
//! Every type here is a state machine without I/O. The caller passes the time
//! in and carries out the actions that come back, so the same code runs in
//! the daemon, in table tests and on a paused clock.
//!
//! A holder keeps one [`ServerQueue`] and one [`ConnectionPool`] per held
//! backend server. An entry node keeps one [`ServerRouter`], one [`QueryState`] per
//! search and one [`SingleState`] per service request.
//!
//! ```
//! use carobstep_clock::BootTime;
//! use carobstep_dispatch::{QueueAdmission, CustomerKey, QueueLimits, QueueTicket, ServerQueue};
//!
//! let now = BootTime::from_millis(1);
//! let mut queue = ServerQueue::new(QueueLimits { slots: 1, waiting: 8 }, now);
//! let deadline = BootTime::from_millis(100);
//! let ticket = QueueTicket { deadline, hedge: false, customer: CustomerKey(7), caller: 1 };
//! assert!(matches!(queue.offer(now, ticket), QueueAdmission::Dispatch(_)));
//! assert!(matches!(queue.offer(now, ticket), QueueAdmission::Queued(_)));
//! ```

mod budget;
mod estimate;
mod gate;
mod pool;
mod queue;
mod request;
mod router;

pub use budget::TokenBucket;
pub use estimate::{LatencyHistogram, MeanEstimate};
pub use gate::{AdmissionGate, GateDecision, SearchLoad};
pub use pool::{ConnectionKey, ConnectionPool, ConnectionStep, PoolEvent, PoolLimits};
pub use queue::{
    CustomerKey, QueueAdmission, QueueEvent, QueueLimits, QueueTicket, ServerQueue, TicketKey,
};
pub use request::{
    AnswerReport, AttemptKey, AttemptSend, QueryPlan, QueryState, RequestAction, RequestCounts,
    SinglePlan, SingleReport, SingleState, caller_of,
};
pub use router::{
    AttemptKind, AttemptObservation, ConditionEvent, ObservedEnd, PickRequest, ServerCondition,
    ServerRouter,
};
