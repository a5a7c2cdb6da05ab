//! Messages between nodes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_tier::{
    AccountHandover, CrashRecord, CrashUpdate, DirectoryUpdate, LimitRecord, LimitUpdate,
    LinkReport, LinkUpdate, PeerUpdate, QuotaAsk, ServerIncarnation, ServerObservation,
    ServicesDigest, ShareAsk, ShareGrant, StoreRevision,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A request to a peer.
///
/// Nodes of the version before read these messages too: variants are only appended, and the
/// types of existing ones keep their fields. A node answers a variant that it doesn't know
/// with status 400.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A request for some shards, whose servers the receiver calls.
    Delegated(DelegatedRequest),
    /// A call for changes in the store, by long polling.
    Follow(FollowRequest),
    /// A request for tokens for servers that limit their requests.
    Quota(QuotaRequest),
    /// Requests that crash servers.
    Crashes(Vec<CrashRecord>),
    /// A call to find out whether the receiver can call servers in place of the sender, with
    /// what is known of the sender's links.
    Contact(Vec<LinkReport>),
    /// A request for tokens of limits that all nodes share.
    Share(ShareRequest),
    /// Failures of servers that nodes of the zone have observed, by hashed identifier.
    Observations(ObservationsRequest<u32>),
    /// Like [`PeerRequest::Follow`], with further data. A node that doesn't know it can't
    /// decode it.
    FollowExtended(Box<FollowRequest>, Vec<Extension>),
    /// Client accounts that have used up their limits.
    ShortAccounts(ShortAccounts),
    /// Like [`PeerRequest::Delegated`], with the digest of the services of the shards.
    DelegatedChecked(Box<DelegatedRequest>, ServicesDigest),
    /// Like [`PeerRequest::Observations`], by identifier.
    NamedObservations(ObservationsRequest<Arc<str>>),
    /// Limits of client accounts that the receiver owns from now on.
    Handover(AccountsHandover),
}

/// Further data of a message. The receiver skips kinds that it doesn't know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Extension {
    /// Number of an [`ExtensionKind`].
    pub kind: u16,
    /// Encoded content.
    pub content: Bytes,
}

/// Known kinds of further data; the numbers never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum ExtensionKind {
    /// In a request, the [`StoreRevision`] of the last change of the evacuations that the
    /// requesting node knows; in a reply, an [`carobstep_tier::EvacuationUpdate`].
    Evacuations = 1,
}

impl Extension {
    /// Encodes further data; `None` if it is too large for a message.
    pub fn encode<T: Serialize>(kind: ExtensionKind, content: &T) -> Option<Self> {
        let content = carobstep_wire::encode(content).ok()?;
        Some(Self { kind: kind as u16, content })
    }

    /// Decodes the data of one kind; `None` if there is none that can be decoded.
    pub fn find<T: DeserializeOwned>(extensions: &[Self], kind: ExtensionKind) -> Option<T> {
        let extension = extensions.iter().find(|extension| extension.kind == kind as u16)?;
        carobstep_wire::decode(&extension.content).ok()
    }
}

/// A reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Results of shards: first all that have arrived by the time the response
    /// is due, then each later one.
    Parts(DelegatedParts),
    /// Changes in the store.
    News(Box<StoreUpdate>),
    /// The peer has no fresh store data.
    NoNews(Box<StaleReply>),
    /// The peer rejects the request without having sent anything to a server, for
    /// example because it is stopping.
    Refused,
    /// Tokens for servers that limit their requests.
    Quota(QuotaReply),
    /// The message was received.
    Received,
    /// The peer has no room for a request of a node that has lost its links, for this time.
    Full(Duration),
    /// Outcome of a request to one service.
    Outcome(Box<DelegatedOutcome>),
    /// A further part of the response's body.
    MoreBody(Bytes),
    /// Reply to a call to find out about the peer, with what is known of its links.
    Contact(Vec<LinkReport>),
    /// Tokens of shared limits, one entry for each of the request.
    Share(Vec<ShareGrant>),
    /// Failures of servers that all nodes of the zone have observed, by hashed identifier.
    Observations(ObservationsReply<u32>),
    /// Like [`PeerReply::News`], with further data; only in reply to
    /// [`PeerRequest::FollowExtended`].
    ExtendedNews(Box<StoreUpdate>, Vec<Extension>),
    /// For each account of the request, whether the peer takes the sender for its owner.
    Support(Vec<bool>),
    /// Like [`PeerReply::Observations`], by identifier.
    NamedObservations(ObservationsReply<Arc<str>>),
}

