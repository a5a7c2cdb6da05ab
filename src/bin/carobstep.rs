//! The operator's command-line client.

fn main() {}
