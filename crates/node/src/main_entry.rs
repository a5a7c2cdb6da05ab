//! The daemon's main function, apart from the binary.

use std::{fs, process::ExitCode};

use carobstep_config::{LogLevel, Settings};
use eyre::WrapErr;
use log::LevelFilter;

use crate::{
    args::DaemonArgs,
    daemon,
    error::{NodeError, NodeErrorKind},
    logging,
};

/// Exit code for a wrong command line or settings file.
const EXIT_USAGE: u8 = 2;

/// Runs the daemon with the arguments behind the program's name.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    match dispatch(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("carobstepd: {report:#}");
            exit_code(&report)
        }
    }
}

fn exit_code(report: &eyre::Report) -> ExitCode {
    let kind = report.downcast_ref::<NodeError>().map(NodeError::kind);
    match kind {
        Some(NodeErrorKind::Usage | NodeErrorKind::Settings) => ExitCode::from(EXIT_USAGE),
        _ => ExitCode::FAILURE,
    }
}

fn dispatch(args: &[String]) -> eyre::Result<()> {
    match DaemonArgs::try_from(args)? {
        DaemonArgs::Help(text) => println!("{text}"),
        DaemonArgs::Version => println!("carobstepd {}", env!("CARGO_PKG_VERSION")),
        DaemonArgs::Check { settings } => {
            read_settings(&settings)?;
            println!("{settings}: ok");
        }
        DaemonArgs::Run { settings } => run(read_settings(&settings)?)?,
    }
    Ok(())
}

fn read_settings(path: &str) -> Result<Settings, NodeError> {
    let fail = |text: String| NodeError::new(NodeErrorKind::Settings, text);
    let text = fs::read_to_string(path).map_err(|error| fail(format!("{path}: {error}")))?;
    Settings::parse(path, &text).map_err(|error| fail(error.to_string()))
}

fn run(settings: Settings) -> eyre::Result<()> {
    let level = level_filter(settings.log_level);
    logging::install(level, settings.node.as_str(), settings.zone.as_str())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started")?;
    Ok(runtime.block_on(daemon::run(settings))?)
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
