//! Control messages: membership, leases, grants and configuration spread.

use std::net::SocketAddr;

use carobstep_config::{ConfigVersion, IndexName, NodeName, ServerName, ZoneName};
use serde::{Deserialize, Serialize};

/// A message from one node's control state to another's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Periodic summary; answered with the receiver's own.
    Gossip(GossipDigest),
    /// Asks a recorded witness to vouch for the sender's lease.
    Vouch(VouchRequest),
    /// Tells a recorded witness that a lease was closed.
    Close(CloseNotice),
    /// Tells peers that grants moved or that servers leave.
    News(NewsNotice),
    /// Asks for what the sender lacks.
    Fetch(FetchRequest),
}

/// The answer to a [`ControlMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The message was taken in.
    Done,
    /// The receiver's own summary.
    Gossip(GossipDigest),
    /// Answer to a vouch request.
    Vouch(VouchReply),
    /// What the asker lacked.
    Fetched(FetchReply),
}

/// What one node knows, in short.
///
/// Its size grows with the nodes of one zone and with the changes of the last
/// seconds, not with the tables behind the hashes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipDigest {
    /// The sender.
    pub node: PeerRecord,
    /// Highest configuration version seen.
    pub config: ConfigVersion,
    /// Newest snapshot seen of each index.
    pub manifests: Vec<(IndexName, u64)>,
    /// Heartbeats of the nodes of the sender's zone.
    pub beats: Vec<PeerBeat>,
    /// Hash of the sender's table of peers, heartbeats left out.
    pub peers_hash: u64,
    /// Hashes of the sender's table of grants, one for each bucket of servers.
    pub grant_hashes: Vec<u32>,
    /// What changed lately.
    pub news: NewsNotice,
}

/// Changes of the last seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NewsNotice {
    /// Nodes that started or are stopping.
    pub peers: Vec<PeerRecord>,
    /// Grants that moved.
    pub grants: Vec<GrantNotice>,
    /// Signs that a backend server leaves.
    pub signs: Vec<ServerSign>,
}

/// A node's heartbeat in short form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBeat {
    /// Hash of the node's name and incarnation.
    pub id: u32,
    /// Grows with each heartbeat of the incarnation.
    pub heartbeat: u64,
    /// Version of the node's lease object after its last renewal.
    pub lease: u64,
}

/// What the sender of a [`ControlMessage::Fetch`] lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Configuration version that the asker has.
    pub config: ConfigVersion,
    /// Newest snapshot that the asker has of each index.
    pub manifests: Vec<(IndexName, u64)>,
    /// Whether to send the table of peers.
    pub peers: bool,
    /// Buckets of the table of grants to send.
    pub grant_buckets: Vec<u8>,
}

/// Answer to a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// The configuration, when newer.
    pub config: Option<ConfigCopy>,
    /// The manifests that are newer.
    pub manifests: Vec<ManifestCopy>,
    /// Tables and signs that were asked for.
    pub tables: NewsNotice,
}

/// Address and incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its peer address.
    pub address: SocketAddr,
    /// Grows with each start of the node.
    pub incarnation: u64,
    /// Grows with each heartbeat of the incarnation.
    pub heartbeat: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A grant's current holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantNotice {
    /// The backend server.
    pub server: ServerName,
    /// The holder, or `None` after a release.
    pub holder: Option<NodeName>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Epoch of the grant; grows with each move.
    pub epoch: u64,
    /// Version of the grant's object.
    pub version: u64,
}

/// Asks a witness to vouch for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VouchRequest {
    /// The holder of the lease.
    pub node: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Number of the round that the answer must echo.
    pub round: u64,
}

/// A witness's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VouchReply {
    /// Number of the round.
    pub round: u64,
    /// Whether the witness vouches.
    pub vouched: bool,
}

/// Tells that a lease was closed in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseNotice {
    /// The holder whose lease was closed.
    pub node: NodeName,
    /// Incarnation that was closed.
    pub incarnation: u64,
}

/// A sign that a backend server leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSign {
    /// The backend server.
    pub server: ServerName,
    /// Number of the sign; a later one replaces an earlier one.
    pub sequence: u64,
    /// Whether the server leaves.
    pub leaving: bool,
}

/// A configuration document with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document as compressed JSON text (DEFLATE, RFC 1951).
    pub packed: Vec<u8>,
}

/// A manifest as JSON text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ManifestCopy {
    /// The index.
    pub index: IndexName,
    /// Newest snapshot in the manifest.
    pub snapshot: u64,
    /// The manifest as JSON text.
    pub document: String,
}
