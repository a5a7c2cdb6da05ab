//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

use serde::Serialize;

/// CPU time and resident memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProcessUsage {
    /// User and system CPU time since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process; returns `None` when it does not exist.
    #[must_use]
    pub fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let statm = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        Some(Self { cpu: parse_cpu(&stat)?, resident_bytes: parse_resident(&statm)? })
    }
}

fn parse_cpu(stat: &str) -> Option<Duration> {
    // The second field holds the program's name in parentheses, which may contain
    // spaces; the indices below count from after the closing parenthesis.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_ascii_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    let ticks_per_second = rustix::param::clock_ticks_per_second();
    Some(Duration::from_millis((user + system) * 1000 / ticks_per_second))
}

fn parse_resident(statm: &str) -> Option<u64> {
    let pages: u64 = statm.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
