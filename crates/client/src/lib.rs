//! The operator's command-line client.
//!
//! `carobstep` reads and patches the configuration stored on the platform, and
//! queries the nodes for their status and counters. The flags are documented where
//! they are defined, in `command_line.rs`; every exit code is an [`ExitStatus`].
//!
//! ```
//! use carobstep_client::{CommandLine, OperatorCommand, OutputFormat};
//!
//! let args = ["nodes", "--platform", "127.0.0.1:7001", "--json"].map(String::from);
//! let line = CommandLine::try_from(&args[..]).unwrap();
//! let CommandLine::Run { format, command, .. } = line else { unreachable!() };
//! assert_eq!((format, command), (OutputFormat::Json, OperatorCommand::Nodes));
//! ```

mod command;
mod command_line;
mod configuration;
mod difference;
mod error;
mod fleet;
mod follow;
mod nodes;
mod output;
mod platform;
mod prune;
mod publish;
mod run;
mod submission;
mod submit;
mod tables;

pub use command::{CommandName, OperatorCommand};
pub use command_line::{CommandLine, help};
pub use difference::{MemberChange, differences};
pub use error::{ClientError, ExitStatus};
pub use fleet::{NodeEntry, NodePresence, NodeResponse, NodeRoster};
pub use follow::{RolloutProgress, RolloutTracker};
pub use nodes::{HttpNodeApi, NodeApi, NodeQueryError};
pub use output::{CommandReport, OutputFormat, ReportPrinter, TextTable};
pub use run::{main, run_command};
pub use submission::{AcceptanceProof, PatchSubmission, SubmitOutcome, SubmitStep};
