//! Client for calls to peer nodes, with one persistent connection per address.

use std::{
    convert::Infallible,
    io,
    marker::PhantomData,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use h2::{
    Ping, PingPong,
    client::{ResponseFuture, SendRequest},
};
use indexmap::IndexMap;
use strum::Display;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::{
        Mutex as AsyncMutex, Notify,
        mpsc::{self, UnboundedReceiver, UnboundedSender},
        oneshot, watch,
    },
    time::{Instant, sleep, sleep_until, timeout},
};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    PeerReply, PeerRequest,
    codec::{decode, encode},
    error::{WireError, WireErrorKind},
    stream::{
        CALL_PROBE_DELAY, CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, FrameReader, MAX_STREAMS,
        PROBE_SUSPECT_AFTER, PROBE_TIMEOUT, RECONNECT_DELAY, STREAM_WINDOW_BYTES, error_after_send,
        error_before_send, probe_interval,
    },
};

/// Health of a peer as the pool observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum PeerHealth {
    /// The peer answers probes.
    Reachable,
    /// A probe is overdue; calls in flight may still get a reply.
    Suspect,
    /// Connecting failed, or the connection was closed or abandoned.
    Unreachable,
}

/// Update of a peer's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerHealthUpdate {
    /// Address of the peer.
    pub address: SocketAddr,
    /// New health of the peer.
    pub health: PeerHealth,
}

/// Pool of connections to peer nodes, one per address, opened on first use.
///
/// Dropping the future of a call resets its stream, which cancels the call at
/// the peer.
#[derive(Debug)]
pub struct PeerPool {
    /// Source address of connections, or `None` to let the system choose.
    source: Option<IpAddr>,
    health_updates: UnboundedSender<PeerHealthUpdate>,
    states: Mutex<IndexMap<SocketAddr, Arc<AsyncMutex<ConnectionState>>>>,
    /// Counts the open connections: each has a clone of this `Arc`, so that their
    /// number is the strong count less one.
    open_count: Arc<()>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// State of the connection to one address.
#[derive(Debug, Default)]
enum ConnectionState {
    /// No connection was attempted yet.
    #[default]
    Empty,
    /// A connection was opened; it may be dead by now.
    Open(PeerConnection),
    /// The last attempt to connect failed.
    Failed {
        /// Earliest time of the next attempt.
        retry_at: Instant,
    },
}

impl ConnectionState {
    fn is_open(&self) -> bool {
        matches!(self, Self::Open(connection) if !*connection.dead.borrow())
    }
}

#[derive(Clone, Debug)]
struct PeerConnection {
    sender: SendRequest<Bytes>,
    /// Becomes `true` when the connection is closed or a probe timed out.
    dead: watch::Receiver<bool>,
    /// Requests a probe before the interval has passed.
    probe_request: Arc<Notify>,
    last_contact: Arc<LastContact>,
}

/// Time of the last reply or pong from the peer on a connection.
#[derive(Debug)]
struct LastContact {
    opened_at: Instant,
    /// Time of the last contact, in microseconds since `opened_at`.
    micros: AtomicU64,
    open_count: Arc<()>,
}

impl LastContact {
    fn new(open_count: Arc<()>) -> Self {
        Self { opened_at: Instant::now(), micros: AtomicU64::new(0), open_count }
    }

    /// Records that a reply or a pong was received now.
    fn record(&self) {
        let micros = u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.micros.store(micros, Ordering::Relaxed);
    }

    /// Returns the time of the next probe, if no reply or pong arrives before then.
    fn next_probe_at(&self) -> Instant {
        let since_opened = Duration::from_micros(self.micros.load(Ordering::Relaxed));
        let connections = Arc::strong_count(&self.open_count) - 1;
        self.opened_at + since_opened + probe_interval(connections)
    }
}

impl PeerPool {
    /// Creates an empty pool, and a receiver of updates on the health of its peers.
    ///
    /// Connections are bound to the IP address `source`, so that peers see which VM
    /// they come from. The system chooses the address when `source` is `None`.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> (Self, UnboundedReceiver<PeerHealthUpdate>) {
        let (health_updates, receiver) = mpsc::unbounded_channel();
        let pool = Self {
            source,
            health_updates,
            states: Mutex::default(),
            open_count: Arc::default(),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        };
        (pool, receiver)
    }

