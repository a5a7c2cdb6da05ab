//! Control states of a few nodes together, with faults.

mod faults;
mod grants;
mod rates;
mod rivals;
mod spread;
mod support;
