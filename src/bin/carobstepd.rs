//! The daemon that runs on every entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    carobstep_node::main(&args)
}
