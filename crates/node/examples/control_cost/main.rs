//! Prints what one node's control costs at a sixteenth, a quarter and the
//! whole of 430 nodes and 1,700 backend servers: processor time, messages,
//! bytes, platform calls and memory.

mod driver;
mod fleet;
mod memory;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use carobstep_config::{ConfigTopology, ConfigVersion, NodeName, ZoneName};
use carobstep_control::{ControlEvent, assign_servers};
use carobstep_dispatch::ServerRouter;
use carobstep_store::{ObjectKind, ObjectVersion};
use carobstep_wire::{ControlMessage, FetchRequest, NewsNotice};

use driver::{NodeDriver, Tally, reply_bytes, request_bytes};
use fleet::{Fleet, FleetSize, ZONES, node_name, peer, zone_name};

const SIZES: [FleetSize; 3] = [
    FleetSize { nodes: 27, servers: 106 },
    FleetSize { nodes: 108, servers: 425 },
    FleetSize { nodes: 430, servers: 1_700 },
];

/// Length of the steady state that is measured.
const STEADY: Duration = Duration::from_secs(60);

/// Longest time that a takeover is followed.
const TAKEOVER: Duration = Duration::from_secs(30);

/// Runs of each short measurement; the shortest counts.
const ROUNDS: usize = 20;

/// One node of a zone, a peer of its zone and one of another zone.
struct Trio {
    node: NodeDriver,
    inside: NodeDriver,
    outside: NodeDriver,
    heartbeat: u64,
    digests: DigestBytes,
}

/// Largest digests that the node sent, in bytes.
#[derive(Clone, Copy, Default)]
struct DigestBytes {
    inside: u64,
    outside: u64,
}

impl Trio {
    fn new(fleet: &Fleet, at: usize) -> Self {
        let inside = if at == 0 { ZONES } else { 0 };
        Self {
            node: NodeDriver::new(fleet, at),
            inside: NodeDriver::new(fleet, inside),
            outside: NodeDriver::new(fleet, 1),
            heartbeat: 1,
            digests: DigestBytes::default(),
        }
    }

    /// Runs one second; the peers in `silent` send no heartbeat.
    fn second(&mut self, fleet: &Fleet, silent: &dyn Fn(&NodeName, &ZoneName) -> bool) {
        self.heartbeat += 1;
        let mut peers = fleet.peers(self.heartbeat);
        peers.retain(|peer| !silent(&peer.node, &peer.zone));
        let news = NewsNotice { peers, ..NewsNotice::default() };
        for driver in [&mut self.node, &mut self.inside, &mut self.outside] {
            driver.handle(ControlEvent::Tick);
            driver.receive_uncounted(ControlMessage::News(news.clone()));
            driver.run_until(driver.now + Duration::from_secs(1));
        }
        self.exchange();
    }

    /// Delivers every digest and its answer.
    fn exchange(&mut self) {
        for message in std::mem::take(&mut self.node.gossip) {
            let bytes = request_bytes(&message);
            let outside = is_outside(&message);
            let digests = &mut self.digests;
            let largest = if outside { &mut digests.outside } else { &mut digests.inside };
            *largest = bytes.max(*largest);
            let peer = if outside { &mut self.outside } else { &mut self.inside };
            answer(&mut self.node, peer, message);
        }
        for message in std::mem::take(&mut self.inside.gossip) {
            if !is_outside(&message) {
                self.node.receive(message);
            }
        }
        for (at, message) in std::mem::take(&mut self.outside.gossip).into_iter().enumerate() {
            if at == 0 && is_outside(&message) {
                self.node.receive(message);
            }
        }
    }

    fn settle(&mut self, fleet: &Fleet, seconds: u32) {
        for _ in 0..seconds {
            self.second(fleet, &|_, _| false);
        }
    }
}

/// A digest for another zone carries records of its sender's whole zone.
fn is_outside(message: &ControlMessage) -> bool {
    matches!(message, ControlMessage::Gossip(digest) if digest.beats.is_empty())
}

