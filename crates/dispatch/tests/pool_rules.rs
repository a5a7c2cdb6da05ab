//! Counting, probing and closing of the connections in a pool.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::{ConnectionKey, ConnectionPool, ConnectionStep, PoolEvent, PoolLimits};

const LIMITS: PoolLimits = PoolLimits {
    connections: 3,
    warm: 1,
    progress_timeout: Duration::from_millis(50),
    probe_interval: Duration::from_millis(200),
    idle_timeout: Duration::from_millis(500),
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn open_connection(pool: &mut ConnectionPool, now: BootTime) -> ConnectionKey {
    let ConnectionStep::Open(key) = pool.acquire(now) else { panic!("expected an open") };
    pool.opened(now, key);
    key
}

#[test]
fn connections_never_exceed_the_limit() {
    let mut pool = ConnectionPool::new(LIMITS);
    let keys: Vec<_> = (0..3).map(|_| open_connection(&mut pool, at(0))).collect();
    assert_eq!(pool.acquire(at(0)), ConnectionStep::Wait);
    pool.release(at(1), keys[1]);
    assert_eq!(pool.acquire(at(1)), ConnectionStep::Reuse(keys[1]));
    assert_eq!(pool.counted_connections(), 3);
}

#[test]
fn abandoned_connection_counts_until_it_is_certainly_closed() {
    let mut pool = ConnectionPool::new(LIMITS);
    let keys: Vec<_> = (0..3).map(|_| open_connection(&mut pool, at(0))).collect();
    assert_eq!(pool.poll(at(49)), None);
    assert_eq!(pool.next_wakeup(), Some(at(50)));
    pool.progress(at(49), keys[1]);
    pool.progress(at(49), keys[2]);
    assert_eq!(pool.poll(at(50)), Some(PoolEvent::Abandon(keys[0])));
    pool.abandon(at(50), keys[0], at(90));
    assert_eq!(pool.acquire(at(60)), ConnectionStep::Wait);
    pool.release(at(60), keys[0]);
    assert_eq!(
        pool.acquire(at(60)),
        ConnectionStep::Wait,
        "an abandoned connection is never reused"
    );
    pool.progress(at(89), keys[1]);
    pool.progress(at(89), keys[2]);
    assert_eq!(pool.poll(at(90)), None);
    assert!(matches!(pool.acquire(at(90)), ConnectionStep::Open(_)));
}

#[test]
fn abandoned_connection_is_replaced_once_reported_closed() {
    let mut pool = ConnectionPool::new(PoolLimits { connections: 1, ..LIMITS });
    let key = open_connection(&mut pool, at(0));
    pool.abandon(at(1), key, BootTime::MAX);
    assert_eq!(pool.acquire(at(1_000)), ConnectionStep::Wait);
    pool.closed(key);
    assert!(matches!(pool.acquire(at(1_000)), ConnectionStep::Open(_)));
}

#[test]
fn warm_connections_are_opened_and_probed() {
    let mut pool = ConnectionPool::new(LIMITS);
    let Some(PoolEvent::Open(key)) = pool.poll(at(0)) else { panic!("expected an open") };
    pool.opened(at(6), key);
    assert_eq!(pool.poll(at(6)), None);
    assert_eq!(pool.idle(), 1);
    assert_eq!(pool.next_wakeup(), Some(at(206)));
    assert_eq!(pool.poll(at(206)), Some(PoolEvent::Probe(key)));
    assert!(
        matches!(pool.acquire(at(207)), ConnectionStep::Open(_)),
        "a connection being probed is in use"
    );
    pool.release(at(210), key);
    assert_eq!(pool.acquire(at(210)), ConnectionStep::Reuse(key));
}

#[test]
fn unanswered_probe_abandons_the_connection() {
    let mut pool = ConnectionPool::new(LIMITS);
    let key = open_connection(&mut pool, at(0));
    pool.release(at(0), key);
    assert_eq!(pool.poll(at(200)), Some(PoolEvent::Probe(key)));
    assert_eq!(pool.poll(at(250)), Some(PoolEvent::Abandon(key)));
    assert_eq!(pool.abandoned(), 1);
    assert!(
        matches!(pool.poll(at(250)), Some(PoolEvent::Open(_))),
        "a warm connection replaces it"
    );
}

#[test]
fn surplus_idle_connections_are_closed() {
    let mut pool = ConnectionPool::new(LIMITS);
    let keys: Vec<_> = (0..2).map(|_| open_connection(&mut pool, at(0))).collect();
    for key in keys {
        pool.release(at(0), key);
    }
    let mut closed = 0;
    for step in 1..=20 {
        let now = at(step * 100);
        while let Some(event) = pool.poll(now) {
            match event {
                PoolEvent::Probe(key) => pool.release(now, key),
                PoolEvent::Close(key) => {
                    closed += 1;
                    pool.closed(key);
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    assert_eq!((closed, pool.idle(), pool.counted_connections()), (1, 1, 1));
}

#[test]
fn lowered_limit_closes_idle_connections_at_once() {
    let mut pool = ConnectionPool::new(LIMITS);
    let keys: Vec<_> = (0..3).map(|_| open_connection(&mut pool, at(0))).collect();
    pool.release(at(1), keys[0]);
    pool.release(at(1), keys[1]);
    pool.set_limits(PoolLimits { connections: 2, ..LIMITS });
    let Some(PoolEvent::Close(key)) = pool.poll(at(2)) else { panic!("expected a close") };
    assert_eq!(pool.poll(at(2)), None, "closing one connection is enough");
    pool.closed(key);
    assert_eq!(pool.poll(at(2)), None);
    assert_eq!(pool.counted_connections(), 2);
}
