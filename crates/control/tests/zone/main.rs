//! Simulation of the control states of several nodes, with faults.

mod faults;
mod grants;
mod rates;
mod rivals;
mod spread;
mod support;
