//! Load generator: callers that keep their connections, and switch to another node
//! when a request fails.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use carobstep_bench::{HttpAnswer, HttpCall, HttpClient};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::backend::CRASHING_PATH;

/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);

/// Deadline that callers state in their requests.
pub const CALLER_DEADLINE: Duration = Duration::from_millis(900);

/// Deadline of [`CallKind::LongOrder`], beyond the grace period of a node.
const LONG_DEADLINE: Duration = Duration::from_secs(8);

/// Longest work of such an order, in milliseconds.
const MAX_WORK_MS: u64 = 5_500;

/// Time beyond the deadline after which a caller counts its request as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_100);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Search,
    Fetch,
    Order,
    /// An order for which a server works this long, with a late deadline.
    LongOrder {
        work_ms: u64,
    },
    /// A search that crashes servers; the same one in each call of a round.
    Crashing {
        round: usize,
    },
}

impl CallKind {
    pub const fn is_search(self) -> bool {
        matches!(self, Self::Search | Self::Crashing { .. })
    }

    /// Whether the request may be executed once at most.
    pub const fn is_order(self) -> bool {
        matches!(self, Self::Order | Self::LongOrder { .. })
    }

    /// Returns the deadline that the caller states.
    pub const fn deadline(self) -> Duration {
        match self {
            Self::LongOrder { .. } => LONG_DEADLINE,
            _ => CALLER_DEADLINE,
        }
    }
}

/// A request of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: CallKind,
    pub path: String,
    pub node: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// The response, or the reason for its absence.
    pub response: Result<HttpAnswer, String>,
}

/// Log of the requests of all callers.
#[derive(Clone, Default)]
pub struct CallLog {
    calls: Arc<Mutex<Vec<CallRecord>>>,
}

impl CallLog {
    pub fn take(&self) -> Vec<CallRecord> {
        std::mem::take(&mut *self.calls.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn push(&self, record: CallRecord) {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

/// Sends requests until `stop` is set.
pub async fn run_caller(
    number: usize,
    nodes: Vec<SocketAddr>,
    log: CallLog,
    stop: Arc<AtomicBool>,
) {
    let client = HttpClient::default();
    let mut rng = StdRng::seed_from_u64(number as u64);
    let mut node = number % nodes.len();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let kind = match rng.random_range(0..10) {
            0..6 => CallKind::Search,
            6..8 => CallKind::Fetch,
            _ => CallKind::Order,
        };
        let record = send(&client, &nodes, node, kind, format!("c{number}-{count}")).await;
        if record.response.is_err() {
            node = (node + 1) % nodes.len();
        }
        log.push(record);
        sleep(REQUEST_PAUSE).await;
    }
}

/// Sends orders of very different length until `stop` is set, on a connection that is kept for
/// as long as the node keeps it.
pub async fn run_order_caller(
    number: usize,
    nodes: Vec<SocketAddr>,
    log: CallLog,
    stop: Arc<AtomicBool>,
) {
    let client = HttpClient::default();
    let mut rng = StdRng::seed_from_u64(number as u64);
    let mut node = number % nodes.len();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        // Most orders are short, so that a node learns soon how long they take.
        let max_ms = if rng.random_bool(0.8) { 60 } else { MAX_WORK_MS };
        let kind = CallKind::LongOrder { work_ms: rng.random_range(1..max_ms) };
        let record = send(&client, &nodes, node, kind, format!("o{number}-{count}")).await;
        if record.response.is_err() {
            node = (node + 1) % nodes.len();
        }
        log.push(record);
        sleep(REQUEST_PAUSE).await;
    }
}

/// Returns the path of the request that crashes servers in a round.
pub fn crashing_path(round: usize) -> String {
    format!("/search/{CRASHING_PATH}-{round}")
}

/// Sends a request that crashes servers to the nodes in turn while a round is running,
/// until `stop` is set; round 0 is none.
pub async fn run_crashing_caller(
    nodes: Vec<SocketAddr>,
    round: Arc<AtomicUsize>,
    log: CallLog,
    stop: Arc<AtomicBool>,
) {
    let client = HttpClient::default();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        sleep(REQUEST_PAUSE).await;
        let round = round.load(Ordering::Relaxed);
        if round == 0 {
            continue;
        }
        count += 1;
        let kind = CallKind::Crashing { round };
        let node = count % nodes.len();
        log.push(send(&client, &nodes, node, kind, format!("crashing-{count}")).await);
    }
}

/// Sends one request and waits for its outcome.
pub async fn send(
    client: &HttpClient,
    nodes: &[SocketAddr],
    node: usize,
    kind: CallKind,
    id: String,
) -> CallRecord {
    let path = match kind {
        CallKind::Search => format!("/search/{id}"),
        CallKind::Fetch => format!("/fetch/{id}"),
        CallKind::Order => format!("/order/{id}"),
        CallKind::LongOrder { work_ms } => format!("/long/work-{work_ms}/{id}"),
        CallKind::Crashing { round } => crashing_path(round),
    };
    let call = match kind {
        CallKind::Search | CallKind::Fetch | CallKind::Crashing { .. } => HttpCall::get(&path),
        CallKind::Order | CallKind::LongOrder { .. } => {
            HttpCall::post(&path, &json!({ "order": id }))
        }
    };
    let call = call
        .header("x-carobstep-request-id", id.as_str())
        .header("x-carobstep-deadline-ms", kind.deadline().as_millis().to_string());
    let sent = Instant::now();
    let response =
        match timeout(kind.deadline() + CALL_TIMEOUT, client.send(nodes[node], &call)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no response".to_owned()),
        };
    CallRecord { id, kind, path, node, sent, ended: Instant::now(), response }
}
