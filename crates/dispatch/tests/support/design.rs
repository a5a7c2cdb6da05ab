//! Load control state of one node at a fraction of the design size.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, ServerKey, SnapshotMap};
use carobstep_dispatch::{
    CustomerKey, QueueAdmission, QueueLimits, QueueTicket, RequestAction, SearchPlan, SearchState,
    ServerQueue, ServerRouter,
};
use carobstep_wire::{RequestId, ShardReply, ShardResult};

use super::fleet::{FleetRun, topology};

/// Number of backend servers at the design size.
pub const SERVERS: usize = 1_700;

/// Number of nodes at the design size.
pub const NODES: usize = 430;

/// Number of shard requests of one search.
pub const SHARDS: usize = 56;

/// Service time of every backend server.
const SERVICE_TIME: Duration = Duration::from_micros(900);

/// Router of one node, and the queues of the backend servers that it holds.
pub struct DesignNode {
    pub router: ServerRouter,
    pub queues: Vec<ServerQueue>,
    maps: Vec<Arc<SnapshotMap>>,
    actions: Vec<RequestAction>,
    now: BootTime,
    count: u64,
}

/// Returns a topology with two backend servers per service.
pub fn design_topology(servers: usize) -> Arc<ConfigTopology> {
    let config = FleetRun {
        shards: servers / 2,
        replicas: 2,
        slots: 4,
        service_time: SERVICE_TIME,
        load: 0.0,
        straggle: 0.0,
        straggle_factor: 1.0,
        hedge_percent: 2.0,
        retry_percent: 10.0,
        at_most_once: false,
        deadline_ms: 170,
        callers_return: false,
        faults: &[],
        seconds: 0,
        seed: 1,
    };
    Arc::new(topology(&config))
}

/// Returns snapshots of `shards` shards each, spread over all services.
fn snapshots(topology: &ConfigTopology, shards: usize) -> Vec<Arc<SnapshotMap>> {
    let full_snapshot = super::fleet::snapshot(topology, 7);
    let mut maps = Vec::new();
    for part in full_snapshot.shards.chunks(shards) {
        let mut entries = part.to_vec();
        for entry in full_snapshot.shards.iter().take(shards - part.len()) {
            entries.push(entry.clone());
        }
        maps.push(Arc::new(SnapshotMap { number: 7, shards: entries }));
    }
    maps
}

impl DesignNode {
    pub fn new(topology: &Arc<ConfigTopology>, shards: usize, queue_count: usize) -> Self {
        let now = BootTime::from_millis(1_000);
        let mut router = ServerRouter::new(Arc::clone(topology), "z0", 1, now);
        for server in 0..topology.servers().count() {
            router.set_usable(ServerKey(server as u16), true);
        }
        let limits = QueueLimits { slots: 4, max_waiting: 256 };
        let queues = (0..queue_count).map(|_| ServerQueue::new(limits, now)).collect();
        let maps = snapshots(topology, shards);
        Self { router, queues, maps, actions: Vec::with_capacity(4 * shards), now, count: 0 }
    }

    /// Plans, routes and finishes one search, as its entry node does.
    pub fn search(&mut self) -> usize {
        self.count += 1;
        self.now += Duration::from_millis(1);
        let map = Arc::clone(&self.maps[self.count as usize % self.maps.len()]);
        let plan = SearchPlan {
            id: RequestId(u128::from(self.count)),
            deadline: self.now + Duration::from_millis(170),
            map: Arc::clone(&map),
            topology: Arc::clone(self.router.topology()),
        };
        let mut search = SearchState::new(plan, self.now);
        search.start(self.now, &mut self.router, &mut self.actions);
        let sends = self.actions.len();
        for position in 0..sends {
            let RequestAction::Send(send) = self.actions[position] else { continue };
            let reply = ShardReply {
                id: send.id,
                shard: Some(map.shards[send.shard].name.clone()),
                snapshot: Some(map.number),
                result: ShardResult::Body(Bytes::from_static(b"{}")),
                queue_length: 0,
                service_us: 900,
            };
            let at = self.now + SERVICE_TIME;
            search.on_reply(at, send.attempt, reply, &mut self.router, &mut self.actions);
            std::hint::black_box(search.next_wakeup());
        }
        self.actions.clear();
        let report = search.into_report();
        assert_eq!(report.missing().count(), 0);
        report.shards.len()
    }

    /// Admits and finishes `requests` shard requests, as their holder does.
    ///
    /// Half of the requests find all slots in use and wait.
    pub fn serve_requests(&mut self, requests: usize) {
        for _ in 0..requests / 8 {
            self.count += 1;
            self.now += Duration::from_micros(300);
            let position = self.count as usize % self.queues.len();
            let queue = &mut self.queues[position];
            let mut running = [None; 8];
            for (slot_idx, key) in running.iter_mut().enumerate() {
                let ticket = QueueTicket {
                    deadline: self.now + Duration::from_millis(170),
                    hedge: false,
                    customer: CustomerKey(self.count % 16),
                    caller_id: self.count * 8 + slot_idx as u64,
                };
                *key = match queue.offer(self.now, ticket) {
                    QueueAdmission::Dispatch(key) | QueueAdmission::Queued(key) => Some(key),
                    QueueAdmission::Refused { .. } => None,
                };
                std::hint::black_box(queue.next_wakeup());
            }
            for key in running.into_iter().flatten() {
                while queue.poll(self.now).is_some() {}
                queue.finish(self.now + SERVICE_TIME, key, Some(SERVICE_TIME));
            }
        }
    }
}
