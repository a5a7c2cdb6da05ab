//! State shared by all connections of a backend server.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    faults::{ServerFaults, ServerFaultsPatch},
    load_tracker::{LoadTracker, ServerReport},
    pause::CompensatedTimer,
    service_time::ServiceTimeSampler,
    settings::ServerSettings,
};
use crate::metered::ConnectionMeter;

/// Active faults, with the points at which the `silent` and `cold` faults began.
#[derive(Debug)]
struct FaultState {
    faults: ServerFaults,
    /// Connections with an id below this one were open when the `silent` fault began.
    silent_below: u64,
    cold_since: Option<Instant>,
}

/// Fields of a request that its response echoes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EchoedFields {
    /// Request id.
    pub(crate) request_id: String,
    /// Shard, if the request names one.
    pub(crate) shard: Option<String>,
    /// Snapshot, if the request names one.
    pub(crate) snapshot: Option<u64>,
    /// Request body.
    pub(crate) body: Bytes,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct ServerState {
    settings: ServerSettings,
    faults: Mutex<FaultState>,
    tracker: Mutex<LoadTracker>,
    service_time: Mutex<ServiceTimeSampler>,
    last_echo: Mutex<Option<EchoedFields>>,
    timer: CompensatedTimer,
    meter: Arc<ConnectionMeter>,
}

impl ServerState {
    /// Builds the state of a server without faults.
    pub(crate) fn new(settings: ServerSettings) -> Self {
        let faults = ServerFaults::none(settings.snapshots.clone());
        let mean = Duration::from_micros(settings.service_us);
        Self {
            faults: Mutex::new(FaultState { faults, silent_below: 0, cold_since: None }),
            tracker: Mutex::new(LoadTracker::new(settings.slots, settings.connections)),
            service_time: Mutex::new(ServiceTimeSampler::new(mean, settings.seed)),
            last_echo: Mutex::new(None),
            timer: CompensatedTimer::default(),
            meter: Arc::new(ConnectionMeter::default()),
            settings,
        }
    }

    pub(crate) const fn settings(&self) -> &ServerSettings {
        &self.settings
    }

    /// Returns the byte counters and the duplication fault of all query connections.
    pub(crate) fn meter(&self) -> Arc<ConnectionMeter> {
        Arc::clone(&self.meter)
    }

    /// Returns a copy of the active faults.
    pub(crate) fn faults(&self) -> ServerFaults {
        lock(&self.faults).faults.clone()
    }

    /// Sets the faults that the patch contains.
    pub(crate) fn apply_faults(&self, patch: ServerFaultsPatch) {
        let opened = self.tracker().report.connections_opened;
        let mut state = lock(&self.faults);
        match patch.silent {
            Some(true) => state.silent_below = opened,
            Some(false) => state.silent_below = 0,
            None => {}
        }
        match patch.cold {
            Some(true) => state.cold_since = Some(Instant::now()),
            Some(false) => state.cold_since = None,
            None => {}
        }
        if let Some(duplicate) = patch.duplicate {
            self.meter.duplicate.store(duplicate, Ordering::Relaxed);
        }
        state.faults.apply(patch);
    }

    /// Returns whether a connection is silent: new requests are not executed, and no responses are
    /// sent.
    pub(crate) fn is_silent(&self, connection_id: u64) -> bool {
        let state = lock(&self.faults);
        connection_id < state.silent_below || state.faults.silent_new
    }

    /// Returns the time for which a connection counts as open after its client closed it.
    pub(crate) fn hold_time_after_close(&self, connection_id: u64) -> Duration {
        if !self.is_silent(connection_id) {
            return Duration::ZERO;
        }
        Duration::from_millis(lock(&self.faults).faults.silent_hold_ms)
    }

    /// Sleeps for `span`, which may be shorter than the timer's tick.
    pub(crate) async fn pause(&self, span: Duration) {
        self.timer.pause(span).await;
    }

    /// Draws the service time of the next request.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let (faults, warmth) = {
            let state = lock(&self.faults);
            (state.faults.clone(), state.warmth(Instant::now()))
        };
        lock(&self.service_time).draw(&faults, warmth)
    }

    /// Locks and returns the load tracker.
    pub(crate) fn tracker(&self) -> MutexGuard<'_, LoadTracker> {
        lock(&self.tracker)
    }

    /// Returns a copy of the report.
    pub(crate) fn report(&self) -> ServerReport {
        self.tracker().report.clone()
    }

    /// Records a new connection, which counts as open until the returned value is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> OpenConnection {
        let id = self.tracker().open_connection();
        OpenConnection { id, state: Arc::clone(self) }
    }

    /// Stores `echo` for a later response under the `crossed` fault, and returns the fields stored
    /// before.
    pub(crate) fn swap_last_echo(&self, echo: EchoedFields) -> Option<EchoedFields> {
        lock(&self.last_echo).replace(echo)
    }
}

impl FaultState {
    /// Returns how warm the server is: from 0 when the `cold` fault began to 1 after `cold_ms`.
    fn warmth(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let span = Duration::from_millis(self.faults.cold_ms.max(1));
        (now.duration_since(since).as_secs_f64() / span.as_secs_f64()).min(1.0)
    }
}

/// One open connection; counted as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    id: u64,
    state: Arc<ServerState>,
}

impl OpenConnection {
    /// Returns the id of the connection, numbered from zero.
    pub(crate) const fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.tracker().close_connection();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
