//! Delegated shards: handles the updates on a delegation at the node that has the
//! client's request, and decides when a delegate reports to that node.

use carobstep_clock::BootTime;

use super::{DelegationState, FanoutState, ShardState, shard_at};
use crate::{
    fanout_plan::{DelegationIndex, DelegationUpdate, FanoutAction, ShardIndex},
    model::RetryPolicy,
};

impl FanoutState {
    /// Handles an update on a delegation.
    pub fn on_delegation_update(
        &mut self,
        now: BootTime,
        index: DelegationIndex,
        update: &DelegationUpdate,
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        let position = usize::from(index.0);
        let state = self.delegation_states.get(position).copied();
        if self.finished || state.is_none_or(|state| state == DelegationState::Ended) {
            return actions;
        }
        self.delegation_states[position] = match update {
            DelegationUpdate::PartialResults(shards) => {
                self.accept_partial_results(index, shards, &mut actions);
                DelegationState::Responding
            }
            DelegationUpdate::NotCalled(shards) => {
                for shard in shards {
                    if let Some(progress) = self.shards.get_mut(usize::from(shard.0)) {
                        progress.awaited = None;
                        progress.is_refused_by_peer = true;
                    }
                }
                self.fall_back_shards(now, shards, false);
                let is_awaited = self.shards.iter().any(|shard| shard.awaited == Some(index));
                if is_awaited { self.delegation_states[position] } else { DelegationState::Ended }
            }
            DelegationUpdate::Broken(shards) => {
                self.may_have_run = true;
                self.on_broken_at_peer(now, shards);
                let is_awaited = self.shards.iter().any(|shard| shard.awaited == Some(index));
                if is_awaited { DelegationState::Responding } else { DelegationState::Ended }
            }
            DelegationUpdate::Ended => {
                self.defer_shards(position);
                DelegationState::Ended
            }
            DelegationUpdate::NotSent => {
                self.fall_back(now, position, false);
                DelegationState::Ended
            }
            DelegationUpdate::Lost => {
                self.fall_back(now, position, true);
                DelegationState::Ended
            }
            DelegationUpdate::Failed | DelegationUpdate::NotRun => {
                self.may_have_run |= *update == DelegationUpdate::Failed;
                self.abandon_delegated(position);
                DelegationState::Ended
            }
        };
        if self.delegation_states[position] == DelegationState::Ended {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Accepts the partial results that a peer has merged. They cannot be separated by
    /// shard any more, so they replace direct answers to the same shards.
    fn accept_partial_results(
        &mut self,
        index: DelegationIndex,
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
                ShardState::Abandoned => {
                    self.abandoned -= 1;
                    self.answered += 1;
                }
                ShardState::Pending => self.answered += 1,
            }
            progress.state = ShardState::Answered;
            progress.delegated = false;
        }
        actions.push(FanoutAction::UsePartialResults(index));
    }

    /// Gives up the shards of a delegation that have no result yet.
    fn abandon_delegated(&mut self, position: usize) {
        let shards = std::mem::take(&mut self.plan.delegations[position].shards);
        for shard in &shards {
            let progress = &mut self.shards[usize::from(shard.0)];
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Pending {
                self.abandon_shard(usize::from(shard.0));
            }
        }
        self.plan.delegations[position].shards = shards;
    }

    /// Schedules direct calls at the answer time for the shards that a peer could not get;
    /// by then, the answer is sent without them if enough other shards have answered.
    fn defer_shards(&mut self, position: usize) {
        if self.plan.retry == RetryPolicy::AtMostOnce {
            self.may_have_run = true;
            self.abandon_delegated(position);
            return;
        }
        let delegation = &self.plan.delegations[position];
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
    pub(super) fn fall_back(&mut self, now: BootTime, position: usize, may_have_called: bool) {
        self.may_have_run |= may_have_called;
        if may_have_called && self.plan.retry == RetryPolicy::AtMostOnce {
            self.abandon_delegated(position);
            return;
        }
        let shards = std::mem::take(&mut self.plan.delegations[position].shards);
        self.fall_back_shards(now, &shards, may_have_called);
        self.plan.delegations[position].shards = shards;
    }

    fn fall_back_shards(&mut self, now: BootTime, shards: &[ShardIndex], may_have_called: bool) {
        for shard in shards {
            let Some(progress) = self.shards.get_mut(usize::from(shard.0)) else { continue };
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Pending {
                progress.peer_may_have_called |= may_have_called;
                progress.retry_at = Some(now);
            }
        }
    }

    /// Returns the shards that were abandoned before a request could reach any server.
    #[must_use]
    pub fn shards_not_called(&self) -> Vec<ShardIndex> {
        let mut not_called = Vec::new();
        for (position, progress) in self.shards.iter().enumerate() {
            if progress.state == ShardState::Abandoned && progress.servers_reached() == 0 {
                not_called.push(shard_at(position));
            }
        }
        not_called
    }

    /// Returns the number of shards that have answered.
    #[must_use]
    pub const fn answered(&self) -> usize {
        self.answered
    }

    /// Requests a report to the delegating node if one is due: at the answer time, after
    /// each later answer, and at once when a shard is abandoned.
    pub(super) fn report_if_due(&mut self, now: BootTime, actions: &mut Vec<FanoutAction>) {
        let counts = (self.answered, self.abandoned);
        let is_due = now >= self.plan.answer_by || self.abandoned > self.reported_counts.1;
        if !is_due || self.has_reported && self.reported_counts == counts {
            return;
        }
        self.has_reported = true;
        self.reported_counts = counts;
        actions.push(FanoutAction::Report);
    }
}
