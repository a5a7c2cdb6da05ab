//! Relays between the nodes of a deployment, which cut zones from each other.

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

/// Two zones that don't reach each other.
pub type ZonePair = (&'static str, &'static str);

/// One relay in front of each node's peer listener.
///
/// A cut path is like one that loses every packet: connections stay open, and
/// what was sent on them arrives once the path is restored. New connections
/// are accepted and not answered. Dropping this ends the relays.
pub struct PeerRelays {
    partitions: watch::Sender<Vec<ZonePair>>,
    delayed: Arc<AtomicU64>,
    _listeners: JoinSet<()>,
}

/// One direction of the paths between two zones.
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
        assert_eq!(zones.len(), nodes.len(), "nodes share an IP number");
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

    /// Connections and pieces of data that were held back so far.
    pub fn delayed(&self) -> u64 {
        self.delayed.load(Ordering::Relaxed)
    }

    /// Cuts these pairs of zones from each other, and restores all others.
    pub fn partition(&self, pairs: &[ZonePair]) {
        self.partitions.send_replace(pairs.to_vec());
    }
}

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
            // A node that does not run refuses connections; so does its relay.
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

async fn forward(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    mut path: RelayPath,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // An aborted connection ends the other side like a closed one.
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        path.wait_restored().await;
        if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The other side may be gone already.
    let _ = writer.shutdown().await;
}

impl RelayPath {
    /// Waits until the path is not cut.
    async fn wait_restored(&mut self) {
        let (from, to) = self.zones;
        let is_partitioned = |partitions: &Vec<ZonePair>| {
            partitions.iter().any(|partition| *partition == (from, to) || *partition == (to, from))
        };
        if is_partitioned(&self.partitions.borrow()) {
            self.delayed.fetch_add(1, Ordering::Relaxed);
        }
        // A failed wait means that the relays are ending.
        let _ = self.partitions.wait_for(|partitions| !is_partitioned(partitions)).await;
    }
}
