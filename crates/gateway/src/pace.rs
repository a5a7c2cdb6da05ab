//! Reports how servers come back that have started or recovered.

use log::info;

use crate::gateway::Gateway;

/// Reports the servers that no longer get fewer requests than others.
pub(crate) fn report_paces(gateway: &Gateway) {
    let events = gateway.state.borrow_mut().fleet.take_pace_events();
    for event in events {
        gateway.reporter.count_pace_end(event.end);
        info!(
            server = event.server.as_ref(), end:% = event.end, good = event.good, bad = event.bad;
            "server gets as many requests as others again"
        );
    }
}