/// Lets `peer` answer a digest of `node`.
fn answer(node: &mut NodeDriver, peer: &mut NodeDriver, message: ControlMessage) {
    peer.receive(message);
    if let Some(carobstep_wire::ControlReply::Gossip(digest)) = peer.answer.take() {
        node.tally.peer_bytes += reply_bytes(&carobstep_wire::ControlReply::Gossip(digest.clone()));
        node.handle_digest(digest);
    }
}

impl NodeDriver {
    /// Takes in an answered digest at the cost of a received one.
    fn handle_digest(&mut self, digest: carobstep_wire::GossipDigest) {
        let bytes = self.tally.peer_bytes;
        self.handle(ControlEvent::Received {
            reply: carobstep_control::ReplyKey(0),
            message: ControlMessage::Gossip(digest),
        });
        self.tally.peer_bytes = bytes;
    }
}

fn print_tally(what: &str, tally: &Tally, seconds: f64) {
    println!(
        "  {what}: {:.0} us CPU, {} events, {} messages sent, {} received, {} peer bytes, \
         {} platform calls, {} platform bytes, {} route changes; \
         per second {:.1} us, {:.0} peer bytes, {:.2} calls, {:.0} platform bytes",
        micros(tally.cpu),
        tally.events,
        tally.messages_sent,
        tally.messages_received,
        tally.peer_bytes,
        tally.call_count(),
        tally.platform_bytes,
        tally.route_changes,
        micros(tally.cpu) / seconds,
        tally.peer_bytes as f64 / seconds,
        tally.call_count() as f64 / seconds,
        tally.platform_bytes as f64 / seconds,
    );
    println!("    calls: {:?}", tally.calls);
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

fn shortest(mut run: impl FnMut()) -> f64 {
    let mut shortest = Duration::MAX;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        run();
        shortest = shortest.min(start.elapsed());
    }
    micros(shortest)
}

/// Start and steady state of a node that watches the platform or does not.
fn measure_role(fleet: &Fleet, at: usize) -> Trio {
    let mut trio = Trio::new(fleet, at);
    trio.settle(fleet, 12);
    let start = trio.node.take_tally();
    let role = if trio.node.watching { "watcher" } else { "non-watcher" };
    print_tally(&format!("{role} start, 12 s"), &start, 12.0);
    trio.settle(fleet, 10);
    trio.node.take_tally();
    trio.settle(fleet, STEADY.as_secs() as u32);
    let steady = trio.node.take_tally();
    print_tally(&format!("{role} steady, 60 s"), &steady, STEADY.as_secs_f64());
    trio
}

/// Largest digests of some seconds, in bytes.
fn measure_digests(trio: &mut Trio, fleet: &Fleet, what: &str) {
    trio.digests = DigestBytes::default();
    trio.settle(fleet, 5);
    let DigestBytes { inside, outside } = trio.digests;
    println!("  digest {what}: {inside} B in the zone, {outside} B to another zone");
}

fn measure_gossip(trio: &mut Trio, fleet: &Fleet) {
    trio.settle(fleet, 10);
    trio.inside.run_until(trio.inside.now + Duration::from_secs(1));
    let digest = trio.inside.gossip.iter().find(|message| !is_outside(message)).cloned();
    let Some(digest) = digest else { return };
    let received = shortest(|| trio.node.receive(digest.clone()));
    let tick = shortest(|| trio.node.handle(ControlEvent::Tick));
    println!("  CPU: digest received and answered {received:.1} us, idle tick {tick:.1} us");
}

fn measure_fetch(trio: &mut Trio) {
    let request = FetchRequest {
        config: ConfigVersion(0),
        manifests: Vec::new(),
        peers: true,
        grant_buckets: (0..16).collect(),
    };
    let config_only = FetchRequest { peers: false, grant_buckets: Vec::new(), ..request.clone() };
    let one_bucket = FetchRequest {
        config: ConfigVersion(u64::MAX),
        peers: false,
        grant_buckets: vec![3],
        ..request.clone()
    };
    for (what, request) in
        [("everything", request), ("config and manifests", config_only), ("one bucket", one_bucket)]
    {
        trio.node.answer = None;
        let cpu = shortest(|| trio.node.receive(ControlMessage::Fetch(request.clone())));
        let bytes = trio.node.answer.as_ref().map_or(0, reply_bytes);
        println!("  fetch of {what}: {bytes} B, {cpu:.0} us with encoding");
    }
}

