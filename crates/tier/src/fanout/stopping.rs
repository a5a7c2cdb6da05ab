//! Requests of a node that is stopping: they are answered before it exits, and those that
//! can't end in time are passed on to no server.

use carobstep_clock::BootTime;

use super::{BUSY_RETRY_DELAY, FanoutState};
use crate::{fanout_plan::FanoutRole, fleet::ServerFleet, model::RetryPolicy};

impl FanoutState {
    /// Lets the request end before the node exits. A node that has delegated a request that
    /// may be repeated learns of the exit by the loss of its connection, and calls servers
    /// itself.
    pub(super) fn apply_horizon(&mut self, fleet: &ServerFleet) {
        let horizon = fleet.horizon();
        let is_delegate = matches!(self.plan.role, FanoutRole::Delegate { .. });
        if !horizon.is_stopping() || is_delegate && self.plan.retry == RetryPolicy::Idempotent {
            return;
        }
        self.respond_by = horizon.limit(self.plan.deadline);
        self.plan.answer_by = horizon.limit(self.plan.answer_by);
    }

    /// Returns when the request is answered at the latest.
    #[must_use]
    pub const fn respond_by(&self) -> BootTime {
        self.respond_by
    }

    /// Returns whether the request ends before its deadline because the node exits.
    pub(super) fn is_cut_short(&self) -> bool {
        self.respond_by < self.plan.deadline
    }

    /// Lets a shard that could not be sent wait for a server, or abandons it if it can't end
    /// any more before the node exits.
    pub(super) fn wait_or_abandon(&mut self, now: BootTime, fleet: &ServerFleet, position: usize) {
        if fleet.can_end_after_wait(now, self.plan.terms(), self.plan.services[position]) {
            self.shards[position].retry_at = Some(now + BUSY_RETRY_DELAY);
        } else {
            self.abandon_shard(position);
        }
    }
}
