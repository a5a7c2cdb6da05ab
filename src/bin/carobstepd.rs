//! Daemon of a VM that accepts requests of callers: a gateway if the first argument is
//! `gateway`, otherwise a node.

use std::{env, process::ExitCode};

/// First argument that selects the gateway mode, in which the platform provides the
/// settings.
const GATEWAY_MODE: &str = "gateway";

fn main() -> ExitCode {
    let args: Vec<String> =
        env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    match args.split_first() {
        Some((mode, rest)) if mode == GATEWAY_MODE => carobstep_gateway::main(rest),
        _ => carobstep_node::main(&args),
    }
}
