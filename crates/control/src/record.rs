//! Values of the platform objects that the control state reads and writes.

use std::net::SocketAddr;

use carobstep_config::{ConfigVersion, NodeName, ServerName, ZoneName};
use serde::{Deserialize, Serialize};
use strum::Display;

/// Recorded state of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseRecordState {
    /// The holder may renew the lease.
    Open,
    /// Another node closed the lease and the holder may not renew it.
    Closed,
    /// The holder released the lease.
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
    /// Term of the lease in milliseconds.
    pub term_ms: u64,
    /// Number of the renewal, one for the first write of an incarnation.
    pub renewal: u64,
    /// Live nodes of the zone as seen by the holder, including the holder.
    pub witnesses: Vec<NodeName>,
    /// Peer address of the holder.
    pub peers: SocketAddr,
    /// Address on which the holder answers operators.
    pub operators: SocketAddr,
    /// Whether the platform's VM list has shown the holder.
    #[serde(default)]
    pub listed: bool,
    /// State of the lease.
    pub state: LeaseRecordState,
}

/// Recorded state of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum GrantRecordState {
    /// The holder may dispatch while its lease is valid.
    Held,
    /// The holder released the grant and none of its requests runs any more.
    Released,
}

/// Value of `grant/{server}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Name of the backend server.
    pub server: ServerName,
    /// The current holder, or the last one of a released grant.
    pub holder: NodeName,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Epoch of the grant, which grows with each acquisition.
    pub epoch: u64,
    /// Number of concurrent requests that the holder may run on the server.
    pub slots: u16,
    /// Number of connections that the holder may open to the server.
    pub connections: u16,
    /// State of the grant.
    pub state: GrantRecordState,
}

/// Value of `status/{node}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: String,
    /// Address on which the node answers operators.
    pub operators: SocketAddr,
    /// Peer address of the node.
    pub peers: SocketAddr,
    /// Version of the node's configuration when the record was written.
    pub config_version: ConfigVersion,
}

/// Value of `config/current`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Identifier of the patch that produced this version.
    #[serde(default)]
    pub patch_id: String,
    /// Author of the patch.
    #[serde(default)]
    pub author: String,
    /// Time at which the patch was submitted.
    #[serde(default)]
    pub time: serde_json::Value,
    /// The configuration document.
    pub document: serde_json::Value,
}
