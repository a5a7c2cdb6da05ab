//! Follows the configuration and the list of servers in the platform's store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_platform::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, DecodeError, NODE_KIND, ObjectEvent, ObjectRequest,
    ReadFreshness, SERVER_KIND, StoredObject, WatchPage, read_configuration, read_node, read_page,
    read_server, read_watch,
};
use carobstep_store::ReplyParts;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use indexmap::IndexMap;
use log::{info, warn};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    follow::{is_follower, must_call_store},
    gateway::Gateway,
};

/// Longest wait of one watch. A connection that went silent is found after this
/// time and [`CALL_TIMEOUT`], and peers learn at this interval that nothing has
/// changed.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait of one watch of the nodes, which nothing urgent depends on.
const NODE_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Longest time for a call beside the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause before a watch goes on after changes: changes that come together cost one call.
const COALESCE: Duration = Duration::from_millis(100);

/// The same for changes of the nodes, of which many start together.
const NODE_COALESCE: Duration = Duration::from_millis(1_000);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause of a node that calls the store only because its peer has
/// nothing fresh: it hears from the peer when the store is back.
const MAX_SUBSTITUTE_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which a starting node looks for others before it follows
/// the store by itself.
const DISCOVERY_PATIENCE: Duration = Duration::from_millis(400);

/// Interval at which a node looks whether it has to call the store again.
const DUTY_TICK: Duration = Duration::from_millis(100);

/// Interval at which lapsed entries are given up.
const EXPIRY_TICK: Duration = Duration::from_millis(100);

/// Kinds of objects that are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowedKind {
    /// The configuration.
    Configuration,
    /// The backend servers.
    Servers,
    /// The product's own nodes.
    Nodes,
}

impl FollowedKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Configuration => CONFIGURATION_KIND,
            Self::Servers => SERVER_KIND,
            Self::Nodes => NODE_KIND,
        }
    }

    /// Pause before a watch goes on after changes.
    const fn coalesce(self) -> Duration {
        match self {
            Self::Configuration | Self::Servers => COALESCE,
            Self::Nodes => NODE_COALESCE,
        }
    }

    /// Longest wait of one watch.
    const fn watch_wait(self) -> Duration {
        match self {
            Self::Configuration | Self::Servers => WATCH_WAIT,
            Self::Nodes => NODE_WATCH_WAIT,
        }
    }
}

/// Why a call brought nothing.
#[derive(strum::Display)]
enum CallFailure {
    /// The history behind the revision is gone.
    #[strum(to_string = "the history is gone")]
    HistoryGone,
    /// Anything else.
    #[strum(to_string = "{0}")]
    Other(String),
}

/// Follows one kind of objects.
struct KindWatcher {
    gateway: Rc<Gateway>,
    kind: FollowedKind,
    failures: u32,
    /// Objects that can't be read and have been told, with the revision.
    told: IndexMap<String, u64>,
}

impl KindWatcher {
    fn new(gateway: Rc<Gateway>, kind: FollowedKind) -> Self {
        Self { gateway, kind, failures: 0, told: IndexMap::new() }
    }

    /// Follows the kind for as long as the process lives, from `known` on if
    /// everything up to that revision was taken in.
    async fn run(mut self, mut known: Option<u64>) {
        loop {
            while !self.must_call() {
                sleep(DUTY_TICK).await;
            }
            let listed = match known.take() {
                Some(revision) => Ok(revision),
                None => self.list(ReadFreshness::Latest).await,
            };
            match listed {
                Ok(revision) => self.watch(revision).await,
                Err(failure) => self.pause_after(failure).await,
            }
        }
    }

    /// Whether this node has to call the store about the kind.
    fn must_call(&self) -> bool {
        match self.kind {
            FollowedKind::Configuration | FollowedKind::Servers => must_call_store(&self.gateway),
            FollowedKind::Nodes => is_follower(&self.gateway),
        }
    }

