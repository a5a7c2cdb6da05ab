//! Calls over loopback TCP connections: replies, cancellation and error kinds.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use carobstep_config::ServerName;
use carobstep_wire::{
    PeerBounds, PeerHandler, PeerHealth, PeerHealthUpdate, PeerPool, PeerReply, PeerRequest,
    RefusalReason, ReplySink, RequestId, RequestOutcome, ShardReply, ShardRequest, ShardResult,
    WireErrorKind, serve_peers, serve_peers_within,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::{sleep, timeout},
};

/// Echoes request bodies, with these exceptions: `hang` gets no reply, `gate` gets its
/// reply after `gate` is notified, and `thrice` gets three replies, each followed by
/// a wait for `gate`.
#[derive(Default)]
struct EchoHandler {
    /// Notified when a request waits for `gate`.
    entered: Notify,
    gate: Notify,
    cancelled: Arc<AtomicUsize>,
    bad_inputs: AtomicUsize,
}

struct CancelGuard(Arc<AtomicUsize>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl PeerHandler for EchoHandler {
    type Request = PeerRequest;
    type Reply = PeerReply;

    async fn handle(&self, request: PeerRequest, replies: ReplySink<PeerReply>) {
        let PeerRequest::Shard(request) = request else {
            panic!("only shard requests are sent here");
        };
        if request.body.as_ref() == b"hang" {
            let _guard = CancelGuard(self.cancelled.clone());
            std::future::pending::<()>().await;
        }
        if request.body.as_ref() == b"gate" {
            self.entered.notify_one();
            self.gate.notified().await;
        }
        let count = if request.body.as_ref() == b"thrice" { 3 } else { 1 };
        for queue_length in 0..count {
            replies.send(PeerReply::Shard(ShardReply {
                id: request.id,
                shard: request.shard.clone(),
                snapshot: request.snapshot,
                result: ShardResult::Body(request.body.clone()),
                queue_length,
                service_us: 1,
            }));
            if request.body.as_ref() == b"thrice" {
                self.entered.notify_one();
                self.gate.notified().await;
            }
        }
    }

    fn count_invalid_input(&self) {
        self.bad_inputs.fetch_add(1, Ordering::SeqCst);
    }
}

async fn start_server() -> (SocketAddr, Arc<EchoHandler>, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(EchoHandler::default());
    let (stop_sender, stop) = watch::channel(false);
    tokio::spawn(serve_peers(listener, handler.clone(), stop));
    (address, handler, stop_sender)
}

fn shard_request(id: u128, body: impl Into<Bytes>) -> PeerRequest {
    PeerRequest::Shard(ShardRequest {
        id: RequestId(id),
        server: ServerName::try_from("server-1").unwrap(),
        shard: None,
        snapshot: Some(3),
        budget_us: 1_000,
        idempotency_key: None,
        hedge: false,
        customer: 0,
        caller: 0,
        body: body.into(),
    })
}

#[tokio::test]
async fn thousands_of_concurrent_calls_get_their_own_bodies() {
    let (address, _handler, _stop) = start_server().await;
    let pool = Arc::new(PeerPool::new(None).0);
    let mut calls = Vec::new();
    for id in 0..2_000u128 {
        let pool = pool.clone();
        calls.push(tokio::spawn(async move {
            let body = Bytes::from(format!("body {id}"));
            let reply = pool.call(address, &shard_request(id, body.clone())).await.unwrap();
            let PeerReply::Shard(reply) = reply else { panic!("not a shard reply") };
            assert_eq!(reply.id, RequestId(id));
            assert_eq!(reply.result, ShardResult::Body(body));
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
}

#[tokio::test]
async fn dropping_a_call_cancels_it_at_the_peer() {
    let (address, handler, _stop) = start_server().await;
    let (pool, _health_updates) = PeerPool::new(None);
    let request = shard_request(1, &b"hang"[..]);
    let call = timeout(Duration::from_millis(300), pool.call(address, &request)).await;
    assert!(call.is_err());
    for _ in 0..500 {
        if handler.cancelled.load(Ordering::SeqCst) == 1 {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the peer did not see the cancellation");
}

#[tokio::test]
async fn several_replies_arrive_one_by_one_until_the_stream_ends() {
    let (address, handler, _stop) = start_server().await;
    let (pool, _health_updates) = PeerPool::new(None);
    let mut replies = pool.call_streaming(address, &shard_request(1, "thrice")).await.unwrap();
    for number in 0..3 {
        let reply = replies.next().await.unwrap();
        let Some(PeerReply::Shard(reply)) = reply else { panic!("not a shard reply") };
        assert_eq!(reply.queue_length, number);
        handler.entered.notified().await;
        let early = timeout(Duration::from_millis(50), replies.next()).await;
        assert!(early.is_err(), "another reply followed reply {number} before the gate was opened");
        handler.gate.notify_one();
    }
    assert_eq!(replies.next().await.unwrap(), None);
}

#[tokio::test]
async fn dropping_a_stream_between_replies_cancels_it_at_the_peer() {
    let (address, handler, _stop) = start_server().await;
    let (pool, _health_updates) = PeerPool::new(None);
    let mut replies =
        pool.call_streaming::<_, PeerReply>(address, &shard_request(1, "thrice")).await.unwrap();
    replies.next().await.unwrap();
    handler.entered.notified().await;
    drop(replies);
    let continued = timeout(Duration::from_millis(200), async {
        handler.gate.notify_one();
        handler.entered.notified().await;
    });
    sleep(Duration::from_millis(100)).await;
    assert!(continued.await.is_err(), "the request continues at the peer");
}

#[tokio::test]
async fn connections_use_the_source_address_of_the_pool() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let source = "127.0.0.7".parse().unwrap();
    let (pool, _health_updates) = PeerPool::new(Some(source));
    let (accepted, _) = tokio::join!(listener.accept(), pool.check_reachable(address));
    assert_eq!(accepted.unwrap().1.ip(), source);
}

#[tokio::test]
async fn a_call_to_an_unreachable_peer_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = PeerPool::new(None).0.call(address, &shard_request(1, "x")).await.unwrap_err();
    assert_eq!(error.kind(), WireErrorKind::NotSent);
}

#[tokio::test]
async fn a_call_to_a_stalled_peer_is_lost_and_the_connection_is_replaced() {
    let (address, _handler, _stop) = start_server().await;
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy_address = proxy.local_addr().unwrap();
    let (stall_sender, stall) = watch::channel(false);
    tokio::spawn(stalling_proxy(proxy, address, stall));
    let (pool, mut health_updates) = PeerPool::new(None);
    pool.call(proxy_address, &shard_request(1, "x")).await.unwrap();
    stall_sender.send(true).unwrap();
    let error = pool.call(proxy_address, &shard_request(2, "x")).await.unwrap_err();
    assert_eq!(error.kind(), WireErrorKind::Lost);
    let expected = [PeerHealth::Reachable, PeerHealth::Suspect, PeerHealth::Unreachable];
    for health in expected {
        assert_eq!(
            health_updates.recv().await.unwrap(),
            PeerHealthUpdate { address: proxy_address, health }
        );
    }
    stall_sender.send(false).unwrap();
    pool.call(proxy_address, &shard_request(3, "x")).await.unwrap();
}

/// Forwards connections and delays data from the server by 40 ms.
async fn delaying_proxy(proxy: TcpListener, target: SocketAddr) {
    loop {
        let (client, _) = proxy.accept().await.unwrap();
        tokio::spawn(async move {
            let server = TcpStream::connect(target).await.unwrap();
            let (mut client_reader, mut client_writer) = client.into_split();
            let (mut server_reader, mut server_writer) = server.into_split();
            tokio::spawn(
                async move { tokio::io::copy(&mut client_reader, &mut server_writer).await },
            );
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = server_reader.read(&mut chunk).await {
                sleep(Duration::from_millis(40)).await;
                client_writer.write_all(&chunk[..count]).await.unwrap();
            }
        });
    }
}

#[test]
fn a_paused_node_does_not_fail_calls_to_its_peer() {
    // The peer runs on its own thread and replies while the caller's thread is blocked
    // for longer than the timeout of a probe.
    let (address_sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let (address, _handler, _stop) = start_server().await;
            let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(proxy.local_addr().unwrap()).unwrap();
            delaying_proxy(proxy, address).await;
        });
    });
    let address = address.recv().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (pool, _health_updates) = PeerPool::new(None);
        for round in 0..8 {
            let request = shard_request(round, &b"hang"[..]);
            let hanging = pool.call(address, &request);
            tokio::pin!(hanging);
            // The call without a reply has caused a probe, whose pong is in flight.
            assert!(timeout(Duration::from_millis(70), hanging.as_mut()).await.is_err());
            std::thread::sleep(Duration::from_millis(400));
            let after = timeout(Duration::from_millis(30), hanging.as_mut()).await;
            assert!(after.is_err(), "round {round}: {:?}", after.unwrap());
        }
    });
}

