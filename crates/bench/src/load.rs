//! Sends open-loop load to a deployment.
//!
//! Requests start at the times of a seeded arrival process, whether or not earlier
//! ones have completed, and latency is measured from the scheduled start. A slow
//! response therefore neither delays later requests nor hides their latency
//! (coordinated omission).

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    answer::{ManifestCheck, RequestOutcome, service_outcome},
    arrivals::ArrivalProcess,
    balancer::NodeBalancer,
    deployment::{Deployment, NodeProcess},
    http::{HttpCall, HttpClient},
};

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Offset between the seed of the searches and that of the orders.
const ORDER_SEED_OFFSET: u64 = 0x6f72_6465;

/// Options of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadOptions {
    /// Mean searches per second.
    pub search_rate: f64,
    /// Mean orders per second.
    pub order_rate: f64,
    /// Length of the load.
    pub length: Duration,
    /// Time at the start of the load whose samples are left out.
    pub warmup: Duration,
    /// Seed of arrivals and payloads.
    pub seed: u64,
    /// Whether a request that was refused with a retry delay is retried once after
    /// that delay.
    pub retry_refused: bool,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleKind {
    /// A search of the scenario's index.
    Search,
    /// A service request that must run at most once.
    Order,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct LoadSample {
    /// Kind of the request.
    pub kind: SampleKind,
    /// Scheduled start, as an offset from the start of the load.
    pub scheduled_at: Duration,
    /// Time from the scheduled start to the end of the response; a retry is not
    /// included.
    pub latency: Duration,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Idempotency key; `None` for a search.
    pub key: Option<String>,
    /// Outcome of the retry; `None` when the request was not retried.
    pub retry_outcome: Option<RequestOutcome>,
}

/// The callers of a deployment: they send requests and check the responses.
#[derive(Clone, Debug)]
pub struct CallerGroup {
    /// HTTP client with the callers' connections.
    pub client: Arc<HttpClient>,
    /// Balancer in front of the nodes.
    pub balancer: Arc<NodeBalancer>,
    /// Check of search responses against the manifests.
    pub manifest_check: Arc<ManifestCheck>,
    index: Arc<str>,
    order_service: Arc<str>,
    one_way_delay: Duration,
}

impl CallerGroup {
    /// Creates callers of a deployment; responses from the given snapshots are
    /// accepted.
    #[must_use]
    pub fn new(deployment: &Deployment, snapshots: &[u64]) -> Self {
        let mut manifest_check = ManifestCheck::default();
        manifest_check.add(&deployment.manifest(snapshots));
        Self {
            client: Arc::new(HttpClient::default()),
            balancer: Arc::new(NodeBalancer::start(&deployment.nodes)),
            manifest_check: Arc::new(manifest_check),
            index: deployment.plan.index.into(),
            order_service: deployment.plan.order_service.into(),
            one_way_delay: deployment.plan.caller_delay,
        }
    }

    /// Returns a copy of these callers that sends to one node only.
    #[must_use]
    pub fn pinned(&self, node: &NodeProcess) -> Self {
        let balancer = Arc::new(NodeBalancer::start(std::slice::from_ref(node)));
        Self { balancer, ..self.clone() }
    }

    /// Sends one search with the given payload.
    pub async fn search(&self, payload: u64) -> RequestOutcome {
        self.search_with(json!({"payload": payload})).await
    }

    /// Sends one search with the given request body.
    pub async fn search_with(&self, body: Value) -> RequestOutcome {
        let call = HttpCall::post(&format!("/v1/search/{}", self.index), &body);
        self.send(&call, |response| self.manifest_check.search_outcome(&body, response)).await
    }

    /// Sends one order with the given idempotency key.
    pub async fn order(&self, key: &str) -> RequestOutcome {
        let path = format!("/v1/services/{}", self.order_service);
        let call = HttpCall::post(&path, &order_body(key)).header("idempotency-key", key);
        self.send(&call, service_outcome).await
    }

    async fn send(
        &self,
        call: &HttpCall,
        classify: impl Fn(&crate::http::HttpAnswer) -> RequestOutcome,
    ) -> RequestOutcome {
        time::sleep(self.one_way_delay).await;
        let response = time::timeout(CALLER_TIMEOUT, self.client.send(self.balancer.pick(), call));
        let outcome = match response.await {
            Ok(Ok(response)) => classify(&response),
            Ok(Err(error)) => RequestOutcome::NoResponse(error.to_string()),
            Err(_) => RequestOutcome::NoResponse(format!("no response after {CALLER_TIMEOUT:?}")),
        };
        time::sleep(self.one_way_delay).await;
        outcome
    }
}

/// Returns the body of the order with a key; it is the same for every retry.
#[must_use]
pub fn order_body(key: &str) -> Value {
    json!({"garment": "blazer", "order": key})
}

/// Runs a load and waits for all outcomes. Returns the samples after the warm-up,
/// ordered by scheduled start.
pub async fn run_load(callers: &CallerGroup, options: LoadOptions) -> Vec<LoadSample> {
    let start = Instant::now();
    let searches =
        generate_requests(callers, SampleKind::Search, options.search_rate, options, start);
    let orders = generate_requests(callers, SampleKind::Order, options.order_rate, options, start);
    let (mut samples, orders) = tokio::join!(searches, orders);
    samples.extend(orders);
    samples.retain(|sample| sample.scheduled_at >= options.warmup);
    samples.sort_by_key(|sample| sample.scheduled_at);
    samples
}

/// Sends the requests of one kind and returns their samples.
async fn generate_requests(
    callers: &CallerGroup,
    kind: SampleKind,
    rate: f64,
    options: LoadOptions,
    start: Instant,
) -> Vec<LoadSample> {
    let seed = match kind {
        SampleKind::Search => options.seed,
        SampleKind::Order => options.seed.wrapping_add(ORDER_SEED_OFFSET),
    };
    let mut payload_rng = StdRng::seed_from_u64(seed);
    let mut requests = JoinSet::new();
    let mut samples = Vec::new();
    for scheduled_at in ArrivalProcess::new(rate, seed) {
        if scheduled_at > options.length {
            break;
        }
        time::sleep_until(start + scheduled_at).await;
        while let Some(sample) = requests.try_join_next() {
            samples.extend(sample.ok());
        }
        let callers = callers.clone();
        let payload: u64 = payload_rng.random();
        let retry_refused = options.retry_refused;
        requests.spawn(async move {
            run_request(&callers, kind, payload, start, scheduled_at, retry_refused).await
        });
    }
    while let Some(sample) = requests.join_next().await {
        samples.extend(sample.ok());
    }
    samples
}

/// Sends one request, and retries it once after a refusal with a retry delay if
/// `retry_refused` is set.
async fn run_request(
    callers: &CallerGroup,
    kind: SampleKind,
    payload: u64,
    start: Instant,
    scheduled_at: Duration,
    retry_refused: bool,
) -> LoadSample {
    let key = match kind {
        SampleKind::Search => None,
        SampleKind::Order => Some(format!("order-{payload:016x}")),
    };
    let outcome = send_request(callers, key.as_deref(), payload).await;
    let latency = start.elapsed().saturating_sub(scheduled_at);
    let mut retry_outcome = None;
    if let (true, RequestOutcome::NotRun { retry_after: Some(span), .. }) =
        (retry_refused, &outcome)
    {
        time::sleep(*span).await;
        retry_outcome = Some(send_request(callers, key.as_deref(), payload).await);
    }
    LoadSample { kind, scheduled_at, latency, outcome, key, retry_outcome }
}

async fn send_request(callers: &CallerGroup, key: Option<&str>, payload: u64) -> RequestOutcome {
    match key {
        None => callers.search(payload).await,
        Some(key) => callers.order(key).await,
    }
}
