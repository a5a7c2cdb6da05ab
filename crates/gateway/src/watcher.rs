//! Watches the configuration, the servers and the nodes in the platform's store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_platform::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, DecodeError, EVACUATION_KIND, NODE_KIND, ObjectEvent,
    ObjectRequest, ReadFreshness, SERVER_KIND, StoredObject, WatchPage, headers,
    read_configuration, read_node, read_page, read_server, read_watch,
};
use carobstep_store::ReplyParts;
use carobstep_tier::{PeerEntry, SpreadTiming, StoreRevision};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use indexmap::IndexMap;
use log::{info, warn};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    follow::{is_store_watcher, must_call_store, must_read_evacuations},
    gateway::Gateway,
    membership::{check_registration, check_removal},
    pace::report_paces,
};

/// Longest wait of one watch call for nodes, whose changes are not urgent.
const NODE_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Timeout of a call, in addition to the wait that it requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after changes before the next watch call, so that changes in quick
/// succession cost one call.
const COALESCE_PAUSE: Duration = Duration::from_millis(100);

/// Like [`COALESCE_PAUSE`], for nodes; many of them start at the same time.
const NODE_COALESCE_PAUSE: Duration = Duration::from_millis(1_000);

/// Shortest pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Timeout for the initial list of nodes; without the list, the node watches the
/// store itself.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads of the list of nodes by a node that starts, until one shows another node. A read
/// that may be stale costs a tenth.
const DISCOVERY_READS: [ReadFreshness; 3] =
    [ReadFreshness::MayBeStale, ReadFreshness::MayBeStale, ReadFreshness::Latest];

/// Pause between two of those reads.
const DISCOVERY_PAUSE: Duration = Duration::from_millis(600);

/// Time for which a starting node waits for the copy of a peer before it calls the store.
const PEER_COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which an inactive watcher checks whether it has to call the store.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which expired entries are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Kinds of store objects that are watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchedKind {
    /// The configuration.
    Configuration,
    /// The backend servers.
    Servers,
    /// The nodes that run this daemon.
    Nodes,
    /// The availability zones that are evacuated.
    Evacuations,
}

impl WatchedKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Configuration => CONFIGURATION_KIND,
            Self::Servers => SERVER_KIND,
            Self::Nodes => NODE_KIND,
            Self::Evacuations => EVACUATION_KIND,
        }
    }

    /// Returns the pause after changes before the next watch call.
    const fn coalesce_pause(self) -> Duration {
        match self {
            Self::Configuration | Self::Servers | Self::Evacuations => COALESCE_PAUSE,
            Self::Nodes => NODE_COALESCE_PAUSE,
        }
    }

    /// Returns the longest wait of one watch call. A silent connection is detected after
    /// this time plus [`CALL_TIMEOUT`].
    fn watch_wait(self, timing: SpreadTiming) -> Duration {
        match self {
            Self::Configuration | Self::Servers | Self::Evacuations => timing.watch_wait(),
            Self::Nodes => NODE_WATCH_WAIT,
        }
    }
}

/// Why a call to the store failed.
#[derive(strum::Display)]
enum CallFailure {
    /// The store has compacted the history after the requested revision.
    #[strum(to_string = "the history is gone")]
    HistoryCompacted,
    /// The store was restored from an older copy, so that its revisions have another
    /// meaning than before.
    #[strum(to_string = "the store was restored")]
    StoreRestored,
    /// Any other failure, as text.
    #[strum(to_string = "{0}")]
    Other(String),
}

/// Watches one kind of objects.
struct KindWatcher {
    gateway: Rc<Gateway>,
    kind: WatchedKind,
    consecutive_failures: u32,
    /// Undecodable objects that have been logged, with their revision.
    reported: IndexMap<String, u64>,
}

impl KindWatcher {
    fn new(gateway: Rc<Gateway>, kind: WatchedKind) -> Self {
        Self { gateway, kind, consecutive_failures: 0, reported: IndexMap::new() }
    }

