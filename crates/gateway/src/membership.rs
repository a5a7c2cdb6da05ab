//! Registers this node in the platform's store and deregisters it at shutdown.

use std::{rc::Rc, time::Duration};

use carobstep_platform::{NODE_KIND, node_incarnation, write_node};
use carobstep_tier::{PeerEntry, StoreRevision};
use log::{info, warn};
use rand::RngExt;
use tokio::{task::spawn_local, time::sleep};

use crate::{
    gateway::Gateway,
    store_objects::{Creation, ExistingObject, create_object, remove_object, replace_object},
};

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest pause after repeatedly failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// Pause after a failed deregistration, since the process ends soon.
const DEREGISTRATION_PAUSE: Duration = Duration::from_millis(400);

/// Shortest time over which the nodes spread their calls when their entries are gone.
const MIN_SPREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time over which they are spread for each node, since all entries may be gone at once.
const SPREAD_TIME_PER_NODE: Duration = Duration::from_millis(10);

/// Registers the node in a background task, with retries.
pub(crate) fn register(gateway: &Rc<Gateway>) {
    gateway.state.borrow_mut().registration.on_write_started();
    register_after(gateway, Duration::ZERO);
}

fn register_after(gateway: &Rc<Gateway>, delay: Duration) {
    let gateway = gateway.clone();
    spawn_local(async move {
        sleep(delay).await;
        let mut pause = RETRY_PAUSE;
        while !gateway.state.borrow().lifecycle.is_stopping() {
            match write_node_object(&gateway).await {
                Ok(revision) => {
                    info!(era = revision.era, revision = revision.number; "registered");
                    if !gateway.state.borrow_mut().registration.on_written(revision) {
                        break;
                    }
                }
                Err(reason) => {
                    warn!(
                        reason = reason.as_str();
                        "registration in the store failed; other nodes delegate no searches to \
                         this node until it succeeds"
                    );
                }
            }
            sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
        // The write may have ended after the node was deregistered.
        if gateway.state.borrow().lifecycle.is_stopping() {
            deregister(&gateway).await;
        }
    });
}

/// Registers the node again if its entry is not in `nodes`, a complete list of the nodes as
/// of a revision of the store. The store may have been restored from a copy that lacks it.
pub(crate) fn check_registration(
    gateway: &Rc<Gateway>,
    revision: StoreRevision,
    nodes: &[(StoreRevision, PeerEntry)],
) {
    let is_gone = {
        let state = &mut *gateway.state.borrow_mut();
        let own = &state.peers.own().name;
        !nodes.iter().any(|(_, node)| node.name == *own) && state.registration.on_missing(revision)
    };
    if is_gone {
        register_again(gateway, revision);
    }
}

/// Registers the node again if the entry that was removed is its own: an earlier process may
/// have removed it, by a call that the store executed late.
pub(crate) fn check_removal(gateway: &Rc<Gateway>, revision: StoreRevision, name: &str) {
    let is_gone = {
        let state = &mut *gateway.state.borrow_mut();
        *name == *state.peers.own().name && state.registration.on_removed(revision)
    };
    if is_gone {
        register_again(gateway, revision);
    }
}

fn register_again(gateway: &Rc<Gateway>, revision: StoreRevision) {
    if gateway.state.borrow().lifecycle.is_stopping() {
        return;
    }
    warn!(
        era = revision.era, revision = revision.number;
        "the entry of this node is gone; registering again"
    );
    let nodes = gateway.state.borrow().peers.live_nodes();
    let spread = MIN_SPREAD_TIME + SPREAD_TIME_PER_NODE * nodes;
    let fraction = rand::rng().random_range(0.0..1.0);
    register_after(gateway, spread.mul_f64(fraction));
}

/// Removes the node's object, so that peers no longer follow the node or delegate searches
/// to it. Repeats the call until the store has answered.
pub(crate) async fn deregister(gateway: &Gateway) {
    let name = gateway.settings.node.as_str();
    let number = {
        let state = gateway.state.borrow();
        // In a restored store, the entry may have another revision.
        let era = state.directory.revision().era;
        state.registration.revision().filter(|written| written.era == era).map(|it| it.number)
    };
    while let Err(reason) = remove_object(gateway, (NODE_KIND, name), number).await {
        warn!(
            reason = reason.as_str();
            "deregistration failed; the node's entry stays in the store until it succeeds"
        );
        sleep(DEREGISTRATION_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}

/// Creates the node's object, or replaces the one left by an earlier process, so that the
/// object has a revision that no call of that process names. Returns the revision of the
/// object; its number is zero if the store does not tell.
async fn write_node_object(gateway: &Gateway) -> Result<StoreRevision, String> {
    let own = gateway.state.borrow().peers.own().clone();
    let body = write_node(&own, gateway.incarnation).map_err(|error| error.to_string())?;
    let existing = match create_object(gateway, NODE_KIND, body.clone()).await? {
        Creation::Created(revision) => return Ok(revision),
        Creation::Exists(existing) => existing,
    };
    let ExistingObject { object, revision } = existing;
    // The answer to an earlier call of this process may be lost.
    if node_incarnation(&object) == Some(gateway.incarnation) {
        return Ok(revision);
    }
    let written = replace_object(gateway, (NODE_KIND, &own.name), revision.number, body).await?;
    written.ok_or_else(|| "the entry was removed meanwhile".to_owned())
}
