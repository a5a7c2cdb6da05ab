//! A loopback TCP relay that injects faults into the link to a listener.

use std::{net::SocketAddr, time::Duration};

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
}

/// A running relay; it stops with the test's async runtime.
#[derive(Clone)]
pub struct LinkRelay {
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    target: watch::Sender<SocketAddr>,
}

impl LinkRelay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let relay = Self {
            address,
            fault: watch::Sender::new(LinkFault::None),
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
        self.fault.send_replace(fault);
    }

    /// Directs new connections to another listener.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Relays one connection in both directions.
    async fn relay_connection(self, client: TcpStream) {
        let mut fault = self.fault.subscribe();
        // The wait fails only when the relay is stopping.
        let _ = fault.wait_for(|fault| *fault != LinkFault::Stalled).await;
        let target = *self.target.borrow();
        let Ok(server) = TcpStream::connect(target).await else { return };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        tokio::select! {
            () = async {
                tokio::join!(
                    pump(client_reader, server_writer, self.fault.subscribe(), false),
                    pump(server_reader, client_writer, self.fault.subscribe(), true),
                );
            } => {}
            _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => {}
        }
    }
}

/// Copies bytes in one direction, subject to the fault of the link.
async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut fault: watch::Receiver<LinkFault>,
    is_response: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // A read error closes the other side, like the end of the stream does.
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        let is_forwarding = |fault: &LinkFault| match fault {
            LinkFault::Stalled => false,
            LinkFault::OneWay => !is_response,
            LinkFault::None | LinkFault::Delay(_) | LinkFault::Reset => true,
        };
        // The wait fails only when the relay is stopping.
        let state = fault.wait_for(is_forwarding).await.map_or(LinkFault::None, |fault| *fault);
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
