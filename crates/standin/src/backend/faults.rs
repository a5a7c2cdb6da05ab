//! Faults of a backend server.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// State that a backend server declares.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HealthState {
    /// Takes new requests.
    #[default]
    Healthy,
    /// Refuses new requests because it leaves.
    Draining,
}

/// The faults in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerFaults {
    /// State that the server declares and acts on.
    pub state: HealthState,
    /// New requests are refused as overload.
    pub shed: bool,
    /// Time to come back that a shed request is told, in milliseconds.
    pub shed_retry_after_ms: Option<u64>,
    /// Factor of every service time.
    pub slow_factor: f64,
    /// Percent of requests that straggle.
    pub straggle_percent: f64,
    /// Factor of the service time of a straggler.
    pub straggle_factor: f64,
    /// Connections that were open when the fault began get no answers.
    pub silent: bool,
    /// Connections that open after the fault began get no answers.
    pub silent_new: bool,
    /// Time that a silent connection still counts as open after its client closed it.
    pub silent_hold_ms: u64,
    /// Replies end before their declared length.
    pub truncate: bool,
    /// Replies echo a wrong request id, shard or snapshot in turn.
    pub swap_echo: bool,
    /// Each reply is the one that belongs to the request before it.
    pub crossed: bool,
    /// Each reply is sent twice on its connection.
    pub duplicate: bool,
    /// Requests fail with status 500 after their work was done.
    pub error500: bool,
    /// Snapshots that the server holds; none means every snapshot.
    pub snapshots: Vec<u64>,
    /// The health endpoint always says healthy and idle.
    pub misleading_health: bool,
    /// The server has just started and is slow until it is warm.
    pub cold: bool,
    /// Time that a cold server takes to become warm, in milliseconds.
    pub cold_ms: u64,
    /// Factor of the service times of a cold server at its start.
    pub cold_factor: f64,
}

impl ServerFaults {
    /// No faults, with the snapshots that the server starts with.
    #[must_use]
    pub const fn none(snapshots: Vec<u64>) -> Self {
        Self {
            state: HealthState::Healthy,
            shed: false,
            shed_retry_after_ms: None,
            slow_factor: 1.0,
            straggle_percent: 0.0,
            straggle_factor: 10.0,
            silent: false,
            silent_new: false,
            silent_hold_ms: 0,
            truncate: false,
            swap_echo: false,
            crossed: false,
            duplicate: false,
            error500: false,
            snapshots,
            misleading_health: false,
            cold: false,
            cold_ms: 10_000,
            cold_factor: 8.0,
        }
    }
}

macro_rules! faults_patch {
    ($($field:ident: $type:ty,)*) => {
        /// A change of the faults; a missing field stays as it is.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct ServerFaultsPatch {
            $(
                #[doc = concat!("New value of [`ServerFaults::", stringify!($field), "`].")]
                pub $field: Option<$type>,
            )*
        }

        impl ServerFaults {
            /// Takes over the fields that the patch names.
            pub(crate) fn apply(&mut self, patch: ServerFaultsPatch) {
                $(
                    if let Some(value) = patch.$field {
                        self.$field = value.into();
                    }
                )*
            }
        }
    };
}

faults_patch! {
    state: HealthState,
    shed: bool,
    shed_retry_after_ms: u64,
    slow_factor: f64,
    straggle_percent: f64,
    straggle_factor: f64,
    silent: bool,
    silent_new: bool,
    silent_hold_ms: u64,
    truncate: bool,
    swap_echo: bool,
    crossed: bool,
    duplicate: bool,
    error500: bool,
    snapshots: Vec<u64>,
    misleading_health: bool,
    cold: bool,
    cold_ms: u64,
    cold_factor: f64,
}
