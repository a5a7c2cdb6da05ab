//! Shards whose servers all limit their requests: waits for a token, or is given up.

use carobstep_clock::BootTime;

use super::{BUSY_RETRY_DELAY, FanoutState};
use crate::fleet::ServerFleet;

impl FanoutState {
    /// Returns until when a request may wait for a token: for half of the time after which
    /// it would be answered too late, because a caller that is refused needs time to
    /// return.
    fn latest_token(&self, now: BootTime, fleet: &ServerFleet) -> BootTime {
        let plan = &self.plan;
        let end = if now < plan.answer_by { plan.answer_by } else { self.respond_by };
        now + end.since(now).saturating_sub(fleet.classes.median(plan.class)) / 2
    }

    /// Returns whether a shard whose servers all limit their requests can expect a token in
    /// time, also if it takes twice as long as expected.
    pub(super) fn can_get_token(
        &self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
    ) -> bool {
        let service = self.plan.services[position];
        let scope = self.shards[position].scope(&self.plan, position, self.rank(now));
        let due = fleet.token_due(now, service, scope);
        let latest = self.latest_token(now, fleet);
        if due.is_none_or(|due| due.since(now) * 2 <= latest.since(now)) {
            return true;
        }
        fleet.count_refused(now, service, scope);
        false
    }

    /// Lets a shard wait for a token if all of its servers limit their requests and none has
    /// one for it; returns whether it waits.
    pub(super) fn waits_for_token(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
    ) -> bool {
        let service = self.plan.services[position];
        let scope = self.shards[position].scope(&self.plan, position, self.rank(now));
        if fleet.token_due(now, service, scope).is_none() {
            return false;
        }
        let until = self.latest_token(now, fleet);
        fleet.count_refused(now, service, scope);
        fleet.start_waiting(service);
        let progress = &mut self.shards[position];
        progress.token_wait = Some(until);
        progress.retry_at = Some(now + BUSY_RETRY_DELAY);
        true
    }

    /// Ends the wait of a shard for a token.
    pub(super) fn stop_waiting(&mut self, fleet: &mut ServerFleet, position: usize) {
        if self.shards[position].token_wait.take().is_some() {
            fleet.stop_waiting(self.plan.services[position]);
        }
    }

    /// Ends all waits for tokens. Must be called when the request ends, however it does.
    pub fn release(&mut self, fleet: &mut ServerFleet) {
        for position in 0..self.shards.len() {
            self.stop_waiting(fleet, position);
        }
    }
}
