//! State shared by all connections of a platform stand-in.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use carobstep_store::{ObjectKind, ObjectVersion, VmRecord, WriteCondition};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use super::{
    PlatformSettings,
    calls::{CallCounter, CallReport},
    faults::{PlatformFaults, PlatformFaultsPatch},
    objects::ObjectTable,
    vms::VmList,
};
use crate::{error::StandinError, metered::ConnectionMeter};

/// State of one client connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    zone: Mutex<Option<String>>,
    is_control: AtomicBool,
}

impl ConnectionState {
    /// Records the zone that the client sent with its latest request.
    pub(crate) fn set_zone(&self, zone: Option<&str>) {
        *lock(&self.zone) = zone.map(str::to_owned);
    }

    /// Marks the connection as used for control requests, so that no fault drops it.
    pub(crate) fn mark_as_control(&self) {
        self.is_control.store(true, Ordering::Relaxed);
    }
}

/// State of one platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformState {
    table: Mutex<ObjectTable>,
    counter: Mutex<CallCounter>,
    vms: Mutex<VmList>,
    faults: watch::Sender<PlatformFaults>,
    /// Wakes open watches; carries no value.
    changes: watch::Sender<()>,
    meter: Arc<ConnectionMeter>,
}

impl PlatformState {
    /// Builds the state and writes the seed objects.
    ///
    /// Fails when two seed objects have the same kind and name.
    pub(crate) fn new(settings: PlatformSettings) -> Result<Self, StandinError> {
        let mut table = ObjectTable::new(settings.watch_history);
        for seed in &settings.objects {
            let value = seed.value.to_string().into();
            table.put(seed.kind, &seed.name, WriteCondition::Absent, value).map_err(|_| {
                StandinError::new(format!("object {}/{} is seeded twice", seed.kind, seed.name))
            })?;
        }
        let now = Instant::now();
        Ok(Self {
            table: Mutex::new(table),
            counter: Mutex::new(CallCounter::new(now)),
            vms: Mutex::new(VmList::new(settings.vms, now)),
            faults: watch::Sender::new(PlatformFaults::default()),
            changes: watch::Sender::new(()),
            meter: Arc::new(ConnectionMeter::default()),
        })
    }

    /// Returns the byte counters and the duplication fault of all connections.
    pub(crate) fn meter(&self) -> Arc<ConnectionMeter> {
        Arc::clone(&self.meter)
    }

    /// Locks and returns the objects.
    pub(crate) fn table(&self) -> MutexGuard<'_, ObjectTable> {
        lock(&self.table)
    }

    /// Locks and returns the call counter.
    pub(crate) fn counter(&self) -> MutexGuard<'_, CallCounter> {
        lock(&self.counter)
    }

    /// Returns a copy of the active faults.
    pub(crate) fn faults(&self) -> PlatformFaults {
        self.faults.borrow().clone()
    }

    /// Returns whether clients in `zone` get no response on connections that stay open.
    pub(crate) fn is_silent(&self, zone: Option<&str>) -> bool {
        self.faults.borrow().is_silent(zone)
    }

    /// Sets the faults that the patch contains and wakes watches.
    pub(crate) fn apply_faults(&self, patch: PlatformFaultsPatch) {
        if let Some(stale) = patch.stale_reads {
            self.table().set_stale(stale);
        }
        self.faults.send_modify(|faults| faults.apply(patch));
        self.wake_watches();
    }

    /// Waits for the delay that a fault adds to each call.
    pub(crate) async fn delay(&self) {
        let millis = self.faults.borrow().delay_ms;
        if millis > 0 {
            sleep(Duration::from_millis(millis)).await;
        }
    }

    /// Returns whether the current write loses its response, and decrements `lose_answers` if so.
    pub(crate) fn consume_lost_response(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let remaining = faults.lose_answers.checked_sub(1);
            faults.lose_answers = remaining.unwrap_or(0);
            remaining.is_some()
        })
    }

    /// Waits until a fault drops `connection`.
    pub(crate) async fn wait_for_drop(&self, connection: &ConnectionState) {
        let mut faults = self.faults.subscribe();
        loop {
            if faults.changed().await.is_err() {
                return std::future::pending().await;
            }
            if connection.is_control.load(Ordering::Relaxed) {
                continue;
            }
            let zone = lock(&connection.zone).clone();
            if faults.borrow_and_update().drops_connections(zone.as_deref()) {
                return;
            }
        }
    }

    /// Notifies open watches that there may be changes to send.
    pub(crate) fn wake_watches(&self) {
        self.changes.send_replace(());
    }

    /// Returns a receiver that [`Self::wake_watches`] wakes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Returns the calls and bytes counted so far.
    pub(crate) fn report(&self) -> CallReport {
        let mut report = self.counter().report.clone();
        report.bytes_received = self.meter.received.load(Ordering::Relaxed);
        report.bytes_sent = self.meter.sent.load(Ordering::Relaxed);
        report
    }

    /// Returns the VM list as readers see it now, which a fault may delay.
    pub(crate) fn read_vms(&self) -> Vec<VmRecord> {
        let lag = Duration::from_millis(self.faults.borrow().vm_lag_ms);
        lock(&self.vms).read(lag, Instant::now())
    }

    /// Adds or replaces a VM.
    pub(crate) fn put_vm(&self, vm: VmRecord) {
        lock(&self.vms).put(vm, Instant::now());
    }

    /// Removes a VM.
    pub(crate) fn remove_vm(&self, name: &str) {
        lock(&self.vms).remove(name, Instant::now());
    }

    /// Returns the current version and value of an object, ignoring faults such as stale reads.
    pub(crate) fn object(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Option<(ObjectVersion, serde_json::Value)> {
        let entry = self.table().get_current(kind, name)?.clone();
        Some((entry.version, parse_value(&entry.value)))
    }
}

/// Parses a stored value. Writes accept only valid JSON, so the fallback is never used.
fn parse_value(value: &Bytes) -> serde_json::Value {
    serde_json::from_slice(value).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
