//! Runs a gateway as a child process and reads its log and metrics.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU16, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use carobstep_bench::{HttpAnswer, HttpCall, HttpClient};
use serde_json::Value;
use tokio::time::sleep;

/// Timeout for an expected condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Environment variable with the path of another build of the program, for measurements.
const PROGRAM_VARIABLE: &str = "CAROBSTEPD_PROGRAM";

/// Environment variable with the path of an earlier version of the program, which every second
/// node runs, to try versions side by side.
const EARLIER_VARIABLE: &str = "CAROBSTEPD_EARLIER";

/// Number of processes started so far.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A running gateway process; dropping it kills the process.
pub struct GatewayNode {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    /// Address for calls of other nodes.
    pub peers: SocketAddr,
    child: Child,
    dir: PathBuf,
}

impl Drop for GatewayNode {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns a free port below the range that the system uses for outgoing connections.
fn free_port() -> u16 {
    /// Number of ports handed out so far.
    static ALLOCATED: AtomicU16 = AtomicU16::new(0);
    // Test processes that run at the same time start at different ports.
    let start = (std::process::id() % 100) as u16 * 100;
    loop {
        let step = start.wrapping_add(ALLOCATED.fetch_add(1, Ordering::Relaxed));
        let port = 20_000 + step % 10_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Returns the text of a settings file.
pub fn settings(name: &str, zone: &str, store: SocketAddr, ports: [u16; 3]) -> String {
    let [callers, readiness, peers] = ports;
    format!(
        "node={name}\nzone={zone}\nlisten.front=127.0.0.1:{callers}\n\
         listen.ready=127.0.0.1:{readiness}\nport_range={peers},{peers}\n\
         limits.cpu_share=0.25\nlimits.link_mbps=1000.0\nbounds.grace_s=6\nbounds.drain_ms=3000\n\
         bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=52\n\
         platform.addr={store}\nplatform.reads_per_s=2000\n"
    )
}

fn spawn(dir: &Path, metrics: u16) -> Child {
    let log = File::options().create(true).append(true).open(dir.join("log")).expect("a log file");
    let is_second = !STARTED.fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
    let earlier = std::env::var(EARLIER_VARIABLE).ok().filter(|_| is_second);
    let program = earlier
        .or_else(|| std::env::var(PROGRAM_VARIABLE).ok())
        .unwrap_or_else(|| env!("CARGO_BIN_EXE_carobstepd").to_owned());
    Command::new(program)
        .args(["gateway", "--metrics", &metrics.to_string()])
        .env("CAROBSTEP_BOOT", dir.join("settings.conf"))
        .stdout(Stdio::from(log))
        .spawn()
        .expect("a gateway")
}

impl GatewayNode {
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Self {
        Self::start_with(name, zone, store, "")
    }

    /// Starts a node with further lines in its settings file.
    pub fn start_with(name: &str, zone: &str, store: SocketAddr, more: &str) -> Self {
        let ports = [free_port(), free_port(), free_port()];
        let metrics = free_port();
        let unique = format!("carobstep-gateway-{}-{}", std::process::id(), ports[0]);
        let dir = std::env::temp_dir().join(unique);
        fs::create_dir_all(&dir).expect("a directory");
        let path = dir.join("settings.conf");
        let text = settings(name, zone, store, ports) + more;
        fs::write(&path, text).expect("a settings file");
        let child = spawn(&dir, metrics);
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            callers: address(ports[0]),
            readiness: address(ports[1]),
            metrics: address(metrics),
            peers: address(ports[2]),
            child,
            dir,
        }
    }

    /// Starts the process again after it has exited, with the same settings and log.
    pub fn restart(&mut self) {
        self.child = spawn(&self.dir, self.metrics.port());
    }

    /// Changes the settings file; the change holds from the next start on.
    pub fn change_settings(&self, from: &str, to: &str) {
        let path = self.dir.join("settings.conf");
        let text = fs::read_to_string(&path).expect("a settings file");
        fs::write(&path, text.replace(from, to)).expect("a settings file");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the identifier of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a status")
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success());
    }

    pub async fn wait_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the gateway does not exit");
            sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn is_ready(&self) -> bool {
        let response = HttpClient::default().send(self.readiness, &HttpCall::get("/readyz")).await;
        response.is_ok_and(|response| response.status == 200)
    }

    pub async fn wait_ready(&self) {
        let start = Instant::now();
        while !self.is_ready().await {
            assert!(start.elapsed() < WAIT_TIMEOUT, "the gateway is not ready");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a request on a new connection.
    pub async fn request(&self, call: &HttpCall) -> HttpAnswer {
        HttpClient::default().send(self.callers, call).await.expect("a response")
    }

    /// Returns the memory of the process that is in use.
    pub fn resident_bytes(&self) -> usize {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = fs::read_to_string(path).expect("memory figures");
        let pages: usize = text.split(' ').nth(1).expect("a field").parse().expect("a number");
        pages * 4096
    }

    /// Returns the largest memory that the process has used so far.
    pub fn peak_bytes(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).expect("memory figures");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
        let kilobytes = line.split_whitespace().next().expect("a field");
        kilobytes.parse::<usize>().expect("a number") * 1024
    }

    pub fn log_path(&self) -> PathBuf {
        self.dir.join("log")
    }

    /// Returns the log lines, parsed as JSON.
    pub fn log(&self) -> Vec<Value> {
        let text = fs::read_to_string(self.log_path()).expect("a log");
        let line = |line: &str| serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"));
        text.lines().map(line).collect()
    }

    /// Waits for the log line of a request and returns it.
    pub async fn wait_for_log_line(&self, request_id: &str) -> Value {
        let start = Instant::now();
        loop {
            let found = self.log().into_iter().find(|line| line["request_id"] == request_id);
            if let Some(line) = found {
                return line;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no log line for {request_id}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the value of a metric, zero if it is missing.
    pub async fn metric(&self, name: &str) -> f64 {
        let client = HttpClient::default();
        let response =
            client.send(self.metrics, &HttpCall::get("/metrics")).await.expect("metrics");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or(0.0)
    }
}

/// Waits until a condition holds; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what}");
        sleep(POLL_INTERVAL).await;
    }
}
