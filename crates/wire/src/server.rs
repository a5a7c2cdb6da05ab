//! Server for requests from peer nodes.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{Reason, RecvStream, SendStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{
        Semaphore,
        mpsc::{UnboundedSender, unbounded_channel},
        watch,
    },
    time::timeout,
};

use crate::{
    codec::{decode, encode},
    error::{WireError, WireErrorKind},
    listener::serve_connections,
    stream::{
        CONNECTION_WINDOW_BYTES, MAX_STREAMS, STREAM_WINDOW_BYTES, error_after_send, read_frame,
        with_length_prefix,
    },
};

/// Timeout of the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for receiving the complete body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest header section of a stream, in bytes.
const MAX_HEADER_BYTES: u32 = 8 * 1024;

/// Handles requests from peer nodes.
pub trait PeerHandler: Send + Sync + 'static {
    /// Type of the requests.
    type Request: DeserializeOwned + Send;

    /// Type of the replies.
    type Reply: Serialize + Send;

    /// Handles one request and sends one or more replies to `replies`.
    ///
    /// The stream ends when the sink is dropped. The future is dropped when the peer
    /// cancels the request.
    fn handle(
        &self,
        request: Self::Request,
        replies: ReplySink<Self::Reply>,
    ) -> impl Future<Output = ()> + Send;

    /// Counts a stream or connection that did not carry a valid request.
    fn count_invalid_input(&self);
}

/// Sink for the replies to one request.
#[derive(Debug)]
pub struct ReplySink<R> {
    replies: UnboundedSender<R>,
}

impl<R> ReplySink<R> {
    /// Sends one reply; it is discarded when the peer has cancelled the request.
    pub fn send(&self, reply: R) {
        // The receiver is dropped once the peer has reset its stream.
        let _ = self.replies.send(reply);
    }

    /// Waits until the peer cancels the request.
    pub async fn cancelled(&self) {
        self.replies.closed().await;
    }
}

/// Limits on what all peers together may make a node hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerBounds {
    /// Maximum number of connections; further ones are closed.
    pub max_connections: usize,
    /// Maximum number of bytes of requests that are being received; streams that would
    /// exceed it are refused as not processed.
    pub max_frame_bytes: usize,
}

impl Default for PeerBounds {
    /// Returns limits that only the transport's own limits restrict.
    fn default() -> Self {
        Self { max_connections: Semaphore::MAX_PERMITS, max_frame_bytes: Semaphore::MAX_PERMITS }
    }
}

/// Room for connections and frames; cloned handles share it.
#[derive(Clone, Debug)]
struct PeerRoom {
    connections: Arc<Semaphore>,
    frame_bytes: Arc<Semaphore>,
}

impl From<PeerBounds> for PeerRoom {
    fn from(bounds: PeerBounds) -> Self {
        let permits = |number: usize| Arc::new(Semaphore::new(number.min(Semaphore::MAX_PERMITS)));
        Self {
            connections: permits(bounds.max_connections),
            frame_bytes: permits(bounds.max_frame_bytes),
        }
    }
}

/// Serves peer connections until `stop` becomes `true`, then waits until all streams
/// in flight have ended.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: watch::Receiver<bool>,
) {
    serve_peers_within(listener, handler, PeerBounds::default(), stop).await;
}

/// Like [`serve_peers`], within `bounds`.
pub async fn serve_peers_within<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    bounds: PeerBounds,
    stop: watch::Receiver<bool>,
) {
    let connection_stop = stop.clone();
    let room = PeerRoom::from(bounds);
    let serve = |socket, _| {
        let (handler, room, stop) = (handler.clone(), room.clone(), connection_stop.clone());
        async move {
            let Ok(_permit) = room.connections.clone().try_acquire_owned() else {
                handler.count_invalid_input();
                return;
            };
            serve_connection(socket, handler, room, stop).await;
        }
    };
    serve_connections(listener, stop, serve).await;
}

async fn serve_connection<H: PeerHandler>(
    socket: TcpStream,
    handler: Arc<H>,
    room: PeerRoom,
    mut stop: watch::Receiver<bool>,
) {
    // With Nagle's algorithm, a small reply would wait for the acknowledgement of
    // earlier ones.
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Bytes>(socket);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        handler.count_invalid_input();
        return;
    };
    let mut stopping = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    tokio::spawn(serve_stream(request, respond, handler.clone(), room.clone()));
                }
                Some(Err(error)) => {
                    // A protocol error detected by this side, as opposed to a reset or a
                    // closed socket.
                    if error.is_library() {
                        handler.count_invalid_input();
                    }
                    return;
                }
                None => return,
            },
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
        }
    }
}

async fn serve_stream<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
    room: PeerRoom,
) {
    let request = match read_request(request, &room).await {
        Ok(request) => request,
        Err(error) if error.kind() == WireErrorKind::NotSent => {
            handler.count_invalid_input();
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        // The peer cancelled the request before it was received completely.
        Err(error) if error.kind() == WireErrorKind::Lost => return,
        Err(_) => {
            handler.count_invalid_input();
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            // Sending fails when the peer has reset the stream.
            let _ = respond.send_response(response, true);
            return;
        }
    };
    let (replies, mut queue) = unbounded_channel();
    let handling = handler.handle(request, ReplySink { replies });
    tokio::pin!(handling);
    let mut body = None;
    let mut handled = false;
    loop {
        let reply = tokio::select! {
            biased;
            () = handling.as_mut(), if !handled => {
                handled = true;
                continue;
            }
            reply = queue.recv() => reply,
            _ = std::future::poll_fn(|context| respond.poll_reset(context)), if body.is_none() => {
                return;
            }
            () = wait_for_reset(&mut body) => return,
        };
        let Some(reply) = reply else { break };
        let is_last = handled && queue.is_closed() && queue.is_empty();
        // Sending fails when the peer has reset the stream.
        if send_reply(&mut respond, &mut body, &reply, is_last).is_err() || is_last {
            return;
        }
    }
    if let Some(mut body) = body {
        let _ = body.send_data(Bytes::new(), true);
    }
}

/// Waits until the peer resets the stream. Never returns before the first reply is
/// sent: until then the caller polls the response for a reset instead.
async fn wait_for_reset(body: &mut Option<SendStream<Bytes>>) {
    match body {
        Some(body) => {
            // An error ends the stream just as a reset does.
            let _ = std::future::poll_fn(|context| body.poll_reset(context)).await;
        }
        None => std::future::pending().await,
    }
}

async fn read_request<Q: DeserializeOwned>(
    request: Request<RecvStream>,
    room: &PeerRoom,
) -> Result<Q, WireError> {
    let read = read_frame(request.into_body(), &room.frame_bytes);
    let (frame, _permits) = timeout(BODY_TIMEOUT, read).await.map_err(|_| {
        WireError::new(WireErrorKind::Codec, format!("no complete frame within {BODY_TIMEOUT:?}"))
    })??;
    decode(&frame)
}

fn send_reply<R: Serialize>(
    respond: &mut SendResponse<Bytes>,
    body: &mut Option<SendStream<Bytes>>,
    reply: &R,
    is_last: bool,
) -> Result<(), WireError> {
    let frame = with_length_prefix(&encode(reply)?);
    if body.is_none() {
        let sent = respond.send_response(Response::new(()), false);
        *body = Some(sent.map_err(|error| error_after_send(&error))?);
    }
    let Some(body) = body else { return Ok(()) };
    body.send_data(frame, is_last).map_err(|error| error_after_send(&error))
}
