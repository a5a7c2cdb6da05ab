//! State machines of searches and service requests: attempts, hedges, retries and results.

mod attempt;
mod query;
mod report;
mod single;
mod target;

pub use attempt::{AttemptKey, AttemptSend, RequestAction, caller_id};
pub use query::{SearchPlan, SearchState};
pub use report::{RequestCounts, SearchReport};
pub use single::{ServiceRequestPlan, ServiceRequestReport, ServiceRequestState};
