//! Client accounts of requests: whose key a request carries, and what servers learn of it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_platform::headers::{self, ForwardedAccount};
use carobstep_tier::{AccountAccess, KeyConflict, RequestPriority, RouteConfig};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use log::warn;

use crate::{
    account_quota::{LimitedAccount, terms_of_account},
    gateway::Gateway,
    handler::empty_response,
};

/// Client account of a request that may be served.
#[derive(Clone, Debug)]
pub(crate) struct RequestAccess {
    /// Name of the account.
    pub(crate) name: Option<Arc<str>>,
    /// Whether the configuration has accounts.
    is_in_force: bool,
    /// Name that counters use: that of the account if it is one of the largest.
    pub(crate) label: Option<Arc<str>>,
    /// The account, if its requests are limited.
    pub(crate) limited: Option<LimitedAccount>,
    /// Priority of the request, by its account and its route.
    pub(crate) priority: RequestPriority,
}

impl RequestAccess {
    /// Returns what servers learn of the account.
    pub(crate) fn forwarded_account(&self) -> ForwardedAccount<'_> {
        match &self.name {
            Some(name) => ForwardedAccount::Named(name),
            None if self.is_in_force => ForwardedAccount::Absent,
            None => ForwardedAccount::AsSent,
        }
    }
}

/// Finds the client account of a request. Returns `None` if the route needs a key that no
/// account has.
pub(crate) fn identify(
    gateway: &Gateway,
    route: &RouteConfig,
    headers: &HeaderMap,
) -> Option<RequestAccess> {
    let state = &*gateway.state.borrow();
    let accounts = &state.accounts;
    let account = match accounts.identify(route.is_public, headers::account_key_of(headers)) {
        AccountAccess::Denied => return None,
        AccountAccess::Open | AccountAccess::Anonymous => None,
        AccountAccess::Known(account) => Some(account),
    };
    let entry = account.and_then(|account| accounts.get(account));
    let limited = account.zip(entry).and_then(|(account, entry)| {
        let terms = terms_of_account(gateway, state, account)?;
        Some(LimitedAccount { account, name: entry.name.clone(), terms })
    });
    Some(RequestAccess {
        limited,
        is_in_force: accounts.is_in_force(),
        name: entry.map(|entry| entry.name.clone()),
        label: entry.map(|entry| if entry.is_large { entry.name.clone() } else { "other".into() }),
        priority: RequestPriority::new(entry.and_then(|entry| entry.priority), route.priority),
    })
}

/// Builds the response to a request whose key no account has.
pub(crate) fn unknown_key_response() -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::UNAUTHORIZED);
    response.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Token"));
    response
}

/// Builds the response to a request beyond the limit of its account.
pub(crate) fn over_limit_response(wait: Duration) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
    response.headers_mut().insert(header::RETRY_AFTER, headers::retry_after_value(wait));
    response
}

/// Logs the accounts that list the same key, without the key.
pub(crate) fn log_conflicts(conflicts: &[KeyConflict]) {
    for KeyConflict { holder, other } in conflicts {
        warn!(
            account = holder.as_ref(), other = other.as_ref();
            "two client accounts list the same key; it counts for the first"
        );
    }
}