    /// Watches the objects for the lifetime of the process, from the revision that is known
    /// from peers if possible. Lists them otherwise.
    async fn run(mut self) {
        let mut must_list = false;
        loop {
            while !self.must_call() {
                sleep(WATCH_CHECK_INTERVAL).await;
            }
            let known = self.known_revision().filter(|_| !must_list);
            let listed = match known {
                Some(revision) => Ok(revision),
                None => self.list().await,
            };
            must_list = match listed {
                Ok(revision) => self.watch(revision).await,
                Err(failure) => {
                    self.back_off(failure).await;
                    must_list
                }
            };
        }
    }

    /// Returns the store revision up to which all changes are applied, if there is one.
    fn known_revision(&self) -> Option<StoreRevision> {
        let state = self.gateway.state.borrow();
        let revision = match self.kind {
            WatchedKind::Configuration => state.configuration_revision,
            WatchedKind::Servers => state.directory.revision(),
            WatchedKind::Nodes => state.peers.revision(),
            WatchedKind::Evacuations => state.evacuations.revision(),
        };
        (revision.number > 0).then_some(revision)
    }

    /// Whether this node has to call the store for this kind of objects.
    fn must_call(&self) -> bool {
        match self.kind {
            WatchedKind::Configuration | WatchedKind::Servers => must_call_store(&self.gateway),
            WatchedKind::Nodes => is_store_watcher(&self.gateway),
            WatchedKind::Evacuations => must_read_evacuations(&self.gateway),
        }
    }

    /// Lists and applies all objects, and returns the revision to watch from.
    async fn list(&mut self) -> Result<StoreRevision, CallFailure> {
        let kind = self.kind.name();
        let mut after: Option<String> = None;
        let mut objects = Vec::new();
        let mut revision = None;
        loop {
            let freshness = ReadFreshness::Latest;
            let request = ObjectRequest::List { kind, after: after.as_deref(), freshness };
            let (reply, era) = self.call(&request, CALL_TIMEOUT).await?;
            let page = read_page(kind, &reply.body).map_err(CallFailure::from)?;
            // The watch starts at the revision of the first page, so that it
            // covers changes made between two pages.
            let page_revision = StoreRevision { era, number: page.revision };
            let first_revision = *revision.get_or_insert(page_revision);
            if first_revision.era != era {
                return Err(CallFailure::StoreRestored);
            }
            for object in page.objects {
                match object {
                    Ok(object) => objects.push(object),
                    Err(error) => self.log_unreadable(&error.to_string(), 0, &error),
                }
            }
            if !page.more {
                self.apply_list(first_revision, &objects);
                self.confirm(first_revision);
                return Ok(first_revision);
            }
            // An incomplete list must not be taken for a complete one.
            let last_name = page.last_name.filter(|name| after.as_ref() != Some(name));
            let Some(last_name) = last_name else {
                return Err(CallFailure::Other("a page names no object to continue after".into()));
            };
            after = Some(last_name);
        }
    }

    /// Reads the first page of the list of nodes.
    async fn read_node_page(&mut self, freshness: ReadFreshness) -> Result<(), CallFailure> {
        let kind = self.kind.name();
        let request = ObjectRequest::List { kind, after: None, freshness };
        let (reply, era) = self.call(&request, CALL_TIMEOUT).await?;
        let page = read_page(kind, &reply.body)?;
        let objects: Vec<_> = page.objects.into_iter().flatten().collect();
        let nodes = self.read_nodes(era, &objects);
        self.gateway.update_peers(|peers| peers.seed(nodes));
        Ok(())
    }

    fn read_nodes(
        &mut self,
        era: u64,
        objects: &[StoredObject],
    ) -> Vec<(StoreRevision, PeerEntry)> {
        let mut nodes = Vec::with_capacity(objects.len());
        for object in objects {
            match read_node(object) {
                Ok(node) => nodes.push((StoreRevision { era, number: object.revision }, node)),
                Err(error) => self.log_unreadable(&object.name, object.revision, &error),
            }
        }
        nodes
    }

