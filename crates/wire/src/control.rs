//! Control messages between nodes: membership, leases, grants and the distribution
//! of the configuration.

use std::net::SocketAddr;

use carobstep_config::{ConfigVersion, IndexName, NodeName, ServerName, ZoneName};
use serde::{Deserialize, Serialize};

/// Message between the control states of two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Periodic digest of the sender's state; the reply holds the receiver's digest.
    Gossip(GossipDigest),
    /// Asks a witness that the sender's lease object lists to confirm that it was not
    /// notified of the lease's closing.
    Vouch(VouchRequest),
    /// Notifies a witness that the lease object lists that the lease was closed.
    Close(LeaseClosedNotice),
    /// Notifies peers of changed grants, leaving backend servers, and nodes that start
    /// or stop.
    News(UpdateNotice),
    /// Requests data that the sender is missing.
    Fetch(FetchRequest),
}

/// Reply to a [`ControlMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The message was handled; there is no data to return.
    Done,
    /// Digest of the receiver's state.
    Gossip(GossipDigest),
    /// Reply to a vouch request.
    Vouch(VouchReply),
    /// The requested data.
    Fetched(FetchReply),
}

/// Digest of a node's state.
///
/// Its size grows with the number of nodes in one zone and with the changes of the
/// last seconds. Tables of peers and grants are represented by hashes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipDigest {
    /// Record of the sender.
    pub node: PeerRecord,
    /// Highest configuration version seen.
    pub config: ConfigVersion,
    /// Newest known snapshot of each index.
    pub manifests: Vec<(IndexName, u64)>,
    /// Heartbeats of the nodes of the sender's zone.
    pub beats: Vec<PeerHeartbeat>,
    /// Hash of the sender's table of peers, without heartbeats.
    pub peers_hash: u64,
    /// Hashes of the sender's table of grants, one for each bucket of servers.
    pub grant_hashes: Vec<u32>,
    /// Updates of peers, grants and leaving servers within the last seconds.
    pub news: UpdateNotice,
}

/// Updates of peers, grants and leaving backend servers: the changes of the last
/// seconds, or whole tables in a [`FetchReply`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpdateNotice {
    /// Nodes that started or are stopping.
    pub peers: Vec<PeerRecord>,
    /// Grants and their current holders.
    pub grants: Vec<GrantNotice>,
    /// Leaving reports of backend servers.
    pub signs: Vec<LeavingReport>,
}

/// Compact heartbeat of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Hash of the node's name and incarnation.
    pub id: u32,
    /// Counter that grows with each heartbeat of the incarnation.
    pub heartbeat: u64,
    /// Version of the node's lease object after its last renewal.
    pub lease: u64,
}

/// Data that the sender of a [`ControlMessage::Fetch`] is missing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Configuration version of the sender.
    pub config: ConfigVersion,
    /// Newest snapshot of each index that the sender has.
    pub manifests: Vec<(IndexName, u64)>,
    /// Whether to send the table of peers.
    pub peers: bool,
    /// Buckets of the table of grants to send.
    pub grant_buckets: Vec<u8>,
}

/// Reply to a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// The configuration, if it is newer than the sender's.
    pub config: Option<ConfigCopy>,
    /// The manifests that are newer than the sender's.
    pub manifests: Vec<ManifestCopy>,
    /// The requested tables of peers and grants, and leaving reports of servers.
    pub tables: UpdateNotice,
}

/// Address and incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Counter that grows with each start of the node.
    pub incarnation: u64,
    /// Counter that grows with each heartbeat of the incarnation.
    pub heartbeat: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// Current holder of a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantNotice {
    /// The backend server.
    pub server: ServerName,
    /// The holder, or `None` after a release.
    pub holder: Option<NodeName>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Epoch of the grant; grows with each change of the holder.
    pub epoch: u64,
    /// Version of the grant object in the platform's store.
    pub version: u64,
}

/// Request to a witness to vouch for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VouchRequest {
    /// The holder of the lease.
    pub node: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Number of the round of requests, which the reply must echo.
    pub round: u64,
}

/// Reply of a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VouchReply {
    /// Number of the round, from the request.
    pub round: u64,
    /// Whether the witness vouches for the lease.
    pub vouched: bool,
}

/// Notice that a lease was closed in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClosedNotice {
    /// The holder whose lease was closed.
    pub node: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
}

/// Report that a backend server is leaving, or that it is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The backend server.
    pub server: ServerName,
    /// Sequence number of the report; a higher one replaces a lower one.
    pub sequence: u64,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// A configuration document with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document as JSON text, compressed with DEFLATE (RFC 1951).
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
