//! The daemon that runs on an entry VM: listeners, actors and the command line.
//!
//! [`CallerHandler`] accepts a caller's request, and the search and service
//! modules plan it and fan it out. Each shard request reaches its backend server
//! through the node that holds the server's grant: this one or a peer. One
//! control actor executes the decisions of the control state.
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
mod reach;
mod search;
mod service;
mod split;

pub use args::DaemonArgs;
pub use callers::CallerHandler;
pub use counters::{CounterSet, NodeEvent};
pub use daemon::{NodeAddresses, RunningNode, run};
pub use error::{NodeError, NodeErrorKind};
pub use main_entry::main;
pub use reach::{HeldServer, usable_servers};
pub use split::StaticSplit;
