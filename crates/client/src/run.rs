//! Runs a command against the platform and the nodes.

use std::{
    fs,
    io::{self, Read, Write},
    path::Path,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use carobstep_config::{ConfigPatch, PatchDocument, PatchId};
use carobstep_store::{HttpStore, ObjectStore};
use eyre::{Report, WrapErr};
use tokio::runtime;

use crate::{
    command::OperatorCommand,
    command_line::{CommandLine, help},
    configuration,
    error::{ClientError, ExitStatus},
    follow::follow,
    nodes::{HttpNodeApi, NodeApi},
    output::{CommandReport, OutputFormat, ReportPrinter},
    platform::now,
    prune::prune,
    publish, submit, tables,
};

/// Maximum size of an input file, in bytes.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// Timeout of one call to the platform.
///
/// It is longer than the timeout that nodes use for platform calls, because
/// resolving the outcome of a call whose response was lost takes longer than
/// waiting for a slow response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs the client with the given arguments, which do not include the program
/// name, and returns its exit code.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    match run_command_line(args) {
        Ok(()) => ExitStatus::Success.into(),
        Err(report) => report_error(OutputFormat::from_args(args), &report),
    }
}

/// Prints the error to standard error in the requested format and returns its
/// exit code.
fn report_error(format: OutputFormat, report: &Report) -> ExitCode {
    let error = report.downcast_ref::<ClientError>();
    match (format, error) {
        (OutputFormat::Json, Some(error)) => eprintln!("{}", error.to_value()),
        _ => eprintln!("carobstep: {report:#}"),
    }
    error.map_or(ExitStatus::Failure, ClientError::status).into()
}

fn run_command_line(args: &[String]) -> Result<(), Report> {
    let mut out = io::stdout();
    let (platform, format, command) = match CommandLine::try_from(args)? {
        CommandLine::Help => {
            return out.write_all(help().as_bytes()).wrap_err("cannot write the help text");
        }
        CommandLine::Version => {
            return writeln!(out, "carobstep {}", env!("CARGO_PKG_VERSION"))
                .wrap_err("cannot write the version");
        }
        CommandLine::Run { platform, format, command } => (platform, format, command),
    };
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the async runtime")?;
    let mut printer = ReportPrinter::new(format, &mut out);
    let execution = async {
        let store = HttpStore::builder(platform).timeout(CALL_TIMEOUT).build();
        run_command(command, &store, &Arc::new(HttpNodeApi), &mut printer).await
    };
    Ok(runtime.block_on(execution)?)
}

/// Runs one command and prints its report.
///
/// # Errors
///
/// Returns the error of the command, which carries the exit status.
pub async fn run_command<A: NodeApi>(
    command: OperatorCommand,
    store: &impl ObjectStore,
    api: &Arc<A>,
    printer: &mut ReportPrinter<'_>,
) -> Result<(), ClientError> {
    let report = match command {
        OperatorCommand::Show { version } => configuration::show(store, version).await?,
        OperatorCommand::Diff { from, to } => configuration::diff(store, from, to).await?,
        OperatorCommand::Submit { base, format, path, id, author } => {
            let is_new_id = id.is_none();
            let document = PatchDocument {
                base,
                id: id.map_or_else(random_id, String::from),
                author: author.as_str().to_owned(),
                time: now(),
                format,
                text: read_file(&path)?,
            };
            let patch = ConfigPatch::try_from(document)
                .map_err(|error| submit::refused_patch_error(&error))?;
            submit::submit(store, patch, is_new_id).await?
        }
        OperatorCommand::History { count } => configuration::history(store, count).await?,
        OperatorCommand::Follow { version, timeout } => {
            return follow(store, api, version, timeout, printer).await;
        }
        OperatorCommand::Nodes => tables::nodes(store, api).await?,
        OperatorCommand::Zones => tables::zones(store, api).await?,
        OperatorCommand::Grants => tables::grants(store).await?,
        OperatorCommand::Servers => tables::servers(store).await?,
        OperatorCommand::Counters { node } => tables::counters(store, api, node.as_deref()).await?,
        OperatorCommand::Init { path, id, author } => {
            let id = id.map_or_else(|| PatchId::try_from(random_id()), Ok);
            let id = id.map_err(|error| submit::refused_patch_error(&error))?;
            publish::init(store, &id, &author, &read_file(&path)?).await?
        }
        OperatorCommand::Publish { index, path } => {
            publish::publish(store, &index, &read_file(&path)?).await?
        }
        OperatorCommand::Prune { keep } => prune(store, keep).await?,
    };
    print_report(printer, &report)
}

/// Prints a report and converts a write error into a [`ClientError`].
pub(crate) fn print_report(
    printer: &mut ReportPrinter<'_>,
    report: &CommandReport,
) -> Result<(), ClientError> {
    printer.print(report).map_err(|error| {
        ClientError::new(ExitStatus::Failure, format!("cannot write to standard output: {error}"))
    })
}

fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Reads a text file of at most `MAX_FILE_BYTES`; `-` is the standard input.
fn read_file(path: &Path) -> Result<String, ClientError> {
    let input: Box<dyn Read> = if path == Path::new("-") {
        Box::new(io::stdin())
    } else {
        Box::new(fs::File::open(path).map_err(|error| file_error(path, &error))?)
    };
    let mut text = String::new();
    let mut limited = input.take(MAX_FILE_BYTES + 1);
    limited.read_to_string(&mut text).map_err(|error| file_error(path, &error))?;
    if text.len() as u64 > MAX_FILE_BYTES {
        let message = format!("file {}: larger than {MAX_FILE_BYTES} bytes", path.display());
        return Err(ClientError::new(ExitStatus::Refused, message));
    }
    Ok(text)
}

fn file_error(path: &Path, error: &io::Error) -> ClientError {
    let status = match error.kind() {
        io::ErrorKind::NotFound => ExitStatus::NotFound,
        _ => ExitStatus::Failure,
    };
    ClientError::new(status, format!("file {}: {error}", path.display()))
}
