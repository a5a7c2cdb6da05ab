//! The daemon of an entry VM: actors, listeners and the command line.
//!
//! A caller's request comes in through [`CallerHandler`], is planned and
//! fanned out by the search and service modules, and reaches a backend server
//! through the holder of its grant, on this node or on a peer. One control
//! actor carries out what the control state decides.
//!
//! ```
//! use carobstep_node::DaemonArgs;
//!
//! let args = ["--settings".to_owned(), "node.jsonc".to_owned(), "--check".to_owned()];
//! let args = DaemonArgs::try_from(&args[..]).unwrap();
//! assert_eq!(args, DaemonArgs::Check { settings: "node.jsonc".to_owned() });
//! ```

mod args;
mod attempts;
mod backend;
mod callers;
mod context;
mod control_actor;
mod counters;
mod daemon;
mod error;
mod holder;
mod http_listener;
mod identity;
mod main_entry;
mod metrics;
mod operators;
mod order;
mod peer_watch;
mod peers;
mod problem;
mod search;
mod service;
mod split;

pub use args::DaemonArgs;
pub use callers::CallerHandler;
pub use counters::{CounterSet, NodeEvent};
pub use daemon::{NodeAddresses, RunningNode, run};
pub use error::{NodeError, NodeErrorKind};
pub use main_entry::main;
pub use split::StaticSplit;
