//! Choice of a server for a request, by its load, health and zone.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;

use super::{
    LimitedUse, ServerFleet, ServerKey, ServiceKey, ServiceState, hash_fraction, paced::PaceRivals,
};
use crate::{
    observations::AttemptStake,
    server_state::{ServerState, typical_slowness},
    stats::ClassKey,
};

/// Factor on the score of a stalled server (see [`STALL_HEDGE_DELAYS`]); lower scores win.
const STALLED_PENALTY: f64 = 8.0;

/// Multiple of the hedge delay without any response after which a server with
/// requests in flight counts as stalled.
const STALL_HEDGE_DELAYS: f64 = 1.0;

/// Factor on the share of a stalled server, next to which one that has just started gets
/// more requests.
const STALLED_SHARE: f64 = 0.25;

/// Quality of a server from which on another one that has just started is kept from
/// requests in its favor. See [`ServerState::quality`].
const MIN_RIVAL_QUALITY: f64 = 0.25;

/// Factor on the score of a server that recently could not be reached or was full.
const BACKOFF_PENALTY: f64 = 60.0;

/// Penalty for a server in another availability zone, as a fraction of the latency
/// objective. Traffic between zones is billed, so a request may wait this long in
/// order to stay in the local zone.
const CROSS_ZONE_PENALTY: f64 = 0.4;

/// Divides a server's limit on requests in flight for searches that have already
/// missed their latency objective, so that searches which can still meet it go first.
const LATE_LIMIT_DIVISOR: u32 = 2;

/// Number of levels by which servers that fail are told apart for a delegate.
const TROUBLE_LEVELS: f64 = 4.0;

/// Time for which a search that found no available server counts as waiting; longer
/// than the delay between two of its retries.
const WAITER_LIFETIME: Duration = Duration::from_millis(8);

/// Restricts which servers may be picked for a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickScope<'search> {
    /// Servers that must not be picked.
    pub excluded: &'search [ServerKey],
    /// The only servers that may be picked; `None` allows all servers of the service.
    pub allowed: Option<&'search [ServerKey]>,
    /// Rank of the search when servers are short of capacity.
    pub rank: SearchRank,
    /// Whether servers that limit their requests may be picked.
    pub limited: LimitedUse,
    /// What is at stake if the attempt fails.
    pub stake: AttemptStake,
}

/// Order in which searches get capacity at overloaded servers; greater ranks go first.
///
/// Each search needs nearly all shards, so a fair order would make every search
/// late under overload. Instead, searches that can still meet their latency
/// objective come first, the newest of them leading because it has the most time
/// left. Among the late ones, those that already have at least half of the
/// required shards come first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SearchRank {
    /// Whether the search can still meet its latency objective.
    pub is_on_time: bool,
    /// Whether the search is late and at least half of the required shards have answered.
    pub is_half_complete: bool,
    /// When the search arrived.
    pub arrived: BootTime,
}