/// Cost of a configuration change: control state, router and routes.
fn measure_config(trio: &mut Trio, fleet: &Fleet) {
    trio.node.take_tally();
    let mut version = 1;
    let control = shortest(|| {
        version += 1;
        let (kind, name) = (ObjectKind::Config, "current".to_owned());
        let value = Some(fleet.config(version));
        let version = ObjectVersion(100_000 + version);
        trio.node.take_tally();
        trio.node.handle(ControlEvent::Watched { kind, name, version, value });
        trio.node.tally.cpu = trio.node.tally.cpu.min(Duration::from_secs(1));
    });
    let own = micros(trio.node.tally.cpu);
    let topology = Arc::new(fleet.topology.clone());
    let mut router = ServerRouter::new(topology.clone(), "zone-00", 1, trio.node.now);
    let routed = shortest(|| router.set_topology(trio.node.now, topology.clone()));
    let bytes = fleet.config(1).to_string().len();
    println!(
        "  configuration of {bytes} B in force: {own:.0} us control ({control:.0} us with \
         building the value), {routed:.0} us router"
    );
    let rebuild = shortest(|| rebuild_routes(trio, &topology, &mut router));
    println!("  route table rebuild: {rebuild:.0} us");
}

fn rebuild_routes(trio: &Trio, topology: &ConfigTopology, router: &mut ServerRouter) {
    let mut routes = Vec::new();
    for (key, server) in topology.servers() {
        router.set_leaving(trio.node.now, key, false);
        routes.push(trio.node.control.holder_of(&server.name));
    }
}

/// Servers that move when a node goes, and the node that takes most of its.
fn measure_moves(fleet: &Fleet) -> Option<(NodeName, NodeName)> {
    let nodes = fleet.zone_nodes(0);
    let (mut lost, mut moved) = (0, 0);
    let mut best = (0, None);
    for gone in &nodes {
        let rest: Vec<NodeName> = nodes.iter().filter(|node| *node != gone).cloned().collect();
        let after = assign_servers(&fleet.topology, &zone_name(0), &rest);
        let changed = after.iter().filter(|(server, node)| fleet.holders[*server] != **node);
        moved += changed.count();
        for taker in &rest {
            let taken = after
                .iter()
                .filter(|(server, node)| *node == taker && fleet.holders[*server] == *gone)
                .count();
            if taken > best.0 {
                best = (taken, Some((gone.clone(), taker.clone())));
            }
        }
        lost += fleet.holders.values().filter(|node| *node == gone).count();
    }
    println!(
        "  a node gone: holds {:.1} servers, moves {:.1} grants",
        lost as f64 / nodes.len() as f64,
        moved as f64 / nodes.len() as f64
    );
    best.1
}

/// A node of the zone falls silent and the measured one takes its servers.
fn measure_takeover(fleet: &Fleet) {
    let Some((gone, taker)) = measure_moves(fleet) else { return };
    let at = (0..fleet.size.nodes).find(|at| node_name(*at) == taker).unwrap_or(0);
    let mut trio = Trio::new(fleet, at);
    trio.settle(fleet, 22);
    trio.node.take_tally();
    let held = trio.node.control.held_grants().count();
    let mut seconds = 0;
    let mut largest = Duration::ZERO;
    while seconds < TAKEOVER.as_secs() {
        let before = trio.node.tally.cpu;
        trio.second(fleet, &|node, _| *node == gone);
        largest = largest.max(trio.node.tally.cpu - before);
        seconds += 1;
    }
    let tally = trio.node.take_tally();
    let now = trio.node.control.held_grants().count();
    print_tally("takeover of a silent node, 30 s", &tally, TAKEOVER.as_secs_f64());
    println!("    holds {held} before, {now} after; busiest second {:.0} us", micros(largest));
    measure_digests(&mut trio, fleet, "after a takeover");
}

