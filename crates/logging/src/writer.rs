//! Writes log records as JSON lines to standard output or standard error.
//!
//! simplelog writes plain text only, so this module formats each record as one
//! JSON object and passes the complete line to simplelog's writer. That writer
//! only queues the line for a background thread, so that a slow disk or pipe
//! never delays a request.

use std::{
    fmt,
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
    time::Duration,
};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value, json};
use simplelog::{ConfigBuilder, SharedLogger, WriteLogger};

use crate::calendar::unix_millis;

/// The stream to which log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogSink {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// The error of [`install`] when the logger could not be set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogError {
    message: String,
}

impl LogError {
    fn new(context: &str, error: &dyn fmt::Display) -> Self {
        Self { message: format!("{context}: {error}") }
    }
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for LogError {}

/// Maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 8192;

/// Maximum time for which a flush waits until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A task for the writer thread.
enum LogTask {
    /// Write this line to the sink.
    Line(Vec<u8>),
    /// Confirm that all earlier lines were written.
    Flush(SyncSender<()>),
}

/// The sending end of the queue to the writer thread, used as a [`Write`] by simplelog.
struct LogQueue {
    task_tx: SyncSender<LogTask>,
    /// The incomplete line so far; simplelog writes a line in several parts.
    line: Vec<u8>,
    /// Lines dropped since the last successful report of dropped lines.
    dropped: u64,
}

/// Formats records as JSON lines and writes them through simplelog.
struct JsonLogger {
    writer: Box<WriteLogger<LogQueue>>,
    node: String,
    zone: String,
}

/// Installs the logger for the whole process.
///
/// # Errors
///
/// Fails when the process already has a logger or the writer thread cannot be started.
pub fn install(level: LevelFilter, node: &str, zone: &str, sink: LogSink) -> Result<(), LogError> {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let writer = WriteLogger::new(level, config, LogQueue::start(sink)?);
    let logger = JsonLogger { writer, node: node.to_owned(), zone: zone.to_owned() };
    log::set_max_level(level);
    log::set_boxed_logger(Box::new(logger)).map_err(|error| LogError::new("log", &error))
}

impl LogQueue {
    fn start(sink: LogSink) -> Result<Self, LogError> {
        let (task_tx, task_rx) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&task_rx, sink))
            .map_err(|error| LogError::new("log thread", &error))?;
        Ok(Self { task_tx, line: Vec::new(), dropped: 0 })
    }

    /// Queues the complete line, preceded by a warning if lines were dropped.
    fn queue_line(&mut self) {
        if self.dropped > 0 {
            let line =
                json!({ "level": "warn", "message": "log lines dropped", "count": self.dropped });
            if self.task_tx.try_send(LogTask::Line(format!("{line}\n").into_bytes())).is_ok() {
                self.dropped = 0;
            }
        }
        let line = std::mem::take(&mut self.line);
        if self.task_tx.try_send(LogTask::Line(line)).is_err() {
            self.dropped += 1;
        }
    }
}

impl Write for LogQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if !bytes.ends_with(b"\n") {
            return Ok(bytes.len());
        }
        self.queue_line();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done_tx, done_rx) = sync_channel(1);
        if self.task_tx.try_send(LogTask::Flush(done_tx)).is_ok() {
            // On a timeout, lines still queued when the process exits are lost.
            let _ = done_rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines until the sender is dropped.
fn write_lines(task_rx: &Receiver<LogTask>, sink: LogSink) {
    for task in task_rx {
        match task {
            LogTask::Line(bytes) => {
                // A failed write is ignored: there is no other place to report it.
                let _ = match sink {
                    LogSink::Stdout => io::stdout().write_all(&bytes),
                    LogSink::Stderr => io::stderr().write_all(&bytes),
                };
            }
            LogTask::Flush(done_tx) => {
                // The send fails if the flush has timed out.
                let _ = done_tx.send(());
            }
        }
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.writer.level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = self.format_record(record);
        self.writer.log(
            &Record::builder()
                .level(record.level())
                .target(record.target())
                .args(format_args!("{line}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.writer.flush();
    }
}

impl JsonLogger {
    fn format_record(&self, record: &Record<'_>) -> Value {
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), json!(unix_millis()));
        line.insert("level".to_owned(), json!(level_name(record.level())));
        line.insert("node".to_owned(), json!(self.node));
        line.insert("zone".to_owned(), json!(self.zone));
        line.insert("module".to_owned(), json!(record.target()));
        line.insert("message".to_owned(), json!(record.args().to_string()));
        // `visit_pair` never returns an error, so `visit` cannot fail.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        Value::Object(line)
    }
}

/// Adds the key-value pairs of a record to its JSON line.
struct FieldVisitor<'line>(&'line mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = value.to_u64().map_or_else(|| json!(value.to_string()), |number| json!(number));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

const fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
