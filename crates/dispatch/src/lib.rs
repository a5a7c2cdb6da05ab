//! Load control: queueing, limits, routing, hedging, retries and coverage.
//!
//! Every type here is a state machine without I/O. Its owner passes in the
//! current time and executes the returned actions, so the same code runs in
//! the daemon, in table-driven tests and on a simulated clock.
//!
//! A holder, the one node that may send requests to a backend server, keeps one
//! [`ServerQueue`] and one [`ConnectionPool`] for each server that it holds. An
//! entry node, which receives the requests of clients, keeps one
//! [`ServerRouter`], one [`SearchState`] per search and one [`ServiceRequestState`] per
//! service request.
//!
//! ```
//! use carobstep_clock::BootTime;
//! use carobstep_dispatch::{QueueAdmission, CustomerKey, QueueLimits, QueueTicket, ServerQueue};
//!
//! let now = BootTime::from_millis(1);
//! let mut queue = ServerQueue::new(QueueLimits { slots: 1, max_waiting: 8 }, now);
//! let deadline = BootTime::from_millis(100);
//! let ticket = QueueTicket { deadline, hedge: false, customer: CustomerKey(7), caller_id: 1 };
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
    AttemptKey, AttemptSend, RequestAction, RequestCounts, SearchPlan, SearchReport, SearchState,
    ServiceRequestPlan, ServiceRequestReport, ServiceRequestState, caller_id,
};
pub use router::{
    AttemptKind, AttemptObservation, AttemptStatus, ConditionEvent, PickRequest, ServerCondition,
    ServerRouter,
};
