//! Calls over real loopback connections: replies, cancellation and error kinds.

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
    PeerHandler, PeerHealth, PeerNews, PeerPool, PeerReply, PeerRequest, RefusalReason, ReplySink,
    RequestId, RequestOutcome, ShardReply, ShardRequest, ShardResult, WireErrorKind, serve_peers,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::{sleep, timeout},
};

/// Echoes bodies; a body of `hang` is never answered, a body of `gate` waits
/// until the gate opens, and one of `thrice` is answered three times, each time
/// before such a wait.
#[derive(Default)]
struct EchoHandler {
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

    fn count_bad_input(&self) {
        self.bad_inputs.fetch_add(1, Ordering::SeqCst);
    }
}

async fn start() -> (SocketAddr, Arc<EchoHandler>, watch::Sender<bool>) {
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
async fn thousands_of_crossed_calls_get_their_own_bodies() {
    let (address, _handler, _stop) = start().await;
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
    let (address, handler, _stop) = start().await;
    let (pool, _news) = PeerPool::new(None);
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
async fn several_replies_come_one_by_one_until_the_stream_ends() {
    let (address, handler, _stop) = start().await;
    let (pool, _news) = PeerPool::new(None);
    let mut replies = pool.call_streaming(address, &shard_request(1, "thrice")).await.unwrap();
    for number in 0..3 {
        let reply = replies.next().await.unwrap();
        let Some(PeerReply::Shard(reply)) = reply else { panic!("not a shard reply") };
        assert_eq!(reply.queue_length, number);
        handler.entered.notified().await;
        let early = timeout(Duration::from_millis(50), replies.next()).await;
        assert!(early.is_err(), "reply {number} was followed before its time");
        handler.gate.notify_one();
    }
    assert_eq!(replies.next().await.unwrap(), None);
}

#[tokio::test]
async fn dropping_a_stream_between_replies_cancels_it_at_the_peer() {
    let (address, handler, _stop) = start().await;
    let (pool, _news) = PeerPool::new(None);
    let mut replies =
        pool.call_streaming::<_, PeerReply>(address, &shard_request(1, "thrice")).await.unwrap();
    replies.next().await.unwrap();
    handler.entered.notified().await;
    drop(replies);
    let went_on = timeout(Duration::from_millis(200), async {
        handler.gate.notify_one();
        handler.entered.notified().await;
    });
    sleep(Duration::from_millis(100)).await;
    assert!(went_on.await.is_err(), "the request goes on at the peer");
}

#[tokio::test]
async fn connections_come_from_the_source_of_the_pool() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let source = "127.0.0.7".parse().unwrap();
    let (pool, _news) = PeerPool::new(Some(source));
    let (accepted, _) = tokio::join!(listener.accept(), pool.check(address));
    assert_eq!(accepted.unwrap().1.ip(), source);
}

#[tokio::test]
async fn an_unreachable_peer_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = PeerPool::new(None).0.call(address, &shard_request(1, "x")).await.unwrap_err();
    assert_eq!(error.kind(), WireErrorKind::NotSent);
}

#[tokio::test]
async fn a_peer_that_goes_silent_is_lost_and_then_replaced() {
    let (address, _handler, _stop) = start().await;
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front_address = front.local_addr().unwrap();
    let (silence_sender, silence) = watch::channel(false);
    tokio::spawn(relay(front, address, silence));
    let (pool, mut news) = PeerPool::new(None);
    pool.call(front_address, &shard_request(1, "x")).await.unwrap();
    silence_sender.send(true).unwrap();
    let error = pool.call(front_address, &shard_request(2, "x")).await.unwrap_err();
    assert_eq!(error.kind(), WireErrorKind::Lost);
    let order = [PeerHealth::Reachable, PeerHealth::Suspect, PeerHealth::Unreachable];
    for health in order {
        assert_eq!(news.recv().await.unwrap(), PeerNews { address: front_address, health });
    }
    silence_sender.send(false).unwrap();
    pool.call(front_address, &shard_request(3, "x")).await.unwrap();
}

/// Forwards connections; what comes back takes 40 ms.
async fn slow_relay(front: TcpListener, back: SocketAddr) {
    loop {
        let (near, _) = front.accept().await.unwrap();
        tokio::spawn(async move {
            let far = TcpStream::connect(back).await.unwrap();
            let (mut near_reader, mut near_writer) = near.into_split();
            let (mut far_reader, mut far_writer) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut near_reader, &mut far_writer).await });
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = far_reader.read(&mut chunk).await {
                sleep(Duration::from_millis(40)).await;
                near_writer.write_all(&chunk[..count]).await.unwrap();
            }
        });
    }
}

#[test]
fn a_node_that_was_held_up_itself_does_not_take_its_peer_for_silent() {
    // The peer answers on a thread of its own while the caller's is blocked for
    // longer than a probe may stay unanswered.
    let (address_sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let (address, _handler, _stop) = start().await;
            let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(front.local_addr().unwrap()).unwrap();
            slow_relay(front, address).await;
        });
    });
    let address = address.recv().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (pool, _news) = PeerPool::new(None);
        for round in 0..8 {
            let request = shard_request(round, &b"hang"[..]);
            let hanging = pool.call(address, &request);
            tokio::pin!(hanging);
            // A call without a reply has asked for a probe; its pong is on the way.
            assert!(timeout(Duration::from_millis(70), hanging.as_mut()).await.is_err());
            std::thread::sleep(Duration::from_millis(400));
            let after = timeout(Duration::from_millis(30), hanging.as_mut()).await;
            assert!(after.is_err(), "round {round}: {:?}", after.unwrap());
        }
    });
}

#[tokio::test]
async fn a_frozen_peer_that_still_accepts_is_not_sent() {
    // The listener's backlog completes connections that nobody serves.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (pool, _news) = PeerPool::new(None);
    for id in 0..3 {
        let error = pool.call(address, &shard_request(id, "x")).await.unwrap_err();
        assert_eq!(error.kind(), WireErrorKind::NotSent);
    }
}

/// Forwards connections; a connection that meets `silence` forwards nothing more.
async fn relay(front: TcpListener, back: SocketAddr, silence: watch::Receiver<bool>) {
    loop {
        let (mut near, _) = front.accept().await.unwrap();
        let mut silence = silence.clone();
        tokio::spawn(async move {
            let mut far = TcpStream::connect(back).await.unwrap();
            let silent = tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
                _ = silence.wait_for(|silent| *silent) => true,
            };
            if silent {
                std::future::pending::<()>().await;
            }
        });
    }
}

#[tokio::test]
async fn garbage_is_counted_and_harms_no_other_call() {
    let (address, handler, _stop) = start().await;
    let (pool, _news) = PeerPool::new(None);
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
async fn a_stopping_listener_finishes_what_is_in_flight() {
    let (address, handler, stop) = start().await;
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
