//! Hands what this node knows as the owner of client accounts over to the next owner: when it
//! stops, and when another node comes before it.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::AccountHandover;
use indexmap::IndexMap;
use log::{debug, info};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    account_quota::{known_since, terms_of_account},
    gateway::{Gateway, GatewayState},
    peer_messages::{AccountsHandover, PeerReply, PeerRequest},
};

/// Interval at which a node checks whether another one owns its accounts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a call to the next owner.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Hands accounts over to the nodes that own them from now on, for the lifetime of the process.
pub(crate) async fn hand_over_accounts(gateway: Rc<Gateway>) {
    let mut changes = gateway.change_count.subscribe();
    loop {
        if gateway.state.borrow().owned_accounts.is_empty() {
            // The sender lives as long as the gateway.
            let _ = changes.changed().await;
        }
        sleep(CHECK_INTERVAL).await;
        let handovers = take_handovers(&gateway, &mut gateway.state.borrow_mut());
        for (successor, accounts) in handovers {
            spawn_local(call_successor(gateway.clone(), successor, accounts, false));
        }
    }
}

/// Tells all nodes that this one stops and owns no limits any more, and hands its accounts over
/// to their next owners.
pub(crate) fn hand_over_all(gateway: &Rc<Gateway>) {
    let (mut handovers, peers) = {
        let state = &mut *gateway.state.borrow_mut();
        if !state.accounts.is_in_force() {
            return;
        }
        state.peers.leave();
        let peers: Vec<_> = state.peers.live_entries().map(|it| it.name.clone()).collect();
        (take_handovers(gateway, state), peers)
    };
    info!(
        accounts = handovers.values().map(Vec::len).sum::<usize>(), owners = handovers.len();
        "handing over the limits of client accounts"
    );
    for peer in peers {
        let accounts = handovers.swap_remove(&peer).unwrap_or_default();
        spawn_local(call_successor(gateway.clone(), peer, accounts, true));
    }
}

/// Returns what this node knows of the accounts that it owned, by their next owner.
fn take_handovers(
    gateway: &Gateway,
    state: &mut GatewayState,
) -> IndexMap<Arc<str>, Vec<AccountHandover>> {
    let now = BootTime::now();
    let names: Vec<Arc<str>> = state.owned_accounts.names().cloned().collect();
    let mut handovers: IndexMap<Arc<str>, Vec<AccountHandover>> = IndexMap::new();
    for name in names {
        let Some(successor) = state.peers.account_owner(now, &name) else { continue };
        let account = state.accounts.named(&name);
        let terms = account.and_then(|account| terms_of_account(gateway, state, account));
        let Some(terms) = terms else { continue };
        let GatewayState { owned_accounts, quotas, .. } = state;
        let handover = owned_accounts.hand_over(now, quotas, &terms, (&name, &successor));
        if let Some(handover) = handover {
            handovers.entry(successor).or_default().push(handover);
        }
    }
    handovers
}

async fn call_successor(
    gateway: Rc<Gateway>,
    successor: Arc<str>,
    accounts: Vec<AccountHandover>,
    is_stopping: bool,
) {
    let names: Vec<_> = accounts.iter().map(|it| it.account.clone()).collect();
    let (address, node) = {
        let state = gateway.state.borrow();
        (state.peers.address(&successor), state.peers.own().name.clone())
    };
    let Some(address) = address else { return };
    let request = PeerRequest::Handover(AccountsHandover { node, is_stopping, accounts });
    let calling = gateway.peer_pool.call_typed::<_, PeerReply>(address, &request);
    let failure = match timeout(HANDOVER_TIMEOUT, calling).await {
        Ok(Ok(_)) => return,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no reply in time".to_owned(),
    };
    debug!(
        peer = successor.as_ref(), accounts = names.len(), error = failure.as_str();
        "the limits of accounts were not handed over"
    );
    let state = &mut *gateway.state.borrow_mut();
    if !names.is_empty() {
        state.peers.on_owner_failed(BootTime::now(), &successor);
    }
    for name in names {
        state.owned_accounts.forget(&name);
    }
}

/// Applies what an earlier owner of limits knew.
pub(crate) fn apply_handover(gateway: &Gateway, handover: &AccountsHandover) {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    if handover.is_stopping {
        state.peers.on_handed_over(&handover.node);
    }
    for account in &handover.accounts {
        let key = state.accounts.named(&account.account);
        let terms = key.and_then(|key| terms_of_account(gateway, state, key));
        let Some(terms) = terms else { continue };
        let known_since = known_since(gateway, state, now, &account.account);
        let GatewayState { owned_accounts, quotas, .. } = state;
        owned_accounts.take_over(now, quotas, &terms, (account, known_since));
        debug!(
            account = account.account.as_ref(), from = handover.node.as_ref(),
            tokens = account.millitokens / 1000, known_for:? = account.known_for;
            "took over the limit of an account"
        );
    }
}
