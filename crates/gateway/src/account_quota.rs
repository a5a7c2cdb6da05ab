//! Limits of client accounts: asks and tells the owners of the limits, and answers as one.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AccountDecision, AccountKey, OWNER_REPLY_TIMEOUT, OwnerReply, QuotaTerms, ShareAsk, ShareGrant,
    SharedSubject, TOKEN_WAIT,
};
use carobstep_wire::WireErrorKind;
use log::debug;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    gateway::{Gateway, GatewayState},
    peer_messages::{PeerReply, PeerRequest, ShareRequest, ShortAccounts},
    shares::{call_owner, grant_shares},
};

/// Least time between two reports of one account's requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(15);

/// Number of owners that a request asks for a token, one after the other.
const MAX_OWNERS_ASKED: usize = 3;

/// Timeout of a call that tells a node that an account's tokens are short.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);

/// A client account whose requests are limited.
#[derive(Clone, Debug)]
pub(crate) struct LimitedAccount {
    pub(crate) account: AccountKey,
    pub(crate) name: Arc<str>,
    pub(crate) terms: QuotaTerms,
}

/// Counts a request against the limit of its account.
///
/// # Errors
///
/// Returns the time until a token is expected, if there is none.
pub(crate) async fn admit_request(
    gateway: &Rc<Gateway>,
    limited: Option<&LimitedAccount>,
) -> Result<(), Duration> {
    let Some(limited) = limited else { return Ok(()) };
    let LimitedAccount { account, terms, .. } = limited;
    let mut decision =
        gateway.state.borrow_mut().account_uses.decide(BootTime::now(), *account, terms);
    if decision == AccountDecision::Ask {
        let is_waiting = Rc::new(Cell::new(true));
        let asking = ask_owners(gateway, limited, is_waiting.clone());
        let reply = timeout(TOKEN_WAIT, asking).await;
        is_waiting.set(false);
        let nodes = gateway.state.borrow().peers.registered_nodes();
        let reply = match reply {
            Ok(Some(grant)) => OwnerReply::Granted(grant),
            Err(_) => OwnerReply::Late { nodes },
            Ok(None) => OwnerReply::Lost { nodes },
        };
        let uses = &mut gateway.state.borrow_mut().account_uses;
        decision = uses.decide_asked(BootTime::now(), *account, terms, reply);
    } else if gateway.state.borrow_mut().reporting.insert(*account) {
        spawn_local(report_uses(gateway.clone(), limited.clone()));
    }
    match decision {
        AccountDecision::Admit(source) => {
            gateway.reporter.count_admission(source);
            Ok(())
        }
        AccountDecision::Refuse(wait) => Err(wait),
        AccountDecision::Ask => Err(TOKEN_WAIT),
    }
}

/// Asks the owner of an account for a token, and the next one if it is gone.
async fn ask_owners(
    gateway: &Rc<Gateway>,
    limited: &LimitedAccount,
    is_waiting: Rc<Cell<bool>>,
) -> Option<ShareGrant> {
    let owner = || gateway.state.borrow().peers.account_owner(BootTime::now(), &limited.name);
    for _ in 0..MAX_OWNERS_ASKED {
        let asked = owner();
        let grant = tell_owner(gateway, limited, 1, is_waiting.clone()).await;
        if grant.is_some() || owner() == asked {
            return grant;
        }
    }
    None
}

/// Returns the token of a request that no server has run.
pub(crate) fn refund_request(gateway: &Gateway, limited: Option<&LimitedAccount>) {
    if let Some(limited) = limited {
        gateway.state.borrow_mut().account_uses.refund(BootTime::now(), limited.account);
    }
}

/// Reports the requests of an account until its owner knows of all.
async fn report_uses(gateway: Rc<Gateway>, limited: LimitedAccount) {
    while gateway.state.borrow().account_uses.has_unreported(limited.account) {
        // The result is recorded; a lost report is repeated.
        let _ = tell_owner(&gateway, &limited, 0, Rc::new(Cell::new(true))).await;
        sleep(REPORT_INTERVAL).await;
    }
    gateway.state.borrow_mut().reporting.swap_remove(&limited.account);
}

/// Reports requests to the owner of an account and asks it for tokens; `None` if it does not
/// know the limit or does not reply. Tokens that come when nobody is waiting any more are
/// kept for the next requests.
async fn tell_owner(
    gateway: &Rc<Gateway>,
    limited: &LimitedAccount,
    tokens: u32,
    is_waiting: Rc<Cell<bool>>,
) -> Option<ShareGrant> {
    let LimitedAccount { account, name, terms } = limited;
    let now = BootTime::now();
    let (request, owner, used) = {
        let state = &mut *gateway.state.borrow_mut();
        let (used, recent) = state.account_uses.report(now, *account, terms)?;
        let subject = SharedSubject::Account(name.clone());
        let asks = vec![ShareAsk { subject, tokens, used, recent }];
        let node = state.peers.own().name.clone();
        (ShareRequest { node, asks }, state.peers.account_owner(now, name), used)
    };
    let Some(owner) = owner else {
        let grant = grant_shares(gateway, &request).first().copied();
        record_answer(gateway, limited, used, grant);
        return grant.filter(|grant| grant.is_known);
    };
    // Ends also if the request no longer waits, so that the report counts only once.
    let (gateway, limited) = (gateway.clone(), limited.clone());
    let calling = spawn_local(async move {
        let reply = call_owner(&gateway, &owner, request, OWNER_REPLY_TIMEOUT).await;
        let grant = match reply {
            Ok(grants) => grants.first().copied(),
            // A node of the version before, which does not know of limits of accounts.
            Err(error) if error.kind() == WireErrorKind::Rejected => Some(ShareGrant::default()),
            Err(error) => {
                gateway.state.borrow_mut().peers.on_owner_failed(BootTime::now(), &owner);
                debug!(
                    peer = owner.as_ref(), account = limited.name.as_ref(), error:% = error;
                    "the owner of an account's limit did not reply"
                );
                None
            }
        };
        record_answer(&gateway, &limited, used, grant);
        if tokens > 0 && !is_waiting.get() {
            let tokens = grant.map_or(0, |grant| grant.tokens);
            let uses = &mut gateway.state.borrow_mut().account_uses;
            uses.keep_late(BootTime::now(), limited.account, tokens);
        }
        grant.filter(|grant| grant.is_known)
    });
    calling.await.ok().flatten()
}

