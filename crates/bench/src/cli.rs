//! Command-line interface of the tool.

use std::{
    env, io,
    path::{Path, PathBuf},
    process::{self, ExitCode},
    str::FromStr,
    time::Duration,
};

use getopts::{Matches, Options};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};
use tokio::runtime::Runtime;

use crate::{
    call::{CallOptions, run_call},
    compare::{CompareOptions, MIN_ROUNDS, compare},
    demo::run_demo,
    deployment::DeploymentOptions,
    error::{BenchError, BenchErrorKind},
    load::LoadOptions,
    report::{measure, write_json},
    scenario::{ScenarioName, ScenarioPlan},
    variant::DeploymentVariant,
};

/// Commands of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
enum BenchCommand {
    /// Runs one search and one order through a whole deployment.
    Demo,
    /// Sends open-loop load to a deployment and reports the results.
    Load,
    /// Compares two variants in alternating rounds.
    Compare,
    /// Sends one HTTP call and prints the response.
    Call,
}

impl BenchCommand {
    const fn summary(self) -> &'static str {
        match self {
            Self::Demo => "run one search and one order through a whole deployment",
            Self::Load => "send open-loop load to a deployment and report the results",
            Self::Compare => "compare two variants in alternating rounds",
            Self::Call => "send one HTTP call and print the response",
        }
    }
}

/// Runs the command that `args` gives; `args` does not contain the program name.
///
/// # Errors
///
/// Fails on a malformed command line, and when the command fails.
pub fn main(args: &[String]) -> Result<ExitCode, BenchError> {
    let flags = flags();
    let matches = flags.parse(args).map_err(|error| usage_error(&error.to_string()))?;
    if matches.opt_present("help") || matches.free.is_empty() {
        print!("{}", help(&flags));
        return Ok(ExitCode::SUCCESS);
    }
    let name = &matches.free[0];
    let command = name.parse::<BenchCommand>();
    let command = command.map_err(|_| usage_error(&format!("unknown command {name:?}")))?;
    let runtime = Runtime::new()
        .map_err(|error| BenchError::new(BenchErrorKind::Process, error.to_string()))?;
    runtime.block_on(run(command, &matches))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(command: BenchCommand, matches: &Matches) -> Result<(), BenchError> {
    let options = deployment_options(matches)?;
    match command {
        BenchCommand::Demo => run_demo(options, &mut io::stdout()).await.map(drop),
        BenchCommand::Load => load(options, matches).await,
        BenchCommand::Compare => compare_variants(options, matches).await,
        BenchCommand::Call => run_call(&CallOptions::try_from(matches)?, &mut io::stdout()).await,
    }
}

async fn compare_variants(options: DeploymentOptions, matches: &Matches) -> Result<(), BenchError> {
    let variant =
        |flag| DeploymentVariant::try_from(matches.opt_str(flag).as_deref().unwrap_or(""));
    let compare_options = CompareOptions {
        rounds: parse_flag(matches, "rounds")?.unwrap_or(MIN_ROUNDS),
        load: load_options(matches, options.seed)?,
        variants: [variant("baseline")?, variant("rival")?],
    };
    let report = compare(&scenario_plan(matches)?, &options, &compare_options).await?;
    print!("{}", report.text());
    write_json(&options.run_dir.join("compare.json"), &report)?;
    if report.invalid_runs == 0 {
        return Ok(());
    }
    let message = format!("an invariant was violated in {} runs", report.invalid_runs);
    Err(BenchError::new(BenchErrorKind::Check, message))
}

async fn load(options: DeploymentOptions, matches: &Matches) -> Result<(), BenchError> {
    let run_dir = options.run_dir.clone();
    let load = load_options(matches, options.seed)?;
    let plan = scenario_plan(matches)?;
    let (report, samples) = measure(plan, options, load).await?;
    print!("{}", report.text());
    report.write(&run_dir, "load", &samples)?;
    println!("report: {}", run_dir.display());
    if report.is_valid() {
        return Ok(());
    }
    Err(BenchError::new(BenchErrorKind::Check, "an invariant was violated; see the report"))
}

fn flags() -> Options {
    let mut flags = Options::new();
    flags.optflag("h", "help", "print this help");
    flags.optopt("", "bin-dir", "directory of the programs [that of this program]", "DIR");
    flags.optopt("", "run-dir", "directory for settings and logs [a temporary directory]", "DIR");
    flags.optopt("", "seed", "seed of arrivals and service times [1]", "N");
    flags.optopt("", "scenario", "demo, perth or ireland [perth]", "NAME");
    flags.optopt("", "nodes-per-zone", "nodes in each zone [2]", "N");
    flags.optopt("", "rate", "mean searches per second [50]", "N");
    flags.optopt("", "order-rate", "mean orders per second [5]", "N");
    flags.optopt("", "seconds", "length of the load [10]", "N");
    flags.optopt("", "warmup", "seconds at the start of the load that are not reported [2]", "N");
    flags.optflag("", "come-back", "retry refused requests once, after the delay in the refusal");
    flags.optopt("", "service-ms", "mean service time of every backend server", "N");
    flags.optopt(
        "",
        "server-faults",
        "faults that are set on every backend server at the start",
        "JSON",
    );
    flags.optopt("", "rounds", "rounds of a comparison [5]", "N");
    flags.optopt("", "baseline", "variant compared against [no change]", "KEY=VALUE,...");
    flags.optopt("", "rival", "variant compared [no change]", "KEY=VALUE,...");
    flags.optopt("", "node", "address that a call is sent to", "IP:PORT");
    flags.optopt("", "get", "read a path", "PATH");
    flags.optopt("", "post", "post the body to a path", "PATH");
    flags.optopt("", "put", "put the body at a path", "PATH");
    flags.optopt("", "delete", "delete a path", "PATH");
    flags.optopt("", "search", "search an index with the body", "INDEX");
    flags.optopt("", "service", "send the body to a service", "NAME");
    flags.optopt("", "body", "body of a call [empty]", "JSON");
    flags.optopt("", "key", "idempotency key of a call", "KEY");
    flags.optopt("", "deadline-ms", "deadline of a call", "N");
    flags.optopt("", "id", "request identifier of a call, 32 hex digits", "HEX");
    flags.optopt("", "expect", "text that the response must contain", "TEXT");
    flags.optopt("", "wait", "seconds during which a failed call is retried [0]", "N");
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
        None => program_dir()?,
    };
    let run_dir = match matches.opt_str("run-dir") {
        Some(dir) => PathBuf::from(dir),
        None => env::temp_dir().join(format!("carobstep-bench-{}", process::id())),
    };
    let mut options = DeploymentOptions::new(&bin_dir, &run_dir);
    if let Some(seed) = parse_flag(matches, "seed")? {
        options.seed = seed;
    }
    options.server_faults = parse_flag(matches, "server-faults")?;
    Ok(options)
}

