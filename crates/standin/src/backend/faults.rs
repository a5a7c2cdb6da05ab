//! Faults that can be injected into a backend server.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Health state that a backend server reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HealthState {
    /// Accepts new requests.
    #[default]
    Healthy,
    /// Rejects new requests because the server is being taken out of service.
    Draining,
}

/// The active faults.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerFaults {
    /// Health state that the server reports and acts on.
    pub state: HealthState,
    /// Whether new requests are rejected as overload.
    pub shed: bool,
    /// Retry-after delay sent with the rejection of a shed request, in milliseconds.
    pub shed_retry_after_ms: Option<u64>,
    /// Factor by which every service time is multiplied.
    pub slow_factor: f64,
    /// Percentage of requests that are stragglers, from 0 to 100.
    pub straggle_percent: f64,
    /// Factor by which the service time of a straggler is multiplied.
    pub straggle_factor: f64,
    /// Whether connections that were open when the fault began get no responses.
    pub silent: bool,
    /// Whether no connection gets responses, including those opened while the fault is active.
    pub silent_new: bool,
    /// Time for which a silent connection still counts as open after its client closed it, in
    /// milliseconds.
    pub silent_hold_ms: u64,
    /// Whether response bodies end before their declared length.
    pub truncate: bool,
    /// Whether each response echoes one wrong field: the request id, the shard or the snapshot, in
    /// rotation.
    pub swap_echo: bool,
    /// Whether each response echoes the request before it instead of its own.
    pub crossed: bool,
    /// Whether each response is sent twice on its connection.
    pub duplicate: bool,
    /// Whether requests fail with status 500 after their execution completed.
    pub error500: bool,
    /// Snapshots that the server holds; an empty list means every snapshot.
    pub snapshots: Vec<u64>,
    /// Whether the health endpoint always reports healthy and idle.
    pub misleading_health: bool,
    /// Whether the server behaves as if just started, with slow responses until it is warm.
    pub cold: bool,
    /// Time until a cold server is warm, in milliseconds.
    pub cold_ms: u64,
    /// Factor by which the service times of a cold server are multiplied at its start.
    pub cold_factor: f64,
}

impl ServerFaults {
    /// Returns settings without faults, for a server that holds `snapshots`.
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
        /// A partial update of the faults; a missing field keeps its value.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct ServerFaultsPatch {
            $(
                #[doc = concat!("New value of [`ServerFaults::", stringify!($field), "`].")]
                pub $field: Option<$type>,
            )*
        }

        impl ServerFaults {
            /// Sets the fields that the patch contains.
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