fn record_answer(
    gateway: &Gateway,
    limited: &LimitedAccount,
    used: u32,
    grant: Option<ShareGrant>,
) {
    let now = BootTime::now();
    let uses = &mut gateway.state.borrow_mut().account_uses;
    match grant {
        Some(grant) => uses.on_answered(now, limited.account, &limited.terms, grant),
        None => uses.on_lost(now, limited.account, used),
    }
}

/// Returns the limit of an account; `None` if it has none or is not known.
pub(crate) fn terms_of_account(
    gateway: &Gateway,
    state: &GatewayState,
    account: AccountKey,
) -> Option<QuotaTerms> {
    let quota = state.accounts.get(account)?.quota?;
    Some(QuotaTerms::new(quota, gateway.settings.bounds.quota?))
}

/// Returns since when this node knows of all requests of an account, as its owner.
pub(crate) fn known_since(
    gateway: &Gateway,
    state: &GatewayState,
    now: BootTime,
    name: &Arc<str>,
) -> BootTime {
    let is_new = !state.owned_accounts.knows(name);
    // Others may know already that the node is gone which this one takes for the owner.
    if is_new && state.peers.account_owner(now, name).is_some() {
        return now;
    }
    state.peers.account_known_since(name, gateway.started)
}

/// Answers a node, which may be this one, as the owner of an account's limit.
pub(crate) fn answer_account(
    gateway: &Gateway,
    state: &mut GatewayState,
    node: &Arc<str>,
    (name, ask): (&Arc<str>, &ShareAsk),
) -> ShareGrant {
    let account = state.accounts.named(name);
    let terms = account.and_then(|account| terms_of_account(gateway, state, account));
    let Some(terms) = terms else { return ShareGrant::default() };
    let sender = (name, node, state.peers.registered_nodes());
    let now = BootTime::now();
    let has_successor = state.owned_accounts.successor(name).is_some();
    if has_successor && state.peers.account_owner(now, name).is_none() {
        // It is gone again.
        state.owned_accounts.forget(name);
    }
    let known_since = known_since(gateway, state, now, name);
    let GatewayState { owned_accounts, quotas, .. } = state;
    let grant = owned_accounts.answer(now, quotas, &terms, sender, (ask, known_since));
    gateway.accounts_notify.notify_one();
    grant
}

/// Tells all nodes of which accounts the tokens are short, for the lifetime of the process.
pub(crate) async fn announce_short_accounts(gateway: Rc<Gateway>) {
    loop {
        gateway.accounts_notify.notified().await;
        let (notice, peers) = {
            let state = &mut *gateway.state.borrow_mut();
            let accounts = state.owned_accounts.due_notices(BootTime::now());
            for name in &accounts {
                if let Some(account) = state.accounts.named(name) {
                    state.account_uses.on_short(BootTime::now(), account);
                }
            }
            let peers: Vec<_> =
                state.peers.live_entries().map(|it| (it.name.clone(), it.address)).collect();
            (ShortAccounts { node: state.peers.own().name.clone(), accounts }, peers)
        };
        if notice.accounts.is_empty() {
            continue;
        }
        let notice = Rc::new(notice);
        for (name, address) in peers {
            let (gateway, notice) = (gateway.clone(), notice.clone());
            spawn_local(async move {
                let request = PeerRequest::ShortAccounts(ShortAccounts::clone(&notice));
                let calling = gateway.peer_pool.call_typed::<_, PeerReply>(address, &request);
                let Ok(Ok(PeerReply::Support(supported))) = timeout(NOTICE_TIMEOUT, calling).await
                else {
                    debug!(peer = name.as_ref(); "a node was not told that tokens are short");
                    return;
                };
                let owned = &mut gateway.state.borrow_mut().owned_accounts;
                for (account, is_supported) in notice.accounts.iter().zip(supported) {
                    if is_supported {
                        owned.on_support(BootTime::now(), account, &name);
                    }
                }
            });
        }
    }
}

/// Applies the word of an owner that tokens are short. Returns for each account whether this
/// node takes the sender for its owner.
pub(crate) fn apply_notice(gateway: &Gateway, notice: &ShortAccounts) -> Vec<bool> {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    state.peers.on_owner_heard(&notice.node);
    let mut supported = Vec::with_capacity(notice.accounts.len());
    for name in &notice.accounts {
        if let Some(account) = state.accounts.named(name) {
            state.account_uses.on_short(now, account);
        }
        let owner = state.peers.account_owner(now, name);
        supported.push(owner.as_ref() == Some(&notice.node));
    }
    supported
}
