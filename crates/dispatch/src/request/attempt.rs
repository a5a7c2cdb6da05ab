//! Attempts of one request and the actions that carry them out.

use carobstep_clock::BootTime;
use carobstep_config::ServerKey;
use carobstep_wire::{RefusalReason, RequestId, RetryReason};

/// Odd constant that spreads attempt numbers over the lower half of an id.
const ID_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// Key of one attempt within one query or service request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u32);

/// One attempt to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSend {
    /// Key to report the end of the attempt under.
    pub attempt: AttemptKey,
    /// Position of the shard in the snapshot, zero for a service request.
    pub shard: usize,
    /// The backend server, a key of the router's topology.
    pub server: ServerKey,
    /// Identifier that the reply must echo.
    pub id: RequestId,
    /// Whether it is a hedge.
    pub hedge: bool,
    /// When the reply must be there.
    pub deadline: BootTime,
}

/// What the owner of a query or service request has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Send an attempt.
    Send(AttemptSend),
    /// Cancel an attempt; its reply is no longer wanted.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptKey,
    },
    /// Answer with `QueryState::restart` or `QueryState::decline_move`.
    Replan {
        /// The snapshot that too many servers lack.
        avoid: u64,
    },
    /// Count an attempt that was sent again.
    CountRetry(RetryReason),
    /// Count an attempt that was given up.
    CountRefusal(RefusalReason),
    /// The report is ready.
    Finish,
}

/// The caller's half of a request id.
///
/// All attempts of one request share it, also those that the caller sends
/// after a refusal under the same request id.
#[must_use]
pub const fn caller_of(id: RequestId) -> u64 {
    (id.0 >> 64) as u64
}

/// One sent attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) shard: u32,
    pub(super) server: Option<ServerKey>,
    pub(super) sent: BootTime,
    pub(super) hedge: bool,
    pub(super) live: bool,
}

/// All attempts of one request, addressed by [`AttemptKey`].
#[derive(Clone, Debug)]
pub(super) struct AttemptTable {
    seed: RequestId,
    deadline: BootTime,
    attempts: Vec<Attempt>,
}

impl AttemptTable {
    pub(super) fn new(seed: RequestId, deadline: BootTime, expected: usize) -> Self {
        // Room for hedges and retries, so that a usual query allocates once.
        let attempts = Vec::with_capacity(expected + expected / 8 + 1);
        Self { seed, deadline, attempts }
    }

    pub(super) fn id(&self, key: AttemptKey) -> RequestId {
        let low = (self.seed.0 as u64).wrapping_add(ID_STRIDE.wrapping_mul(u64::from(key.0) + 1));
        RequestId((self.seed.0 >> 64 << 64) | u128::from(low))
    }

    /// Identity that the caller presents again.
    pub(super) const fn caller(&self) -> u64 {
        caller_of(self.seed)
    }

    /// Adds an attempt and describes how to send it.
    pub(super) fn send(
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
            live: true,
        });
        let id = self.id(attempt);
        AttemptSend { attempt, shard, server, id, hedge, deadline: self.deadline }
    }

    /// Ends a live attempt; `None` if it had ended before.
    pub(super) fn end(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(key.0 as usize)?;
        if !attempt.live {
            return None;
        }
        attempt.live = false;
        Some(*attempt)
    }

    /// Live attempts with their keys.
    pub(super) fn live(&self) -> impl Iterator<Item = (AttemptKey, &Attempt)> {
        (0u32..).map(AttemptKey).zip(&self.attempts).filter(|(_, attempt)| attempt.live)
    }

    /// Translates the servers of live attempts to another topology.
    pub(super) fn map_servers(&mut self, translate: impl Fn(ServerKey) -> Option<ServerKey>) {
        for attempt in &mut self.attempts {
            if !attempt.live {
                continue;
            }
            attempt.server = attempt.server.and_then(&translate);
        }
    }
}
