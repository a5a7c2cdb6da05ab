//! Tests of the daemon's command line: flags, settings file and exit codes.

use std::{
    env, fs,
    net::TcpListener,
    path::PathBuf,
    process::{self, Command, Output},
};

use yare::parameterized;

/// Valid settings of a node, whose listeners use any free port.
const VALID_SETTINGS: &str = r#"{
  // A comment.
  "node": "perth-a-1", "region": "perth", "zone": "perth-a",
  "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
  "platform": "127.0.0.1:9",
}"#;

/// Settings with one fault of each kind.
const INVALID_SETTINGS: &str = r#"{
  "node": "N1",
  "region": 7,
  "callers": "127.0.0.1:7101",
  "operators": "127.0.0.1:7101",
  "peers": "0.0.0.0:7103",
  "platform": "platform:7001",
  "platform": "127.0.0.1:7001",
  "log_level": "loud",
  "lease": { "term_ms": 5000, "renew_ms": 5000, "fence_ms": 0 },
  "gossip": { "interval_ms": 4000, "peer_timeout_ms": 3000, "fanout": 65 },
  "limits": { "body_bytes": -1, "in_flight": 1.5, "queue": 3 },
  "stop": { "drain_timeout_ms": 500, "notice_ms": 1000 },
  "colour": "red",
}"#;

/// Start of the error line for each fault of [`INVALID_SETTINGS`]. `FILE` stands
/// for the path of the settings file.
const INVALID_SETTINGS_ERRORS: &[&str] = &[
    "FILE:1: zone: is missing",
    "FILE:2: node: name \"N1\" is not 1 to 63 bytes of a-z, 0-9, \"-\" and \".\"",
    "FILE:3: region: 7 is not a string",
    "FILE:5: operators: 127.0.0.1:7101 is already used by callers",
    "FILE:6: peers: 0.0.0.0:7103 has an unspecified IP address, expected one that other hosts can connect to",
    "FILE:7: platform: \"platform:7001\" is not an ip:port address",
    "FILE:8: platform: duplicate key with value \"127.0.0.1:7001\"",
    "FILE:9: log_level: \"loud\" is not one of off, error, warn, info, debug and trace",
    "FILE:10: lease.fence_ms: 0 is outside 1 to 600000",
    "FILE:10: lease.renew_ms: 5000 is not less than lease.term_ms 5000",
    "FILE:11: gossip.fanout: 65 is outside 1 to 64",
    "FILE:11: gossip.interval_ms: 4000 is not less than gossip.peer_timeout_ms 3000",
    "FILE:12: limits.body_bytes: -1 is not a whole number of at least 0",
    "FILE:12: limits.in_flight: 1.5 is not a whole number of at least 0",
    "FILE:12: limits.queue: unknown key with value 3",
    "FILE:13: stop.notice_ms: 1000 is not less than stop.drain_timeout_ms 500",
    "FILE:14: colour: unknown key with value \"red\"",
];

/// Arguments of a run of the daemon, and what the run must print and return.
struct DaemonCase {
    args: &'static [&'static str],
    settings: Option<&'static str>,
    exit_code: i32,
    /// Start of the standard output; empty if nothing must be printed.
    stdout: &'static str,
    /// Start of each line of the standard error.
    stderr: &'static [&'static str],
}

/// Temporary settings file, which is removed when it is dropped.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn new(name: &str, text: &str) -> Self {
        let path = env::temp_dir().join(format!("carobstepd-{name}-{}.jsonc", process::id()));
        fs::write(&path, text).expect("a settings file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        // A leftover file affects no other test, since names include the process id.
        let _ = fs::remove_file(&self.0);
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carobstepd")).args(args).output().expect("carobstepd runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("output in UTF-8")
}