    /// Returns the number of body bytes sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        (self.sent_bytes.load(Ordering::Relaxed), self.received_bytes.load(Ordering::Relaxed))
    }

    /// Removes the addresses for which `keep` returns `false` and that have no open
    /// connection.
    pub fn retain(&self, mut keep: impl FnMut(SocketAddr) -> bool) {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        states.retain(|address, state| {
            // A state is locked while its connection is being opened.
            keep(*address) || state.try_lock().map_or(true, |state| state.is_open())
        });
    }

    /// Sends one request and waits for its reply.
    ///
    /// When the reply takes long, the connection is probed. If the probe times out,
    /// all calls on the connection fail at once.
    ///
    /// # Errors
    ///
    /// `NotSent` when the request was not sent, `Lost` when it was sent and no complete
    /// reply arrived, `Codec` when a frame is malformed, `Rejected` when the peer did not
    /// handle the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply, WireError> {
        self.call_typed(address, request).await
    }

    /// Like [`PeerPool::call`], for peers that use other message types.
    ///
    /// # Errors
    ///
    /// As [`PeerPool::call`].
    pub async fn call_typed<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
    ) -> Result<R, WireError> {
        let mut replies = self.call_streaming(address, request).await?;
        replies.next().await?.ok_or_else(|| {
            let message = format!("peer {address} ended the stream without a reply");
            WireError::new(WireErrorKind::Lost, message)
        })
    }

    /// Sends one request and returns the stream of its replies.
    ///
    /// # Errors
    ///
    /// `NotSent` when the request was not sent, `Lost` when it may have been sent,
    /// `Codec` when it is too large.
    pub async fn call_streaming<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
    ) -> Result<ReplyStream<'_, R>, WireError> {
        let frame = encode(request)?;
        let connection = self.connection(address).await?;
        self.sent_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        let response = send(connection.sender.clone(), address, frame).await?;
        let body = ReplyBody::Pending(response);
        Ok(ReplyStream { pool: self, address, connection, body, replies: PhantomData })
    }

    /// Checks that a peer can be reached, by opening a connection unless one is open.
    ///
    /// # Errors
    ///
    /// `NotSent` when no connection can be opened.
    pub async fn check_reachable(&self, address: SocketAddr) -> Result<(), WireError> {
        self.connection(address).await.map(|_| ())
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, WireError> {
        let state = {
            let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
            states.entry(address).or_default().clone()
        };
        let mut state = state.lock().await;
        match &*state {
            ConnectionState::Open(connection) if !*connection.dead.borrow() => {
                return Ok(connection.clone());
            }
            ConnectionState::Failed { retry_at } if Instant::now() < *retry_at => {
                let message = format!(
                    "connection to peer {address} failed less than {RECONNECT_DELAY:?} ago"
                );
                return Err(WireError::new(WireErrorKind::NotSent, message));
            }
            _ => {}
        }
        // If the call is dropped while connecting, the attempt counts as failed.
        *state = ConnectionState::Failed { retry_at: Instant::now() + RECONNECT_DELAY };
        let connection =
            connect(self.source, address, self.health_updates.clone(), self.open_count.clone())
                .await;
        *state = match &connection {
            Ok(connection) => ConnectionState::Open(connection.clone()),
            Err(_) => {
                report_health(&self.health_updates, address, PeerHealth::Unreachable);
                ConnectionState::Failed { retry_at: Instant::now() + RECONNECT_DELAY }
            }
        };
        connection
    }
}

fn report_health(
    health_updates: &UnboundedSender<PeerHealthUpdate>,
    address: SocketAddr,
    health: PeerHealth,
) {
    // Sending fails only when the receiver was dropped.
    let _ = health_updates.send(PeerHealthUpdate { address, health });
}

