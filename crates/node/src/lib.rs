//! The daemon of an entry VM: actors, listeners and the command line.

mod backend;
mod counters;
mod error;
mod logging;
mod metrics;
mod problem;

pub use counters::{CounterSet, NodeEvent};
pub use error::{NodeError, NodeErrorKind};
