//! Entry point of the load and experiment tool; see [`carobstep_bench::main`].

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match carobstep_bench::main(&args).map_err(eyre::Report::from) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("carobstep-bench: {report:#}");
            ExitCode::FAILURE
        }
    }
}
