//! The bench program; everything is in the library.

use std::{env, process::ExitCode};

fn main() -> eyre::Result<ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    Ok(carobstep_bench::main(&args)?)
}
