//! A stand-in for the platform's store: lists, watches, writes, and injected faults.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// The store refuses every call with status 503.
    Unavailable,
    /// The store accepts calls and never responds.
    Unresponsive,
}

#[derive(Clone, Default)]
struct StoreState {
    /// Number of times that the store was restored.
    era: u64,
    revision: u64,
    objects: IndexMap<(String, String), (u64, Value)>,
    /// Changes: revision, kind, name, and content, which is `None` for a removal.
    events: Vec<(u64, String, String, Option<Value>)>,
    /// Revision up to which the history was compacted.
    compacted: u64,
    calls: u64,
    late_writes: Option<LateWrites>,
    /// Paths and queries of the removals that were called for.
    removal_calls: Vec<String>,
    /// Replacements for addresses that nodes register, by the original address.
    aliases: IndexMap<String, String>,
}

/// One address of a running store; its tasks stop with the test's async runtime.
#[derive(Clone)]
pub struct StandinStore {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    /// Fault that callers at this address see.
    fault: Arc<Mutex<StoreFault>>,
    changed: watch::Sender<u64>,
}

/// Writes that are executed late and not answered.
#[derive(Clone)]
pub struct LateWrites {
    /// Kind of the objects.
    pub kind: &'static str,
    pub method: Method,
    /// Number of writes.
    pub count: usize,
    pub delay: Duration,
}

/// A call that changes an object.
struct WriteCall {
    method: Method,
    kind: String,
    name: String,
    /// Revision that the object must have.
    revision: Option<String>,
    spec: Value,
}

/// State of the store at one moment.
pub struct StoreCopy(StoreState);

impl StandinStore {
    pub async fn start() -> Self {
        Self::listen(Arc::default(), watch::Sender::new(0)).await
    }

    /// Opens another address of the same store, with its own faults.
    pub async fn second_address(&self) -> Self {
        Self::listen(self.state.clone(), self.changed.clone()).await
    }

