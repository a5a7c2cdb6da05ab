//! Outcomes and the closed sets of refusal and retry reasons.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// What is known about the execution of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString, EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestOutcome {
    /// The backend server executed the request and its whole reply arrived.
    Ran,
    /// No byte that could start the work left, or the server said so itself.
    NotRun,
    /// The request may or may not have executed.
    Unknown,
}

/// Why a request or a shard request was given up. Each value has a counter.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    EnumCount,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The queue cannot serve the request before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited or ran.
    DeadlinePassed,
    /// The queue of the backend server is full.
    QueueFull,
    /// The caller's share of the node is used up.
    CallerLimit,
    /// The receiving node does not hold the grant of the server.
    NotHolder,
    /// The holder may not dispatch: its lease is not valid.
    LeaseLapsed,
    /// A takeover waits for requests of the previous holder.
    GrantFenced,
    /// No live node holds the grant of any replica.
    NoHolder,
    /// Every replica drains or is gone.
    ServerLeaving,
    /// The backend server refused the work before starting it.
    ServerShed,
    /// The backend server has dropped the snapshot.
    SnapshotGone,
    /// The backend server does not have the snapshot yet.
    SnapshotAhead,
    /// The reply names another request, shard or snapshot.
    ReplyMismatch,
    /// The reply ended early or could not be parsed.
    ReplyTruncated,
    /// The connection to the backend server could not be opened.
    ConnectFailed,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The connection went silent after the request was sent.
    ConnectionSilent,
    /// The peer node could not be reached.
    PeerUnreachable,
    /// The peer stream broke after the request was sent.
    PeerLost,
    /// The backend server answered with an error after starting the work.
    ServerError,
    /// The platform did not accept a claim in time.
    PlatformDown,
    /// Another request with the same idempotency key is in progress.
    ClaimInProgress,
    /// The idempotency key was used with another request body.
    ClaimMismatch,
    /// The request lacks an idempotency key that the service requires.
    KeyMissing,
    /// The index or service is not configured.
    UnknownTarget,
    /// The request is malformed or over a size limit.
    BadRequest,
    /// The node has no configuration yet or is stopping.
    NotReady,
    /// The caller cancelled the request.
    Cancelled,
    /// The backend servers can't carry another whole search now.
    Overloaded,
}

/// Why a shard request was sent again. Each value has a counter.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    EnumCount,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The first attempt exceeded the service's hedge delay.
    Hedge,
    /// The first attempt was refused as not run.
    NotRun,
    /// An idempotent attempt ended in an unknown outcome.
    UnknownRead,
    /// The node addressed no longer holds the grant.
    HolderMoved,
    /// The whole query moved to another snapshot.
    SnapshotMoved,
}
