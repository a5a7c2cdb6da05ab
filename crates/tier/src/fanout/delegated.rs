//! Delegated shards: handles the events of a delegation at the node that has the
//! client's request, and decides when a delegate reports to that node.

use carobstep_clock::BootTime;

use super::{DelegationState, FanoutState, ShardState, shard_at};
use crate::fanout_plan::{DelegationNews, FanoutAction, GroupIndex, ShardIndex};

impl FanoutState {
    /// Handles an event of a delegation.
    pub fn delegation_heard(
        &mut self,
        now: BootTime,
        group: GroupIndex,
        news: &DelegationNews,
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        let position = usize::from(group.0);
        let state = self.delegation_states.get(position).copied();
        if self.finished || state.is_none_or(|state| state == DelegationState::Ended) {
            return actions;
        }
        self.delegation_states[position] = match news {
            DelegationNews::Parts(shards) => {
                self.accept_partial_results(group, shards, &mut actions);
                DelegationState::Responding
            }
            DelegationNews::Unasked(shards) => {
                self.fall_back_shards(now, shards, false);
                self.delegation_states[position]
            }
            DelegationNews::Ended => {
                self.defer_shards(position);
                DelegationState::Ended
            }
            DelegationNews::NotSent | DelegationNews::Lost => {
                self.fall_back(now, position, *news == DelegationNews::Lost);
                DelegationState::Ended
            }
        };
        if self.delegation_states[position] == DelegationState::Ended {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        self.check_end(now, &mut actions);
        actions
    }

    /// Accepts the partial results that a peer has merged. They cannot be separated by
    /// shard any more, so they replace direct answers to the same shards.
    fn accept_partial_results(
        &mut self,
        group: GroupIndex,
        shards: &[ShardIndex],
        actions: &mut Vec<FanoutAction>,
    ) {
        self.may_have_run = true;
        if shards.is_empty() {
            return;
        }
        for shard in shards {
            let Some(progress) = self.shards.get_mut(usize::from(shard.0)) else { continue };
            match progress.state {
                ShardState::Answered => {}
                ShardState::GivenUp => {
                    self.given_up -= 1;
                    self.answered += 1;
                }
                ShardState::Pending => self.answered += 1,
            }
            progress.state = ShardState::Answered;
            progress.delegated = false;
        }
        actions.push(FanoutAction::Take(group));
    }

    /// Defers the shards that a peer could not get until the answer time; they are
    /// called directly only if the answer cannot be sent without them.
    fn defer_shards(&mut self, group: usize) {
        let delegation = &self.plan.delegations[group];
        for shard in &delegation.shards {
            let progress = &mut self.shards[usize::from(shard.0)];
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Pending {
                progress.peer_may_have_called = true;
                progress.retry_at = Some(self.plan.answer_by);
            }
        }
    }

    /// Schedules direct calls for the shards of a delegation. `may_have_called` tells
    /// whether the peer may have called servers, so that direct calls count as extra
    /// requests.
    pub(super) fn fall_back(&mut self, now: BootTime, group: usize, may_have_called: bool) {
        self.may_have_run |= may_have_called;
        let shards = std::mem::take(&mut self.plan.delegations[group].shards);
        self.fall_back_shards(now, &shards, may_have_called);
        self.plan.delegations[group].shards = shards;
    }

    fn fall_back_shards(&mut self, now: BootTime, shards: &[ShardIndex], may_have_called: bool) {
        for shard in shards {
            let Some(progress) = self.shards.get_mut(usize::from(shard.0)) else { continue };
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Pending {
                progress.peer_may_have_called = may_have_called;
                progress.retry_at = Some(now);
            }
        }
    }

    /// Returns the shards that were given up before a request could reach any server.
    #[must_use]
    pub fn unasked(&self) -> Vec<ShardIndex> {
        let mut unasked = Vec::new();
        for (position, progress) in self.shards.iter().enumerate() {
            if progress.state == ShardState::GivenUp && progress.servers_reached() == 0 {
                unasked.push(shard_at(position));
            }
        }
        unasked
    }

    /// Returns the number of shards that have answered.
    #[must_use]
    pub const fn answered(&self) -> usize {
        self.answered
    }

    /// Requests a report to the delegating node: at the answer time, after each later
    /// answer, and at once when a shard is given up.
    pub(super) fn report(&mut self, now: BootTime, actions: &mut Vec<FanoutAction>) {
        let counts = (self.answered, self.given_up);
        let is_due = now >= self.plan.answer_by || self.given_up > self.reported_counts.1;
        if !is_due || self.has_reported && self.reported_counts == counts {
            return;
        }
        self.has_reported = true;
        self.reported_counts = counts;
        actions.push(FanoutAction::Report);
    }
}
