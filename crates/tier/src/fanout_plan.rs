//! Input and output types of the fan-out state machine.

use std::{fmt, sync::Arc};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    fleet::{AttemptTicket, ServerKey, ServiceKey},
    model::RetryPolicy,
    stats::ClassKey,
    stopping::RequestTerms,
};

/// Position of a shard in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShardIndex(pub u16);

/// Position of a delegation in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DelegationIndex(pub u16);

/// Shards that are delegated to one peer, which calls their servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// Shards that the peer calls.
    pub shards: Vec<ShardIndex>,
    /// Whether this node has lost its links to the servers of some of the shards.
    pub is_relay: bool,
    /// When the shards are called otherwise if the peer has not responded.
    pub fallback_at: BootTime,
    /// Whether the shards have not been called for before, so that both nodes share the
    /// credit that they earn for the retry budget.
    pub is_first: bool,
}

/// For whom a node executes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutRole {
    /// For its own caller.
    Entry {
        /// Whether other nodes are known, which may call servers that this one can't.
        has_peers: bool,
    },
    /// For a node that has delegated the shards. That node gets the available results at the
    /// answer time, and later ones as they arrive.
    Delegate {
        /// See [`Delegation::is_first`].
        is_first: bool,
    },
}

/// What a node learns about one of its delegations, from the peer or from the connection
/// to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DelegationUpdate {
    /// The peer sent the merged partial results of these shards and continues with the
    /// others. An empty list only shows that the peer is alive.
    PartialResults(Vec<ShardIndex>),
    /// The peer has called no server for these shards and will not, because it knows
    /// none of them or cannot reach any.
    NotCalled(Vec<ShardIndex>),
    /// The servers that the peer has called for these shards closed their connections before
    /// they responded, and none has responded to the search. The peer calls no further ones.
    Broken(Vec<ShardIndex>),
    /// The peer has finished and has no further results.
    Ended,
    /// The peer has called servers for its only shard without success.
    Failed,
    /// The peer has called servers for its only shard; none has run the request, and no
    /// further one may be called.
    NotRun,
    /// The delegation did not reach the peer, so the peer has called no server.
    NotSent,
    /// The peer or the connection to it was lost; the peer may have called servers.
    Lost,
}

/// Plan of one request: the shards to call, the limits on attempts and the deadlines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FanoutPlan {
    /// The requested service, or one service per shard of a search.
    pub services: Vec<ServiceKey>,
    /// Minimum number of shards that an answer must include.
    pub min_shards: usize,
    /// Whether a request may be repeated after a server may have run it.
    pub retry: RetryPolicy,
    /// Maximum number of servers that may be called for each shard.
    pub attempts: u32,
    /// Latency class of the request.
    pub class: ClassKey,
    /// Shards that are delegated to peers; the servers of the others are called directly.
    pub delegations: Vec<Delegation>,
    /// Servers that may be called for each delegated shard. The node that has the
    /// client's request selects them once, so that both nodes together reach no more
    /// servers than the route allows, even if neither knows what the other has done.
    pub allowed: IndexMap<ShardIndex, Vec<ServerKey>>,
    /// For whom this node executes the request.
    pub role: FanoutRole,
    /// Whether servers may have crashed under the request, so that it is sent to one server
    /// first, and to others once that has responded.
    pub is_cautious: bool,
    /// When the request arrived.
    pub arrived: BootTime,
    /// Answer time: when the answer is sent with the shards that have answered, if they
    /// are enough.
    pub answer_by: BootTime,
    /// When the request times out.
    pub deadline: BootTime,
}

impl FanoutPlan {
    /// Returns the terms that decide whether a stopping node passes the request on.
    #[must_use]
    pub const fn terms(&self) -> RequestTerms {
        RequestTerms { retry: self.retry, class: self.class, deadline: self.deadline }
    }
}

/// Action that the caller must execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutAction {
    /// Send the request to a server.
    Send {
        /// Shard that the request is for.
        shard: ShardIndex,
        /// Ticket of the attempt, to be returned to the fleet when the attempt ends.
        ticket: AttemptTicket,
    },
    /// Send the shards of a delegation to its peer.
    Delegate(DelegationIndex),
    /// Use the partial results that a peer has just sent, in place of direct answers to
    /// the same shards.
    UsePartialResults(DelegationIndex),
    /// Send the new results and the list of shards for which no server was called to
    /// the node that delegated them.
    Report,
    /// Answer the client; no action follows.
    Finish(FanoutOutcome),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutOutcome {
    /// Enough shards answered.
    Answered,
    /// Too few shards answered, and no server has run or will run the request.
    NotRun,
    /// Too few shards answered.
    Failed,
    /// Too few shards answered before the deadline.
    TimedOut,
}

/// Numbers of shards of a request that have not answered, by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingShards {
    /// Shards that wait for the answer of a peer.
    pub at_peer: u32,
    /// Shards that wait for the answer of a server that this node has called.
    pub at_server: u32,
    /// Shards that wait for a direct attempt because a peer was silent or failed to get them.
    pub after_peer: u32,
    /// Shards that wait for a server with free capacity, or for the retry budget.
    pub unsent: u32,
    /// Shards for which no server may be called any more.
    pub abandoned: u32,
    /// Shards whose servers are all out of this node's reach.
    pub out_of_reach: u32,
}

impl fmt::Display for MissingShards {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            (self.at_peer, "at a peer"),
            (self.at_server, "at a server"),
            (self.after_peer, "unsent after a peer"),
            (self.unsent, "unsent"),
            (self.abandoned, "given up"),
            (self.out_of_reach, "out of reach"),
        ];
        let mut separator = "";
        for (count, place) in parts {
            if count > 0 {
                write!(f, "{separator}{count} {place}")?;
                separator = ", ";
            }
        }
        Ok(())
    }
}
