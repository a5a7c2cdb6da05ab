//! Simulated platform and backend servers ("stand-ins") for tests.
//!
//! The stand-ins implement the external protocols of `docs/API.md`, inject
//! faults on request and record the calls and executions that they observe, so
//! that a test can compare these records with what the query tier reports.
//! Both run inside a test process or as separate programs.
//!
//! ```
//! use carobstep_standin::{PlatformSettings, PlatformStandin};
//!
//! let runtime = tokio::runtime::Runtime::new().unwrap();
//! runtime.block_on(async {
//!     let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
//!     assert_ne!(platform.address().port(), 0);
//! });
//! ```

mod backend;
mod error;
mod http;
mod metered;
mod platform;

pub use backend::{
    BackendStandin, HealthState, ServerFaults, ServerFaultsPatch, ServerReport, ServerSettings,
    ServiceTimeSampler,
};
pub use error::StandinError;
pub use platform::{
    CallReport, PlatformFaults, PlatformFaultsPatch, PlatformSettings, PlatformStandin, SeedObject,
};
