//! Simulation of searches from one entry node over the backend servers of several services.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{
    ConfigDocument, ConfigTopology, ConfigVersion, IndexManifest, ManifestDocument, ServerKey,
    SnapshotMap,
};
use carobstep_dispatch::{
    AttemptKey, AttemptSend, CustomerKey, QueueAdmission, QueueEvent, QueueLimits, QueueTicket,
    RequestAction, SearchPlan, SearchState, ServerQueue, ServerRouter, TicketKey, caller_id,
};
use carobstep_wire::{
    RefusalReason, RequestId, RequestOutcome, RetryReason, ShardReply, ShardResult,
};

use super::{Samples, Timeline};

/// One-way network delay between the entry node and a holder.
const NETWORK_DELAY: Duration = Duration::from_micros(500);

/// Time until a holder abandons an unresponsive connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Multiplies the service time by this factor.
    Slow(f64),
    /// Refuses all requests without running them.
    Shed,
    /// Accepts requests and never answers.
    Silent,
    /// Reports this load, whatever the true load is.
    ReportsLoad(f64),
}

#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub server: usize,
    pub from_ms: u64,
    pub until_ms: u64,
    pub kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
pub struct FleetRun {
    pub shards: usize,
    pub replicas: usize,
    pub slots: u16,
    pub service_time: Duration,
    /// Offered load as a share of the capacity of all slots.
    pub load: f64,
    pub straggle: f64,
    pub straggle_factor: f64,
    pub hedge_percent: f64,
    pub retry_percent: f64,
    pub at_most_once: bool,
    pub deadline_ms: u64,
    /// Whether callers of incomplete searches return after the retry-after delay.
    pub callers_return: bool,
    pub faults: &'static [Fault],
    pub seconds: u64,
    pub seed: u64,
}

/// Result of one finished search.
#[derive(Clone, Copy, Debug)]
pub struct SearchResult {
    pub at: Duration,
    pub latency: Duration,
    pub covered: usize,
    pub missing: usize,
}

#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    pub results: Vec<SearchResult>,
    /// Latency of the reply of each covered shard.
    pub shard_latencies: Vec<Duration>,
    pub needed_shards: u64,
    /// Number of requests started, per server.
    pub started: Vec<u64>,
    /// Times since the start of the run at which attempts arrived, per server.
    pub arrivals: Vec<Vec<Duration>>,
    pub hedges: u64,
    pub retries: u64,
    /// Times since the start of the run at which retries were sent.
    pub retry_times: Vec<Duration>,
    pub first_times: Vec<Duration>,
    /// Number of hedges that a holder queued.
    pub hedges_queued: u64,
    pub peak_running: usize,
    /// Number of searches of callers that returned.
    pub returned: u64,
    /// Number of complete searches among them.
    pub returned_served: u64,
}

enum Event {
    Search,
    Return(u64),
    Arrive { search: u64, send: AttemptSend },
    Done { server: usize, key: TicketKey, service_time: Duration },
    Reply { search: u64, attempt: AttemptKey, reply: ShardReply },
    Unanswered { search: u64, attempt: AttemptKey },
    Cancel { search: u64, attempt: AttemptKey },
    QueueWake(usize),
    SearchWake(u64),
}

struct Server {
    queue: ServerQueue,
    jobs: HashMap<TicketKey, (u64, AttemptSend)>,
}

struct RunningSearch {
    state: SearchState,
    started: BootTime,
    wakeup: BootTime,
    caller: u64,
    returned: bool,
}

struct Fleet {
    config: FleetRun,
    timeline: Timeline<Event>,
    start: BootTime,
    samples: Samples,
    router: ServerRouter,
    map: Arc<SnapshotMap>,
    servers: Vec<Server>,
    wakeups: Vec<BootTime>,
    searches: HashMap<u64, RunningSearch>,
    tickets: HashMap<(u64, AttemptKey), (usize, TicketKey)>,
    count: u64,
    callers: u64,
    figures: FleetFigures,
}