#[tokio::test]
async fn a_call_to_a_frozen_peer_is_not_sent() {
    // The kernel completes connections in the listener's backlog although nobody
    // accepts them.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (pool, _health_updates) = PeerPool::new(None);
    for id in 0..3 {
        let error = pool.call(address, &shard_request(id, "x")).await.unwrap_err();
        assert_eq!(error.kind(), WireErrorKind::NotSent);
    }
}

/// Forwards connections; once `stall` is `true`, open ones forward nothing more.
async fn stalling_proxy(proxy: TcpListener, target: SocketAddr, stall: watch::Receiver<bool>) {
    loop {
        let (mut client, _) = proxy.accept().await.unwrap();
        let mut stall = stall.clone();
        tokio::spawn(async move {
            let mut server = TcpStream::connect(target).await.unwrap();
            let stalled = tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut client, &mut server) => false,
                _ = stall.wait_for(|stalled| *stalled) => true,
            };
            if stalled {
                std::future::pending::<()>().await;
            }
        });
    }
}

#[tokio::test]
async fn malformed_input_is_counted_and_affects_no_other_call() {
    let (address, handler, _stop) = start_server().await;
    let (pool, _health_updates) = PeerPool::new(None);
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(&[0xff; 512]).await.unwrap();
    for _ in 0..500 {
        if handler.bad_inputs.load(Ordering::SeqCst) == 1 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(handler.bad_inputs.load(Ordering::SeqCst), 1);
    pool.call(address, &shard_request(1, "x")).await.unwrap();
}

#[tokio::test]
async fn a_stopping_server_finishes_requests_in_flight() {
    let (address, handler, stop) = start_server().await;
    let pool = Arc::new(PeerPool::new(None).0);
    let call = {
        let pool = pool.clone();
        tokio::spawn(async move { pool.call(address, &shard_request(2, "gate")).await })
    };
    handler.entered.notified().await;
    stop.send(true).unwrap();
    sleep(Duration::from_millis(50)).await;
    handler.gate.notify_one();
    let reply = call.await.unwrap().unwrap();
    let PeerReply::Shard(reply) = reply else { panic!("not a shard reply") };
    assert_eq!(reply.result, ShardResult::Body(Bytes::from_static(b"gate")));
}

#[test]
fn refusals_keep_their_outcome_over_the_wire() {
    for outcome in [RequestOutcome::NotRun, RequestOutcome::Unknown] {
        let reply = PeerReply::Shard(ShardReply {
            id: RequestId(9),
            shard: None,
            snapshot: None,
            result: ShardResult::Refused {
                outcome,
                reason: RefusalReason::QueueFull,
                retry_after_ms: 12,
            },
            queue_length: 3,
            service_us: 0,
        });
        let frame = carobstep_wire::encode(&reply).unwrap();
        assert_eq!(carobstep_wire::decode::<PeerReply>(&frame).unwrap(), reply);
    }
}

/// Requests that don't fit are refused as not processed, and their room is free again.
#[tokio::test]
async fn requests_beyond_the_room_are_refused_as_not_sent() {
    const ROOM_BYTES: usize = 200_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(EchoHandler::default());
    let (_stop_sender, stop) = watch::channel(false);
    let bounds = PeerBounds { max_connections: 3, max_frame_bytes: ROOM_BYTES };
    tokio::spawn(serve_peers_within(listener, handler.clone(), bounds, stop));
    let pool = PeerPool::new(None).0;
    for round in 0..5 {
        let large = shard_request(round, vec![b'x'; ROOM_BYTES + 1000]);
        let error = pool.call(address, &large).await.unwrap_err();
        assert_eq!(error.kind(), WireErrorKind::NotSent, "{error}");
        let small = shard_request(round, vec![b'x'; ROOM_BYTES / 2]);
        pool.call(address, &small).await.unwrap();
    }
    assert_eq!(handler.bad_inputs.load(Ordering::SeqCst), 5);
    // Connections over the limit are closed.
    let mut others = Vec::new();
    for _ in 0..4 {
        others.push(TcpStream::connect(address).await.unwrap());
    }
    let closed = timeout(Duration::from_secs(2), others[3].read(&mut [0; 100])).await.unwrap();
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    pool.call(address, &shard_request(9, "small")).await.unwrap();
}
