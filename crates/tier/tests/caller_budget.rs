//! What client connections may hold together, and which of them have to end.
//!
//! Guards against memory without bound, and against honest clients that pay for others.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_tier::{
    CallerBounds, CallerBudget, CallerFault, CallerKey, CallerLimits, CallerPhase, MAX_ROOM_WAIT,
    MIN_PACE,
};

const BOUNDS: CallerBounds = CallerBounds { max_connections: 100, max_bytes: 1_000_000 };

/// Interval between two steps of a played client.
const STEP: Duration = Duration::from_millis(100);

fn connect_in(budget: &mut CallerBudget, now: BootTime, phase: CallerPhase) -> CallerKey {
    let key = budget.connect(now).expect("room");
    budget.enter(now, key, phase);
    key
}

/// Limits of a process, and what must be left of them beside its callers.
struct BoundsCase {
    memory_bytes: Option<usize>,
    descriptors: Option<usize>,
    min_connections: usize,
    min_bytes: usize,
}

#[test]
fn the_bounds_leave_room_for_searches() {
    let cases = [
        BoundsCase {
            memory_bytes: Some(160_000_000),
            descriptors: Some(4100),
            min_connections: 2000,
            min_bytes: 20 << 20,
        },
        BoundsCase {
            memory_bytes: Some(260_000_000),
            descriptors: Some(4100),
            min_connections: 2000,
            min_bytes: 40 << 20,
        },
        BoundsCase { memory_bytes: None, descriptors: None, min_connections: 2000, min_bytes: 0 },
        BoundsCase {
            memory_bytes: Some(40_000_000),
            descriptors: Some(300),
            min_connections: 50,
            min_bytes: 1 << 20,
        },
    ];
    for BoundsCase { memory_bytes, descriptors, min_connections, min_bytes } in cases {
        let bounds = CallerBounds::within(memory_bytes, descriptors);
        assert!(bounds.max_connections >= min_connections, "{bounds:?}");
        assert!(bounds.max_bytes >= min_bytes, "{bounds:?}");
        let taken = bounds.max_bytes + bounds.max_connections * 16 * 1024;
        assert!(taken <= memory_bytes.unwrap_or(256 << 20) / 2, "{bounds:?}");
        let sockets = descriptors.unwrap_or(4096) - 200;
        assert!(bounds.max_connections <= sockets * 2 / 3, "{bounds:?}");
    }
}

/// A client and how long it may take.
struct PaceCase {
    label: &'static str,
    phase: CallerPhase,
    /// Bytes at the start, and then in each [`STEP`].
    first_bytes: usize,
    step_bytes: usize,
    fault: Option<CallerFault>,
    /// Time within which it must end.
    by: Duration,
}

#[test]
fn clients_that_fall_behind_end_and_slow_links_do_not() {
    let seconds = Duration::from_secs;
    let case = |label, phase, first_bytes, step_bytes, fault, by| PaceCase {
        label,
        phase,
        first_bytes,
        step_bytes,
        fault,
        by,
    };
    let honest = (MIN_PACE * STEP.as_secs_f64()) as usize + 1;
    let slow_body = Some(CallerFault::SlowBody);
    let slow_reader = Some(CallerFault::SlowReader);
    let cases = [
        case("short of its end", CallerPhase::Body, 262_143, 0, slow_body, seconds(5)),
        case("a byte at a time", CallerPhase::Body, 0, 1, slow_body, seconds(5)),
        case("slow link", CallerPhase::Body, 0, honest, None, seconds(15)),
        case("unread answer", CallerPhase::Answer, 0, 0, slow_reader, seconds(5)),
        case("reads bytes", CallerPhase::Answer, 100, 2, slow_reader, seconds(5)),
        case("reads over a slow link", CallerPhase::Answer, 0, honest, None, seconds(15)),
        case("slow head", CallerPhase::Head, 0, 1, Some(CallerFault::SlowHead), seconds(4)),
        case("idle", CallerPhase::Idle, 0, 0, Some(CallerFault::IdleTimeout), seconds(16)),
        case("idle for four fifths", CallerPhase::Idle, 0, 0, None, seconds(12)),
        case("long request", CallerPhase::Working, 0, 0, None, seconds(60)),
    ];
    for case in cases {
        let mut budget = CallerBudget::new(BOUNDS);
        let mut now = BootTime::from_millis(1000);
        let key = connect_in(&mut budget, now, case.phase);
        budget.record_progress(now, key, case.first_bytes);
        let end = now + case.by;
        let mut fault = None;
        while now < end && fault.is_none() {
            now += STEP;
            budget.record_progress(now, key, case.step_bytes);
            budget.expire(now, &CallerLimits::default());
            fault = budget.take_evictions().pop().map(|eviction| eviction.fault);
        }
        assert_eq!(fault, case.fault, "{}", case.label);
    }
}