/// Word of the node that owns the limits of client accounts that few tokens are left.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ShortAccounts {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Names of the accounts.
    pub accounts: Vec<Arc<str>>,
}

/// What a node knows of client accounts whose limits it no longer owns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AccountsHandover {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Whether the sender is stopping and owns no limits any more.
    pub is_stopping: bool,
    /// Accounts that the sender takes the receiver for the owner of.
    pub accounts: Vec<AccountHandover>,
}

/// Request for tokens of shared limits to the node that the sender takes for their owner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Name of the sender.
    pub node: Arc<str>,
    /// What the sender asks for and reports; may be empty.
    pub asks: Vec<ShareAsk>,
}

/// How a request to one service ended that a peer has sent for this node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegatedOutcome {
    /// How it ended.
    pub verdict: DelegatedVerdict,
    /// The server's response, also if it reports a failure.
    pub response: Option<DelegatedResponse>,
    /// Time after which a refused caller may find servers that accept requests.
    pub retry_in: Duration,
    /// Servers that recently said that they are leaving.
    pub leaving: Vec<ServerIncarnation>,
    /// What is known of the peer's links.
    pub links: Vec<LinkReport>,
}

/// Result of a request to one service that a peer has sent for this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegatedVerdict {
    /// A server responded successfully.
    Answered,
    /// The request may have run, without success.
    Failed,
    /// Servers were called, and none has run the request.
    NotRun,
    /// No server was called.
    NotCalled,
}

/// Response of a server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegatedResponse {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<(String, Bytes)>,
    /// Length of the whole body, in bytes.
    pub length: usize,
    /// First part of the body; the others follow.
    pub body: Bytes,
}

/// What a node tells another one of its zone about servers that fail, which are named by
/// `Name`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ObservationsRequest<Name> {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Attempts of the sender since its last report.
    pub reports: Vec<ServerObservation<Name>>,
    /// Recent attempts of all nodes of the zone, if the sender adds them up.
    pub failing: Option<Vec<ServerObservation<Name>>>,
}

/// Reply to a report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ObservationsReply<Name> {
    /// Recent attempts of all nodes of the zone at the servers that fail.
    pub failing: Vec<ServerObservation<Name>>,
}

/// Request for tokens to the node that the sender takes for their owner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Availability zones for which it takes the receiver for the owner.
    pub zones: Vec<Arc<str>>,
    /// Tokens that it asks for; may be empty.
    pub asks: Vec<QuotaAsk>,
}

/// Reply to a request for tokens.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Tokens that the sender may use, one number for each entry of the request.
    pub tokens: Vec<u32>,
    /// Limits that are known better than in the request.
    pub records: Vec<LimitRecord>,
}

/// Part of a request that a peer executes: some of its shards, the only one of a request to
/// one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegatedRequest {
    /// Whether the results of the shards are merged.
    pub is_search: bool,
    /// Whether the request may run at most once.
    pub is_at_most_once: bool,
    /// Whether servers may have crashed under the request.
    pub is_cautious: bool,
    /// Whether the sender has lost its links to servers of the shards.
    pub is_relay: bool,
    /// Whether no server was called for the shards before.
    pub is_first: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// For each shard, the hashed identifiers of the servers that may be called.
    pub shards: Vec<Vec<u32>>,
    /// Maximum number of greatest records to return from all shards together.
    pub top: u32,
    /// Maximum number of servers to call for each shard.
    pub attempts: u32,
    /// Latency objective of the route; determines the latency class with the timeout.
    pub objective: Duration,
    /// Timeout of the route.
    pub timeout: Duration,
    /// Time until the response to the caller is due with the results at hand.
    pub answer_in: Duration,
    /// Time until the request is abandoned.
    pub deadline_in: Duration,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// Servers that recently said that they are leaving.
    pub leaving: Vec<ServerIncarnation>,
}