#[parameterized(
    help = { "help", DaemonCase {
        args: &["--help"],
        settings: None,
        exit_code: 0,
        stdout: "Usage: carobstepd --settings FILE [--check]\n       \
            carobstepd gateway [--metrics PORT]\n",
        stderr: &[],
    } },
    version = { "version", DaemonCase {
        args: &["--version"],
        settings: None,
        exit_code: 0,
        stdout: concat!("carobstepd ", env!("CARGO_PKG_VERSION")),
        stderr: &[],
    } },
    check = { "check", DaemonCase {
        args: &["--check", "--settings"],
        settings: Some(VALID_SETTINGS),
        exit_code: 0,
        stdout: "FILE: ok",
        stderr: &[],
    } },
    no_flags = { "no-flags", DaemonCase {
        args: &[],
        settings: None,
        exit_code: 2,
        stdout: "",
        stderr: &["carobstepd: the flag --settings FILE is missing"],
    } },
    unknown_flag = { "unknown-flag", DaemonCase {
        args: &["--colour"],
        settings: None,
        exit_code: 2,
        stdout: "",
        stderr: &["carobstepd: Unrecognized option: 'colour'"],
    } },
    operand = { "operand", DaemonCase {
        args: &["node.jsonc"],
        settings: None,
        exit_code: 2,
        stdout: "",
        stderr: &["carobstepd: unexpected argument \"node.jsonc\""],
    } },
    missing_file = { "missing-file", DaemonCase {
        args: &["--settings", "no/such/file.jsonc"],
        settings: None,
        exit_code: 2,
        stdout: "",
        stderr: &["no/such/file.jsonc: No such file or directory (os error 2)"],
    } },
    directory = { "directory", DaemonCase {
        args: &["--settings", "/"],
        settings: None,
        exit_code: 2,
        stdout: "",
        stderr: &["/: Is a directory (os error 21)"],
    } },
    endless_file = { "endless-file", DaemonCase {
        args: &["--settings", "/dev/zero"],
        settings: None,
        exit_code: 2,
        stdout: "",
        stderr: &["/dev/zero: the file is over the limit of 1048576 bytes"],
    } },
    syntax = { "syntax", DaemonCase {
        args: &["--settings"],
        settings: Some("{\n  \"node\": \"n1\",\n  \"zone\" \"z\"\n}"),
        exit_code: 2,
        stdout: "",
        stderr: &["FILE:3: "],
    } },
    faults_checked = { "faults-checked", DaemonCase {
        args: &["--check", "--settings"],
        settings: Some(INVALID_SETTINGS),
        exit_code: 2,
        stdout: "",
        stderr: INVALID_SETTINGS_ERRORS,
    } },
    faults_not_started = { "faults-not-started", DaemonCase {
        args: &["--settings"],
        settings: Some(INVALID_SETTINGS),
        exit_code: 2,
        stdout: "",
        stderr: INVALID_SETTINGS_ERRORS,
    } },
)]
fn command_line(name: &str, case: DaemonCase) {
    let file = case.settings.map(|text| SettingsFile::new(name, text));
    let path = file.as_ref().map_or("", SettingsFile::path);
    let mut args = case.args.to_vec();
    args.extend(file.as_ref().map(SettingsFile::path));
    let output = run(&args);
    let (stdout, stderr) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(case.exit_code), "{stderr}");
    assert!(stdout.starts_with(&case.stdout.replace("FILE:", &format!("{path}:"))), "{stdout}");
    assert_eq!(stdout.is_empty(), case.stdout.is_empty(), "{stdout}");
    let lines: Vec<&str> = stderr.lines().collect();
    assert_eq!(lines.len(), case.stderr.len(), "{stderr}");
    for (line, expected) in lines.iter().zip(case.stderr) {
        let expected = expected.replace("FILE:", &format!("{path}:"));
        assert!(line.starts_with(&expected), "{line:?} does not start with {expected:?}");
    }
}

#[parameterized(
    callers = { "callers" },
    operators = { "operators" },
    peers = { "peers" },
)]
fn listener_in_use(listener: &str) {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = occupied.local_addr().expect("its address");
    let setting = format!("\"{listener}\": \"{address}\"");
    let text = VALID_SETTINGS.replace(&format!("\"{listener}\": \"127.0.0.1:0\""), &setting);
    let file = SettingsFile::new(&format!("in-use-{listener}"), &text);
    let output = run(&["--settings", file.path()]);
    let message = format!(
        "carobstepd: cannot bind the {listener} listener to {address}: Address already in use"
    );
    let stderr = self::text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.lines().any(|line| line.starts_with(&message)), "{stderr}");
    assert!(output.stdout.is_empty());
}
