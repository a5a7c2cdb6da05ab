//! Attempts of one request and the actions that its owner executes.

use carobstep_clock::BootTime;
use carobstep_config::ServerKey;
use carobstep_wire::{RefusalReason, RequestId, RetryReason};

/// Odd multiplier that spreads attempt numbers over the lower half of a request id.
const ID_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// Key of one attempt of a search or service request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u32);

/// One attempt to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSend {
    /// Key under which the owner reports the reply or failure.
    pub attempt: AttemptKey,
    /// Index of the shard in the snapshot, zero for a service request.
    pub shard: usize,
    /// The backend server, a key of the router's topology.
    pub server: ServerKey,
    /// Identifier that the reply must echo.
    pub id: RequestId,
    /// Whether the attempt is a hedge.
    pub hedge: bool,
    /// Time by which the reply must have arrived.
    pub deadline: BootTime,
}

/// Action that the owner of a search or service request executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Send an attempt.
    Send(AttemptSend),
    /// Cancel an attempt; its reply is no longer wanted.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptKey,
    },
    /// Call `SearchState::restart` with another snapshot, or `SearchState::decline_replan`.
    Replan {
        /// The snapshot that too many shards are missing.
        avoid: u64,
    },
    /// Count a retry or a hedge.
    CountRetry(RetryReason),
    /// Count a refused or failed attempt.
    CountRefusal(RefusalReason),
    /// The report is ready.
    Finish,
}

/// Returns the upper half of a request id, which identifies the caller.
///
/// All attempts of one request share it, including those of a retry that the
/// caller sends under the same request id after a refusal.
#[must_use]
pub const fn caller_id(id: RequestId) -> u64 {
    (id.0 >> 64) as u64
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) shard: u32,
    pub(super) server: Option<ServerKey>,
    pub(super) sent: BootTime,
    pub(super) hedge: bool,
    pub(super) in_flight: bool,
}

/// All attempts of one request, addressed by [`AttemptKey`].
#[derive(Clone, Debug)]
pub(super) struct AttemptTable {
    base_id: RequestId,
    deadline: BootTime,
    attempts: Vec<Attempt>,
}

impl AttemptTable {
    pub(super) fn new(base_id: RequestId, deadline: BootTime, expected_attempts: usize) -> Self {
        // Spare capacity for hedges and retries, so that a usual search allocates once.
        let attempts = Vec::with_capacity(expected_attempts + expected_attempts / 8 + 1);
        Self { base_id, deadline, attempts }
    }

    pub(super) fn attempt_id(&self, key: AttemptKey) -> RequestId {
        let low =
            (self.base_id.0 as u64).wrapping_add(ID_STRIDE.wrapping_mul(u64::from(key.0) + 1));
        RequestId((self.base_id.0 >> 64 << 64) | u128::from(low))
    }

    /// Returns the identifier of the caller, which stays the same when the caller retries.
    pub(super) const fn caller_id(&self) -> u64 {
        caller_id(self.base_id)
    }

    /// Adds an attempt and returns what to send.
    pub(super) fn add(
        &mut self,
        now: BootTime,
        shard: usize,
        server: ServerKey,
        hedge: bool,
    ) -> AttemptSend {
        let attempt = AttemptKey(u32::try_from(self.attempts.len()).unwrap_or(u32::MAX));
        let position = u32::try_from(shard).unwrap_or(u32::MAX);
        self.attempts.push(Attempt {
            shard: position,
            server: Some(server),
            sent: now,
            hedge,
            in_flight: true,
        });
        let id = self.attempt_id(attempt);
        AttemptSend { attempt, shard, server, id, hedge, deadline: self.deadline }
    }

    /// Ends an attempt in flight; returns `None` if it had already ended.
    pub(super) fn end(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(key.0 as usize)?;
        if !attempt.in_flight {
            return None;
        }
        attempt.in_flight = false;
        Some(*attempt)
    }

    /// Returns the attempts in flight with their keys.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (AttemptKey, &Attempt)> {
        (0u32..).map(AttemptKey).zip(&self.attempts).filter(|(_, attempt)| attempt.in_flight)
    }

    /// Translates the servers of attempts in flight to the keys of another topology.
    pub(super) fn map_servers(&mut self, translate: impl Fn(ServerKey) -> Option<ServerKey>) {
        for attempt in &mut self.attempts {
            if !attempt.in_flight {
                continue;
            }
            attempt.server = attempt.server.and_then(&translate);
        }
    }
}
