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
    cuts: watch::Sender<Vec<ZonePair>>,
    held: Arc<AtomicU64>,
    _listeners: JoinSet<()>,
}

/// One direction of the paths between two zones.
#[derive(Clone)]
struct RelayPath {
    zones: ZonePair,
    cuts: watch::Receiver<Vec<ZonePair>>,
    held: Arc<AtomicU64>,
}

impl PeerRelays {
    pub async fn start(nodes: &[NodeProcess]) -> Self {
        let (cuts, receiver) = watch::channel(Vec::new());
        let zones = nodes.iter().map(|node| (node.peers_listener.ip(), node.zone));
        let zones: Arc<BTreeMap<IpAddr, &'static str>> = Arc::new(zones.collect());
        assert_eq!(zones.len(), nodes.len(), "nodes share an IP number");
        let held = Arc::new(AtomicU64::new(0));
        let mut listeners = JoinSet::new();
        for node in nodes {
            let listener = TcpListener::bind(node.peers).await.unwrap();
            let path = RelayPath {
                zones: (node.zone, node.zone),
                cuts: receiver.clone(),
                held: held.clone(),
            };
            listeners.spawn(relay(listener, node.peers_listener, zones.clone(), path));
        }
        Self { cuts, held, _listeners: listeners }
    }

    /// Connections and pieces of data that were held back so far.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Cuts these pairs of zones from each other, and restores all others.
    pub fn cut(&self, pairs: &[ZonePair]) {
        self.cuts.send_replace(pairs.to_vec());
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
        let (near, source) = listener.accept().await.unwrap();
        let mut path = path.clone();
        path.zones.0 = zones[&source.ip()];
        connections.spawn(async move {
            path.restored().await;
            // A node that does not run refuses connections; so does its relay.
            let Ok(far) = TcpStream::connect(target).await else { return };
            let (near_reader, near_writer) = near.into_split();
            let (far_reader, far_writer) = far.into_split();
            tokio::join!(
                pump(near_reader, far_writer, path.clone()),
                pump(far_reader, near_writer, path)
            );
        });
    }
}

async fn pump(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    mut path: RelayPath,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // An aborted connection ends the other side like a closed one.
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        path.restored().await;
        if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The other side may be gone already.
    let _ = writer.shutdown().await;
}

impl RelayPath {
    /// Waits until the path is not cut.
    async fn restored(&mut self) {
        let (one, other) = self.zones;
        let is_cut = |cuts: &Vec<ZonePair>| {
            cuts.iter().any(|cut| *cut == (one, other) || *cut == (other, one))
        };
        if is_cut(&self.cuts.borrow()) {
            self.held.fetch_add(1, Ordering::Relaxed);
        }
        // A failed wait means that the relays are ending.
        let _ = self.cuts.wait_for(|cuts| !is_cut(cuts)).await;
    }
}
