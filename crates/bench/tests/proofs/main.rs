//! Tests of the guarantees under faults (proofs), with real processes.
//!
//! Each proof runs a whole deployment, injects faults, and checks the run by the
//! backend servers' reports and the callers' outcomes. Only a few proofs run
//! concurrently, each on its own ports: with more of them, nodes would compete for
//! CPU time, and a slow node looks like a failed one.

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
