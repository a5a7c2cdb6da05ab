//! Small stand-ins for the platform and for backend servers.
//!
//! They speak the outer protocols of `docs/API.md`, cause faults on request
//! and record what they saw, so that a test can compare it with what the
//! query tier claims. Both run inside a test or as programs of their own.
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
    ServiceTime,
};
pub use error::StandinError;
pub use platform::{
    CallReport, PlatformFaults, PlatformFaultsPatch, PlatformSettings, PlatformStandin, SeedObject,
};
