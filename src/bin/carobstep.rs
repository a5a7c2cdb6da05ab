//! Command-line client for operators.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> =
        env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    carobstep_client::main(&args)
}
