//! Calls to peer nodes: one kept connection per address.

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
        CONNECT_PAUSE, CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, FrameReader, MAX_STREAMS,
        PING_SLOW, PING_TIMEOUT, STREAM_WINDOW_BYTES, SUSPECT_AFTER, lost, not_sent,
        probe_interval,
    },
};

/// What the pool knows of a peer's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum PeerHealth {
    /// It answers probes.
    Reachable,
    /// A probe is late; calls in flight may still be answered.
    Suspect,
    /// It can't be connected, or its connection was given up.
    Unreachable,
}

/// A change of a peer's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerNews {
    /// The peer.
    pub address: SocketAddr,
    /// Its health.
    pub health: PeerHealth,
}

/// Connections to peer nodes, one per address, opened on first use.
///
/// Dropping the future of a call resets its stream, which cancels the call at
/// the peer.
#[derive(Debug)]
pub struct PeerPool {
    /// Where connections come from; the system's choice when `None`.
    source: Option<IpAddr>,
    news: UnboundedSender<PeerNews>,
    slots: Mutex<IndexMap<SocketAddr, Arc<AsyncMutex<PeerSlot>>>>,
    /// Counts the open connections by the references to it, less this one.
    open: Arc<()>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// What is known of the connection to one address.
#[derive(Debug, Default)]
enum PeerSlot {
    /// Nothing was tried yet.
    #[default]
    Empty,
    /// A connection was opened; it may have died since.
    Open(PeerConnection),
    /// The last attempt failed.
    Failed {
        /// When the next attempt may start.
        retry_at: Instant,
    },
}

impl PeerSlot {
    fn is_open(&self) -> bool {
        matches!(self, Self::Open(connection) if !*connection.dead.borrow())
    }
}

#[derive(Clone, Debug)]
struct PeerConnection {
    sender: SendRequest<Bytes>,
    /// Becomes `true` when the connection is closed or its peer is silent.
    dead: watch::Receiver<bool>,
    /// Asks for a probe ahead of the interval.
    suspicion: Arc<Notify>,
    last_sign: Arc<LastSign>,
}

/// When the peer last showed on a connection that it works.
#[derive(Debug)]
struct LastSign {
    opened_at: Instant,
    micros: AtomicU64,
    open: Arc<()>,
}

impl LastSign {
    fn new(open: Arc<()>) -> Self {
        Self { opened_at: Instant::now(), micros: AtomicU64::new(0), open }
    }

    /// A reply or a pong came in.
    fn renew(&self) {
        let micros = u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.micros.store(micros, Ordering::Relaxed);
    }

    /// When the peer is probed unless there is another sign before.
    fn probe_at(&self) -> Instant {
        let span = Duration::from_micros(self.micros.load(Ordering::Relaxed));
        let connections = Arc::strong_count(&self.open) - 1;
        self.opened_at + span + probe_interval(connections)
    }
}

impl PeerPool {
    /// Builds an empty pool that reports the health of its peers.
    ///
    /// Its connections come from the IP number `source`, so that peers see
    /// which VM they belong to; the system chooses when it is `None`.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> (Self, UnboundedReceiver<PeerNews>) {
        let (news, receiver) = mpsc::unbounded_channel();
        let pool = Self {
            source,
            news,
            slots: Mutex::default(),
            open: Arc::default(),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        };
        (pool, receiver)
    }

    /// Body bytes sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        (self.sent_bytes.load(Ordering::Relaxed), self.received_bytes.load(Ordering::Relaxed))
    }

    /// Forgets addresses for which `keep` is false and that have no working
    /// connection.
    pub fn retain(&self, mut keep: impl FnMut(SocketAddr) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|address, slot| {
            // A slot that is locked is being connected.
            keep(*address) || slot.try_lock().map_or(true, |slot| slot.is_open())
        });
    }

    /// Sends one request and waits for its reply.
    ///
    /// A peer that does not reply is probed; when the probe stays unanswered
    /// too, all calls on the connection end at once.
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
        self.call_typed(address, request).await
    }

    /// Like [`PeerPool::call`] for peers that speak other messages.
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

    /// Sends one request that gets several replies.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte of the request left, `Lost` when it may have been
    /// sent, `Codec` when it is too large.
    pub async fn call_streaming<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
    ) -> Result<ReplyStream<'_, R>, WireError> {
        let frame = encode(request)?;
        let connection = self.connection(address).await?;
        self.sent_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        let response = send(connection.sender.clone(), address, frame).await?;
        let body = ReplyBody::Awaited(response);
        Ok(ReplyStream { pool: self, address, connection, body, replies: PhantomData })
    }

    /// Finds out whether a peer can be connected, unless a connection is open.
    ///
    /// # Errors
    ///
    /// `NotSent` when it can't.
    pub async fn check(&self, address: SocketAddr) -> Result<(), WireError> {
        self.connection(address).await.map(|_| ())
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, WireError> {
        let slot = {
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.entry(address).or_default().clone()
        };
        let mut slot = slot.lock().await;
        match &*slot {
            PeerSlot::Open(connection) if !*connection.dead.borrow() => {
                return Ok(connection.clone());
            }
            PeerSlot::Failed { retry_at } if Instant::now() < *retry_at => {
                let message = format!("peer {address} could not be connected a moment ago");
                return Err(WireError::new(WireErrorKind::NotSent, message));
            }
            _ => {}
        }
        // A call that is dropped while it connects counts as a failed attempt.
        *slot = PeerSlot::Failed { retry_at: Instant::now() + CONNECT_PAUSE };
        let connection = connect(self.source, address, self.news.clone(), self.open.clone()).await;
        *slot = match &connection {
            Ok(connection) => PeerSlot::Open(connection.clone()),
            Err(_) => {
                tell(&self.news, address, PeerHealth::Unreachable);
                PeerSlot::Failed { retry_at: Instant::now() + CONNECT_PAUSE }
            }
        };
        connection
    }
}

