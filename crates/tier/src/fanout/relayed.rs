//! Shards whose servers this node doesn't reach while others may: they are delegated to
//! peers, one after the other, or given up at once.

use carobstep_clock::BootTime;

use super::{
    BUSY_RETRY_DELAY, DelegationState, FanoutState, HEDGE_RECHECK_DELAY, delegation_at, shard_at,
};
use crate::{
    fanout_plan::{FanoutAction, FanoutRole},
    fleet::ServerFleet,
    placement::{Placement, UnplacedShard},
};

/// Number of peers that a shard is delegated to, one after the other, if none of them can
/// call servers for it.
const MAX_RELAYS: u32 = 3;

impl FanoutState {
    /// Lets a peer call the servers of a shard if this node has lost its links to them, and
    /// gives the shard up otherwise.
    pub(super) fn leave_to_peer(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
    ) {
        // The merged results of two peers must not include the same shard.
        if self.is_awaited(position) {
            self.shards[position].delegated = true;
            return;
        }
        if self.can_use_peer(now, fleet, position) {
            self.shards[position].needs_peer = true;
            return;
        }
        if self.shards[position].in_flight > 0 {
            return;
        }
        self.shards[position].is_out_of_reach =
            fleet.is_out_of_reach(now, self.plan.services[position]);
        self.abandon_shard(position);
    }

    /// Returns whether a peer may be able to call servers for a shard that this node can't.
    pub(super) fn can_use_peer(&self, now: BootTime, fleet: &ServerFleet, position: usize) -> bool {
        let progress = &self.shards[position];
        let has_peers = self.plan.role == FanoutRole::Entry { has_peers: true };
        let service = self.plan.services[position];
        if !has_peers
            || self.is_awaited(position)
            || progress.has_no_peer
            || progress.relays >= MAX_RELAYS
            || fleet.is_relay_futile(now, service)
        {
            return false;
        }
        let attempts_left = progress.servers_reached() < self.plan.attempts;
        fleet.servers_of(service).iter().any(|key| {
            let is_lost = !fleet.is_responding(now, *key) || progress.unsent_to.contains(key);
            let is_allowed = attempts_left || progress.called.contains(key);
            is_lost && is_allowed && fleet.accepts_requests(now, *key)
        })
    }

    /// Returns the shards that a peer has to call servers for. [`FanoutState::place`] must be
    /// called if there are any.
    #[must_use]
    pub fn unplaced_shards(&self) -> Vec<UnplacedShard> {
        let mut unplaced = Vec::new();
        if self.finished {
            return unplaced;
        }
        for (position, progress) in self.shards.iter().enumerate() {
            if progress.needs_peer {
                let (shard, service) = (shard_at(position), self.plan.services[position]);
                let asked = self.plan.delegations.iter().filter(|it| it.shards.contains(&shard));
                let tried = asked.map(|delegation| delegation.peer.clone()).collect();
                let called = progress.called.clone();
                unplaced.push(UnplacedShard { shard, service, called, tried });
            }
        }
        unplaced
    }

    /// Delegates the unplaced shards to the peers of a placement. Of the others, those that
    /// this node can't call servers for either are given up.
    pub fn place(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        placement: Placement,
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        for mut delegation in placement.delegations {
            delegation.shards.retain(|shard| {
                let position = usize::from(shard.0);
                self.delegate_late(now, fleet, position)
            });
            if delegation.shards.is_empty() {
                continue;
            }
            // The whole credit was earned when the request started.
            delegation.is_first = false;
            for shard in &delegation.shards {
                // Another peer may have called the servers that were chosen before.
                if let Some(servers) = placement.allowed.get(shard) {
                    self.plan.allowed.entry(*shard).or_insert_with(|| servers.clone());
                }
            }
            let index = delegation_at(self.plan.delegations.len());
            for shard in &delegation.shards {
                self.shards[usize::from(shard.0)].awaited = Some(index);
            }
            self.plan.delegations.push(delegation);
            self.delegation_states.push(DelegationState::Silent);
            self.in_flight += 1;
            actions.push(FanoutAction::Delegate(index));
        }
        for position in 0..self.shards.len() {
            if !std::mem::take(&mut self.shards[position].needs_peer) {
                continue;
            }
            self.keep_unplaced(now, fleet, position);
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Decides what becomes of a shard that no further peer calls servers for.
    fn keep_unplaced(&mut self, now: BootTime, fleet: &mut ServerFleet, position: usize) {
        let service = self.plan.services[position];
        let has_returned = fleet.end_return(now, service);
        let progress = &mut self.shards[position];
        progress.has_no_peer = true;
        if progress.is_refused_by_peer {
            fleet.on_relays_failed(now, service);
        }
        let is_lost = progress.called.iter().all(|it| !fleet.is_reached(now, *it));
        if progress.in_flight == 0 || has_returned {
            // A server that is only silent is called as the last resort.
            progress.retry_at = Some(now);
        } else if is_lost {
            progress.is_out_of_reach = true;
            self.abandon_shard(position);
        } else {
            progress.hedge_at = now + HEDGE_RECHECK_DELAY;
        }
    }

    /// Returns whether a peer that has been silent so far may still return the shard.
    fn is_awaited(&self, position: usize) -> bool {
        let awaited = self.shards[position].awaited;
        let state = awaited.map(|index| self.delegation_states[usize::from(index.0)]);
        state.is_some_and(|state| state != DelegationState::Ended)
    }

    /// Marks a shard as delegated if the retry budget allows it; returns whether it is.
    fn delegate_late(&mut self, now: BootTime, fleet: &mut ServerFleet, position: usize) -> bool {
        let service = self.plan.services[position];
        let progress = &mut self.shards[position];
        if !progress.needs_peer || !fleet.can_end_at_peer(now, self.plan.terms()) {
            return false;
        }
        let is_extra = !progress.called.is_empty() || progress.peer_may_have_called;
        if is_extra && !fleet.try_take_extra(now, service) {
            if fleet.expects_extra(now, service, self.respond_by) {
                progress.needs_peer = false;
                progress.retry_at = Some(now + BUSY_RETRY_DELAY);
            }
            return false;
        }
        progress.needs_peer = false;
        progress.delegated = true;
        progress.relays += 1;
        progress.extra_attempts += u32::from(is_extra);
        true
    }
}