/// The platform is down for longer than a term, and comes back.
fn measure_outage(fleet: &Fleet) {
    let mut trio = Trio::new(fleet, 0);
    trio.settle(fleet, 22);
    for driver in [&mut trio.node, &mut trio.inside, &mut trio.outside] {
        driver.platform_down = true;
        driver.handle(ControlEvent::WatchLost { kind: ObjectKind::Config });
        driver.handle(ControlEvent::WatchLost { kind: ObjectKind::Manifest });
        driver.handle(ControlEvent::WatchLost { kind: ObjectKind::Grant });
    }
    trio.settle(fleet, 20);
    trio.node.take_tally();
    trio.settle(fleet, 60);
    print_tally("platform down, 60 s", &trio.node.take_tally(), 60.0);
    for driver in [&mut trio.node, &mut trio.inside, &mut trio.outside] {
        driver.platform_down = false;
    }
    trio.settle(fleet, 10);
    print_tally("platform back, 10 s", &trio.node.take_tally(), 10.0);
}

/// Every node of another zone is replaced at the same time.
fn measure_zone_return(fleet: &Fleet) {
    let mut trio = Trio::new(fleet, 0);
    trio.settle(fleet, 22);
    trio.digests = DigestBytes::default();
    for _ in 0..20 {
        trio.second(fleet, &|_, zone| *zone == zone_name(2));
    }
    trio.node.take_tally();
    println!(
        "  digest 20 s after a zone fell silent: {} B in the zone, {} B to another zone",
        trio.digests.inside, trio.digests.outside
    );
    let peers = (0..fleet.size.nodes).filter(|at| at % ZONES == 2);
    let peers: Vec<_> =
        peers.map(|at| carobstep_wire::PeerRecord { incarnation: 2, ..peer(at, 1) }).collect();
    let news = NewsNotice { peers, ..NewsNotice::default() };
    trio.node.receive(ControlMessage::News(news));
    let moved = fleet.holders.iter().filter(|(_, node)| node.as_str().starts_with("entry-02"));
    for (at, (server, node)) in moved.enumerate() {
        let grant = carobstep_wire::GrantNotice {
            server: server.clone(),
            holder: Some(node.clone()),
            incarnation: 2,
            epoch: 2,
            version: 50_000 + at as u64,
        };
        let grants = vec![grant];
        trio.node.receive(ControlMessage::News(NewsNotice { grants, ..NewsNotice::default() }));
    }
    let tally = trio.node.take_tally();
    print_tally("another zone replaced at once", &tally, 1.0);
    measure_digests(&mut trio, fleet, "while another zone is replaced");
}

/// Sizes of the platform's objects, in bytes.
fn print_objects(fleet: &Fleet) {
    let sum = |objects: indexmap::IndexMap<String, serde_json::Value>| -> usize {
        objects.values().map(|value| value.to_string().len()).sum()
    };
    let (grants, leases) = (sum(fleet.grants()), sum(fleet.leases()));
    let vms = serde_json::json!(fleet.vms()).to_string().len();
    println!(
        "  objects: configuration {} B, grants {grants} B, leases {leases} B, VM list {vms} B",
        fleet.config(1).to_string().len()
    );
}

fn main() {
    for size in SIZES {
        memory::measure(&Fleet::new(size));
    }
    for size in SIZES {
        let fleet = Fleet::new(size);
        println!("{} nodes, {} servers, {ZONES} zones", size.nodes, size.servers);
        print_objects(&fleet);
        let zone = (0..size.nodes).filter(|at| at % ZONES == 0);
        let mut roles = [false; 2];
        for at in zone {
            let mut probe = Trio::new(&fleet, at);
            probe.settle(&fleet, 8);
            let role = usize::from(probe.node.watching);
            if std::mem::replace(&mut roles[role], true) {
                continue;
            }
            let mut trio = measure_role(&fleet, at);
            if role == 0 {
                measure_digests(&mut trio, &fleet, "steady");
                measure_gossip(&mut trio, &fleet);
                measure_fetch(&mut trio);
                measure_config(&mut trio, &fleet);
            }
            if roles == [true; 2] {
                break;
            }
        }
        measure_takeover(&fleet);
        measure_zone_return(&fleet);
        measure_outage(&fleet);
    }
}