    /// Lists every object and returns the revision from which to watch.
    async fn list(&mut self, freshness: ReadFreshness) -> Result<u64, CallFailure> {
        let kind = self.kind.name();
        let mut after: Option<String> = None;
        let mut objects = Vec::new();
        let mut revision = None;
        loop {
            let request = ObjectRequest::List { kind, after: after.as_deref(), freshness };
            let reply = self.call(&request, CALL_TIMEOUT).await?;
            let page = read_page(kind, &reply.body).map_err(CallFailure::from)?;
            // Changes between two pages are seen again in the watch from the first one.
            let first = *revision.get_or_insert(page.revision);
            for object in page.objects {
                match object {
                    Ok(object) => objects.push(object),
                    Err(error) => self.tell("", 0, &error),
                }
            }
            if !page.more || page.last_name.is_none() {
                self.take_list(first, &objects);
                return Ok(first);
            }
            after = page.last_name;
        }
    }

    /// Watches until the history is gone, or a peer does it.
    async fn watch(&mut self, mut revision: u64) {
        let kind = self.kind.name();
        let wait = self.kind.watch_wait();
        let wait_ms = wait.as_millis() as u64;
        while self.must_call() {
            let request = ObjectRequest::Watch { kind, after: revision, wait_ms };
            let reply = self.call(&request, wait + CALL_TIMEOUT).await;
            let page = reply.and_then(|reply| Ok(read_watch(kind, &reply.body)?));
            match page {
                Ok(page) => {
                    revision = page.revision;
                    let quiet = page.events.is_empty();
                    self.take_events(page);
                    if !quiet {
                        sleep(self.kind.coalesce()).await;
                    }
                }
                Err(CallFailure::HistoryGone) => {
                    info!(kind = kind, revision = revision; "history is gone, listing again");
                    return;
                }
                Err(failure) => self.pause_after(failure).await,
            }
        }
    }

    async fn call(
        &mut self,
        request: &ObjectRequest<'_>,
        limit: Duration,
    ) -> Result<ReplyParts, CallFailure> {
        let called = BootTime::now();
        let reply = self.gateway.store.call(self.build(request), limit).await;
        let reply = match reply {
            Ok(reply) if reply.status == StatusCode::OK => Ok(reply),
            Ok(reply) if reply.status == StatusCode::GONE => Err(CallFailure::HistoryGone),
            Ok(reply) => Err(CallFailure::Other(format!("status {}", reply.status))),
            Err(error) => Err(CallFailure::Other(error.to_string())),
        };
        let failed = matches!(reply, Err(CallFailure::Other(_)));
        self.gateway.reporter.count_store_call(!failed);
        if failed && self.kind == FollowedKind::Servers {
            self.gateway.state.borrow_mut().directory.store_failed(called);
        }
        let reply = reply?;
        if self.failures > 0 {
            info!(kind = self.kind.name(), failures = self.failures; "store regained");
            self.failures = 0;
        }
        let answered = BootTime::now();
        let state = &mut *self.gateway.state.borrow_mut();
        match self.kind {
            FollowedKind::Configuration => state.freshness.configuration = answered,
            FollowedKind::Servers => {
                state.freshness.servers = answered;
                state.directory.store_answered(answered);
            }
            FollowedKind::Nodes => {}
        }
        Ok(reply)
    }

    fn build(&self, request: &ObjectRequest<'_>) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::default());
        // Paths are built from escaped names, so that they are valid.
        *message.uri_mut() = request.path().parse().unwrap_or_default();
        if let Ok(host) = self.gateway.store.address().to_string().parse() {
            message.headers_mut().insert(header::HOST, host);
        }
        message
    }

    async fn pause_after(&mut self, failure: CallFailure) {
        let CallFailure::Other(reason) = failure else { return };
        if self.failures == 0 {
            warn!(kind = self.kind.name(), reason = reason.as_str(); "store lost");
        }
        let longest = if is_follower(&self.gateway) { MAX_PAUSE } else { MAX_SUBSTITUTE_PAUSE };
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        sleep(pause.min(longest)).await;
    }

    fn take_list(&mut self, revision: u64, objects: &[StoredObject]) {
        match self.kind {
            FollowedKind::Configuration => {
                for object in objects {
                    self.take_configuration(object);
                }
            }
            FollowedKind::Servers => {
                let mut entries = Vec::with_capacity(objects.len());
                for object in objects {
                    match read_server(object) {
                        Ok(entry) => entries.push((object.revision, entry)),
                        Err(error) => self.tell(&object.name, object.revision, &error),
                    }
                }
                let changes = {
                    let state = &mut *self.gateway.state.borrow_mut();
                    state.lifecycle.servers_known();
                    state.directory.replace(BootTime::now(), revision, entries)
                };
                self.gateway.apply_changes(&changes);
            }
            FollowedKind::Nodes => {
                let mut nodes = Vec::with_capacity(objects.len());
                for object in objects {
                    match read_node(object) {
                        Ok(node) => nodes.push(node),
                        Err(error) => self.tell(&object.name, object.revision, &error),
                    }
                }
                self.gateway.change_peers(|peers| peers.replace(nodes));
            }
        }
    }

