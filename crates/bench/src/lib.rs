//! Load and experiment tool.
//!
//! A [`Deployment`] runs a named scenario as separate processes on loopback:
//! the platform stand-in, backend server stand-ins and nodes. Experiments
//! drive it as callers do and judge it by the backend servers' reports.
//!
//! ```no_run
//! use carobstep_bench::{Deployment, DeploymentOptions, ScenarioName, ScenarioPlan};
//! use std::{path::Path, time::Duration};
//!
//! # async fn run() -> Result<(), carobstep_bench::BenchError> {
//! let options = DeploymentOptions::new(Path::new("target/debug"), Path::new("target/run"));
//! let plan = ScenarioPlan::from(ScenarioName::Demo);
//! let mut deployment = Deployment::start(plan, options).await?;
//! deployment.wait_ready(Duration::from_secs(30)).await?;
//! # Ok(())
//! # }
//! ```

mod address;
mod cli;
mod demo;
mod deployment;
mod error;
mod http;
mod process;
mod scenario;
mod server;

pub use address::free_address;
pub use cli::main;
pub use demo::{DemoOutcome, run_demo};
pub use deployment::{Deployment, DeploymentOptions, NodeProcess};
pub use error::{BenchError, BenchErrorKind};
pub use http::{HttpAnswer, HttpCall, HttpClient};
pub use process::{ProcessGroup, ProcessKey, ProcessSignal};
pub use scenario::{ScenarioName, ScenarioPlan, ServiceGroup};
pub use server::{ServerPlan, ServerReport};
