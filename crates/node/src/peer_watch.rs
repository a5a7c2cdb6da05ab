//! Stops sending requests to peers that do not answer probes, until they answer
//! again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_wire::{PeerHealth, PeerHealthUpdate};
use tokio::{sync::mpsc::UnboundedReceiver, time::sleep};

use crate::context::NodeContext;

/// Delay before the first attempt to reach a peer again. It doubles with each
/// attempt.
const INITIAL_RECHECK_DELAY: Duration = Duration::from_millis(250);

/// Longest delay between two attempts to reach a peer again.
const MAX_RECHECK_DELAY: Duration = Duration::from_secs(2);

/// Applies every update of a peer's health to the router, until the sender of
/// the updates is dropped.
pub async fn watch_peers(
    context: Arc<NodeContext>,
    mut updates: UnboundedReceiver<PeerHealthUpdate>,
) {
    while let Some(PeerHealthUpdate { address, health }) = updates.recv().await {
        let was_failing = context.is_peer_failing(address);
        if !context.set_peer_health(address, health) {
            continue;
        }
        log::info!(peer = address.to_string().as_str(); "peer is {health}");
        if !was_failing {
            tokio::spawn(recheck(context.clone(), address));
        }
    }
}

/// Probes a peer with increasing delays until it answers again. Marks it reachable
/// and stops as soon as no route goes to it, since only routes send requests.
async fn recheck(context: Arc<NodeContext>, address: SocketAddr) {
    let mut delay = INITIAL_RECHECK_DELAY;
    loop {
        sleep(delay).await;
        delay = MAX_RECHECK_DELAY.min(delay * 2);
        if !context.is_peer_failing(address) {
            return;
        }
        if !context.latest_view().has_route_to(address) {
            context.set_peer_health(address, PeerHealth::Reachable);
            return;
        }
        // The pool reports a success as an update of the peer's health.
        let _ = context.peers.check_reachable(address).await;
    }
}
