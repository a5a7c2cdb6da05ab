//! Values of the platform objects that the control state reads and writes.

use std::net::SocketAddr;

use carobstep_config::{ConfigVersion, NodeName, ServerName, ZoneName};
use serde::{Deserialize, Serialize};
use strum::Display;

/// Whether a lease may still be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseMark {
    /// The holder renews it.
    Open,
    /// Another node closed it; the holder may not renew it.
    Closed,
    /// The holder gave it up.
    Released,
}

/// Value of `lease/{node}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub node: NodeName,
    /// Availability zone of the holder.
    pub zone: ZoneName,
    /// Region of the holder.
    pub region: String,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Term in milliseconds.
    pub term_ms: u64,
    /// Number of the renewal.
    pub renewal: u64,
    /// Live nodes of the zone as the holder saw them, the holder among them.
    pub witnesses: Vec<NodeName>,
    /// Peer address of the holder.
    pub peers: SocketAddr,
    /// Operators' address of the holder.
    pub operators: SocketAddr,
    /// Whether the VM list has shown the holder.
    #[serde(default)]
    pub listed: bool,
    /// State of the lease.
    pub state: LeaseMark,
}

/// Whether a grant is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum GrantMark {
    /// The holder may dispatch while its lease is valid.
    Held,
    /// The holder gave it up; nothing of its requests runs any more.
    Released,
}

/// Value of `grant/{server}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Name of the backend server.
    pub server: ServerName,
    /// The holder, or the last one.
    pub holder: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Grows with each move.
    pub epoch: u64,
    /// Lent slots.
    pub slots: u16,
    /// Lent connections.
    pub connections: u16,
    /// State of the grant.
    pub state: GrantMark,
}

/// Value of `status/{node}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: String,
    /// Its operators' address.
    pub operators: SocketAddr,
    /// Its peer address.
    pub peers: SocketAddr,
    /// Configuration in force when the record was written.
    pub config_version: ConfigVersion,
}

/// Value of `config/current`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Identifier of the patch that led to it.
    #[serde(default)]
    pub patch_id: String,
    /// Who submitted the patch.
    #[serde(default)]
    pub author: String,
    /// When it was submitted.
    #[serde(default)]
    pub time: serde_json::Value,
    /// The document.
    pub document: serde_json::Value,
}