    fn take_events(&mut self, page: WatchPage) {
        let mut changes = Vec::new();
        for event in page.events {
            let event = match event {
                Ok(event) => event,
                Err(error) => {
                    self.tell("", page.revision, &error);
                    continue;
                }
            };
            match self.kind {
                FollowedKind::Configuration if event.removed => {}
                FollowedKind::Configuration => self.take_configuration(&event.object),
                FollowedKind::Servers => self.take_server(&event, &mut changes),
                FollowedKind::Nodes => self.take_node(&event),
            }
        }
        self.gateway.apply_changes(&changes);
    }

    fn take_server(
        &mut self,
        event: &ObjectEvent,
        changes: &mut Vec<carobstep_tier::DirectoryChange>,
    ) {
        let now = BootTime::now();
        if event.removed {
            let state = &mut *self.gateway.state.borrow_mut();
            // The same answer may hold the server's return, at a later revision.
            let revision = event.object.revision;
            state.directory.remove(now, revision, &event.object.name, changes);
            return;
        }
        match read_server(&event.object) {
            Ok(entry) => {
                let state = &mut *self.gateway.state.borrow_mut();
                state.directory.insert(event.object.revision, entry, changes);
            }
            Err(error) => self.tell(&event.object.name, event.object.revision, &error),
        }
    }

    fn take_node(&mut self, event: &ObjectEvent) {
        if event.removed {
            self.gateway.change_peers(|peers| peers.remove(&event.object.name));
            return;
        }
        match read_node(&event.object) {
            Ok(node) => self.gateway.change_peers(|peers| peers.insert(node)),
            Err(error) => self.tell(&event.object.name, event.object.revision, &error),
        }
    }

    fn take_configuration(&mut self, object: &StoredObject) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        match read_configuration(object) {
            Ok(configuration) => self.gateway.configure(configuration, object.clone()),
            Err(error) => self.tell(&object.name, object.revision, &error),
        }
    }

    /// Tells once that an object can't be read.
    fn tell(&mut self, name: &str, revision: u64, error: &DecodeError) {
        /// Objects that are remembered as told; the oldest is forgotten first.
        const MAX_TOLD: usize = 256;
        if self.told.insert(name.to_owned(), revision) == Some(revision) {
            return;
        }
        if self.told.len() > MAX_TOLD {
            self.told.shift_remove_index(0);
        }
        warn!(kind = self.kind.name(), revision = revision, reason:% = error; "unreadable object");
    }
}

impl From<DecodeError> for CallFailure {
    fn from(error: DecodeError) -> Self {
        Self::Other(error.to_string())
    }
}

/// Follows the store for as long as the process lives.
///
/// The other nodes come first: a node that knows them learns the rest from the
/// one that follows the store, and needs no lists of its own.
pub(crate) async fn follow_store(gateway: Rc<Gateway>) {
    let mut nodes = KindWatcher::new(gateway.clone(), FollowedKind::Nodes);
    let discovering = nodes.list(ReadFreshness::MayBeOld);
    let known = match timeout(DISCOVERY_PATIENCE, discovering).await {
        Ok(Ok(revision)) => Some(revision),
        Ok(Err(failure)) => {
            warn!(reason:% = failure; "other nodes could not be listed");
            None
        }
        Err(_) => {
            warn!(patience_ms = DISCOVERY_PATIENCE.as_millis() as u64; "no list of other nodes");
            None
        }
    };
    spawn_local(nodes.run(known));
    for kind in [FollowedKind::Configuration, FollowedKind::Servers] {
        spawn_local(KindWatcher::new(gateway.clone(), kind).run(None));
    }
}

/// Gives up the entries that lapsed during an outage and did not come back.
pub(crate) async fn expire_lapsed(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_TICK).await;
        let now = BootTime::now();
        let due = gateway.state.borrow().directory.next_expiry().is_some_and(|due| due <= now);
        if due {
            let changes = gateway.state.borrow_mut().directory.expire(now);
            gateway.apply_changes(&changes);
        }
    }
}