    /// Watches and applies changes until the history is compacted or replaced by an older
    /// copy, or until this node no longer has to call the store. Returns whether the
    /// objects must be listed again.
    async fn watch(&mut self, mut revision: StoreRevision) -> bool {
        let kind = self.kind.name();
        let wait = self.kind.watch_wait(self.gateway.timing);
        let wait_ms = wait.as_millis() as u64;
        while self.must_call() {
            let request = ObjectRequest::Watch { kind, after: revision.number, wait_ms };
            let gateway = self.gateway.clone();
            let reply = tokio::select! {
                reply = self.call(&request, wait + CALL_TIMEOUT) => reply,
                // The watch of another kind has noticed it; this one may wait for long.
                () = wait_for_later_era(&gateway, revision.era) => Err(CallFailure::StoreRestored),
            };
            let page = reply.and_then(|(reply, era)| {
                if era != revision.era {
                    return Err(CallFailure::StoreRestored);
                }
                Ok(read_watch(kind, &reply.body)?)
            });
            match page {
                Ok(page) => {
                    revision.number = page.revision;
                    let is_unchanged = page.events.is_empty();
                    self.apply_events(revision.era, page);
                    self.confirm(revision);
                    if !is_unchanged {
                        sleep(self.kind.coalesce_pause()).await;
                    }
                }
                Err(CallFailure::HistoryCompacted) => {
                    info!(
                        kind = kind, revision = revision.number;
                        "store history was compacted; listing again"
                    );
                    return true;
                }
                Err(CallFailure::StoreRestored) => {
                    warn!(
                        kind = kind, era = revision.era, revision = revision.number;
                        "store was restored from an older copy; listing again"
                    );
                    return true;
                }
                Err(failure) => self.back_off(failure).await,
            }
        }
        false
    }

    /// Records that all changes up to a revision are applied.
    fn confirm(&self, revision: StoreRevision) {
        let state = &mut *self.gateway.state.borrow_mut();
        match self.kind {
            WatchedKind::Configuration => {
                state.configuration_revision = state.configuration_revision.max(revision);
            }
            WatchedKind::Servers => state.directory.confirm(revision),
            // The revision of the nodes advances with their changes only, since each
            // advance is sent to the followers.
            WatchedKind::Nodes => {}
            WatchedKind::Evacuations => state.evacuations.confirm(revision),
        }
    }

    /// Calls the store; returns its reply and the era of the store.
    async fn call(
        &mut self,
        request: &ObjectRequest<'_>,
        call_timeout: Duration,
    ) -> Result<(ReplyParts, u64), CallFailure> {
        let called = BootTime::now();
        let reply = self.gateway.store.call(self.build_request(request), call_timeout).await;
        let reply = match reply {
            Ok(reply) if reply.status == StatusCode::OK => Ok(reply),
            Ok(reply) if reply.status == StatusCode::GONE => Err(CallFailure::HistoryCompacted),
            Ok(reply) => Err(CallFailure::Other(format!("status {}", reply.status))),
            Err(error) => Err(CallFailure::Other(error.to_string())),
        };
        let reply = reply.and_then(|reply| {
            let era = headers::store_era(&reply.headers)?;
            Ok((reply, era))
        });
        let failed = matches!(reply, Err(CallFailure::Other(_)));
        self.gateway.reporter.count_store_call(!failed);
        if failed && self.kind == WatchedKind::Servers {
            self.gateway.state.borrow_mut().directory.on_store_failure(called);
        }
        let reply = reply?;
        if self.consecutive_failures > 0 {
            info!(kind = self.kind.name(), failures = self.consecutive_failures; "store regained");
            self.consecutive_failures = 0;
        }
        let replied_at = BootTime::now();
        let state = &mut *self.gateway.state.borrow_mut();
        match self.kind {
            WatchedKind::Configuration => state.freshness.configuration = replied_at,
            WatchedKind::Servers => {
                state.freshness.servers = replied_at;
                state.directory.on_store_reply(replied_at);
            }
            WatchedKind::Nodes => return Ok(reply),
            WatchedKind::Evacuations => {
                state.freshness.evacuations = replied_at;
                return Ok(reply);
            }
        }
        state.freshness.origin = None;
        // Peers learn that the data is still current.
        self.gateway.notify_peers();
        Ok(reply)
    }

    fn build_request(&self, request: &ObjectRequest<'_>) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::default());
        // Paths consist of escaped names, so that parsing does not fail.
        *message.uri_mut() = request.path().parse().unwrap_or_default();
        if let Ok(host) = self.gateway.store.address().to_string().parse() {
            message.headers_mut().insert(header::HOST, host);
        }
        message
    }

