//! Limits on the requests of all nodes together to servers that are cold.
//!
//! The configuration sets the rate and the settings the tolerance, so unlike a limit that a
//! server names, this one must hold from the first request on and whatever nodes are cut
//! off, frozen or killed. A node asks the owner of the server's zone for a token before each
//! request. Tokens live so short, and each node counts for one owner at a time, that the
//! requests of any second stay within the tolerance.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    model::{ColdBounds, RequestRate, ServerIncarnation},
    quota::support_lifetime,
    shares::ShareTerms,
};

/// Window in which the requests to a cold server are bounded, in seconds.
const WINDOW_SECONDS: f64 = 1.0;

/// Time over whose income the owner's tokens for a cold server add up, in seconds.
const BURST_SECONDS: f64 = 0.25;

/// Least lifetime of a token in seconds; longer than most intervals between two requests for
/// tokens.
const MIN_LIFETIME_SECONDS: f64 = 0.25;

/// Greatest lifetime of a token, in seconds.
const MAX_LIFETIME_SECONDS: f64 = 1.0;

/// Number of owners that may hand out saved tokens at the same time.
const MAX_OWNERS: f64 = 2.0;

/// Shares of all owners together: one with two thirds of the nodes counts as having all.
const MAX_SHARES: f64 = 1.34;

/// How the tokens for a cold server are handed out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Tokens that come in at the owner.
    pub share: ShareTerms,
    /// Time after which an unused token expires.
    pub lifetime: Duration,
}

impl ColdTerms {
    /// Returns the terms for servers that take `rate` while they are cold.
    #[must_use]
    pub fn new(rate: RequestRate, bounds: ColdBounds) -> Self {
        let rate = rate.per_second();
        let allowed = rate * bounds.over + bounds.slack;
        // The tokens that are valid at the start of the window and those that come in during
        // it may all be used in it.
        let income = |per_second: f64| {
            let saved = (per_second * BURST_SECONDS).max(1.0);
            (allowed - MAX_OWNERS * saved) / MAX_SHARES
        };
        let lasting = MAX_SHARES * (WINDOW_SECONDS + MIN_LIFETIME_SECONDS);
        let with_single = income(0.0) * MAX_SHARES / lasting;
        let with_burst = allowed / (lasting + MAX_OWNERS * BURST_SECONDS);
        let per_second = rate.min(with_single).min(with_burst).max(0.0);
        let lifetime = (income(per_second) / per_second.max(f64::MIN_POSITIVE) - WINDOW_SECONDS)
            .clamp(MIN_LIFETIME_SECONDS, MAX_LIFETIME_SECONDS);
        let depth = (per_second * BURST_SECONDS).max(1.0);
        let share = ShareTerms { per_second, depth, saved: Duration::ZERO };
        Self { share, lifetime: Duration::from_secs_f64(lifetime) }
    }

    /// Returns the rate at which tokens come in.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        RequestRate::try_from(self.share.per_second).unwrap_or_default()
    }
}

/// Request for tokens for a cold server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdAsk {
    /// The server.
    pub server: ServerIncarnation,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Number of tokens; zero to tell the owner only that this node takes it for the owner.
    pub tokens: u32,
}

/// The owners that this node counts for, by zone.
///
/// A node that takes another one for the owner counts for it only when the earlier one no
/// longer counts this node, so that all owners together hand out the limit once.
#[derive(Clone, Debug, Default)]
pub struct SupportedOwners {
    owners: IndexMap<Arc<str>, SupportedOwner>,
}

#[derive(Clone, Debug)]
struct SupportedOwner {
    name: Arc<str>,
    /// When this node last called it.
    called_at: BootTime,
}

impl SupportedOwners {
    /// Returns whether this node, one of `nodes`, may call `owner` for a zone now, and records
    /// the call if so.
    pub fn may_call(
        &mut self,
        now: BootTime,
        zone: &Arc<str>,
        owner: &Arc<str>,
        nodes: u32,
    ) -> bool {
        let previous = self.owners.get(zone).filter(|it| it.name != *owner);
        if previous.is_some_and(|it| now.since(it.called_at) < support_lifetime(nodes)) {
            return false;
        }
        let called = SupportedOwner { name: owner.clone(), called_at: now };
        self.owners.insert(zone.clone(), called);
        true
    }

    /// Returns when this node last called an owner for a zone.
    #[must_use]
    pub fn called_at(&self, zone: &str) -> Option<BootTime> {
        self.owners.get(zone).map(|owner| owner.called_at)
    }
}
