//! Proofs under failure, with real processes.
//!
//! Each proof runs a whole deployment, injects its failures, and judges the
//! run by the backend servers' reports and the callers' answers. A few run side
//! by side, each on ports of its own; more would compete for the processor, and
//! a slow node looks like a failed one.

mod answers;
mod configuration;
mod coverage;
mod leaving;
mod limits;
mod not_run;
mod orders;
mod relay;
mod snapshots;
mod stopping;
mod support;
mod zones;
