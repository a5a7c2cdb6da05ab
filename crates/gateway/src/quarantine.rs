//! Announces to all other nodes at once which requests crash servers, and which do not
//! after all. A caller sends such a request again within milliseconds, faster than the
//! calls that spread the store's data pass it on.

use std::{rc::Rc, time::Duration};

use carobstep_clock::BootTime;
use log::debug;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    gateway::Gateway,
    peer_messages::{PeerReply, PeerRequest},
};

/// Timeout of a call; a node that does not reply learns of the request with its next update.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Least time between two rounds of calls.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests in one call; the others spread with the updates.
const MAX_ANNOUNCED: usize = 64;

/// Announces the requests that this node quarantines or clears, for the lifetime of the
/// process.
pub(crate) async fn announce_quarantines(gateway: Rc<Gateway>) {
    loop {
        gateway.quarantine_notify.notified().await;
        let (records, peers) = {
            let state = &mut *gateway.state.borrow_mut();
            let requests = std::mem::take(&mut state.unannounced);
            let now = BootTime::now();
            let known = requests.iter().filter_map(|request| state.crashes.record(now, *request));
            let records: Vec<_> = known.take(MAX_ANNOUNCED).collect();
            let peers: Vec<_> = state.peers.live_entries().map(|peer| peer.address).collect();
            (records, peers)
        };
        let request = Rc::new(PeerRequest::Crashes(records));
        for address in peers {
            let (gateway, request) = (gateway.clone(), request.clone());
            spawn_local(async move {
                let calling = gateway.peer_pool.call_typed::<_, PeerReply>(address, &*request);
                if !matches!(timeout(CALL_TIMEOUT, calling).await, Ok(Ok(_))) {
                    debug!(peer:% = address; "a request that crashes servers was not announced");
                }
            });
        }
        sleep(ROUND_INTERVAL).await;
    }
}
