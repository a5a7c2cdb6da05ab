//! See the crate description.
