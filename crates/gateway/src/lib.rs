//! The daemon on a platform machine: listeners, calls and tasks.
//!
//! A caller's request enters in `ingress`, is planned in `handler`, carried
//! out by `fanout`, and reaches a backend server through `backend`. `watcher`
//! follows the platform's store. Everything runs on one thread; what is
//! decided stands in `carobstep-tier`, how the platform spells it in
//! `carobstep-platform`.
//!
//! ```
//! let status = carobstep_gateway::main(&["--unknown".to_owned()]);
//! assert_eq!(format!("{status:?}"), format!("{:?}", std::process::ExitCode::from(2)));
//! ```

mod args;
mod backend;
mod fanout;
mod follow;
mod gateway;
mod handler;
mod ingress;
mod main_entry;
mod membership;
mod peer_messages;
mod peers;
mod report;
mod stop;
mod watcher;

pub use main_entry::main;