fn load_options(matches: &Matches, seed: u64) -> Result<LoadOptions, BenchError> {
    Ok(LoadOptions {
        search_rate: parse_flag(matches, "rate")?.unwrap_or(50.0),
        order_rate: parse_flag(matches, "order-rate")?.unwrap_or(5.0),
        length: Duration::from_secs(parse_flag(matches, "seconds")?.unwrap_or(10)),
        warmup: Duration::from_secs(parse_flag(matches, "warmup")?.unwrap_or(2)),
        seed,
        retry_refused: matches.opt_present("come-back"),
    })
}

fn scenario_plan(matches: &Matches) -> Result<ScenarioPlan, BenchError> {
    let name = parse_flag(matches, "scenario")?.unwrap_or(ScenarioName::Perth);
    let mut plan = ScenarioPlan::from(name);
    if let Some(nodes) = parse_flag(matches, "nodes-per-zone")? {
        plan.nodes_per_zone = nodes;
    }
    if let Some(millis) = parse_flag(matches, "service-ms")? {
        for group in &mut plan.groups {
            group.service_time = Duration::from_millis(millis);
        }
    }
    Ok(plan)
}

fn program_dir() -> Result<PathBuf, BenchError> {
    let program = env::current_exe()
        .map_err(|error| BenchError::new(BenchErrorKind::Process, error.to_string()))?;
    Ok(program.parent().unwrap_or(Path::new(".")).to_owned())
}

fn parse_flag<T: FromStr>(matches: &Matches, flag: &str) -> Result<Option<T>, BenchError> {
    let Some(text) = matches.opt_str(flag) else { return Ok(None) };
    let value = text.parse();
    value.map(Some).map_err(|_| usage_error(&format!("--{flag} {text:?} is not a valid value")))
}

fn usage_error(message: &str) -> BenchError {
    BenchError::new(BenchErrorKind::Usage, message)
}
