//! A loopback TCP relay that injects faults into the link to a listener.

use std::{fs, net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

const CHUNK_BYTES: usize = 16 * 1024;

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// The link forwards everything.
    #[default]
    None,
    /// The link delays everything.
    Delay(Duration),
    /// The link holds everything back, and forwards it once the fault has ended.
    Stalled,
    /// The link holds back what the listener sends.
    OneWay,
    /// The link closes every connection, new ones too.
    Reset,
    /// The link closes new connections; open ones live on.
    NoNewConnections,
}

/// Faults of a link: for the connections of some processes, and for all others.
#[derive(Clone, Debug, Default)]
struct LinkFaults {
    usual: LinkFault,
    by_process: IndexMap<u32, LinkFault>,
}

impl LinkFaults {
    /// Returns the fault of the connections of a process.
    fn of(&self, process: Option<u32>) -> LinkFault {
        let own = process.and_then(|process| self.by_process.get(&process));
        own.copied().unwrap_or(self.usual)
    }
}

/// A running relay; it stops with the test's async runtime.
#[derive(Clone)]
pub struct LinkRelay {
    pub address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    target: watch::Sender<SocketAddr>,
}

impl LinkRelay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let relay = Self {
            address,
            faults: watch::Sender::new(LinkFaults::default()),
            target: watch::Sender::new(target),
        };
        let serving = relay.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(serving.clone().relay_connection(client));
            }
        });
        relay
    }

    pub fn set_fault(&self, fault: LinkFault) {
        self.faults.send_modify(|faults| faults.usual = fault);
    }

    /// Sets the fault of the connections of one process.
    pub fn set_fault_of(&self, process: u32, fault: LinkFault) {
        self.faults.send_modify(|faults| {
            faults.by_process.insert(process, fault);
        });
    }

    /// Directs new connections to another listener.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Relays one connection in both directions.
    async fn relay_connection(self, client: TcpStream) {
        let owner = {
            let faults = self.faults.borrow();
            let remote = client.peer_addr().ok();
            remote.and_then(|remote| owner_of(remote, self.address, faults.by_process.keys()))
        };
        let mut faults = self.faults.subscribe();
        // The wait fails only when the relay is stopping.
        let _ = faults.wait_for(|faults| faults.of(owner) != LinkFault::Stalled).await;
        if faults.borrow().of(owner) == LinkFault::NoNewConnections {
            return;
        }
        let target = *self.target.borrow();
        let Ok(server) = TcpStream::connect(target).await else { return };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let subscribe = || self.faults.subscribe();
        tokio::select! {
            () = async {
                tokio::join!(
                    pump(client_reader, server_writer, subscribe(), owner, false),
                    pump(server_reader, client_writer, subscribe(), owner, true),
                );
            } => {}
            _ = faults.wait_for(|faults| faults.of(owner) == LinkFault::Reset) => {}
        }
    }
}

/// Returns which of `processes` has the socket at `local` that is connected to `remote`.
fn owner_of<'process>(
    local: SocketAddr,
    remote: SocketAddr,
    processes: impl Iterator<Item = &'process u32>,
) -> Option<u32> {
    let mut processes = processes.peekable();
    processes.peek()?;
    let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (format!(":{:04X}", local.port()), format!(":{:04X}", remote.port()));
    let inode = sockets.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_found = fields.get(1)?.ends_with(&local) && fields.get(2)?.ends_with(&remote);
        is_found.then(|| fields.get(9).copied())?
    })?;
    let link = format!("socket:[{inode}]");
    processes.copied().find(|process| {
        let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
        files
            .flatten()
            .any(|file| fs::read_link(file.path()).is_ok_and(|it| it.as_os_str() == &*link))
    })
}

/// Copies bytes in one direction, subject to the fault of the link.
async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    owner: Option<u32>,
    is_response: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // A read error closes the other side, like the end of the stream does.
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        let is_forwarding = |faults: &LinkFaults| match faults.of(owner) {
            LinkFault::Stalled => false,
            LinkFault::OneWay => !is_response,
            LinkFault::None
            | LinkFault::Delay(_)
            | LinkFault::Reset
            | LinkFault::NoNewConnections => true,
        };
        // The wait fails only when the relay is stopping.
        let waited = faults.wait_for(is_forwarding).await;
        let state = waited.map_or(LinkFault::None, |faults| faults.of(owner));
        if let LinkFault::Delay(delay) = state {
            sleep(delay).await;
        }
        if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The other side may be closed already.
    let _ = writer.shutdown().await;
}
