//! Calls to peer nodes: one kept connection per address.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use h2::{Ping, PingPong, client::SendRequest};
use indexmap::IndexMap;
use tokio::{
    net::TcpStream,
    sync::{Mutex as AsyncMutex, watch},
    time::{sleep, timeout},
};

use bytes::Bytes;

use crate::{
    PeerReply, PeerRequest,
    codec::{decode, encode},
    error::{WireError, WireErrorKind},
    stream::{
        CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, MAX_STREAMS, PING_INTERVAL, PING_TIMEOUT,
        STREAM_WINDOW_BYTES, lost, not_sent, read_frame,
    },
};

/// Connections to peer nodes, one per address, opened on first use.
///
/// Dropping the future of a call resets its stream, which cancels the call at
/// the peer.
#[derive(Debug, Default)]
pub struct PeerPool {
    slots: Mutex<IndexMap<SocketAddr, Arc<AsyncMutex<Option<PeerConnection>>>>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

#[derive(Clone, Debug)]
struct PeerConnection {
    sender: SendRequest<Bytes>,
    /// Becomes `true` when the connection is closed or its peer is silent.
    dead: watch::Receiver<bool>,
}

impl PeerPool {
    /// Builds an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Body bytes sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        (self.sent_bytes.load(Ordering::Relaxed), self.received_bytes.load(Ordering::Relaxed))
    }

    /// Forgets addresses for which `keep` is false and closes their connections
    /// once their calls have ended.
    pub fn retain(&self, mut keep: impl FnMut(SocketAddr) -> bool) {
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|address, _| keep(*address));
    }

    /// Sends one request and waits for its reply.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte of the request left, `Lost` when it was sent and
    /// no whole reply came, `Codec` when a frame is malformed.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply, WireError> {
        let frame = encode(request)?;
        let connection = self.connection(address).await?;
        self.sent_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        let mut dead = connection.dead.clone();
        // A reply that came in together with the end of the connection counts.
        tokio::select! {
            biased;
            reply = exchange(connection.sender, address, frame) => {
                let reply = reply?;
                self.received_bytes.fetch_add(reply.len() as u64, Ordering::Relaxed);
                decode(&reply)
            }
            _ = dead.wait_for(|dead| *dead) => {
                let message = format!("connection to peer {address} went silent or closed");
                Err(WireError::new(WireErrorKind::Lost, message))
            }
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, WireError> {
        let slot = {
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.entry(address).or_default().clone()
        };
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref()
            && !*connection.dead.borrow()
        {
            return Ok(connection.clone());
        }
        let connection = connect(address).await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }
}

async fn connect(address: SocketAddr) -> Result<PeerConnection, WireError> {
    let fail = |text: String| {
        WireError::new(WireErrorKind::NotSent, format!("connect to peer {address}: {text}"))
    };
    let handshake = async {
        let socket = TcpStream::connect(address).await.map_err(|error| fail(error.to_string()))?;
        socket.set_nodelay(true).map_err(|error| fail(error.to_string()))?;
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake::<_, Bytes>(socket)
            .await
            .map_err(|error| fail(error.to_string()))
    };
    let (sender, mut connection) = timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|_| fail(format!("no answer within {CONNECT_TIMEOUT:?}")))??;
    let (dead_sender, dead) = watch::channel(false);
    let pings = connection.ping_pong();
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = probe(pings) => {}
        }
        // The receivers may all be gone, and then nobody needs the news.
        let _ = dead_sender.send(true);
    });
    Ok(PeerConnection { sender, dead })
}

/// Sends keep-alive probes until one stays unanswered.
async fn probe(pings: Option<PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        sleep(PING_INTERVAL).await;
        let answered = timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}

async fn exchange(
    sender: SendRequest<Bytes>,
    address: SocketAddr,
    frame: Bytes,
) -> Result<Bytes, WireError> {
    let mut sender = timeout(Duration::from_secs(1), sender.ready())
        .await
        .map_err(|_| {
            let message = format!("peer {address} accepts no further stream");
            WireError::new(WireErrorKind::NotSent, message)
        })?
        .map_err(|error| not_sent(&error))?;
    let head = http::Request::post(format!("http://{address}/"))
        .body(())
        .map_err(|error| WireError::new(WireErrorKind::NotSent, error.to_string()))?;
    let (response, mut body) =
        sender.send_request(head, false).map_err(|error| not_sent(&error))?;
    body.send_data(frame, true).map_err(|error| lost(&error))?;
    let response = response.await.map_err(|error| lost(&error))?;
    if response.status() != http::StatusCode::OK {
        let message = format!("peer {address} answered with status {}", response.status());
        return Err(WireError::new(WireErrorKind::Codec, message));
    }
    read_frame(response.into_body()).await
}
