//! A loopback relay in front of a listener, which harms the link to it.

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

/// What a link does with what is sent on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// It carries everything.
    #[default]
    None,
    /// It carries everything later.
    Delay(Duration),
    /// It holds everything back; what was sent arrives once the link is whole.
    Silent,
    /// It holds back what comes from the listener.
    OneWay,
    /// It ends every connection, new ones too.
    Reset,
}

/// A running relay; it ends with the test's runtime.
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
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(serving.clone().carry(near));
            }
        });
        relay
    }

    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Has new connections go to another listener.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    async fn carry(self, near: TcpStream) {
        let mut fault = self.fault.subscribe();
        // A failed wait means that the relay is ending.
        let _ = fault.wait_for(|fault| *fault != LinkFault::Silent).await;
        let target = *self.target.borrow();
        let Ok(far) = TcpStream::connect(target).await else { return };
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        tokio::select! {
            () = async {
                tokio::join!(
                    pump(near_reader, far_writer, self.fault.subscribe(), false),
                    pump(far_reader, near_writer, self.fault.subscribe(), true),
                );
            } => {}
            _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => {}
        }
    }
}

async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut fault: watch::Receiver<LinkFault>,
    is_answer: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // A broken connection ends the other side like a closed one.
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        let passes = |fault: &LinkFault| match fault {
            LinkFault::Silent => false,
            LinkFault::OneWay => !is_answer,
            LinkFault::None | LinkFault::Delay(_) | LinkFault::Reset => true,
        };
        // A failed wait means that the relay is ending.
        let state = fault.wait_for(passes).await.map_or(LinkFault::None, |fault| *fault);
        if let LinkFault::Delay(delay) = state {
            sleep(delay).await;
        }
        if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The other side may be gone already.
    let _ = writer.shutdown().await;
}
