//! Command line of the bench.

use std::{
    env, io,
    path::{Path, PathBuf},
    process::{self, ExitCode},
};

use getopts::{Matches, Options};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};
use tokio::runtime::Runtime;

use crate::{
    demo::run_demo,
    deployment::DeploymentOptions,
    error::{BenchError, BenchErrorKind},
};

/// What the bench does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
enum BenchCommand {
    /// Runs one search and one order through a whole deployment.
    Demo,
}

impl BenchCommand {
    const fn summary(self) -> &'static str {
        match self {
            Self::Demo => "run one search and one order through a whole deployment",
        }
    }
}

/// Runs the command line without the program's name.
///
/// # Errors
///
/// Fails on a malformed command line, and when the experiment fails.
pub fn main(args: &[String]) -> Result<ExitCode, BenchError> {
    let flags = flags();
    let matches = flags.parse(args).map_err(|error| usage_error(&error.to_string()))?;
    if matches.opt_present("help") || matches.free.is_empty() {
        print!("{}", help(&flags));
        return Ok(ExitCode::SUCCESS);
    }
    let name = &matches.free[0];
    let command = name.parse::<BenchCommand>();
    let command = command.map_err(|_| usage_error(&format!("command {name:?} does not exist")))?;
    let runtime = Runtime::new()
        .map_err(|error| BenchError::new(BenchErrorKind::Process, error.to_string()))?;
    runtime.block_on(run(command, &matches))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(command: BenchCommand, matches: &Matches) -> Result<(), BenchError> {
    let options = deployment_options(matches)?;
    match command {
        BenchCommand::Demo => run_demo(options, &mut io::stdout()).await.map(drop),
    }
}

fn flags() -> Options {
    let mut flags = Options::new();
    flags.optflag("h", "help", "print this help");
    flags.optopt("", "bin-dir", "directory of the programs [beside this one]", "DIR");
    flags.optopt("", "run-dir", "directory for settings and logs [a temporary one]", "DIR");
    flags.optopt("", "seed", "seed of arrivals and service times [1]", "N");
    flags
}

fn help(flags: &Options) -> String {
    let mut brief = String::from("Usage: carobstep-bench COMMAND [FLAGS]\n\nCommands:\n");
    for command in BenchCommand::iter() {
        brief.push_str(&format!("    {:<10}{}\n", command.to_string(), command.summary()));
    }
    brief.pop();
    flags.usage(&brief)
}

fn deployment_options(matches: &Matches) -> Result<DeploymentOptions, BenchError> {
    let bin_dir = match matches.opt_str("bin-dir") {
        Some(dir) => PathBuf::from(dir),
        None => own_dir()?,
    };
    let run_dir = match matches.opt_str("run-dir") {
        Some(dir) => PathBuf::from(dir),
        None => env::temp_dir().join(format!("carobstep-bench-{}", process::id())),
    };
    let mut options = DeploymentOptions::new(&bin_dir, &run_dir);
    if let Some(seed) = number(matches, "seed")? {
        options.seed = seed;
    }
    Ok(options)
}

fn own_dir() -> Result<PathBuf, BenchError> {
    let program = env::current_exe()
        .map_err(|error| BenchError::new(BenchErrorKind::Process, error.to_string()))?;
    Ok(program.parent().unwrap_or(Path::new(".")).to_owned())
}

fn number(matches: &Matches, flag: &str) -> Result<Option<u64>, BenchError> {
    let Some(text) = matches.opt_str(flag) else { return Ok(None) };
    let number = text.parse();
    number.map(Some).map_err(|_| usage_error(&format!("--{flag} {text:?} is not a whole number")))
}

fn usage_error(message: &str) -> BenchError {
    BenchError::new(BenchErrorKind::Usage, message)
}
