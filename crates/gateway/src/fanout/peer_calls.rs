//! Calls that hand shards of a request to a peer, and the validation of its replies.

use std::time::Duration;

use bytes::BytesMut;
use carobstep_clock::BootTime;
use carobstep_tier::{ClassKey, DelegationUpdate, ShardIndex};
use carobstep_wire::{ReplyStream, WireError, WireErrorKind};
use http::StatusCode;
use log::{debug, info};

use super::MAX_RESPONSE_BYTES;
use crate::{
    backend::{BackendResponse, is_final},
    gateway::Gateway,
    peer_messages::{
        DelegatedOutcome, DelegatedParts, DelegatedResponse, DelegatedVerdict, PeerReply,
        PeerRequest,
    },
    peers::read_headers,
    report::DelegationOutcome,
};

/// What a peer has sent for a delegation.
#[derive(Clone, Debug)]
pub(super) enum PeerResult {
    /// Merged results of shards of a search.
    Parts(DelegatedParts),
    /// The response to a request to one service, also if it reports a failure.
    Response(BackendResponse),
    /// Time after which a refused caller may find servers that accept requests.
    RetryIn(Duration),
}

/// Sends a request for `shards` to a peer, passes each valid reply to `notify`, and returns
/// how the delegation ended; `None` if the last reply says so.
pub(super) async fn call_peer(
    gateway: &Gateway,
    peer: &str,
    request: &PeerRequest,
    shards: &[ShardIndex],
    class: ClassKey,
    notify: impl Fn(DelegationUpdate, Option<PeerResult>),
) -> Option<DelegationUpdate> {
    let address = gateway.state.borrow().peers.address(peer);
    let Some(address) = address else { return Some(DelegationUpdate::NotSent) };
    let sent = BootTime::now();
    let on_failure = || gateway.state.borrow_mut().peers.on_failed(BootTime::now(), peer);
    let failure_of = |error: &WireError| {
        debug!(peer = peer, error:% = error; "delegation failed");
        if error.kind() == WireErrorKind::Rejected {
            info!(peer = peer; "a peer knows no delegated requests with a digest of their services");
            gateway.state.borrow_mut().peers.on_names_rejected(BootTime::now(), peer);
            return Some(DelegationUpdate::NotSent);
        }
        on_failure();
        match error.kind() {
            WireErrorKind::NotSent => Some(DelegationUpdate::NotSent),
            _ => Some(DelegationUpdate::Lost),
        }
    };
    let mut replies = match gateway.peer_pool.call_streaming(address, request).await {
        Ok(replies) => replies,
        Err(error) => return failure_of(&error),
    };
    let mut has_reply = false;
    loop {
        let reply = match replies.next().await {
            Ok(Some(reply)) => reply,
            Ok(None) => return Some(DelegationUpdate::Ended),
            Err(error) => return failure_of(&error),
        };
        let (leaving, links) = match &reply {
            PeerReply::Parts(parts) => (&parts.leaving[..], &parts.links[..]),
            PeerReply::Outcome(outcome) => (&outcome.leaving[..], &outcome.links[..]),
            PeerReply::Full(retry_in) => {
                gateway.state.borrow_mut().peers.on_full(BootTime::now(), peer, *retry_in);
                return Some(DelegationUpdate::NotSent);
            }
            _ => {
                on_failure();
                return Some(DelegationUpdate::NotSent);
            }
        };
        gateway.mark_leaving(leaving);
        gateway.merge_links(links);
        if !has_reply {
            has_reply = true;
            gateway.reporter.count_delegation(DelegationOutcome::Answered);
            let state = &mut *gateway.state.borrow_mut();
            let now = BootTime::now();
            state.fleet.classes.record_delegation(class, now.since(sent));
            state.peers.on_answered(now, peer);
        }
        match reply {
            PeerReply::Parts(parts) => {
                let is_valid = pass_parts(peer, parts, shards, &notify);
                if !is_valid {
                    return Some(DelegationUpdate::Lost);
                }
            }
            PeerReply::Outcome(outcome) => {
                return pass_outcome(gateway, *outcome, shards, &mut replies, &notify).await;
            }
            _ => {}
        }
    }
}

