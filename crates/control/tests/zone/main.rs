//! Control states of a few nodes together, with faults.

mod faults;
mod grants;
mod spread;
mod support;