impl ServerFleet {
    /// Returns the zone whose servers should be called for a shard: the first one in
    /// `preference` that has an available server that is not suspect, else the first
    /// one with any available server. See [`ServerFleet::is_suspect`].
    #[must_use]
    pub fn best_zone(
        &self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        preference: &[Arc<str>],
    ) -> Option<Arc<str>> {
        let state = self.services.get(service)?;
        let mut best: Option<(usize, &Arc<str>)> = None;
        for server in state.servers.iter().filter_map(|key| self.servers.get(*key)) {
            if !self.is_available(now, server) {
                continue;
            }
            let zone = &server.entry.zone;
            let rank = preference.iter().position(|other| other == zone);
            let mut rank = rank.unwrap_or(preference.len());
            if self.is_backed_off(now, server) || self.is_stalled(now, server, class) {
                rank += preference.len() + 1;
            }
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, zone));
            }
        }
        best.map(|(_, zone)| zone.clone())
    }

    /// Returns whether a higher-ranked search waits for capacity at the service.
    #[must_use]
    pub fn is_outranked(&self, now: BootTime, service: ServiceKey, rank: SearchRank) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        let (waiter, waited_at) = state.waiter;
        now.since(waited_at) < WAITER_LIFETIME && waiter > rank
    }

    /// Picks a server like [`ServerFleet::pick`], but returns `None` while a
    /// higher-ranked search waits for capacity at the service.
    pub fn pick_by_rank(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        scope: PickScope<'_>,
    ) -> Option<ServerKey> {
        if scope.limited == LimitedUse::Awaited {
            return self.pick_in_order(now, service, class, scope);
        }
        if self.is_outranked(now, service, scope.rank) {
            return None;
        }
        let (waiter, _) = self.services.get(service)?.waiter;
        let picked = self.pick(now, service, class, scope);
        let state = self.services.get_mut(service)?;
        match picked {
            None => state.waiter = (scope.rank, now),
            Some(_) if waiter == scope.rank => state.waiter.1 = BootTime::ZERO,
            Some(_) => {}
        }
        picked
    }

    /// Picks a server like [`ServerFleet::pick`] for a request that waits for a token, but
    /// returns `None` while a request that arrived earlier waits for one as well.
    fn pick_in_order(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        scope: PickScope<'_>,
    ) -> Option<ServerKey> {
        let arrived = scope.rank.arrived;
        let (oldest, seen_at) = self.services.get(service)?.oldest_waiter;
        if now.since(seen_at) < WAITER_LIFETIME && oldest < arrived {
            return None;
        }
        let picked = self.pick(now, service, class, scope);
        let seen_at = if picked.is_none() { now } else { BootTime::ZERO };
        self.services.get_mut(service)?.oldest_waiter = (arrived, seen_at);
        picked
    }

    /// Picks the server with the lowest score among those that `scope` allows and that
    /// have capacity for a request of `class`.
    pub fn pick(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        scope: PickScope<'_>,
    ) -> Option<ServerKey> {
        let max_connections = self.connection_share(service);
        let state = self.services.get_mut(service)?;
        let count = state.servers.len();
        state.rotation = state.rotation.wrapping_add(1);
        let start = state.rotation;
        self.draws = self.draws.wrapping_add(1);
        let trial_draw = hash_fraction(self.seed, self.draws);
        let rivals = self.pace_rivals(now, service, class, scope);
        let pace_draw = self.draw_pace(rivals);
        let state = self.services.get(service)?;
        let typical_slowness = self.typical_slowness(now, state);
        let objective = self.classes.objective_in_medians(class);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut best_limited: Option<(f64, ServerKey)> = None;
        for step in 0..count {
            let key = state.servers[(start + step) % count];
            let Some(server) = self.servers.get(key) else { continue };
            let mut limit = max_connections.min(server.window());
            if !scope.rank.is_on_time {
                limit = (limit / LATE_LIMIT_DIVISOR).max(1);
            }
            if !self.is_available(now, server) || server.in_flight >= limit {
                continue;
            }
            let is_local = server.entry.zone == self.zone;
            // What a cold server gets may be limited already, whatever its pace.
            let is_admitted =
                server.cold_share(now).is_some() || pace_draw.admits(now, step, server, is_local);
            if !scope.is_allowed(key) || !is_admitted {
                continue;
            }
            let failure_cost = server.trouble.odds(now).cost(objective, scope.stake, trial_draw);
            let score = self.score(now, server, class, typical_slowness) + failure_cost;
            let best = if self.lacks_token(now, server, scope.limited) {
                &mut best_limited
            } else {
                &mut best
            };
            if best.is_none_or(|(least, _)| score < least) {
                *best = Some((score, key));
            }
        }
        // A server that would have been picked with a token is one to ask tokens for.
        if let Some((score, key)) = best_limited.filter(|_| scope.limited != LimitedUse::Avoided)
            && let Some(server) = self.servers.get_mut(key)
            // A cold server that is as good as another one is to get its part as well.
            && best.is_none_or(|(least, _)| {
                score < least || (score <= least && server.cold_share(now).is_some())
            })
        {
            for quota in server.limits_mut(now) {
                quota.miss();
            }
        }
        best.map(|(_, key)| key)
    }

    /// Selects up to `limit` servers that this node and its delegate in `zone` may both
    /// call for one request, without those that this node knows to be leaving. Servers that
    /// this node may have called already come first, then available ones, whether this node
    /// reaches them or not, then those that are not suspect, then those that fail less, then
    /// those that limit no requests, then those in `zone`.
    pub fn choose_allowed(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        zone: &str,
        limit: usize,
        called: &[ServerKey],
    ) -> Vec<ServerKey> {
        let Some(state) = self.services.get_mut(service) else { return Vec::new() };
        state.rotation = state.rotation.wrapping_add(1);
        let rotation = state.rotation;
        let mut keys = state.servers.clone();
        // The delegate may not know yet that such a server is leaving.
        keys.retain(|key| self.servers.get(*key).is_some_and(ServerState::is_in_use));
        if keys.len() <= limit {
            return keys;
        }
        let start = rotation % keys.len();
        keys.rotate_left(start);
        // The sort is stable, so equal servers keep the rotated order.
        keys.sort_by_key(|key| {
            let server = self.servers.get(*key);
            let is_available = server.is_some_and(|server| server.is_available(now));
            let has_link = server.is_some_and(|server| self.has_link(now, server));
            let in_zone = server.is_some_and(|server| server.entry.zone.as_ref() == zone);
            let is_limited = server.is_some_and(|server| server.is_limited(now));
            let is_suspect = has_link && self.is_suspect(now, *key, class);
            let odds = server.map(|server| server.trouble.odds(now).total()).unwrap_or_default();
            let trouble = (odds * TROUBLE_LEVELS).round() as u32;
            (!called.contains(key), !is_available, is_suspect, trouble, is_limited, !in_zone)
        });
        keys.truncate(limit);
        keys
    }

    /// Returns whether a server is stalled or in backoff, so that an extra request to
    /// it would be wasted. Unknown servers count as suspect.
    #[must_use]
    pub fn is_suspect(&self, now: BootTime, key: ServerKey, class: ClassKey) -> bool {
        let Some(server) = self.servers.get(key) else { return true };
        self.is_backed_off(now, server) || self.is_stalled(now, server, class)
    }

    /// Returns whether a server recently could not be reached, was full or did not respond.
    fn is_backed_off(&self, now: BootTime, server: &ServerState) -> bool {
        now < server.backoff_until || server.link.is_lost()
    }

    fn is_stalled(&self, now: BootTime, server: &ServerState, class: ClassKey) -> bool {
        let stall_after = self.classes.hedge_delay(class).mul_f64(STALL_HEDGE_DELAYS);
        server.in_flight > 0 && now.since(server.waiting_since) > stall_after
    }

    pub(super) fn typical_slowness(&self, now: BootTime, service: &ServiceState) -> f64 {
        let servers = service.servers.iter().filter_map(|key| self.servers.get(*key));
        typical_slowness(now, servers)
    }

    /// Returns the servers that `scope` allows and that respond, as rivals for a request.
    fn pace_rivals(
        &self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        scope: PickScope<'_>,
    ) -> PaceRivals {
        let mut rivals = PaceRivals::default();
        let Some(state) = self.services.get(service) else { return rivals };
        let typical_slowness = self.typical_slowness(now, state);
        for key in &state.servers {
            let Some(server) = self.servers.get(*key) else { continue };
            let is_sound = self.is_available(now, server)
                && !self.is_backed_off(now, server)
                && server.quality(now, typical_slowness) >= MIN_RIVAL_QUALITY;
            if !is_sound || !scope.is_allowed(*key) {
                continue;
            }
            let is_stalled = self.is_stalled(now, server, class);
            let factor = if is_stalled { STALLED_SHARE } else { 1.0 };
            rivals.add(server.share(now) * factor, server.entry.zone == self.zone);
        }
        rivals
    }

    fn score(
        &self,
        now: BootTime,
        server: &ServerState,
        class: ClassKey,
        typical_slowness: f64,
    ) -> f64 {
        let mut score = server.expected_load(now, typical_slowness);
        if self.is_stalled(now, server, class) {
            score *= STALLED_PENALTY;
        }
        if self.is_backed_off(now, server) {
            score *= BACKOFF_PENALTY;
        }
        if server.entry.zone != self.zone {
            score += CROSS_ZONE_PENALTY * self.classes.objective_in_medians(class);
        }
        score
    }
}

impl PickScope<'_> {
    pub(super) fn is_allowed(&self, key: ServerKey) -> bool {
        !self.excluded.contains(&key) && self.allowed.is_none_or(|allowed| allowed.contains(&key))
    }
}