/// Passes results of shards to `notify`; returns whether they are valid.
fn pass_parts(
    peer: &str,
    parts: DelegatedParts,
    shards: &[ShardIndex],
    notify: &impl Fn(DelegationUpdate, Option<PeerResult>),
) -> bool {
    let answered = shards_at(&parts.shards, shards);
    let not_called = shards_at(&parts.unasked, shards);
    let broken = shards_at(&parts.broken, shards);
    let (Some(answered), Some(not_called), Some(broken)) = (answered, not_called, broken) else {
        debug!(peer = peer; "a peer's reply names a shard twice or one that was not requested");
        return false;
    };
    if parts.stamps.len() != answered.len() {
        debug!(peer = peer; "a peer's reply has a different number of stamps and shards");
        return false;
    }
    if !answered.is_empty() || not_called.is_empty() && broken.is_empty() {
        notify(DelegationUpdate::PartialResults(answered), Some(PeerResult::Parts(parts)));
    }
    if !not_called.is_empty() {
        notify(DelegationUpdate::NotCalled(not_called), None);
    }
    if !broken.is_empty() {
        notify(DelegationUpdate::Broken(broken), None);
    }
    true
}

/// Passes the outcome of a request to one service to `notify`, and returns how the delegation
/// ended; `None` if `notify` knows.
async fn pass_outcome(
    gateway: &Gateway,
    outcome: DelegatedOutcome,
    shards: &[ShardIndex],
    replies: &mut ReplyStream<'_, PeerReply>,
    notify: &impl Fn(DelegationUpdate, Option<PeerResult>),
) -> Option<DelegationUpdate> {
    let DelegatedOutcome { verdict, response, retry_in, .. } = outcome;
    let response = match response {
        Some(response) => read_response(gateway, response, replies).await,
        None => None,
    };
    let result = response.map(PeerResult::Response);
    match verdict {
        DelegatedVerdict::Answered if result.is_some() => {
            notify(DelegationUpdate::PartialResults(shards.to_vec()), result);
            return Some(DelegationUpdate::Ended);
        }
        DelegatedVerdict::Answered | DelegatedVerdict::Failed => {
            notify(DelegationUpdate::Failed, result);
        }
        DelegatedVerdict::NotRun => {
            notify(DelegationUpdate::NotRun, Some(PeerResult::RetryIn(retry_in)));
        }
        DelegatedVerdict::NotCalled => {
            notify(
                DelegationUpdate::NotCalled(shards.to_vec()),
                Some(PeerResult::RetryIn(retry_in)),
            );
            return Some(DelegationUpdate::Ended);
        }
    }
    None
}

/// Reads the rest of a response; `None` if it is incomplete, invalid or too large.
async fn read_response(
    gateway: &Gateway,
    response: DelegatedResponse,
    replies: &mut ReplyStream<'_, PeerReply>,
) -> Option<BackendResponse> {
    let reservation = gateway.state.borrow().byte_budget.reserve(MAX_RESPONSE_BYTES);
    let DelegatedResponse { status, headers, length, body: mut part } = response;
    let mut body = BytesMut::new();
    loop {
        if !reservation.try_hold(part.len()) {
            return None;
        }
        body.extend_from_slice(&part);
        if body.len() >= length {
            break;
        }
        part = match replies.next().await {
            Ok(Some(PeerReply::MoreBody(part))) => part,
            _ => return None,
        };
    }
    if body.len() > length {
        return None;
    }
    let status = StatusCode::from_u16(status).ok().filter(|status| is_final(*status))?;
    let headers = read_headers(&headers)?;
    Some(BackendResponse::new(status, headers, body.freeze(), reservation))
}

/// Maps positions in a request to its shards; `None` if a position is out of range
/// or occurs twice.
fn shards_at(positions: &[u16], shards: &[ShardIndex]) -> Option<Vec<ShardIndex>> {
    let mut found = Vec::with_capacity(positions.len());
    for position in positions {
        let shard = *shards.get(usize::from(*position))?;
        if found.contains(&shard) {
            return None;
        }
        found.push(shard);
    }
    Some(found)
}
