//! Requests under which servers may have crashed: one server is called at a time until one
//! has responded, and none if all that were called crashed.
//!
//! Answers a search that crashes every server that runs it. It ends one server of each shard
//! before anything is known of it, so that the second ones must be kept from it.

use carobstep_clock::BootTime;

use super::{FanoutState, ShardProgress, ShardState, shard_at};
use crate::{
    fanout_plan::{FanoutRole, ShardIndex},
    fleet::ServerKey,
};

/// Number of connections that servers closed before they responded, with no response of any
/// other server, after which a request is given up.
const MAX_BROKEN_ATTEMPTS: u32 = 3;

/// Least number of shards for which the lack of any response tells more than that one server
/// is slow.
const MIN_TELLING_SHARDS: usize = 3;

impl FanoutState {
    /// Sends the request with caution from now on, because servers may have crashed under it.
    pub const fn suspect(&mut self) {
        self.plan.is_cautious = true;
    }

    /// Sends the request to no further server, because several have crashed under it.
    pub const fn stop_sending(&mut self) {
        self.is_stopped = true;
    }

    /// Records that the server of an attempt closed the connection before it responded.
    /// Must be called before [`FanoutState::on_attempt_ended`].
    pub fn on_connection_broken(&mut self, shard: ShardIndex, server: ServerKey) {
        self.broken_attempts += 1;
        if let Some(progress) = self.shards.get_mut(usize::from(shard.0)) {
            progress.is_broken = true;
        }
        if self.canary != Some((usize::from(shard.0), server)) || self.finished {
            return;
        }
        for position in 0..self.shards.len() {
            if self.shards[position].state == ShardState::Pending {
                self.abandon_shard(position);
            }
        }
    }

    /// Returns whether the request is sent to one server at a time, because servers may
    /// crash under it: some did, and none has responded.
    pub(super) const fn is_cautious(&self) -> bool {
        let is_telling = self.shards.len() > 1 && self.broken_attempts > 0;
        let is_suspect =
            self.plan.is_cautious || is_telling || self.broken_attempts >= MAX_BROKEN_ATTEMPTS;
        is_suspect && self.answered == 0
    }

    pub(super) fn must_wait_for_canary(&self) -> bool {
        let is_running = |shard: &ShardProgress| {
            shard.in_flight > 0 || shard.delegated && shard.state == ShardState::Pending
        };
        self.is_cautious() && self.shards.iter().any(is_running)
    }

    /// Returns whether the request must not be sent to a further server: all that were called
    /// have crashed, here or at other nodes. A delegate leaves it to the node that knows
    /// whether other shards have responded.
    pub(super) const fn is_hopeless(&self) -> bool {
        let is_part =
            matches!(self.plan.role, FanoutRole::Delegate { .. }) && self.plan.min_shards == 0;
        let max_broken = if is_part { 1 } else { MAX_BROKEN_ATTEMPTS };
        self.is_stopped || self.broken_attempts >= max_broken && self.answered == 0
    }

    /// Returns the shards that were given up because servers may have crashed under the
    /// request.
    #[must_use]
    pub fn broken_shards(&self) -> Vec<ShardIndex> {
        let mut broken = Vec::new();
        for (position, progress) in self.shards.iter().enumerate() {
            if progress.state == ShardState::Abandoned && progress.is_broken {
                broken.push(shard_at(position));
            }
        }
        broken
    }

    /// Handles the shards under which servers of a peer may have crashed.
    pub(super) fn on_broken_at_peer(&mut self, now: BootTime, shards: &[ShardIndex]) {
        for shard in shards {
            let Some(progress) = self.shards.get_mut(usize::from(shard.0)) else { continue };
            self.broken_attempts += 1;
            progress.awaited = None;
            if std::mem::take(&mut progress.delegated) && progress.state == ShardState::Pending {
                progress.peer_may_have_called = true;
                progress.retry_at = Some(now);
            }
        }
    }

    /// Returns whether a late shard may be hedged: other shards have responded, so that the
    /// request is not what keeps the server from it.
    pub(super) const fn may_hedge(&self) -> bool {
        !self.is_stopped && (self.answered > 0 || self.shards.len() < MIN_TELLING_SHARDS)
    }
}
