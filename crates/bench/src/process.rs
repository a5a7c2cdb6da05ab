//! Starts and signals child processes, and kills those that remain on drop.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::{sync::oneshot, time};

use crate::error::{BenchError, BenchErrorKind};

/// Prefix of the line that a program prints once its listeners are open.
const READY_PREFIX: &str = "ready ";

/// Timeout from the start of a program to its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a child that is expected to exit is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Key of a process within its [`ProcessGroup`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessKey(usize);

/// A signal for one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Requests a graceful shutdown (`SIGTERM`).
    Terminate,
    /// Kills the process immediately (`SIGKILL`).
    Kill,
    /// Freezes the process (`SIGSTOP`).
    Freeze,
    /// Resumes a frozen process (`SIGCONT`).
    Resume,
}

impl From<ProcessSignal> for Signal {
    fn from(signal: ProcessSignal) -> Self {
        match signal {
            ProcessSignal::Terminate => Self::TERM,
            ProcessSignal::Kill => Self::KILL,
            ProcessSignal::Freeze => Self::STOP,
            ProcessSignal::Resume => Self::CONT,
        }
    }
}

/// Child processes started by this process. Dropping the group kills those that
/// are still running.
#[derive(Debug)]
pub struct ProcessGroup {
    bin_dir: PathBuf,
    log_dir: PathBuf,
    children: Vec<ChildProcess>,
}

#[derive(Debug)]
struct ChildProcess {
    label: String,
    child: Child,
    status: Option<ExitStatus>,
}

impl ProcessGroup {
    /// Creates an empty group that starts programs from `bin_dir` and appends
    /// each child's standard error to a file in `log_dir`.
    #[must_use]
    pub fn new(bin_dir: &Path, log_dir: &Path) -> Self {
        Self { bin_dir: bin_dir.to_owned(), log_dir: log_dir.to_owned(), children: Vec::new() }
    }

    /// Starts a program and waits for its ready line; returns the line's JSON.
    ///
    /// # Errors
    ///
    /// Fails when the program does not start, exits before it has printed the
    /// line, or does not print it within 30 seconds.
    pub async fn spawn(
        &mut self,
        label: &str,
        program: &str,
        args: &[String],
    ) -> Result<(ProcessKey, Value), BenchError> {
        let path = self.bin_dir.join(program);
        let log_path = self.log_dir.join(format!("{label}.log"));
        let log = File::options().create(true).append(true).open(&log_path).map_err(|error| {
            process_error(label, &format!("cannot open log {}: {error}", log_path.display()))
        })?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|error| process_error(label, &format!("{}: {error}", path.display())))?;
        let ready = child.stdout.take().map(read_ready);
        let key = ProcessKey(self.children.len());
        self.children.push(ChildProcess { label: label.to_owned(), child, status: None });
        let line = match ready {
            Some(ready) => time::timeout(READY_TIMEOUT, ready).await,
            None => return Err(process_error(label, "standard output is not piped")),
        };
        let Ok(Ok(line)) = line else {
            let message = format!("printed no ready line; see {}", log_path.display());
            return Err(process_error(label, &message));
        };
        let value = serde_json::from_str(&line)
            .map_err(|error| process_error(label, &format!("ready line {line:?}: {error}")))?;
        Ok((key, value))
    }

    /// Returns the process id of a child.
    #[must_use]
    pub fn pid(&self, key: ProcessKey) -> u32 {
        self.children[key.0].child.id()
    }

    /// Sends a signal to a child that has not exited.
    ///
    /// # Errors
    ///
    /// Fails when the child has exited.
    pub fn signal(&mut self, key: ProcessKey, signal: ProcessSignal) -> Result<(), BenchError> {
        let process = &mut self.children[key.0];
        if process.poll().is_some() {
            return Err(process_error(&process.label, "process has already exited"));
        }
        let pid = i32::try_from(process.child.id()).ok().and_then(Pid::from_raw);
        let Some(pid) = pid else {
            return Err(process_error(&process.label, "process id is out of range"));
        };
        kill_process(pid, signal.into())
            .map_err(|error| process_error(&process.label, &error.to_string()))
    }

    /// Returns whether a child is still running.
    pub fn is_running(&mut self, key: ProcessKey) -> bool {
        self.children[key.0].poll().is_none()
    }

    /// Waits until a child exits.
    ///
    /// # Errors
    ///
    /// Fails when it is still running after `timeout`.
    pub async fn wait(
        &mut self,
        key: ProcessKey,
        timeout: Duration,
    ) -> Result<ExitStatus, BenchError> {
        let process = &mut self.children[key.0];
        let deadline = time::Instant::now() + timeout;
        loop {
            if let Some(status) = process.poll() {
                return Ok(status);
            }
            if time::Instant::now() >= deadline {
                let message = format!("{} is still running after {timeout:?}", process.label);
                return Err(BenchError::new(BenchErrorKind::Timeout, message));
            }
            time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for process in &mut self.children {
            if process.poll().is_some() {
                continue;
            }
            // `kill` fails when the child has exited meanwhile; `wait` reaps it.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

impl ChildProcess {
    fn poll(&mut self) -> Option<ExitStatus> {
        if self.status.is_none() {
            self.status = self.child.try_wait().ok().flatten();
        }
        self.status
    }
}

/// Starts a thread that reads a child's standard output to its end, so that the
/// child never blocks on a full pipe. Returns a receiver for the ready line,
/// without its prefix.
fn read_ready(output: ChildStdout) -> oneshot::Receiver<String> {
    let (ready_tx, ready_rx) = oneshot::channel();
    thread::spawn(move || {
        let mut ready_tx = Some(ready_tx);
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let Some(ready) = line.strip_prefix(READY_PREFIX) else { continue };
            if let Some(ready_tx) = ready_tx.take() {
                let _ = ready_tx.send(ready.to_owned());
            }
        }
    });
    ready_rx
}

fn process_error(label: &str, message: &str) -> BenchError {
    BenchError::new(BenchErrorKind::Process, format!("{label}: {message}"))
}