    async fn back_off(&mut self, failure: CallFailure) {
        let CallFailure::Other(reason) = failure else {
            sleep(MIN_BACKOFF).await;
            return;
        };
        if self.consecutive_failures == 0 {
            warn!(kind = self.kind.name(), reason = reason.as_str(); "store lost");
        }
        let place = self.gateway.state.borrow().peers.tree_place(BootTime::now());
        let max_pause = self.gateway.timing.max_backoff(place);
        let pause = MIN_BACKOFF * 2u32.pow(self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        sleep(pause.min(max_pause)).await;
    }

    fn apply_list(&mut self, revision: StoreRevision, objects: &[StoredObject]) {
        match self.kind {
            WatchedKind::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            WatchedKind::Servers => {
                let mut entries = Vec::with_capacity(objects.len());
                for object in objects {
                    match read_server(object) {
                        Ok(entry) => {
                            let number = object.revision;
                            entries.push((StoreRevision { number, ..revision }, entry));
                        }
                        Err(error) => self.log_unreadable(&object.name, object.revision, &error),
                    }
                }
                let changes = {
                    let state = &mut *self.gateway.state.borrow_mut();
                    state.lifecycle.on_server_list();
                    state.directory.replace(BootTime::now(), revision, entries)
                };
                self.gateway.apply_changes(&changes);
                self.gateway.notify_peers();
            }
            WatchedKind::Nodes => {
                let nodes = self.read_nodes(revision.era, objects);
                check_registration(&self.gateway, revision, &nodes);
                self.gateway.update_peers(|peers| peers.replace(BootTime::now(), revision, nodes));
            }
            WatchedKind::Evacuations => {
                let names = objects.iter().map(|object| object.name.as_str().into());
                let zones: Vec<_> = names.collect();
                self.gateway.update_evacuations("store", |evacuations| {
                    evacuations.replace(BootTime::now(), revision, &zones)
                });
            }
        }
    }

    fn apply_events(&mut self, era: u64, page: WatchPage) {
        let mut changes = Vec::new();
        // Of several events of an object, the last one holds.
        let mut removed = IndexMap::new();
        for event in page.events {
            let event = match event {
                Ok(event) => event,
                Err(error) => {
                    self.log_unreadable(&error.to_string(), page.revision, &error);
                    continue;
                }
            };
            match self.kind {
                WatchedKind::Configuration if event.removed => {}
                WatchedKind::Configuration => self.apply_configuration(&event.object),
                WatchedKind::Servers => self.apply_server_event(era, &event, &mut changes),
                WatchedKind::Nodes => {
                    let removed_at = StoreRevision { era, number: page.revision };
                    self.apply_node_event(removed_at, &event);
                    removed.insert(event.object.name, (event.removed, removed_at));
                }
                WatchedKind::Evacuations => {
                    let revision = StoreRevision { era, number: page.revision };
                    let zone = event.object.name.as_str().into();
                    self.gateway.update_evacuations("store", |evacuations| {
                        evacuations.apply_event(BootTime::now(), revision, &zone, event.removed)
                    });
                }
            }
        }
        for (name, (_, removed_at)) in removed.iter().filter(|(_, (removed, _))| *removed) {
            check_removal(&self.gateway, *removed_at, name);
        }
        self.gateway.apply_changes(&changes);
    }

    fn apply_server_event(
        &mut self,
        era: u64,
        event: &ObjectEvent,
        changes: &mut Vec<carobstep_tier::DirectoryChange>,
    ) {
        let now = BootTime::now();
        let revision = StoreRevision { era, number: event.object.revision };
        if event.removed {
            let state = &mut *self.gateway.state.borrow_mut();
            // The same page may hold a later event that adds the server again.
            state.directory.remove(now, revision, &event.object.name, changes);
            return;
        }
        match read_server(&event.object) {
            Ok(entry) => {
                let state = &mut *self.gateway.state.borrow_mut();
                state.directory.insert(revision, entry, changes);
            }
            Err(error) => self.log_unreadable(&event.object.name, event.object.revision, &error),
        }
    }

    fn apply_node_event(&mut self, page_revision: StoreRevision, event: &ObjectEvent) {
        if event.removed {
            self.gateway.update_peers(|peers| {
                peers.remove(BootTime::now(), page_revision, &event.object.name)
            });
            return;
        }
        let revision = StoreRevision { number: event.object.revision, ..page_revision };
        match read_node(&event.object) {
            Ok(node) => self.gateway.update_peers(|peers| peers.insert(revision, node)),
            Err(error) => self.log_unreadable(&event.object.name, event.object.revision, &error),
        }
    }

    fn apply_configuration(&mut self, object: &StoredObject) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        match read_configuration(object) {
            Ok(configuration) => self.gateway.apply_configuration(configuration, object.clone()),
            Err(error) => self.log_unreadable(&object.name, object.revision, &error),
        }
    }

