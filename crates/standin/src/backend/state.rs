//! State that the connections of a backend server share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    faults::{ServerFaults, ServerFaultsPatch},
    ledger::{LoadLedger, ServerReport},
    pause::PauseTimer,
    service_time::ServiceTime,
    settings::ServerSettings,
};
use crate::metered::ByteCounts;

/// Faults with the moments at which they began.
#[derive(Debug)]
struct FaultState {
    faults: ServerFaults,
    /// Connections with a lower number were open when they went silent.
    silent_below: u64,
    cold_since: Option<Instant>,
}

/// The echo of one request, kept for crossed replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplyEcho {
    /// Request id to echo.
    pub(crate) request_id: String,
    /// Shard to echo.
    pub(crate) shard: Option<String>,
    /// Snapshot to echo.
    pub(crate) snapshot: Option<u64>,
    /// Body of the request.
    pub(crate) body: Bytes,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct ServerState {
    settings: ServerSettings,
    faults: Mutex<FaultState>,
    ledger: Mutex<LoadLedger>,
    service_time: Mutex<ServiceTime>,
    last_echo: Mutex<Option<ReplyEcho>>,
    pause_timer: PauseTimer,
    bytes: Arc<ByteCounts>,
}

impl ServerState {
    /// Builds the state of a server without faults.
    pub(crate) fn new(settings: ServerSettings) -> Self {
        let faults = ServerFaults::none(settings.snapshots.clone());
        let mean = Duration::from_micros(settings.service_us);
        Self {
            faults: Mutex::new(FaultState { faults, silent_below: 0, cold_since: None }),
            ledger: Mutex::new(LoadLedger::new(settings.slots, settings.connections)),
            service_time: Mutex::new(ServiceTime::new(mean, settings.seed)),
            last_echo: Mutex::new(None),
            pause_timer: PauseTimer::default(),
            bytes: Arc::new(ByteCounts::default()),
            settings,
        }
    }

    /// The settings.
    pub(crate) const fn settings(&self) -> &ServerSettings {
        &self.settings
    }

    /// Counts of the bytes on all query connections.
    pub(crate) fn bytes(&self) -> Arc<ByteCounts> {
        Arc::clone(&self.bytes)
    }

    /// The faults in force.
    pub(crate) fn faults(&self) -> ServerFaults {
        lock(&self.faults).faults.clone()
    }

    /// Changes the faults.
    pub(crate) fn apply_faults(&self, patch: ServerFaultsPatch) {
        let opened = self.ledger().report.connections_opened;
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
            self.bytes.duplicate.store(duplicate, Ordering::Relaxed);
        }
        state.faults.apply(patch);
    }

    /// Whether nothing gets through on a connection.
    pub(crate) fn is_silent(&self, connection_id: u64) -> bool {
        let state = lock(&self.faults);
        connection_id < state.silent_below || state.faults.silent_new
    }

    /// Time that a connection counts as open after its client closed it.
    pub(crate) fn held_time(&self, connection_id: u64) -> Duration {
        if !self.is_silent(connection_id) {
            return Duration::ZERO;
        }
        Duration::from_millis(lock(&self.faults).faults.silent_hold_ms)
    }

    /// Sleeps for `span`, which may be shorter than the timer's tick.
    pub(crate) async fn pause(&self, span: Duration) {
        self.pause_timer.pause(span).await;
    }

    /// Draws the service time of the next request.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let (faults, warmth) = {
            let state = lock(&self.faults);
            (state.faults.clone(), state.warmth(Instant::now()))
        };
        lock(&self.service_time).draw(&faults, warmth)
    }

    /// What was seen so far.
    pub(crate) fn ledger(&self) -> MutexGuard<'_, LoadLedger> {
        lock(&self.ledger)
    }

    /// A copy of what was seen so far.
    pub(crate) fn report(&self) -> ServerReport {
        self.ledger().report.clone()
    }

    /// Notes a new connection.
    pub(crate) fn open_connection(self: &Arc<Self>) -> OpenConnection {
        let id = self.ledger().open_connection();
        OpenConnection { id, state: Arc::clone(self) }
    }

    /// Keeps `echo` for the next crossed reply and returns the one before it.
    pub(crate) fn swap_last_echo(&self, echo: ReplyEcho) -> Option<ReplyEcho> {
        lock(&self.last_echo).replace(echo)
    }
}

impl FaultState {
    /// Grows from 0 to 1 while a cold server becomes warm.
    fn warmth(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let span = Duration::from_millis(self.faults.cold_ms.max(1));
        (now.duration_since(since).as_secs_f64() / span.as_secs_f64()).min(1.0)
    }
}

/// Counts a connection as open while it lives.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    id: u64,
    state: Arc<ServerState>,
}

impl OpenConnection {
    /// Number of the connection, counted from zero.
    pub(crate) const fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.ledger().close_connection();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
