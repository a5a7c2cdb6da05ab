//! Settings of one backend server.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::error::StandinError;

/// Keys of the text form, listed in error messages.
const KEYS: &str = "name, address, control, slots, connections, service-us, connect-delay-us, \
                    delay-us, cancel-us, idle-ms, seed, snapshots";

/// Startup settings of a backend server stand-in.
///
/// The text form is a comma-separated list of `key=value` pairs, in which
/// snapshots are separated by `+`:
///
/// ```
/// use carobstep_standin::ServerSettings;
///
/// let text = "name=b1,address=127.0.0.1:0,slots=2,connections=25,snapshots=6+7";
/// let settings = ServerSettings::try_from(text).unwrap();
/// assert_eq!(settings.slots, 2);
/// assert_eq!(settings.snapshots, [6, 7]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerSettings {
    /// Name that responses contain.
    pub name: String,
    /// Address for queries; port 0 selects a free port.
    pub address: SocketAddr,
    /// Address for control requests; port 0 selects a free port.
    pub control: SocketAddr,
    /// Limit of concurrently running requests; each request above it counts as a violation.
    pub slots: u32,
    /// Limit of concurrently open connections; each one above it counts as a violation.
    pub connections: u32,
    /// Mean service time in microseconds.
    pub service_us: u64,
    /// Time until the first request of a new connection is read, in microseconds.
    pub connect_delay_us: u64,
    /// One-way delay to callers in microseconds.
    pub delay_us: u64,
    /// Time from the close of a connection until its executions stop, in microseconds.
    pub cancel_us: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Seed of the random service times.
    pub seed: u64,
    /// Snapshots that the server holds; an empty list means every snapshot.
    pub snapshots: Vec<u64>,
}

impl Default for ServerSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "server".to_owned(),
            address: any_port,
            control: any_port,
            slots: 2,
            connections: 25,
            service_us: 1_000,
            connect_delay_us: 0,
            delay_us: 0,
            cancel_us: 0,
            idle_ms: 60_000,
            seed: 1,
            snapshots: Vec::new(),
        }
    }
}

impl ServerSettings {
    /// Time until the first request of a new connection is read.
    pub(crate) const fn connect_delay(&self) -> Duration {
        Duration::from_micros(self.connect_delay_us)
    }

    /// One-way delay to callers.
    pub(crate) const fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us)
    }

    /// Time from the close of a connection until its executions stop.
    pub(crate) const fn cancel_delay(&self) -> Duration {
        Duration::from_micros(self.cancel_us)
    }

    /// Time after which an idle connection is closed.
    pub(crate) const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

impl TryFrom<&str> for ServerSettings {
    type Error = StandinError;

    fn try_from(text: &str) -> Result<Self, StandinError> {
        let mut settings = Self::default();
        for field in text.split(',') {
            let Some((key, value)) = field.split_once('=') else {
                let message = format!("server field {field:?} is not of the form key=value");
                return Err(StandinError::new(message));
            };
            match key {
                "name" => settings.name = value.to_owned(),
                "address" => settings.address = parse(key, value)?,
                "control" => settings.control = parse(key, value)?,
                "slots" => settings.slots = parse(key, value)?,
                "connections" => settings.connections = parse(key, value)?,
                "service-us" => settings.service_us = parse(key, value)?,
                "connect-delay-us" => settings.connect_delay_us = parse(key, value)?,
                "delay-us" => settings.delay_us = parse(key, value)?,
                "cancel-us" => settings.cancel_us = parse(key, value)?,
                "idle-ms" => settings.idle_ms = parse(key, value)?,
                "seed" => settings.seed = parse(key, value)?,
                "snapshots" => settings.snapshots = parse_snapshots(value)?,
                _ => {
                    let message = format!("server field {key:?} is none of {KEYS}");
                    return Err(StandinError::new(message));
                }
            }
        }
        Ok(settings)
    }
}

fn parse<T: std::str::FromStr>(key: &str, value: &str) -> Result<T, StandinError> {
    value.parse().map_err(|_| StandinError::new(format!("server field {key}: bad value {value:?}")))
}

fn parse_snapshots(value: &str) -> Result<Vec<u64>, StandinError> {
    value.split('+').map(|number| parse("snapshots", number)).collect()
}