/// Returns a topology of one service per shard, with its replicas in two availability zones.
pub fn topology(config: &FleetRun) -> ConfigTopology {
    let mut services = String::new();
    for shard in 0..config.shards {
        let mut servers = String::new();
        for replica in 0..config.replicas {
            let port = 1_000 + shard * config.replicas + replica;
            servers += &format!(
                r#"{}"s{shard}-{replica}": {{"zone": "z{}", "address": "127.0.0.1:{port}", "slots": {}, "connections": 25}}"#,
                if replica == 0 { "" } else { "," },
                replica % 2,
                config.slots,
            );
        }
        services += &format!(
            r#"{}"svc{shard}": {{"repeat": "{}", "deadline_ms": {}, "hedge": {{"hedge_percent": {}, "retry_percent": {}}}, "servers": {{{servers}}}}}"#,
            if shard == 0 { "" } else { "," },
            if config.at_most_once { "at_most_once" } else { "idempotent" },
            config.deadline_ms,
            config.hedge_percent,
            config.retry_percent,
        );
    }
    let document: ConfigDocument =
        serde_json::from_str(&format!(r#"{{"services": {{{services}}}}}"#)).expect("a document");
    ConfigTopology::try_from((ConfigVersion(1), &document)).expect("a topology")
}

/// Returns a snapshot with one shard per service of `topology`.
pub fn snapshot(topology: &ConfigTopology, number: u64) -> Arc<SnapshotMap> {
    let mut shards = Vec::new();
    for (_, service) in topology.services() {
        shards.push(format!(r#""shard-{0}": "{0}""#, service.name));
    }
    let text = format!(
        r#"{{"index": "garments", "snapshots": [{{"number": {number}, "shards": {{{}}}}}]}}"#,
        shards.join(",")
    );
    let document: ManifestDocument = serde_json::from_str(&text).expect("a manifest");
    let manifest = IndexManifest::try_from((topology, &document)).expect("a manifest");
    manifest.newest().clone()
}

pub fn run(config: FleetRun) -> FleetFigures {
    let timeline = Timeline::new();
    let start = timeline.now;
    let topology = Arc::new(topology(&config));
    let mut router = ServerRouter::new(Arc::clone(&topology), "z0", config.seed, start);
    let limits = QueueLimits { slots: config.slots, max_waiting: 256 };
    let mut servers = Vec::new();
    for (key, _) in topology.servers() {
        router.set_usable(key, true);
        servers.push(Server { queue: ServerQueue::new(limits, start), jobs: HashMap::new() });
    }
    let figures = FleetFigures {
        started: vec![0; servers.len()],
        arrivals: vec![Vec::new(); servers.len()],
        ..FleetFigures::default()
    };
    let mut fleet = Fleet {
        config,
        timeline,
        start,
        samples: Samples::new(config.seed),
        map: snapshot(&topology, 7),
        router,
        wakeups: vec![BootTime::ZERO; servers.len()],
        servers,
        searches: HashMap::new(),
        tickets: HashMap::new(),
        count: 0,
        callers: 0,
        figures,
    };
    fleet.timeline.after(Duration::ZERO, Event::Search);
    let end = start + Duration::from_secs(config.seconds);
    while let Some(event) = fleet.timeline.next() {
        if fleet.timeline.now > end {
            break;
        }
        fleet.handle(event);
    }
    fleet.figures
}

impl Fleet {
    fn handle(&mut self, event: Event) {
        match event {
            Event::Search => self.start_search(),
            Event::Return(caller) => self.begin_search(caller, true),
            Event::Arrive { search, send } => self.on_arrival(search, send),
            Event::Done { server, key, service_time } => {
                self.on_service_done(server, key, service_time)
            }
            Event::Reply { search, attempt, reply } => {
                let now = self.timeline.now;
                self.step(search, |state, router, actions| {
                    state.on_reply(now, attempt, reply, router, actions);
                });
            }
            Event::Unanswered { search, attempt } => {
                let (now, reason) = (self.timeline.now, RefusalReason::ConnectionSilent);
                self.step(search, |state, router, actions| {
                    state.on_failure(
                        now,
                        attempt,
                        RequestOutcome::Unknown,
                        reason,
                        router,
                        actions,
                    );
                });
            }
            Event::Cancel { search, attempt } => self.cancel(search, attempt),
            Event::QueueWake(server) => self.drain(server),
            Event::SearchWake(search) => {
                let now = self.timeline.now;
                self.step(search, |state, router, actions| state.on_timer(now, router, actions));
            }
        }
    }

    fn elapsed(&self) -> Duration {
        self.timeline.now.since(self.start)
    }

    fn fault(&self, server: usize) -> Option<FaultKind> {
        let at = self.elapsed().as_millis() as u64;
        let is_active = |fault: &&Fault| {
            fault.server == server && (fault.from_ms..fault.until_ms).contains(&at)
        };
        self.config.faults.iter().find(is_active).map(|fault| fault.kind)
    }

    fn start_search(&mut self) {
        let config = self.config;
        let slots = f64::from(config.slots) * config.replicas as f64;
        let gap = config.service_time.div_f64(config.load * slots);
        let gap = self.samples.exponential(gap);
        self.timeline.after(gap, Event::Search);
        for server in 0..self.servers.len() {
            if let Some(FaultKind::ReportsLoad(load)) = self.fault(server) {
                self.router.set_load_hint(ServerKey(server as u16), load);
            }
        }
        self.callers += 1;
        self.begin_search(self.callers, false);
    }

    fn begin_search(&mut self, caller: u64, returned: bool) {
        let config = self.config;
        self.count += 1;
        let now = self.timeline.now;
        let plan = SearchPlan {
            id: RequestId(u128::from(caller) << 64 | u128::from(self.count)),
            deadline: now + Duration::from_millis(config.deadline_ms),
            map: Arc::clone(&self.map),
            topology: Arc::clone(self.router.topology()),
        };
        self.figures.needed_shards += config.shards as u64;
        self.figures.first_times.push(self.elapsed());
        let state = SearchState::new(plan, now);
        let search = RunningSearch { state, started: now, wakeup: BootTime::MAX, caller, returned };
        self.searches.insert(self.count, search);
        self.step(self.count, |state, router, actions| state.start(now, router, actions));
    }

    fn step(
        &mut self,
        search: u64,
        event: impl FnOnce(&mut SearchState, &mut ServerRouter, &mut Vec<RequestAction>),
    ) {
        let Some(running) = self.searches.get_mut(&search) else { return };
        let mut actions = Vec::new();
        event(&mut running.state, &mut self.router, &mut actions);
        let wakeup = running.state.next_wakeup();
        if wakeup != running.wakeup {
            running.wakeup = wakeup;
            self.timeline.at(wakeup, Event::SearchWake(search));
        }
        for action in actions {
            match action {
                RequestAction::Send(send) => {
                    self.timeline.after(NETWORK_DELAY, Event::Arrive { search, send });
                }
                RequestAction::Cancel { attempt } => {
                    self.timeline.after(NETWORK_DELAY, Event::Cancel { search, attempt });
                }
                RequestAction::CountRetry(RetryReason::Hedge) => self.figures.hedges += 1,
                RequestAction::CountRetry(_) => {
                    self.figures.retries += 1;
                    self.figures.retry_times.push(self.elapsed());
                }
                RequestAction::CountRefusal(_) | RequestAction::Replan { .. } => {}
                RequestAction::Finish => self.finish(search),
            }
        }
    }

    fn finish(&mut self, search: u64) {
        let Some(running) = self.searches.remove(&search) else { return };
        let (caller, returned) = (running.caller, running.returned);
        let report = running.state.into_report();
        let covered = report.covered().count();
        let missing = report.missing().count();
        assert_eq!(covered + missing, self.config.shards);
        if returned {
            self.figures.returned += 1;
            self.figures.returned_served += u64::from(missing == 0);
        } else if missing > 0 && self.config.callers_return {
            let round_trip = Duration::from_millis(3).mul_f64(self.samples.unit());
            let retry_after = report.retry_after.unwrap_or(Duration::from_millis(250));
            self.timeline.after(retry_after + round_trip, Event::Return(caller));
        }
        self.figures.results.push(SearchResult {
            at: running.started.since(self.start),
            latency: self.timeline.now.since(running.started),
            covered,
            missing,
        });
    }

    fn on_arrival(&mut self, search: u64, send: AttemptSend) {
        let now = self.timeline.now;
        let server = send.server.index();
        let at = self.elapsed();
        self.figures.arrivals[server].push(at);
        let fault = self.fault(server);
        if fault == Some(FaultKind::Shed) {
            return self.send_refusal(search, send, RefusalReason::ServerShed, Duration::ZERO);
        }
        if fault == Some(FaultKind::Silent) {
            self.timeline
                .after(SILENCE_TIMEOUT, Event::Unanswered { search, attempt: send.attempt });
            return;
        }
        let ticket = QueueTicket {
            deadline: send.deadline,
            hedge: send.hedge,
            customer: CustomerKey(1),
            caller_id: caller_id(send.id),
        };
        match self.servers[server].queue.offer(now, ticket) {
            QueueAdmission::Dispatch(key) => {
                self.admit(server, key, search, send);
                self.start_service(server, key);
            }
            QueueAdmission::Queued(key) => {
                self.figures.hedges_queued += u64::from(send.hedge);
                self.admit(server, key, search, send);
            }
            QueueAdmission::Refused { reason, retry_after } => {
                self.send_refusal(search, send, reason, retry_after);
            }
        }
        self.drain(server);
    }

    fn admit(&mut self, server: usize, key: TicketKey, search: u64, send: AttemptSend) {
        self.servers[server].jobs.insert(key, (search, send));
        self.tickets.insert((search, send.attempt), (server, key));
    }

    fn start_service(&mut self, server: usize, key: TicketKey) {
        self.figures.started[server] += 1;
        let mut service_time = self.samples.erlang(self.config.service_time);
        if self.samples.chance(self.config.straggle) {
            service_time = service_time.mul_f64(self.config.straggle_factor);
        }
        if let Some(FaultKind::Slow(factor)) = self.fault(server) {
            service_time = service_time.mul_f64(factor);
        }
        self.figures.peak_running =
            self.figures.peak_running.max(self.servers[server].queue.running());
        self.timeline.after(service_time, Event::Done { server, key, service_time });
    }

    fn on_service_done(&mut self, server: usize, key: TicketKey, service_time: Duration) {
        let now = self.timeline.now;
        let Some((search, send)) = self.servers[server].jobs.remove(&key) else { return };
        self.servers[server].queue.finish(now, key, Some(service_time));
        self.tickets.remove(&(search, send.attempt));
        let entry = &self.map.shards[send.shard];
        let reply = ShardReply {
            id: send.id,
            shard: Some(entry.name.clone()),
            snapshot: Some(self.map.number),
            result: ShardResult::Body(Bytes::from_static(b"{}")),
            queue_length: self.servers[server].queue.waiting() as u16,
            service_us: service_time.as_micros() as u64,
        };
        let warm = self.elapsed() > Duration::from_secs(5);
        if let Some(running) = self.searches.get(&search).filter(|_| warm) {
            self.figures.shard_latencies.push((now + NETWORK_DELAY).since(running.started));
        }
        self.timeline.after(NETWORK_DELAY, Event::Reply { search, attempt: send.attempt, reply });
        self.drain(server);
    }

    fn send_refusal(
        &mut self,
        search: u64,
        send: AttemptSend,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let retry_after_ms = retry_after.as_millis() as u64;
        let outcome = RequestOutcome::NotRun;
        let reply = ShardReply {
            id: send.id,
            shard: None,
            snapshot: None,
            result: ShardResult::Refused { outcome, reason, retry_after_ms },
            queue_length: self.servers[send.server.index()].queue.waiting() as u16,
            service_us: 0,
        };
        self.timeline.after(NETWORK_DELAY, Event::Reply { search, attempt: send.attempt, reply });
    }

    /// Drops a cancelled request from the queue, or stops it on the backend server.
    fn cancel(&mut self, search: u64, attempt: AttemptKey) {
        let now = self.timeline.now;
        let Some((server, key)) = self.tickets.remove(&(search, attempt)) else { return };
        if self.servers[server].jobs.remove(&key).is_none() {
            return;
        }
        if !self.servers[server].queue.cancel(now, key) {
            self.servers[server].queue.finish(now, key, None);
        }
        self.drain(server);
    }

    fn drain(&mut self, server: usize) {
        let now = self.timeline.now;
        while let Some(event) = self.servers[server].queue.poll(now) {
            match event {
                QueueEvent::Dispatch(key) => self.start_service(server, key),
                QueueEvent::Refused { key, reason, retry_after } => {
                    let job = self.servers[server].jobs.remove(&key);
                    let Some((search, send)) = job else { continue };
                    self.tickets.remove(&(search, send.attempt));
                    self.send_refusal(search, send, reason, retry_after);
                }
            }
        }
        if let Some(wakeup) = self.servers[server].queue.next_wakeup() {
            let wakeup = wakeup.max(now) + Duration::from_micros(1);
            let known = &mut self.wakeups[server];
            if *known <= now || wakeup < *known {
                *known = wakeup;
                self.timeline.at(wakeup, Event::QueueWake(server));
            }
        }
    }
}
