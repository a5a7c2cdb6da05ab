//! Listener for peer nodes.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

use crate::{
    codec::{decode, encode},
    error::{WireError, WireErrorKind},
    listener::serve_connections,
    stream::{CONNECTION_WINDOW_BYTES, MAX_STREAMS, STREAM_WINDOW_BYTES, read_frame},
};

/// Time for a peer to finish the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for a peer to send the whole body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest header section of a stream, in bytes.
const MAX_HEADER_BYTES: u32 = 8 * 1024;

/// Answers requests of peer nodes.
pub trait PeerHandler: Send + Sync + 'static {
    /// What peers send.
    type Request: DeserializeOwned + Send;

    /// What they get.
    type Reply: Serialize + Send;

    /// Answers one request. The future is dropped when the peer cancels.
    fn handle(&self, request: Self::Request) -> impl Future<Output = Self::Reply> + Send;

    /// Counts a stream or connection that did not carry a valid request.
    fn count_bad_input(&self);
}

/// Accepts peer connections until `stop` becomes `true`, then lets every
/// stream in flight finish and returns.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: watch::Receiver<bool>,
) {
    let connection_stop = stop.clone();
    let serve = |socket, _| serve_connection(socket, handler.clone(), connection_stop.clone());
    serve_connections(listener, stop, serve).await;
}

async fn serve_connection<H: PeerHandler>(
    socket: TcpStream,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    // Without the option, small replies wait for the acknowledgement of earlier ones.
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Bytes>(socket);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        handler.count_bad_input();
        return;
    };
    let mut stopping = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    tokio::spawn(serve_stream(request, respond, handler.clone()));
                }
                Some(Err(error)) => {
                    // An error that this side found, not a reset or a closed socket.
                    if error.is_library() {
                        handler.count_bad_input();
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
) {
    let request = match read_request(request).await {
        Ok(request) => request,
        // The peer cancelled the request before all of it was here.
        Err(error) if error.kind() == WireErrorKind::Lost => return,
        Err(_) => {
            handler.count_bad_input();
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            // A failed send means that the peer has reset the stream.
            let _ = respond.send_response(response, true);
            return;
        }
    };
    let reply = tokio::select! {
        reply = handler.handle(request) => reply,
        _ = std::future::poll_fn(|context| respond.poll_reset(context)) => return,
    };
    // A failed send means that the peer has reset the stream.
    let _ = send_reply(&mut respond, &reply);
}

async fn read_request<Q: DeserializeOwned>(request: Request<RecvStream>) -> Result<Q, WireError> {
    let frame = timeout(BODY_TIMEOUT, read_frame(request.into_body())).await.map_err(|_| {
        WireError::new(WireErrorKind::Codec, format!("no whole frame within {BODY_TIMEOUT:?}"))
    })??;
    decode(&frame)
}

fn send_reply<R: Serialize>(respond: &mut SendResponse<Bytes>, reply: &R) -> Result<(), WireError> {
    let frame = encode(reply)?;
    let mut body = respond
        .send_response(Response::new(()), false)
        .map_err(|error| crate::stream::lost(&error))?;
    body.send_data(frame, true).map_err(|error| crate::stream::lost(&error))
}
