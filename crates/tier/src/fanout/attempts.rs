//! Sending of the attempts of a request: first ones, retries and hedges.

use carobstep_clock::BootTime;

use super::{FanoutState, shard_at};
use crate::{
    fanout_plan::FanoutAction,
    fleet::{AttemptKind, LimitedUse, PickScope, ServerFleet, ServerKey},
};

/// Slot utilization of a shard above which no hedges are sent, because they would
/// only lengthen the queues that cause the delay.
const MAX_HEDGE_UTILIZATION: f64 = 0.75;

impl FanoutState {
    /// Sends one more attempt if a server has capacity and, for an extra one, if the retry
    /// budget allows it; returns whether it was sent.
    pub(super) fn send(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        kind: AttemptKind,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let rank = self.rank(now);
        let service = self.plan.services[position];
        let scope = self.shards[position].scope(&self.plan, position, rank);
        let Some(server) = fleet.pick_by_rank(now, service, self.plan.class, scope) else {
            return false;
        };
        if !fleet.can_end_at(now, self.plan.terms(), server) {
            return false;
        }
        if kind == AttemptKind::Extra && !fleet.try_take_extra(now, service) {
            return false;
        }
        self.send_to(now, fleet, position, (server, kind), actions);
        true
    }

    pub(super) fn send_to(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        (server, kind): (ServerKey, AttemptKind),
        actions: &mut Vec<FanoutAction>,
    ) {
        let class = self.plan.class;
        self.stop_waiting(fleet, position);
        self.canary = self.is_cautious().then_some((position, server));
        let progress = &mut self.shards[position];
        if !progress.called.contains(&server) {
            progress.called.push(server);
        }
        progress.excluded.push(server);
        progress.in_flight += 1;
        progress.extra_attempts += u32::from(kind == AttemptKind::Extra);
        self.in_flight += 1;
        progress.hedge_at = now + fleet.classes.hedge_delay(class);
        let ticket = fleet.on_attempt_sent(now, server, class, kind);
        let shard = shard_at(position);
        actions.push(FanoutAction::Send { shard, ticket });
    }

    /// Sends a hedge: one more attempt while another is in flight. Returns whether it
    /// was sent.
    pub(super) fn hedge(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let rank = self.rank(now);
        let progress = &self.shards[position];
        if !progress.may_hedge(&self.plan) || self.is_cautious() || !self.may_hedge() {
            return false;
        }
        let service = self.plan.services[position];
        let scope = progress.scope(&self.plan, position, rank);
        let scope = PickScope { limited: LimitedUse::Avoided, ..scope };
        if fleet.is_outranked(now, service, rank) {
            return false;
        }
        let Some(server) = fleet.pick(now, service, self.plan.class, scope) else {
            // The attempts in flight wait for servers that this node has lost meanwhile.
            let is_hopeless = progress.called.iter().all(|it| !fleet.is_responding(now, *it));
            if is_hopeless && self.can_use_peer(now, fleet, position) {
                self.shards[position].needs_peer = true;
                return true;
            }
            return false;
        };
        if fleet.is_suspect(now, server, self.plan.class)
            || !fleet.can_end_at(now, self.plan.terms(), server)
            || fleet.slot_utilization(now, service) > MAX_HEDGE_UTILIZATION
            || !fleet.try_take_extra(now, service)
        {
            return false;
        }
        self.send_to(now, fleet, position, (server, AttemptKind::Extra), actions);
        true
    }
}
