//! Callers: they keep their connections, and come back to another node when
//! one fails.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use carobstep_bench::{HttpAnswer, HttpCall, HttpClient};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::{sleep, timeout};

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// Time that a caller says it waits.
pub const PATIENCE: Duration = Duration::from_millis(900);

/// Time after which a caller takes its request for lost: well beyond its patience.
const GIVE_UP: Duration = Duration::from_millis(4_000);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Search,
    Fetch,
    Order,
}

/// One request of a caller and what came of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: CallKind,
    pub path: String,
    pub node: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// The answer, or why there is none.
    pub answer: Result<HttpAnswer, String>,
}

/// Where every caller's requests are noted.
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

/// Calls until `stop` is set.
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
        if record.answer.is_err() {
            node = (node + 1) % nodes.len();
        }
        log.push(record);
        sleep(PAUSE).await;
    }
}

/// Sends one request and waits for its end.
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
    };
    let call = match kind {
        CallKind::Search | CallKind::Fetch => HttpCall::get(&path),
        CallKind::Order => HttpCall::post(&path, &json!({ "order": id })),
    };
    let call = call
        .header("x-carobstep-request-id", id.as_str())
        .header("x-carobstep-deadline-ms", PATIENCE.as_millis().to_string());
    let sent = Instant::now();
    let answer = match timeout(GIVE_UP, client.send(nodes[node], &call)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no answer".to_owned()),
    };
    CallRecord { id, kind, path, node, sent, ended: Instant::now(), answer }
}
