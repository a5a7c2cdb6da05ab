//! Gateway daemon for a platform machine: listeners, network calls and background tasks.
//!
//! `ingress` accepts a caller's request, `handler` plans it, `fanout` executes
//! the plan, and `backend` exchanges messages with the backend servers.
//! `watcher` keeps the local state in sync with the platform's store, and `follow`
//! does so through a peer.
//! Everything runs on one thread. The decision logic is in `carobstep-tier`,
//! and the platform's data formats are in `carobstep-platform`.
//!
//! ```
//! let status = carobstep_gateway::main(&["--unknown".to_owned()]);
//! assert_eq!(format!("{status:?}"), format!("{:?}", std::process::ExitCode::from(2)));
//! ```

mod account_handover;
mod account_quota;
mod accounts;
mod admission;
mod args;
mod backend;
mod byte_budget;
mod caller_body;
mod callers;
mod cold;
mod crash_store;
mod evacuation;
mod fanout;
mod follow;
mod gateway;
mod handler;
mod ingress;
mod links;
mod main_entry;
mod membership;
mod observations;
mod pace;
pub mod peer_messages;
mod peers;
mod quarantine;
mod quota;
mod report;
mod shares;
mod stop;
mod store_objects;
mod watcher;

pub use main_entry::main;
