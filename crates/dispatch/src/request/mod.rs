//! State machines of searches and service requests: attempts, hedges, retries and results.

mod attempt;
mod query;
mod report;
mod single;
mod target;

pub use attempt::{AttemptKey, AttemptSend, RequestAction, caller_of};
pub use query::{QueryPlan, QueryState};
pub use report::{AnswerReport, RequestCounts};
pub use single::{SinglePlan, SingleReport, SingleState};