async fn open_socket(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A socket bound to an address of the other family can't connect to the peer.
    if let Some(source) = source.filter(|source| source.is_ipv4() == address.is_ipv4()) {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let socket = socket.connect(address).await?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

async fn connect(
    source: Option<IpAddr>,
    address: SocketAddr,
    health_updates: UnboundedSender<PeerHealthUpdate>,
    open_count: Arc<()>,
) -> Result<PeerConnection, WireError> {
    let connect_error = |text: String| {
        WireError::new(WireErrorKind::NotSent, format!("connect to peer {address}: {text}"))
    };
    let opened = async {
        let socket =
            open_socket(source, address).await.map_err(|error| connect_error(error.to_string()))?;
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake::<_, Bytes>(socket)
            .await
            .map_err(|error| connect_error(error.to_string()))
    };
    let (sender, mut connection) = timeout(CONNECT_TIMEOUT, opened)
        .await
        .map_err(|_| connect_error(format!("no connection within {CONNECT_TIMEOUT:?}")))??;
    let (dead_sender, dead) = watch::channel(false);
    let (pong_sender, pong) = oneshot::channel();
    let probe_request = Arc::new(Notify::new());
    let pings = connection.ping_pong();
    let probe_requested = probe_request.clone();
    let last_contact = Arc::new(LastContact::new(open_count));
    let probe_contact = last_contact.clone();
    tokio::spawn(async move {
        let report = |health| report_health(&health_updates, address, health);
        // The connection is polled first: when this process was paused, a pong that
        // has already arrived must be read before its timeout is checked.
        tokio::select! {
            biased;
            _ = connection => {}
            () = probe(pings, &probe_requested, &probe_contact, pong_sender, &report) => {}
        }
        report(PeerHealth::Unreachable);
        // Sending fails only when all receivers were dropped.
        let _ = dead_sender.send(true);
    });
    // The kernel accepts connections even for a frozen process; only a pong shows
    // that the peer is responsive.
    match timeout(CONNECT_TIMEOUT, pong).await {
        Ok(Ok(())) => Ok(PeerConnection { sender, dead, probe_request, last_contact }),
        _ => Err(connect_error("no pong received".to_owned())),
    }
}

/// Sends keep-alive pings, the first one immediately, until one times out.
///
/// A reply shows just as a pong does that the peer is responsive, so a connection
/// that carries replies is not probed.
async fn probe(
    pings: Option<PingPong>,
    probe_request: &Notify,
    last_contact: &LastContact,
    first_pong: oneshot::Sender<()>,
    report: &impl Fn(PeerHealth),
) {
    let Some(mut pings) = pings else { return };
    let mut first_pong = Some(first_pong);
    let mut healthy = false;
    loop {
        let pong = timeout(PROBE_TIMEOUT, pings.ping(Ping::opaque()));
        tokio::pin!(pong);
        let early = timeout(PROBE_SUSPECT_AFTER, pong.as_mut()).await;
        if early.is_err() && healthy {
            healthy = false;
            report(PeerHealth::Suspect);
        }
        let answered = match early {
            Ok(answered) => answered,
            Err(_) => pong.await,
        };
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
        last_contact.record();
        if !healthy {
            healthy = true;
            report(PeerHealth::Reachable);
        }
        if let Some(first_pong) = first_pong.take() {
            // Sending fails only when nobody waits for the connection any more.
            let _ = first_pong.send(());
        }
        wait_for_next_probe(probe_request, last_contact).await;
    }
}

/// Waits until the next probe is due or requested.
async fn wait_for_next_probe(probe_request: &Notify, last_contact: &LastContact) {
    loop {
        let next_probe_at = last_contact.next_probe_at();
        if Instant::now() >= next_probe_at {
            return;
        }
        tokio::select! {
            () = sleep_until(next_probe_at) => {}
            () = probe_request.notified() => return,
        }
    }
}

/// Requests probes periodically while a call waits for a reply; never returns.
async fn request_probes(probe_request: &Notify) -> Infallible {
    loop {
        sleep(CALL_PROBE_DELAY).await;
        probe_request.notify_one();
    }
}

async fn send(
    sender: SendRequest<Bytes>,
    address: SocketAddr,
    frame: Bytes,
) -> Result<ResponseFuture, WireError> {
    let mut sender = timeout(CONNECT_TIMEOUT, sender.ready())
        .await
        .map_err(|_| {
            let message =
                format!("peer {address} accepted no further stream within {CONNECT_TIMEOUT:?}");
            WireError::new(WireErrorKind::NotSent, message)
        })?
        .map_err(|error| error_before_send(&error))?;
    let head = http::Request::post(format!("http://{address}/"))
        .body(())
        .map_err(|error| WireError::new(WireErrorKind::NotSent, error.to_string()))?;
    let (response, mut body) =
        sender.send_request(head, false).map_err(|error| error_before_send(&error))?;
    body.send_data(frame, true).map_err(|error| error_after_send(&error))?;
    Ok(response)
}

/// Stream of the replies to one request. Dropping it cancels the request at the peer.
#[derive(Debug)]
pub struct ReplyStream<'pool, R> {
    pool: &'pool PeerPool,
    address: SocketAddr,
    connection: PeerConnection,
    body: ReplyBody,
    replies: PhantomData<fn() -> R>,
}

#[derive(Debug)]
enum ReplyBody {
    /// The response headers have not arrived yet.
    Pending(ResponseFuture),
    /// The response body is being read.
    Open(FrameReader),
}

impl ReplyBody {
    async fn next(&mut self, address: SocketAddr) -> Result<Option<Bytes>, WireError> {
        loop {
            match self {
                Self::Open(reader) => return reader.next().await,
                Self::Pending(response) => {
                    let response = response.await.map_err(|error| error_after_send(&error))?;
                    if response.status() != http::StatusCode::OK {
                        let status = response.status();
                        let message = format!("peer {address} answered with status {status}");
                        return Err(WireError::new(WireErrorKind::Rejected, message));
                    }
                    *self = Self::Open(FrameReader::new(response.into_body()));
                }
            }
        }
    }
}

impl<R: DeserializeOwned> ReplyStream<'_, R> {
    /// Returns the next reply, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// `Lost` when the connection timed out or was closed, `Codec` when a frame is
    /// malformed, `Rejected` when the peer did not handle the request.
    pub async fn next(&mut self) -> Result<Option<R>, WireError> {
        let address = self.address;
        let connection = &mut self.connection;
        // A reply that arrives together with the end of the connection is returned.
        tokio::select! {
            biased;
            frame = self.body.next(address) => {
                connection.last_contact.record();
                let Some(frame) = frame? else { return Ok(None) };
                self.pool.received_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
                decode(&frame).map(Some)
            }
            _ = connection.dead.wait_for(|dead| *dead) => {
                let message = format!("connection to peer {address} timed out or was closed");
                Err(WireError::new(WireErrorKind::Lost, message))
            }
            never = request_probes(&connection.probe_request) => match never {},
        }
    }
}
