//! What the control state is told, and what it wants done.

use std::{fmt, net::SocketAddr, sync::Arc};

use carobstep_config::{ConfigTopology, ManifestDocument, NodeName, ServerName};
use carobstep_store::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError};
use carobstep_wire::{ControlMessage, ControlReply};

/// Identifies a call that the control state made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Identifies a message of a peer that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyKey(pub u64);

/// A message to a peer that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerFailure;

impl fmt::Display for PeerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("peer did not answer")
    }
}

impl std::error::Error for PeerFailure {}

/// What happened outside the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// The time given by `next_wakeup` has come.
    Tick,
    /// A peer sent a message; an [`ControlEffect::Answer`] with `reply` follows.
    Received {
        /// Key of the answer.
        reply: ReplyKey,
        /// The message.
        message: ControlMessage,
    },
    /// A peer answered a message, or did not.
    Replied {
        /// Key of the [`ControlEffect::Send`].
        call: CallKey,
        /// The answer.
        result: Result<ControlReply, PeerFailure>,
    },
    /// The platform answered a call, or did not.
    ObjectAnswer {
        /// Key of the [`ControlEffect::Object`].
        call: CallKey,
        /// The answer.
        result: Result<ObjectReply, StoreError>,
    },
    /// A watch reported a change.
    Watched {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// New version of the object.
        version: ObjectVersion,
        /// New value, `None` after a deletion.
        value: Option<serde_json::Value>,
    },
    /// A watch was opened.
    WatchOpened {
        /// Kind that is watched.
        kind: ObjectKind,
    },
    /// A watch ended or could not be opened.
    WatchLost {
        /// Kind that was watched.
        kind: ObjectKind,
    },
    /// Nothing runs on a held server any more, or something does again. Idle
    /// also means that no connection to the server is open.
    ServerIdle {
        /// The backend server.
        server: ServerName,
        /// Whether it is idle.
        idle: bool,
    },
    /// A response or a health report showed whether a server leaves.
    ServerSeen {
        /// The backend server.
        server: ServerName,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A connection to a peer opened or broke.
    PeerSeen {
        /// The peer.
        node: NodeName,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// The process is asked to stop.
    Stop,
}

/// What the control state wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Call the platform; answer with [`ControlEvent::ObjectAnswer`].
    Object {
        /// Key of the answer.
        call: CallKey,
        /// The call.
        object: ObjectCall,
    },
    /// Send a message to a peer; answer with [`ControlEvent::Replied`].
    Send {
        /// Key of the answer.
        call: CallKey,
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Answer a peer's message.
    Answer {
        /// Key of the message.
        reply: ReplyKey,
        /// The answer.
        answer: ControlReply,
    },
    /// Open a watch; an open one of the same kind is replaced.
    Watch {
        /// Kind to watch.
        kind: ObjectKind,
        /// Report changes after this version.
        after: ObjectVersion,
    },
    /// Close a watch.
    Unwatch {
        /// Kind that is watched.
        kind: ObjectKind,
    },
    /// The node holds a grant now; `may_dispatch` says from when.
    GrantTaken {
        /// The backend server.
        server: ServerName,
        /// Epoch of the grant.
        epoch: u64,
    },
    /// The node must start nothing new on a server and finish what runs; it
    /// then closes its connections and reports [`ControlEvent::ServerIdle`].
    GrantReleasing {
        /// The backend server.
        server: ServerName,
    },
    /// The node holds the grant no longer.
    GrantDropped {
        /// The backend server.
        server: ServerName,
    },
    /// A newer configuration is in force.
    ConfigInForce {
        /// Its checked form.
        topology: Arc<ConfigTopology>,
        /// Its JSON text.
        document: Arc<str>,
    },
    /// A newer manifest is in force.
    ManifestInForce {
        /// The manifest.
        manifest: Arc<ManifestDocument>,
    },
    /// An object or a peer's copy could not be used.
    Rejected {
        /// Kind and name of the object.
        object: String,
        /// What is wrong with it.
        message: String,
    },
    /// `holder_of`, `live_peers` or `leaving_servers` changed.
    RoutesChanged,
    /// Whether the node is ready for callers changed.
    Ready(bool),
    /// Everything is handed over; the process may exit.
    StopFinished,
}

/// Where requests to a backend server go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRoute {
    /// The holder.
    pub node: NodeName,
    /// Peer address of the holder.
    pub address: SocketAddr,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Incarnation of the holder.
    pub incarnation: u64,
}
