//! Request outcomes, refusal reasons and retry reasons.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// What is known about the execution of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString, EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestOutcome {
    /// The backend server executed the request and its complete reply arrived.
    Ran,
    /// The request was not executed: it was not sent, or the backend server reported
    /// that it had not started it.
    NotRun,
    /// The request may or may not have executed.
    Unknown,
}

/// Why a request or a shard request was refused or abandoned. Each value has a
/// counter.
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
    /// The customer is over its share of the server's queue, or the node has reached its
    /// limit of requests in flight.
    CallerLimit,
    /// The receiving node does not hold the grant of the backend server.
    NotHolder,
    /// The holder must not dispatch, as its lease is not valid.
    LeaseLapsed,
    /// The new holder of the grant still waits for requests of the previous holder to
    /// end.
    GrantFenced,
    /// No live node holds the grant of any replica.
    NoHolder,
    /// Every replica is draining or removed.
    ServerLeaving,
    /// The backend server refused the work before starting it.
    ServerShed,
    /// The backend server has deleted the snapshot.
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
    /// The connection timed out without data after the request was sent.
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
    /// The request has no idempotency key, which the service requires.
    KeyMissing,
    /// The index or service is not configured.
    UnknownTarget,
    /// The request is malformed or exceeds a size limit.
    BadRequest,
    /// The node has no configuration yet or is stopping.
    NotReady,
    /// The caller cancelled the request.
    Cancelled,
    /// The backend servers have no capacity for another full search.
    Overloaded,
}

/// Why a shard request was retried. Each value has a counter.
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
    /// The first attempt took longer than the hedge delay of the service.
    Hedge,
    /// The first attempt was refused as not run.
    NotRun,
    /// An attempt of an idempotent request ended with an unknown outcome.
    UnknownRead,
    /// The called node no longer holds the grant.
    HolderMoved,
    /// The whole search was restarted on another snapshot.
    SnapshotMoved,
}
