//! The daemon's main function, which the binary calls.

use std::{fs::File, io::Read, process::ExitCode};

use carobstep_config::{LogLevel, Settings};
use carobstep_logging::LogSink;
use eyre::WrapErr;
use log::LevelFilter;

use crate::{
    args::DaemonArgs,
    daemon,
    error::{NodeError, NodeErrorKind},
};

/// Exit code for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;

/// Largest accepted settings file, in bytes.
const MAX_SETTINGS_BYTES: usize = 1024 * 1024;

/// Runs the daemon with its command-line arguments, without the program name.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    match run_command(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let kind = report.downcast_ref::<NodeError>().map(NodeError::kind);
            match kind {
                // Each line starts with the file name, so that editors can jump to it.
                Some(NodeErrorKind::Settings) => eprintln!("{report:#}"),
                _ => eprintln!("carobstepd: {report:#}"),
            }
            exit_code(kind)
        }
    }
}

fn exit_code(kind: Option<NodeErrorKind>) -> ExitCode {
    match kind {
        Some(NodeErrorKind::Usage | NodeErrorKind::Settings) => ExitCode::from(EXIT_USAGE),
        _ => ExitCode::FAILURE,
    }
}

fn run_command(args: &[String]) -> eyre::Result<()> {
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
    let mut text = String::new();
    let file = File::open(path).map_err(|error| fail(format!("{path}: {error}")))?;
    file.take(MAX_SETTINGS_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|error| fail(format!("{path}: {error}")))?;
    if text.len() > MAX_SETTINGS_BYTES {
        let limit = format!("the file is over the limit of {MAX_SETTINGS_BYTES} bytes");
        return Err(fail(format!("{path}: {limit}")));
    }
    Settings::parse(path, &text).map_err(|error| fail(error.to_string()))
}

fn run(settings: Settings) -> eyre::Result<()> {
    let level = level_filter(settings.log_level);
    let (node, zone) = (settings.node.as_str(), settings.zone.as_str());
    carobstep_logging::install(level, node, zone, LogSink::Stderr)
        .map_err(|error| NodeError::new(NodeErrorKind::Log, error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the tokio runtime")?;
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
