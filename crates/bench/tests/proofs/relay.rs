//! Relays between the nodes of a deployment, which simulate network partitions
//! between zones.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use carobstep_bench::NodeProcess;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

const CHUNK_BYTES: usize = 64 * 1024;

/// Two zones that are partitioned from each other.
pub type ZonePair = (&'static str, &'static str);

/// Relays in front of the nodes' peer listeners, one for each node.
///
/// A partitioned path behaves like one that loses every packet: connections stay
/// open, and data sent on them arrives once the path is restored. New connections
/// are accepted, but nothing is received on them until then. Dropping this stops
/// the relays.
pub struct PeerRelays {
    partitions: watch::Sender<Vec<ZonePair>>,
    delayed: Arc<AtomicU64>,
    _listeners: JoinSet<()>,
}

/// The path of a connection: source and target zone, and the current partitions.
#[derive(Clone)]
struct RelayPath {
    zones: ZonePair,
    partitions: watch::Receiver<Vec<ZonePair>>,
    delayed: Arc<AtomicU64>,
}

impl PeerRelays {
    pub async fn start(nodes: &[NodeProcess]) -> Self {
        let (partitions, receiver) = watch::channel(Vec::new());
        let zones = nodes.iter().map(|node| (node.peers_listener.ip(), node.zone));
        let zones: Arc<BTreeMap<IpAddr, &'static str>> = Arc::new(zones.collect());
        assert_eq!(zones.len(), nodes.len(), "nodes share an IP address");
        let delayed = Arc::new(AtomicU64::new(0));
        let mut listeners = JoinSet::new();
        for node in nodes {
            let listener = TcpListener::bind(node.peers).await.unwrap();
            let path = RelayPath {
                zones: (node.zone, node.zone),
                partitions: receiver.clone(),
                delayed: delayed.clone(),
            };
            listeners.spawn(relay(listener, node.peers_listener, zones.clone(), path));
        }
        Self { partitions, delayed, _listeners: listeners }
    }

    /// Returns the number of connections and data chunks that have been delayed by
    /// partitions so far.
    pub fn delayed(&self) -> u64 {
        self.delayed.load(Ordering::Relaxed)
    }

    /// Partitions these pairs of zones from each other, and restores all others.
    pub fn partition(&self, pairs: &[ZonePair]) {
        self.partitions.send_replace(pairs.to_vec());
    }
}

/// Accepts connections and forwards them to `target`, subject to partitions.
async fn relay(
    listener: TcpListener,
    target: SocketAddr,
    zones: Arc<BTreeMap<IpAddr, &'static str>>,
    path: RelayPath,
) {
    let mut connections = JoinSet::new();
    loop {
        let (client, source) = listener.accept().await.unwrap();
        let mut path = path.clone();
        path.zones.0 = zones[&source.ip()];
        connections.spawn(async move {
            path.wait_restored().await;
            // A node that is not running refuses the connection; its relay closes it.
            let Ok(target_stream) = TcpStream::connect(target).await else { return };
            let (client_reader, client_writer) = client.into_split();
            let (target_reader, target_writer) = target_stream.into_split();
            tokio::join!(
                forward(client_reader, target_writer, path.clone()),
                forward(target_reader, client_writer, path)
            );
        });
    }
}

/// Copies data in one direction until either side closes.
async fn forward(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    mut path: RelayPath,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // An aborted connection is forwarded as a closed one.
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        path.wait_restored().await;
        if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The other side may have closed the connection already.
    let _ = writer.shutdown().await;
}

impl RelayPath {
    /// Waits until the path is not partitioned.
    async fn wait_restored(&mut self) {
        let (from, to) = self.zones;
        let is_partitioned = |partitions: &Vec<ZonePair>| {
            partitions.iter().any(|partition| *partition == (from, to) || *partition == (to, from))
        };
        if is_partitioned(&self.partitions.borrow()) {
            self.delayed.fetch_add(1, Ordering::Relaxed);
        }
        // The wait fails when the relays are being dropped.
        let _ = self.partitions.wait_for(|partitions| !is_partitioned(partitions)).await;
    }
}
