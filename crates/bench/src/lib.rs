//! Load and experiment tool.
//!
//! A [`Deployment`] runs a named scenario as separate processes on loopback:
//! the platform stand-in, backend server stand-ins and nodes. Experiments send
//! requests to it as callers do, and check the outcomes against the backend
//! servers' reports.
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
mod answer;
mod arrivals;
mod balancer;
mod call;
mod cli;
mod compare;
mod demo;
mod deployment;
mod error;
mod http;
mod ledger;
mod load;
mod observe;
mod plot;
mod process;
mod report;
mod scenario;
mod seed;
mod server;
mod summary;
mod usage;
mod variant;

pub use address::free_address;
pub use answer::{ManifestCheck, RequestOutcome, SearchOutcome, service_outcome};
pub use arrivals::ArrivalProcess;
pub use balancer::NodeBalancer;
pub use cli::main;
pub use compare::{CompareOptions, CompareReport, FigureRatio, MIN_ROUNDS, compare};
pub use demo::{DemoOutcome, run_demo};
pub use deployment::{Deployment, DeploymentOptions, NodeProcess};
pub use error::{BenchError, BenchErrorKind};
pub use http::{HttpAnswer, HttpCall, HttpClient};
pub use ledger::{ExecutionLedger, LedgerMismatches};
pub use load::{CallerGroup, LoadOptions, LoadSample, SampleKind, order_body, run_load};
pub use observe::{DeploymentCost, DeploymentReading, NodeCost};
pub use plot::plot_latencies;
pub use process::{ProcessGroup, ProcessKey, ProcessSignal};
pub use report::{LoadReport, measure, measure_load};
pub use scenario::{ScenarioName, ScenarioPlan, ServiceGroup};
pub use server::{ServerPlan, ServerReport};
pub use summary::{LatencySummary, OutcomeSummary};
pub use usage::ProcessUsage;
pub use variant::DeploymentVariant;