    async fn listen(state: Arc<Mutex<StoreState>>, changed: watch::Sender<u64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state, fault: Arc::default(), changed };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let store = serving.clone();
                let service = service_fn(move |request| {
                    let store = store.clone();
                    async move { Ok::<_, Infallible>(store.respond(request).await) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                tokio::spawn(connection);
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, content.clone()));
        state.events.push((revision, kind.to_owned(), name.to_owned(), Some(content)));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.lock();
        let removed = state.objects.shift_remove(&(kind.to_owned(), name.to_owned())).is_some();
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), name.to_owned(), None));
        drop(state);
        self.changed.send_replace(revision);
        removed
    }

    /// Compacts the history, so that watchers have to list again.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.compacted = state.revision;
        state.events.clear();
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Returns a copy of the store's state, for [`StandinStore::restore`].
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Restores the store from a copy: what was written since is lost, revisions are
    /// given out again, and the history starts with the copy.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        let (era, calls) = (state.era + 1, state.calls);
        *state = copy.0.clone();
        (state.era, state.calls) = (era, calls);
        state.events.clear();
        state.compacted = state.revision;
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Stores `other` in place of `address` when a node registers with `address`.
    pub fn alias(&self, address: SocketAddr, other: SocketAddr) {
        self.lock().aliases.insert(address.to_string(), other.to_string());
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Executes some of the next writes late and doesn't answer them.
    pub fn delay_writes(&self, late: LateWrites) {
        self.lock().late_writes = Some(late);
    }

    /// Executes and answers all further writes at once.
    pub fn end_delays(&self) {
        self.lock().late_writes = None;
    }

    /// Returns the paths and queries of the removals that nodes called for.
    pub fn removal_calls(&self) -> Vec<String> {
        self.lock().removal_calls.clone()
    }

    /// Returns how many objects of a kind have been removed.
    pub fn removals(&self, kind: &str) -> usize {
        let state = self.lock();
        state.events.iter().filter(|event| event.1 == kind && event.3.is_none()).count()
    }

    /// Returns the content of an object.
    pub fn content(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.lock();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|(_, content)| content.clone())
    }

    pub fn object_names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        state.objects.keys().filter(|key| key.0 == kind).map(|key| key.1.clone()).collect()
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = self.respond_to(request).await;
        let era = HeaderValue::from(self.lock().era);
        response.headers_mut().insert("store-era", era);
        response
    }

    async fn respond_to(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.lock().calls += 1;
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            StoreFault::None => {}
            StoreFault::Unavailable => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Unresponsive => std::future::pending().await,
        }
        let uri = request.uri().clone();
        let mut path = uri.path().trim_start_matches("/objects/").split('/');
        let kind = path.next().unwrap_or_default().to_owned();
        let name = path.next().map(str::to_owned);
        let query: IndexMap<&str, &str> = uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let method = request.method().clone();
        if method == Method::GET {
            let number = |key| query.get(key).and_then(|text: &&str| text.parse().ok());
            return match number("watch") {
                Some(after) => self.watch(&kind, after, number("wait_ms").unwrap_or(0)).await,
                None if name.is_some() => {
                    let name = name.unwrap_or_default();
                    let exists = self.object_names(&kind).contains(&name);
                    let status = if exists { StatusCode::OK } else { StatusCode::NOT_FOUND };
                    self.object_response(status, &kind, &name)
                }
                None => self.list(&kind),
            };
        }
        if method == Method::DELETE {
            self.lock().removal_calls.push(uri.to_string());
        }
        let body = request.into_body().collect().await.expect("a body").to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let name = name.or_else(|| body["meta"]["name"].as_str().map(str::to_owned));
        let call = WriteCall {
            method,
            kind,
            name: name.unwrap_or_default(),
            revision: query.get("rev").map(|text| (*text).to_owned()),
            spec: body["spec"].clone(),
        };
        let Some(delay) = self.take_delay(&call) else { return self.execute(call) };
        let store = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            store.execute(call);
        });
        std::future::pending().await
    }

    /// Returns the delay of a write, if it is executed late.
    fn take_delay(&self, call: &WriteCall) -> Option<Duration> {
        let mut state = self.lock();
        let late = state.late_writes.as_mut()?;
        if late.kind != call.kind || late.method != call.method || late.count == 0 {
            return None;
        }
        late.count -= 1;
        Some(late.delay)
    }

    fn execute(&self, call: WriteCall) -> Response<Full<Bytes>> {
        let WriteCall { method, kind, name, revision, mut spec } = call;
        let exists = self.object_names(&kind).contains(&name);
        match (method, exists) {
            (Method::POST, true) => self.object_response(StatusCode::CONFLICT, &kind, &name),
            (Method::PUT, false) => empty_response(StatusCode::NOT_FOUND),
            (Method::DELETE | Method::PUT, true)
                if !self.has_revision(&kind, &name, revision.as_ref()) =>
            {
                self.object_response(StatusCode::CONFLICT, &kind, &name)
            }
            (Method::DELETE, _) => {
                let status = if self.remove(&kind, &name) { 200 } else { 404 };
                empty_response(StatusCode::from_u16(status).expect("a status"))
            }
            _ => {
                let address = spec["address"].as_str().unwrap_or_default();
                if let Some(alias) = self.lock().aliases.get(address).cloned() {
                    spec["address"] = alias.into();
                }
                self.put(&kind, &name, spec);
                self.object_response(StatusCode::OK, &kind, &name)
            }
        }
    }

    /// Whether an object has the revision that a call requires, if it requires one.
    fn has_revision(&self, kind: &str, name: &str, required: Option<&String>) -> bool {
        let state = self.lock();
        let stored = state.objects.get(&(kind.to_owned(), name.to_owned()));
        let stored = stored.map(|(revision, _)| revision.to_string());
        required.is_none_or(|required| stored.as_ref() == Some(required))
    }

    fn object_response(&self, status: StatusCode, kind: &str, name: &str) -> Response<Full<Bytes>> {
        let state = self.lock();
        let stored = state.objects.get(&(kind.to_owned(), name.to_owned()));
        let Some((revision, content)) = stored else { return empty_response(status) };
        let mut response = json_response(&object(name, *revision, content));
        *response.status_mut() = status;
        response
    }

    fn list(&self, kind: &str) -> Response<Full<Bytes>> {
        let state = self.lock();
        let mut items = Vec::new();
        for ((object_kind, name), (revision, content)) in &state.objects {
            if object_kind == kind {
                items.push(object(name, *revision, content));
            }
        }
        json_response(&json!({ "items": items, "more": false, "as_of": state.revision }))
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Response<Full<Bytes>> {
        let mut changed = self.changed.subscribe();
        let has_events = |_: &u64| {
            let state = self.lock();
            after < state.compacted
                || after > state.revision
                || state.events.iter().any(|event| event.0 > after && event.1 == kind)
        };
        // After a timeout, the response contains no events.
        let _ = timeout(Duration::from_millis(wait_ms), changed.wait_for(has_events)).await;
        let state = self.lock();
        if after < state.compacted || after > state.revision {
            return empty_response(StatusCode::GONE);
        }
        let mut events = Vec::new();
        for (revision, object_kind, name, content) in &state.events {
            if *revision > after && object_kind == kind {
                let spec = content.clone().unwrap_or(Value::Null);
                let object = object(name, *revision, &spec);
                events.push(json!({ "object": object, "deleted": content.is_none() }));
            }
        }
        json_response(&json!({ "events": events, "as_of": state.revision }))
    }
}

fn object(name: &str, revision: u64, content: &Value) -> Value {
    json!({ "meta": { "name": name, "rev": revision }, "spec": content, "status": null })
}

fn json_response(body: &Value) -> Response<Full<Bytes>> {
    Response::new(Full::from(body.to_string()))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
