//! State that the connections of a platform stand-in share.

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
use crate::{error::StandinError, metered::ByteCounts};

/// What is known of one connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    zone: Mutex<Option<String>>,
    control: AtomicBool,
}

impl ConnectionState {
    /// Notes the zone that the client named.
    pub(crate) fn set_zone(&self, zone: Option<&str>) {
        *lock(&self.zone) = zone.map(str::to_owned);
    }

    /// Notes that the connection steers the stand-in, so that no fault severs it.
    pub(crate) fn set_control(&self) {
        self.control.store(true, Ordering::Relaxed);
    }
}

/// State of one platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformState {
    table: Mutex<ObjectTable>,
    counter: Mutex<CallCounter>,
    vms: Mutex<VmList>,
    faults: watch::Sender<PlatformFaults>,
    /// Wakes watches; the value is of no interest.
    changes: watch::Sender<()>,
    bytes: Arc<ByteCounts>,
}

impl PlatformState {
    /// Builds the state and writes the seed objects.
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
            bytes: Arc::new(ByteCounts::default()),
        })
    }

    /// Counts of the bytes on all connections.
    pub(crate) fn bytes(&self) -> Arc<ByteCounts> {
        Arc::clone(&self.bytes)
    }

    /// The objects.
    pub(crate) fn table(&self) -> MutexGuard<'_, ObjectTable> {
        lock(&self.table)
    }

    /// The call counter.
    pub(crate) fn counter(&self) -> MutexGuard<'_, CallCounter> {
        lock(&self.counter)
    }

    /// The faults in force.
    pub(crate) fn faults(&self) -> PlatformFaults {
        self.faults.borrow().clone()
    }

    /// Whether nothing gets through between the platform and `zone`.
    pub(crate) fn is_silent(&self, zone: Option<&str>) -> bool {
        self.faults.borrow().silences(zone)
    }

    /// Changes the faults.
    pub(crate) fn apply_faults(&self, patch: PlatformFaultsPatch) {
        if let Some(stale) = patch.stale_reads {
            self.table().set_stale(stale);
        }
        self.faults.send_modify(|faults| faults.apply(patch));
        self.wake_watches();
    }

    /// Waits as long as a slow platform does before it acts.
    pub(crate) async fn delay(&self) {
        let millis = self.faults.borrow().delay_ms;
        if millis > 0 {
            sleep(Duration::from_millis(millis)).await;
        }
    }

    /// Takes one of the answers that are to be lost, if any is left.
    pub(crate) fn take_lost_answer(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let left = faults.lose_answers.checked_sub(1);
            faults.lose_answers = left.unwrap_or(0);
            left.is_some()
        })
    }

    /// Waits until a fault severs a connection.
    pub(crate) async fn severed(&self, connection: &ConnectionState) {
        let mut faults = self.faults.subscribe();
        loop {
            if faults.changed().await.is_err() {
                return std::future::pending().await;
            }
            if connection.control.load(Ordering::Relaxed) {
                continue;
            }
            let zone = lock(&connection.zone).clone();
            if faults.borrow_and_update().severs(zone.as_deref()) {
                return;
            }
        }
    }

    /// Tells watches that there may be something to send.
    pub(crate) fn wake_watches(&self) {
        self.changes.send_replace(());
    }

    /// A receiver that [`Self::wake_watches`] wakes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Everything counted so far.
    pub(crate) fn report(&self) -> CallReport {
        let mut report = self.counter().report.clone();
        report.bytes_received = self.bytes.received.load(Ordering::Relaxed);
        report.bytes_sent = self.bytes.sent.load(Ordering::Relaxed);
        report
    }

    /// The VM list as a reader sees it now.
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

    /// Version and value of an object, past all faults.
    pub(crate) fn object(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Option<(ObjectVersion, serde_json::Value)> {
        let entry = self.table().get_current(kind, name)?.clone();
        Some((entry.version, parse_value(&entry.value)))
    }
}

/// Only checked JSON enters the table, so the fallback is never seen.
fn parse_value(value: &Bytes) -> serde_json::Value {
    serde_json::from_slice(value).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
