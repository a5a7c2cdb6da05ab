//! Shards that two nodes take part in: what a node hears of its helpers, and what
//! a helper reports.

use carobstep_clock::BootTime;

use super::{FanoutState, GroupState, ShardState, shard_at};
use crate::fanout_plan::{DelegationNews, FanoutAction, GroupIndex, ShardIndex};

impl FanoutState {
    /// Takes in what is heard of a delegation.
    pub fn delegation_heard(
        &mut self,
        now: BootTime,
        group: GroupIndex,
        news: &DelegationNews,
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        let position = usize::from(group.0);
        let state = self.groups.get(position).copied();
        if self.finished || state.is_none_or(|state| state == GroupState::Ended) {
            return actions;
        }
        self.groups[position] = match news {
            DelegationNews::Parts(shards) => {
                self.take_parts(group, shards, &mut actions);
                GroupState::Heard
            }
            DelegationNews::Unasked(shards) => {
                self.replace_shards(now, shards, false);
                self.groups[position]
            }
            DelegationNews::Ended => {
                self.release_group(position);
                GroupState::Ended
            }
            DelegationNews::NotSent | DelegationNews::Lost => {
                self.replace_delegation(now, position, *news == DelegationNews::Lost);
                GroupState::Ended
            }
        };
        if self.groups[position] == GroupState::Ended {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        self.check_end(now, &mut actions);
        actions
    }

    /// Takes the parts that a peer merged. They can't be told apart any more, so
    /// that they replace what was answered directly meanwhile.
    fn take_parts(
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
                ShardState::Open => self.answered += 1,
            }
            progress.state = ShardState::Answered;
            progress.delegated = false;
        }
        actions.push(FanoutAction::Take(group));
    }

    /// Lets the shards that a peer could not get wait for the answer time: they
    /// are asked directly only if the answer can't go out without them.
    fn release_group(&mut self, group: usize) {
        let delegation = &self.plan.delegations[group];
        for shard in &delegation.shards {
            let progress = &mut self.shards[usize::from(shard.0)];
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Open {
                progress.replaced = true;
                progress.retry_at = Some(self.plan.answer_by);
            }
        }
    }

    /// Has the shards of a delegation asked directly. `arrived`: the peer may
    /// have called servers, so that the direct calls are extra ones.
    pub(super) fn replace_delegation(&mut self, now: BootTime, group: usize, arrived: bool) {
        self.may_have_run |= arrived;
        let shards = std::mem::take(&mut self.plan.delegations[group].shards);
        self.replace_shards(now, &shards, arrived);
        self.plan.delegations[group].shards = shards;
    }

    fn replace_shards(&mut self, now: BootTime, shards: &[ShardIndex], arrived: bool) {
        for shard in shards {
            let Some(progress) = self.shards.get_mut(usize::from(shard.0)) else { continue };
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Open {
                progress.replaced = arrived;
                progress.retry_at = Some(now);
            }
        }
    }

    /// Shards that were given up before any server was asked.
    #[must_use]
    pub fn unasked(&self) -> Vec<ShardIndex> {
        let mut unasked = Vec::new();
        for (position, progress) in self.shards.iter().enumerate() {
            if progress.state == ShardState::GivenUp && progress.arrived() == 0 {
                unasked.push(shard_at(position));
            }
        }
        unasked
    }

    /// Number of shards that have answered.
    #[must_use]
    pub const fn answered(&self) -> usize {
        self.answered
    }

    /// Has the parts sent that came by the answer time, and each later one.
    pub(super) fn report(&mut self, now: BootTime, actions: &mut Vec<FanoutAction>) {
        let counts = (self.answered, self.given_up);
        let is_due = now >= self.plan.answer_by || self.given_up > self.reported.1;
        if !is_due || self.has_reported && self.reported == counts {
            return;
        }
        self.has_reported = true;
        self.reported = counts;
        actions.push(FanoutAction::Report);
    }
}
