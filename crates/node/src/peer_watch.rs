//! Keeps requests away from peers that do not answer probes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_wire::{PeerHealth, PeerNews};
use tokio::{sync::mpsc::UnboundedReceiver, time::sleep};

use crate::context::NodeContext;

/// Time before the first attempt to reach a peer again; it doubles each time.
const FIRST_RECHECK: Duration = Duration::from_millis(250);

/// Longest time between two attempts to reach a peer again.
const MAX_RECHECK: Duration = Duration::from_secs(2);

/// Applies every change of a peer's health to the router, for ever.
pub async fn watch_peers(context: Arc<NodeContext>, mut news: UnboundedReceiver<PeerNews>) {
    while let Some(PeerNews { address, health }) = news.recv().await {
        let usable = health == PeerHealth::Reachable;
        if !context.set_peer_usable(address, usable) {
            continue;
        }
        log::info!(peer = address.to_string().as_str(); "peer is {health}");
        if !usable {
            tokio::spawn(recheck(context.clone(), address));
        }
    }
}

/// Tries to reach a peer until it is usable again or no route leads to it.
async fn recheck(context: Arc<NodeContext>, address: SocketAddr) {
    let mut pause = FIRST_RECHECK;
    loop {
        sleep(pause).await;
        pause = MAX_RECHECK.min(pause * 2);
        if !context.is_unusable(address) {
            return;
        }
        if !context.latest_view().leads_to(address) {
            context.set_peer_usable(address, true);
            return;
        }
        // A success is reported as news by the pool.
        let _ = context.peers.check(address).await;
    }
}
