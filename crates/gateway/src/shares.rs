//! Tokens of limits that all nodes share: asks their owners for them, and grants them.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{OWNER_REPLY_TIMEOUT, ShareAsk, ShareGrant, ShareTerms, SharedSubject};
use carobstep_wire::{WireError, WireErrorKind};
use log::debug;
use tokio::time::{sleep, timeout};

use crate::{
    account_quota::answer_account,
    cold::answer_cold,
    gateway::{Gateway, GatewayState},
    peer_messages::{PeerReply, PeerRequest, ShareRequest},
};

/// Timeout of a call to an owner; a retry that waits longer is of little use.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Least time between two calls, so that retries that fail together cost one call.
const ASK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which an owner that doesn't know such requests is not asked again.
const UNKNOWN_PAUSE: Duration = Duration::from_secs(5);

/// Asks the owner in this node's zone for tokens of retry budgets when requests lack them,
/// for the lifetime of the process.
pub(crate) async fn ask_for_extra(gateway: Rc<Gateway>) {
    let mut unknown_until = BootTime::ZERO;
    loop {
        gateway.extra_notify.notified().await;
        let asked_at = BootTime::now();
        let asks = gateway.state.borrow_mut().fleet.extra_asks(asked_at);
        if asks.is_empty() || asked_at < unknown_until {
            sleep(ASK_INTERVAL).await;
            continue;
        }
        let (request, owner) = {
            let state = gateway.state.borrow();
            let entry = |(service, tokens): &(Arc<str>, u32)| ShareAsk {
                subject: SharedSubject::ExtraRequests(service.clone()),
                tokens: *tokens,
                used: 0,
                recent: 0,
            };
            let own = state.peers.own();
            let asks = asks.iter().map(entry).collect();
            let owner = state.peers.quota_owner(asked_at, &own.zone);
            (ShareRequest { node: own.name.clone(), asks }, owner)
        };
        let grants = match owner {
            None => grant_shares(&gateway, &request),
            Some(owner) => match call_owner(&gateway, &owner, request, ASK_TIMEOUT).await {
                Ok(grants) => grants,
                Err(error) => {
                    debug!(peer = owner.as_ref(), error:% = error; "no tokens for retries");
                    if error.kind() == WireErrorKind::Rejected {
                        unknown_until = asked_at + UNKNOWN_PAUSE;
                    }
                    Vec::new()
                }
            },
        };
        let now = BootTime::now();
        {
            let fleet = &mut gateway.state.borrow_mut().fleet;
            for (position, (service, tokens)) in asks.iter().enumerate() {
                let granted = grants.get(position).map_or(0, |grant| grant.tokens);
                fleet.add_extra_tokens(now, asked_at, service, (*tokens, granted));
            }
        }
        sleep(ASK_INTERVAL).await;
    }
}

/// Sends requests for tokens to the node that owns the limits, and waits for the reply for
/// the time `limit`.
///
/// # Errors
///
/// Fails with kind `Rejected` if the node doesn't know such requests, and otherwise if it does
/// not reply; it then counts as failed.
pub(crate) async fn call_owner(
    gateway: &Gateway,
    owner: &Arc<str>,
    request: ShareRequest,
    limit: Duration,
) -> Result<Vec<ShareGrant>, WireError> {
    let address = gateway.state.borrow().peers.address(owner);
    let unreachable = |text: &str| WireError::new(WireErrorKind::NotSent, text.to_owned());
    let address = address.ok_or_else(|| unreachable("the owner is not known any more"))?;
    let asks = request.asks.clone();
    let request = PeerRequest::Share(request);
    let calling = gateway.peer_pool.call_typed(address, &request);
    let reply = timeout(limit, calling)
        .await
        .unwrap_or_else(|_| Err(unreachable("the owner did not reply in time")));
    match reply {
        Ok(PeerReply::Share(grants)) => {
            Ok(grants.into_iter().zip(&asks).map(|(grant, ask)| grant.within(ask)).collect())
        }
        Ok(_) => Err(WireError::new(WireErrorKind::Rejected, "another reply".to_owned())),
        Err(error) => {
            if error.kind() != WireErrorKind::Rejected {
                gateway.state.borrow_mut().peers.on_failed(BootTime::now(), owner);
            }
            Err(error)
        }
    }
}

/// Answers a request for tokens of another node; passes it on to the node that the account was
/// handed over to.
pub(crate) async fn answer_shares(gateway: &Gateway, request: ShareRequest) -> Vec<ShareGrant> {
    let successor = match &request.asks[..] {
        [ShareAsk { subject: SharedSubject::Account(name), .. }] => {
            let state = gateway.state.borrow();
            let handed_over = state.owned_accounts.successor(name);
            handed_over.and_then(|_| state.peers.account_owner(BootTime::now(), name))
        }
        _ => None,
    };
    let Some(successor) = successor else { return grant_shares(gateway, &request) };
    let limit = OWNER_REPLY_TIMEOUT / 2;
    call_owner(gateway, &successor, request, limit).await.unwrap_or_else(|error| {
        debug!(peer = successor.as_ref(), error:% = error; "the next owner did not reply");
        vec![ShareGrant::default()]
    })
}

/// Grants tokens that a node, which may be this one, asks for.
pub(crate) fn grant_shares(gateway: &Gateway, request: &ShareRequest) -> Vec<ShareGrant> {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    let mut grants = Vec::with_capacity(request.asks.len());
    for ask in &request.asks {
        if let SharedSubject::Account(name) = &ask.subject {
            grants.push(answer_account(gateway, state, &request.node, (name, ask)));
            continue;
        }
        if let SharedSubject::ColdServer(server) = &ask.subject {
            grants.push(answer_cold(state, &request.node, (server, ask)));
            continue;
        }
        let Some(terms) = terms_of(gateway, state, &ask.subject) else {
            grants.push(ShareGrant::default());
            continue;
        };
        let tokens = state.quotas.grant(now, &ask.subject, terms, 1.0, ask.tokens);
        let left = state.quotas.tokens(now, &ask.subject, terms, 1.0);
        let level = (left / terms.depth.max(1.0) * 1000.0).clamp(0.0, 1000.0) as u16;
        grants.push(ShareGrant { tokens, level, is_known: true });
    }
    grants
}

/// Returns the terms on which this node hands out a limit, if it owns such limits.
fn terms_of(
    gateway: &Gateway,
    state: &GatewayState,
    subject: &SharedSubject,
) -> Option<ShareTerms> {
    match subject {
        SharedSubject::ExtraRequests(_) => {
            Some(state.fleet.extra_pool()?.terms(BootTime::now(), gateway.started))
        }
        SharedSubject::Server(_) | SharedSubject::ColdServer(_) | SharedSubject::Account(_) => None,
    }
}
