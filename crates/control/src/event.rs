//! Events that the control state handles and effects that it requests.

use std::{fmt, net::SocketAddr, sync::Arc};

use carobstep_config::{ConfigTopology, ManifestDocument, NodeName, ServerName};
use carobstep_store::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError};
use carobstep_wire::{ControlMessage, ControlReply};

/// Key of a call to the platform or to a peer that the control state made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Key of a peer's message that awaits a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyKey(pub u64);

/// Error of a message to a peer that got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerFailure;

impl fmt::Display for PeerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("peer did not answer")
    }
}

impl std::error::Error for PeerFailure {}

/// An input of [`ControlState::handle`](crate::ControlState::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// The time returned by [`ControlState::next_wakeup`](crate::ControlState::next_wakeup)
    /// has been reached.
    Tick,
    /// A peer sent a message; an [`ControlEffect::Answer`] with `reply` follows.
    Received {
        /// Key that the [`ControlEffect::Answer`] repeats.
        reply: ReplyKey,
        /// The message.
        message: ControlMessage,
    },
    /// A peer replied to a message, or the message failed.
    Replied {
        /// Key of the [`ControlEffect::Send`].
        call: CallKey,
        /// The reply, or the failure.
        result: Result<ControlReply, PeerFailure>,
    },
    /// The platform replied to a call, or the call failed.
    ObjectReplied {
        /// Key of the [`ControlEffect::Object`].
        call: CallKey,
        /// The reply, or the error.
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
    /// A held server became idle, or is in use again. An idle server runs no
    /// requests of this node and has no open connections from it.
    ServerIdle {
        /// The backend server.
        server: ServerName,
        /// Whether it is idle.
        idle: bool,
    },
    /// A response or a health report showed whether a server is leaving.
    ServerObserved {
        /// The backend server.
        server: ServerName,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A connection to a peer opened or broke.
    PeerReachability {
        /// The peer.
        node: NodeName,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// The process was asked to stop.
    Stop,
}

/// An action that the control state requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Call the platform and report the result with
    /// [`ControlEvent::ObjectReplied`].
    Object {
        /// Key that the reported event repeats.
        call: CallKey,
        /// The call.
        object: ObjectCall,
    },
    /// Send a message to a peer and report the result with
    /// [`ControlEvent::Replied`].
    Send {
        /// Key that the reported event repeats.
        call: CallKey,
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Reply to a peer's message.
    Answer {
        /// Key from the [`ControlEvent::Received`].
        reply: ReplyKey,
        /// The reply.
        answer: ControlReply,
    },
    /// Open a watch, which replaces an open watch of the same kind.
    Watch {
        /// Kind to watch.
        kind: ObjectKind,
        /// Version after which changes are reported.
        after: ObjectVersion,
    },
    /// Close a watch.
    Unwatch {
        /// Kind that is watched.
        kind: ObjectKind,
    },
    /// The node now holds a grant; `dispatch_from` returns the time from which it
    /// may use it.
    GrantTaken {
        /// The backend server.
        server: ServerName,
        /// Epoch of the grant.
        epoch: u64,
    },
    /// Start no new requests on a server, complete the running ones, close all
    /// connections to it and then report [`ControlEvent::ServerIdle`].
    GrantReleasing {
        /// The backend server.
        server: ServerName,
    },
    /// The node no longer holds the grant.
    GrantDropped {
        /// The backend server.
        server: ServerName,
    },
    /// The node has a newer configuration.
    ConfigChanged {
        /// The validated configuration.
        topology: Arc<ConfigTopology>,
        /// The JSON text of the configuration.
        document: Arc<str>,
    },
    /// The node has a newer manifest.
    ManifestChanged {
        /// The manifest.
        manifest: Arc<ManifestDocument>,
    },
    /// An object of the platform or a document copied from a peer is invalid, or a
    /// newer process uses the name of this node.
    Rejected {
        /// Kind and name of the object.
        object: String,
        /// Reason for the rejection.
        message: String,
    },
    /// The results of `holder_of`, `live_peers` or `leaving_servers` may have
    /// changed.
    RoutesChanged,
    /// The node became ready for callers, or is no longer ready.
    Ready(bool),
    /// The node has stopped and the process may exit.
    StopFinished,
}

/// Route of requests to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRoute {
    /// Name of the node that holds the grant.
    pub node: NodeName,
    /// Peer address of the holder.
    pub address: SocketAddr,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Incarnation of the holder.
    pub incarnation: u64,
}
