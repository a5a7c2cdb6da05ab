//! What has to be done for one request, and what its state machine asks for.

use std::{fmt, sync::Arc};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    fleet::{SentTicket, ServerKey, ServiceKey},
    model::RetryPolicy,
    stats::ClassKey,
};

/// Position of a shard in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShardIndex(pub u16);

/// Position of a delegation in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupIndex(pub u16);

/// Shards whose servers a peer calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// The shards.
    pub shards: Vec<ShardIndex>,
    /// When the shards are asked directly because the peer stays silent.
    pub replace_at: BootTime,
}

/// What is heard of a delegation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DelegationNews {
    /// The peer sent the merged parts of these shards and goes on with the
    /// others; no shards at all is a sign of life.
    Parts(Vec<ShardIndex>),
    /// The peer asked no server for these shards and won't, as it knows none of
    /// them or can't reach any.
    Unasked(Vec<ShardIndex>),
    /// The peer got no more, and has ended its work.
    Ended,
    /// The peer sent nothing to any server.
    NotSent,
    /// The peer or its connection is gone; it may have called servers.
    Lost,
}

/// What has to be done for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FanoutPlan {
    /// The service, or one service per shard.
    pub services: Vec<ServiceKey>,
    /// Least number of shards that an answer must include.
    pub least: usize,
    /// Whether a shard may be asked again after it may have run the request.
    pub retry: RetryPolicy,
    /// Servers that may be asked for each shard.
    pub attempts: u32,
    /// Class of the request.
    pub class: ClassKey,
    /// Shards that peers take; the others are asked directly.
    pub delegations: Vec<Delegation>,
    /// Servers of a shard that two nodes may ask, chosen once by the node that has
    /// the request: together they reach no more servers than the route allows,
    /// even when one does not know what the other has done.
    pub allowed: IndexMap<ShardIndex, Vec<ServerKey>>,
    /// Whether another node delegated these shards to this one. It gets what is
    /// there at the answer time, and later parts as they come.
    pub is_delegated: bool,
    /// When the request arrived.
    pub arrived: BootTime,
    /// When the answer goes out with the shards that are there.
    pub answer_by: BootTime,
    /// When nobody waits for the answer any more.
    pub deadline: BootTime,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutAction {
    /// Send the request to a server.
    Send {
        /// Shard that is asked.
        shard: ShardIndex,
        /// Ticket of the attempt, to be handed back when it has ended.
        ticket: SentTicket,
    },
    /// Send the shards of a delegation to its peer.
    Delegate(GroupIndex),
    /// Use the parts that a peer has just sent, in place of direct answers to the
    /// same shards.
    Take(GroupIndex),
    /// Send the parts that are there and were not sent yet, and the shards that
    /// nobody was asked for, to the node that delegated them.
    Report,
    /// Answer the client; nothing follows.
    Finish(FanoutEnd),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutEnd {
    /// Enough shards answered.
    Answered,
    /// Too few shards answered, and no server has run or will run the request.
    NotRun,
    /// Too few shards answered.
    Failed,
    /// Too few shards answered before the deadline.
    TimedOut,
}

/// What the shards of a request that have not answered wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LackingShards {
    /// The answer of a peer.
    pub at_peer: u32,
    /// The answer of a server that this node has asked.
    pub at_server: u32,
    /// A direct attempt after a peer that was silent or did not get them.
    pub after_peer: u32,
    /// A server with room, or the retry budget.
    pub unsent: u32,
    /// Nothing: no server may be asked any more.
    pub given_up: u32,
}

impl fmt::Display for LackingShards {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            (self.at_peer, "at a peer"),
            (self.at_server, "at a server"),
            (self.after_peer, "unsent after a peer"),
            (self.unsent, "unsent"),
            (self.given_up, "given up"),
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