/// Merged results of some shards of a search.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DelegatedParts {
    /// Shards whose results are included, as positions in the request.
    pub shards: Vec<u16>,
    /// Server stamps, one for each of those shards.
    pub stamps: Vec<Bytes>,
    /// The greatest records of these shards, in descending order.
    pub records: Bytes,
    /// Shards for which no server was or will be called, as positions in the request.
    pub unasked: Vec<u16>,
    /// Shards under which servers may have crashed, as positions in the request. No further
    /// server is called for them.
    pub broken: Vec<u16>,
    /// Servers that recently said that they are leaving.
    pub leaving: Vec<ServerIncarnation>,
    /// What is known of the peer's links.
    pub links: Vec<LinkReport>,
}

/// Request for changes in the store; the peer waits a while for one before it replies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Incarnation of the peer that assigned the change numbers.
    pub life: u64,
    /// Change number of the requesting node's list of servers.
    pub servers: u64,
    /// Store revision of the requesting node's list of servers, from which a peer that it
    /// has not followed before continues.
    pub revision: StoreRevision,
    /// Store revision of the requesting node's list of nodes.
    pub nodes: StoreRevision,
    /// Age of the requesting node's data.
    pub age: Duration,
    /// Version of the requesting node's configuration.
    pub version: u64,
    /// Servers that said that they are leaving since the last request that this incarnation
    /// of the peer has replied to.
    pub leaving: Vec<ServerIncarnation>,
    /// Number of the peer's last change of a link report that the requesting node knows.
    pub links_known: u64,
    /// Link reports that have changed since the last request that this incarnation of the
    /// peer has replied to.
    pub links: Vec<LinkReport>,
    /// Number of the peer's last change of a limit that the requesting node knows.
    pub limits_known: u64,
    /// Limits that have changed since the last request that this incarnation of the peer
    /// has replied to.
    pub limits: Vec<LimitRecord>,
    /// Number of the peer's last change of a [`CrashRecord`] that the requesting node knows.
    pub crashes_known: u64,
    /// Requests that crashed servers, if that changed since the last request that this
    /// incarnation of the peer has replied to.
    pub crashes: Vec<CrashRecord>,
}

/// What a peer without fresh store data passes on: what responses have shown of servers
/// and requests holds without the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StaleReply {
    /// Age of the peer's store data.
    pub age: Duration,
    /// Servers that said that they are leaving.
    pub leaving: Vec<ServerIncarnation>,
    /// Limits on requests.
    pub limits: Vec<LimitRecord>,
    /// Requests that crashed servers.
    pub crashes: Vec<CrashRecord>,
    /// Zones whose servers nodes don't reach.
    pub links: Vec<LinkReport>,
}

/// Store data that a peer passes on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Incarnation of the peer that assigned the change numbers.
    pub life: u64,
    /// Time since the store last confirmed this data, to the peer or to the node
    /// that the peer has it from.
    pub age: Duration,
    /// Time for which the peer waited for a change before it replied.
    pub waited: Duration,
    /// Link reports that have changed.
    pub links: LinkUpdate,
    /// Node that the store confirmed this data to.
    pub origin: Option<Arc<str>>,
    /// Changes of the list of servers.
    pub servers: DirectoryUpdate,
    /// Changes of the list of nodes, if there are any.
    pub nodes: Option<PeerUpdate>,
    /// Limits on requests that have changed.
    pub limits: LimitUpdate,
    /// Requests that crashed servers, if that changed.
    pub crashes: CrashUpdate,
    /// Store revision up to which the configuration is current.
    pub configuration_revision: StoreRevision,
    /// Newer configuration, if any: the revision of its object and its content as JSON.
    pub configuration: Option<(u64, String)>,
}