fn tell(news: &UnboundedSender<PeerNews>, address: SocketAddr, health: PeerHealth) {
    // A failed send means that nobody wants the news.
    let _ = news.send(PeerNews { address, health });
}

async fn open_socket(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A source of the other address family can't reach the peer at all.
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
    news: UnboundedSender<PeerNews>,
    open: Arc<()>,
) -> Result<PeerConnection, WireError> {
    let fail = |text: String| {
        WireError::new(WireErrorKind::NotSent, format!("connect to peer {address}: {text}"))
    };
    let opened = async {
        let socket = open_socket(source, address).await.map_err(|error| fail(error.to_string()))?;
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .handshake::<_, Bytes>(socket)
            .await
            .map_err(|error| fail(error.to_string()))
    };
    let (sender, mut connection) = timeout(CONNECT_TIMEOUT, opened)
        .await
        .map_err(|_| fail(format!("no answer within {CONNECT_TIMEOUT:?}")))??;
    let (dead_sender, dead) = watch::channel(false);
    let (pong_sender, pong) = oneshot::channel();
    let suspicion = Arc::new(Notify::new());
    let pings = connection.ping_pong();
    let probe_suspicion = suspicion.clone();
    let last_sign = Arc::new(LastSign::new(open));
    let probe_sign = last_sign.clone();
    tokio::spawn(async move {
        let report = |health| tell(&news, address, health);
        // The connection goes first: after a time in which this process did not
        // run, a pong that is already here must be read before its time is up.
        tokio::select! {
            biased;
            _ = connection => {}
            () = probe(pings, &probe_suspicion, &probe_sign, pong_sender, &report) => {}
        }
        report(PeerHealth::Unreachable);
        // The receivers may all be gone, and then nobody needs the news.
        let _ = dead_sender.send(true);
    });
    // The kernel accepts connections for a process that is frozen, so that only
    // a pong shows that the peer works.
    match timeout(CONNECT_TIMEOUT, pong).await {
        Ok(Ok(())) => Ok(PeerConnection { sender, dead, suspicion, last_sign }),
        _ => Err(fail("no pong".to_owned())),
    }
}

/// Sends keep-alive probes, one at once, until one stays unanswered.
///
/// A reply shows as much as a pong, so that a busy connection needs no probe.
async fn probe(
    pings: Option<PingPong>,
    suspicion: &Notify,
    last_sign: &LastSign,
    first: oneshot::Sender<()>,
    report: &impl Fn(PeerHealth),
) {
    let Some(mut pings) = pings else { return };
    let mut first = Some(first);
    let mut healthy = false;
    loop {
        let pong = timeout(PING_TIMEOUT, pings.ping(Ping::opaque()));
        tokio::pin!(pong);
        let early = timeout(PING_SLOW, pong.as_mut()).await;
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
        last_sign.renew();
        if !healthy {
            healthy = true;
            report(PeerHealth::Reachable);
        }
        if let Some(first) = first.take() {
            // A failed send means that nobody waits for the connection any more.
            let _ = first.send(());
        }
        rest(suspicion, last_sign).await;
    }
}

/// Waits until the next probe is due or asked for.
async fn rest(suspicion: &Notify, last_sign: &LastSign) {
    loop {
        let probe_at = last_sign.probe_at();
        if Instant::now() >= probe_at {
            return;
        }
        tokio::select! {
            () = sleep_until(probe_at) => {}
            () = suspicion.notified() => return,
        }
    }
}

/// Asks for probes while a call stays without a reply; never returns.
async fn suspect(suspicion: &Notify) -> Infallible {
    loop {
        sleep(SUSPECT_AFTER).await;
        suspicion.notify_one();
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
    Ok(response)
}

/// The replies to one request; dropping it cancels the request at the peer.
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
    /// Nothing has come yet.
    Awaited(ResponseFuture),
    Open(FrameReader),
}

impl ReplyBody {
    async fn next(&mut self, address: SocketAddr) -> Result<Option<Bytes>, WireError> {
        loop {
            match self {
                Self::Open(reader) => return reader.next().await,
                Self::Awaited(response) => {
                    let response = response.await.map_err(|error| lost(&error))?;
                    if response.status() != http::StatusCode::OK {
                        let status = response.status();
                        let message = format!("peer {address} answered with status {status}");
                        return Err(WireError::new(WireErrorKind::Codec, message));
                    }
                    *self = Self::Open(FrameReader::new(response.into_body()));
                }
            }
        }
    }
}

impl<R: DeserializeOwned> ReplyStream<'_, R> {
    /// The next reply, `None` behind the last one.
    ///
    /// # Errors
    ///
    /// `Lost` when the connection went silent or closed, `Codec` when a frame is
    /// malformed.
    pub async fn next(&mut self) -> Result<Option<R>, WireError> {
        let address = self.address;
        let connection = &mut self.connection;
        // A reply that came in together with the end of the connection counts.
        tokio::select! {
            biased;
            frame = self.body.next(address) => {
                connection.last_sign.renew();
                let Some(frame) = frame? else { return Ok(None) };
                self.pool.received_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
                decode(&frame).map(Some)
            }
            _ = connection.dead.wait_for(|dead| *dead) => {
                let message = format!("connection to peer {address} went silent or closed");
                Err(WireError::new(WireErrorKind::Lost, message))
            }
            never = suspect(&connection.suspicion) => match never {},
        }
    }
}
