//! Log records as JSON lines on standard output or standard error.
//!
//! simplelog writes plain text only, so this module formats each record as one
//! JSON object and hands the finished line to simplelog's writer. That writer
//! only queues the line: a thread of its own writes it out, so that
//! a slow disk or pipe behind it never holds up a request.

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

/// Where the lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogSink {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// The log could not be set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogError {
    message: String,
}

impl LogError {
    fn new(cause: &str, error: &dyn fmt::Display) -> Self {
        Self { message: format!("{cause}: {error}") }
    }
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for LogError {}

/// Lines that may wait to be written; further ones are dropped and counted.
const QUEUED_LINES: usize = 8192;

/// Longest wait for queued lines when the log is flushed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// What the writing thread gets.
enum LogTask {
    /// Write these bytes.
    Line(Vec<u8>),
    /// Confirm that everything before this was written.
    Flush(SyncSender<()>),
}

/// The writing end of the queue.
struct LogQueue {
    tasks: SyncSender<LogTask>,
    /// The line that is being put together.
    line: Vec<u8>,
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
/// Fails when the process already has a logger.
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
        let (tasks, queued) = sync_channel(QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queued, sink))
            .map_err(|error| LogError::new("log thread", &error))?;
        Ok(Self { tasks, line: Vec::new(), dropped: 0 })
    }

    /// Queues the finished line, and before it a note about dropped ones.
    fn queue_line(&mut self) {
        if self.dropped > 0 {
            let line =
                json!({ "level": "warn", "message": "log lines dropped", "count": self.dropped });
            if self.tasks.try_send(LogTask::Line(format!("{line}\n").into_bytes())).is_ok() {
                self.dropped = 0;
            }
        }
        let line = std::mem::take(&mut self.line);
        if self.tasks.try_send(LogTask::Line(line)).is_err() {
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
        let (done, written) = sync_channel(1);
        if self.tasks.try_send(LogTask::Flush(done)).is_ok() {
            // After the wait the process ends without the last lines.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines until the queue's other end is gone.
fn write_lines(queued: &Receiver<LogTask>, sink: LogSink) {
    for task in queued {
        match task {
            LogTask::Line(bytes) => {
                // Without the sink there is nowhere to report the failure.
                let _ = match sink {
                    LogSink::Stdout => io::stdout().write_all(&bytes),
                    LogSink::Stderr => io::stderr().write_all(&bytes),
                };
            }
            LogTask::Flush(done) => {
                // The flush may have given up waiting.
                let _ = done.send(());
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
        let line = self.format(record);
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
    fn format(&self, record: &Record<'_>) -> Value {
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), json!(unix_millis()));
        line.insert("level".to_owned(), json!(level_name(record.level())));
        line.insert("node".to_owned(), json!(self.node));
        line.insert("zone".to_owned(), json!(self.zone));
        line.insert("module".to_owned(), json!(record.target()));
        line.insert("message".to_owned(), json!(record.args().to_string()));
        // The visitor never fails, so neither does the visit.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        Value::Object(line)
    }
}

/// Copies the key-value pairs of a record into its line.
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