/// Bodies that stop short of their end take all room; those that send on aren't ended.
#[test]
fn stalled_bodies_make_room_for_others() {
    let mut budget = CallerBudget::new(BOUNDS);
    let start = BootTime::from_millis(1000);
    let stalled: Vec<_> = (0..9)
        .map(|number: u64| {
            let now = start + Duration::from_millis(number);
            let key = connect_in(&mut budget, now, CallerPhase::Body);
            assert!(budget.try_hold(now, key, 100_000));
            key
        })
        .collect();
    let slow = connect_in(&mut budget, start, CallerPhase::Body);
    assert!(budget.try_hold(start, slow, 100_000));
    let newcomer = connect_in(&mut budget, start + STEP, CallerPhase::Body);
    let mut now = start + STEP;
    assert!(!budget.try_hold(now, newcomer, 100_000), "nobody is behind yet");
    let small = connect_in(&mut budget, now, CallerPhase::Body);
    assert!(budget.try_hold(now, small, 4000), "a small request always fits");
    let deadline = now + MAX_ROOM_WAIT;
    let mut is_held = false;
    while now < deadline && !is_held {
        now += Duration::from_millis(50);
        budget.record_progress(now, slow, 1000);
        is_held = budget.try_hold(now, newcomer, 100_000);
    }
    assert!(is_held);
    let evicted: Vec<_> = budget.take_evictions().into_iter().map(|it| it.key).collect();
    assert_eq!(evicted, stalled[..1], "the oldest of equals, and no more than needed");
    assert!(budget.held_bytes() <= BOUNDS.max_bytes);
}

/// A crowd takes all connections; newcomers replace its oldest ones, but none that is in
/// use.
#[test]
fn a_new_connection_replaces_the_longest_idle_one() {
    let mut budget = CallerBudget::new(BOUNDS);
    let start = BootTime::from_millis(1000);
    let working = connect_in(&mut budget, start, CallerPhase::Working);
    let idle: Vec<_> = (1..100u64)
        .map(|number| budget.connect(start + Duration::from_millis(number)).expect("room"))
        .collect();
    assert!(budget.connect(start + STEP).is_none(), "no one is idle for long");
    let later = start + Duration::from_secs(2);
    let key = budget.connect(later).expect("room");
    let evicted: Vec<_> = budget.take_evictions().into_iter().map(|it| it.key).collect();
    assert_eq!(evicted, idle[..1]);
    budget.disconnect(idle[0]);
    // A client that is behind goes before idle ones.
    budget.enter(start, idle[50], CallerPhase::Head);
    budget.connect(later).expect("room");
    let evicted: Vec<_> = budget.take_evictions().into_iter().map(|it| it.key).collect();
    assert_eq!(evicted, [idle[50]]);
    for key in idle.into_iter().chain([key]) {
        budget.disconnect(key);
    }
    assert_eq!(budget.phase(working), Some(CallerPhase::Working));
    assert_eq!((budget.connections(), budget.held_bytes()), (2, 0));
}

/// An unread answer is charged, and released when it is sent.
#[test]
fn answers_and_requests_are_released() {
    let mut budget = CallerBudget::new(BOUNDS);
    let now = BootTime::from_millis(1000);
    let key = connect_in(&mut budget, now, CallerPhase::Body);
    assert!(budget.try_hold(now, key, 300_000));
    budget.enter(now, key, CallerPhase::Answer);
    budget.hold_answer(now, key, 200_000);
    assert!(budget.held_bytes() > 490_000);
    budget.enter(now, key, CallerPhase::Idle);
    assert_eq!(budget.held_bytes(), 0);
    assert!(!budget.try_hold(now, key, BOUNDS.max_bytes * 2));
    budget.disconnect(key);
    assert_eq!((budget.connections(), budget.held_bytes()), (0, 0));
}