    /// Logs once for each revision that an object can't be decoded.
    fn log_unreadable(&mut self, name: &str, revision: u64, error: &DecodeError) {
        /// Maximum number of remembered objects; the oldest is removed first.
        const MAX_REPORTED: usize = 256;
        if self.reported.insert(name.to_owned(), revision) == Some(revision) {
            return;
        }
        self.gateway.reporter.count_unreadable(self.kind.name());
        if self.reported.len() > MAX_REPORTED {
            self.reported.shift_remove_index(0);
        }
        warn!(kind = self.kind.name(), revision = revision, reason:% = error; "unreadable object ignored");
    }
}

/// Waits until the servers were listed in a later era of the store.
async fn wait_for_later_era(gateway: &Gateway, era: u64) {
    let mut changes = gateway.change_count.subscribe();
    let is_later = |_: &u64| gateway.state.borrow().directory.revision().era > era;
    // The sender lives as long as the gateway.
    let _ = changes.wait_for(is_later).await;
}

impl From<DecodeError> for CallFailure {
    fn from(error: DecodeError) -> Self {
        Self::Other(error.to_string())
    }
}

/// Watches the store for the lifetime of the process.
///
/// Lists the nodes first: a node that knows its peers receives the configuration
/// and the servers from the node that watches the store, and need not list them.
pub(crate) async fn watch_store(gateway: Rc<Gateway>) {
    let mut nodes = KindWatcher::new(gateway.clone(), WatchedKind::Nodes);
    discover_nodes(&mut nodes).await;
    spawn_local(nodes.run());
    // A store that was just restored may hold an older configuration than the peers.
    let mut changes = gateway.change_count.subscribe();
    let has_copy = |_: &u64| gateway.state.borrow().has_peer_copy;
    if gateway.state.borrow().peers.entries().next().is_some() {
        // Without a peer that responds, the store is the only source.
        let _ = timeout(PEER_COPY_TIMEOUT, changes.wait_for(has_copy)).await;
    }
    for kind in [WatchedKind::Configuration, WatchedKind::Servers] {
        spawn_local(KindWatcher::new(gateway.clone(), kind).run());
    }
    if gateway.settings.bounds.evacuation.is_some() {
        spawn_local(KindWatcher::new(gateway, WatchedKind::Evacuations).run());
    }
}

/// Reads some of the other nodes, which know all of them. Reads again if there are none,
/// since all nodes may be starting at the same time.
async fn discover_nodes(nodes: &mut KindWatcher) {
    for (position, freshness) in DISCOVERY_READS.into_iter().enumerate() {
        if position > 0 {
            sleep(DISCOVERY_PAUSE).await;
        }
        match timeout(DISCOVERY_TIMEOUT, nodes.read_node_page(freshness)).await {
            Ok(Ok(())) => {}
            Ok(Err(failure)) => {
                warn!(reason:% = failure; "other nodes could not be listed");
                return;
            }
            Err(_) => {
                warn!(patience_ms = DISCOVERY_TIMEOUT.as_millis() as u64; "no list of other nodes");
                return;
            }
        }
        if nodes.gateway.state.borrow().peers.entries().next().is_some() {
            return;
        }
    }
}

/// Reports the paces of servers, and removes entries that expired during an outage of the
/// store and were not renewed, for the lifetime of the process.
pub(crate) async fn remove_expired(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = BootTime::now();
        report_paces(&gateway);
        let is_due = gateway.state.borrow().directory.next_expiry().is_some_and(|due| due <= now);
        if is_due {
            let changes = gateway.state.borrow_mut().directory.expire(now);
            gateway.apply_changes(&changes);
        }
        if gateway.settings.bounds.evacuation.is_some() {
            gateway.update_evacuations("restored store", |evacuations| evacuations.expire(now));
        }
    }
}
