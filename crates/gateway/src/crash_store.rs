//! Keeps the requests that crash servers in the platform's store, so that they stay known
//! when all processes are killed.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use carobstep_clock::BootTime;
use carobstep_platform::{
    CRASH_KIND, ObjectRequest, ReadFreshness, read_crash, read_page, write_crash,
};
use carobstep_tier::{CrashRecord, RequestFingerprint};
use http::Method;
use indexmap::IndexSet;
use log::warn;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::{
    follow::is_store_watcher,
    gateway::Gateway,
    store_objects::{Creation, ExistingObject, create_object, remove_object, replace_object, send},
};

/// Least time between two writes of a node.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a node without anything to write looks whether it watches the store now,
/// and whether the store was restored.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time after its start within which a node learns of others, if there are any.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Time after its start within which a node learns whether it watches the store.
const START_TIME: Duration = Duration::from_secs(5);

/// Time over which pauses after failed calls are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(2_000);

/// Maximum number of objects that a node has in the store.
const MAX_STORED: usize = 64;

/// Interval at which a node looks for objects that have outlived their records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Stores the records of this node, for the lifetime of the process. The node that watches
/// the store reads the stored ones first; the others learn of them with its updates.
pub(crate) async fn store_crashes(gateway: Rc<Gateway>) {
    let mut has_read = false;
    let mut era = store_era(&gateway);
    let mut expiry_at = BootTime::now() + EXPIRY_INTERVAL;
    loop {
        // Without other nodes, each one takes itself for the watcher at first.
        let knows_nodes = gateway.state.borrow().peers.entries().next().is_some();
        let is_settled = knows_nodes || BootTime::now().since(gateway.started) >= DISCOVERY_TIME;
        if !has_read && is_settled && is_store_watcher(&gateway) {
            if let Err(reason) = read_records(&gateway).await {
                warn!(reason = reason.as_str(); "requests that crash servers could not be read");
                pause_after_failure().await;
                continue;
            }
            has_read = true;
        }
        let is_starting = BootTime::now().since(gateway.started) < START_TIME;
        if is_starting || !gateway.state.borrow().unstored.is_empty() {
            sleep(WRITE_INTERVAL).await;
        } else {
            let notify = gateway.state.borrow().unstored_notify.clone();
            let _ = timeout(CHECK_INTERVAL, notify.notified()).await;
        }
        let now = BootTime::now();
        if store_era(&gateway) != era {
            // The store was restored from a copy that may lack the objects.
            era = store_era(&gateway);
            let state = &mut *gateway.state.borrow_mut();
            state.unstored.extend(state.stored.iter().copied());
        }
        if now >= expiry_at {
            expiry_at = now + EXPIRY_INTERVAL;
            let state = &mut *gateway.state.borrow_mut();
            let is_over =
                |it: &&RequestFingerprint| state.crashes.lasting_record(now, **it).is_none();
            let over: Vec<_> = state.stored.iter().filter(is_over).copied().collect();
            state.unstored.extend(over);
        }
        let next = gateway.state.borrow_mut().unstored.shift_remove_index(0);
        let Some(request) = next else { continue };
        if let Err(reason) = write_record(&gateway, request).await {
            warn!(
                fingerprint:% = request, reason = reason.as_str();
                "a request that crashes servers could not be stored"
            );
            let unstored = &mut gateway.state.borrow_mut().unstored;
            if unstored.len() < MAX_STORED {
                unstored.insert(request);
            }
        } else {
            continue;
        }
        pause_after_failure().await;
    }
}

async fn pause_after_failure() {
    let fraction = rand::rng().random_range(0.5..1.5);
    sleep(RETRY_SPREAD.mul_f64(fraction)).await;
}

fn store_era(gateway: &Gateway) -> u64 {
    gateway.state.borrow().directory.revision().era
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Reads all stored records, and takes over their objects.
async fn read_records(gateway: &Rc<Gateway>) -> Result<(), String> {
    let mut after: Option<String> = None;
    loop {
        let freshness = ReadFreshness::Latest;
        let request = ObjectRequest::List { kind: CRASH_KIND, after: after.as_deref(), freshness };
        let reply = send(gateway, Method::GET, request.path(), Vec::new()).await?;
        if !reply.status.is_success() {
            return Err(format!("status {}", reply.status));
        }
        let page = read_page(CRASH_KIND, &reply.body).map_err(|error| error.to_string())?;
        let mut records = Vec::with_capacity(page.objects.len());
        for object in page.objects.iter().flatten() {
            match read_crash(object, epoch_ms()) {
                Ok(record) => records.push(record),
                Err(error) => {
                    gateway.reporter.count_unreadable(CRASH_KIND);
                    warn!(kind = CRASH_KIND, reason:% = error; "unreadable object ignored");
                }
            }
        }
        take_over(gateway, &records);
        if !page.more {
            return Ok(());
        }
        let last_name = page.last_name.filter(|name| after.as_ref() != Some(name));
        after = Some(last_name.ok_or("a page names no object to continue after")?);
    }
}

fn take_over(gateway: &Gateway, records: &[CrashRecord]) {
    let own_changes: IndexSet<_> = gateway.state.borrow().unstored.clone();
    gateway.merge_crashes(records);
    let state = &mut *gateway.state.borrow_mut();
    for record in records {
        let request = record.request;
        if !own_changes.contains(&request) {
            state.unstored.shift_remove(&request);
        }
        state.stored.insert(request);
    }
}

/// Writes the record of a request, or removes its object if it is no longer quarantined.
async fn write_record(gateway: &Gateway, request: RequestFingerprint) -> Result<(), String> {
    let now = BootTime::now();
    let name = request.to_string();
    let record = gateway.state.borrow().crashes.lasting_record(now, request);
    let Some(record) = record else {
        remove_object(gateway, (CRASH_KIND, &name), None).await?;
        gateway.state.borrow_mut().stored.shift_remove(&request);
        return Ok(());
    };
    {
        let state = &mut *gateway.state.borrow_mut();
        if state.stored.len() >= MAX_STORED && !state.stored.contains(&request) {
            warn!(fingerprint:% = request; "too many requests crash servers to store this one");
            return Ok(());
        }
    }
    let body = write_crash(&record, epoch_ms()).map_err(|error| error.to_string())?;
    let creation = create_object(gateway, CRASH_KIND, body).await?;
    gateway.state.borrow_mut().stored.insert(request);
    let Creation::Exists(ExistingObject { object, revision }) = creation else { return Ok(()) };
    if let Ok(stored) = read_crash(&object, epoch_ms()) {
        if (CrashRecord { age: record.age, ..stored.clone() }) == record {
            return Ok(());
        }
        gateway.merge_crashes(&[stored]);
    }
    let merged = gateway.state.borrow().crashes.lasting_record(now, request).unwrap_or(record);
    let body = write_crash(&merged, epoch_ms()).map_err(|error| error.to_string())?;
    // An object that was removed meanwhile belongs to a request that was cleared. Of one that
    // has changed, the next try reads what it holds now.
    replace_object(gateway, (CRASH_KIND, &name), revision.number, body).await.map(|_| ())
}
