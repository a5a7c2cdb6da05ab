//! Request queue of one backend server, one event at a time.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::{
    CustomerKey, QueueAdmission, QueueEvent, QueueLimits, QueueTicket, ServerQueue, TicketKey,
};
use carobstep_wire::RefusalReason;
use proptest::{prelude::*, test_runner::RngSeed};

const SERVICE_TIME: Duration = Duration::from_millis(10);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn ticket(deadline: u64) -> QueueTicket {
    QueueTicket {
        deadline: at(deadline),
        hedge: false,
        customer: CustomerKey(1),
        caller_id: deadline,
    }
}

fn hedge(deadline: u64) -> QueueTicket {
    QueueTicket { hedge: true, ..ticket(deadline) }
}

/// Returns a queue that has observed a service time of 10 ms.
fn queue(slots: u16) -> ServerQueue {
    let mut queue = ServerQueue::new(QueueLimits { slots, max_waiting: 3 }, at(0));
    for _ in 0..64 {
        let key = dispatched(queue.offer(at(0), ticket(1_000)));
        queue.finish(at(0), key, Some(SERVICE_TIME));
    }
    queue
}

fn dispatched(admission: QueueAdmission) -> TicketKey {
    match admission {
        QueueAdmission::Dispatch(key) => key,
        other => panic!("expected a dispatch, got {other:?}"),
    }
}

fn queued(admission: QueueAdmission) -> TicketKey {
    match admission {
        QueueAdmission::Queued(key) => key,
        other => panic!("expected a queued request, got {other:?}"),
    }
}

macro_rules! assert_refused {
    ($admission:expr, $reason:ident) => {
        match $admission {
            QueueAdmission::Refused { reason, .. } => assert_eq!(reason, RefusalReason::$reason),
            other => panic!("expected a refusal, got {other:?}"),
        }
    };
}

#[test]
fn earliest_deadline_goes_first() {
    let mut queue = queue(1);
    let running = dispatched(queue.offer(at(0), ticket(500)));
    let late = queued(queue.offer(at(0), ticket(400)));
    let early = queued(queue.offer(at(0), ticket(300)));
    assert_eq!(queue.poll(at(1)), None);
    queue.finish(at(10), running, Some(SERVICE_TIME));
    assert_eq!(queue.poll(at(10)), Some(QueueEvent::Dispatch(early)));
    assert_eq!(queue.poll(at(10)), None);
    queue.finish(at(20), early, Some(SERVICE_TIME));
    assert_eq!(queue.poll(at(20)), Some(QueueEvent::Dispatch(late)));
}

#[test]
fn running_never_exceeds_the_slots() {
    for slots in 1..=4 {
        let mut queue = queue(slots);
        for _ in 0..slots {
            dispatched(queue.offer(at(0), ticket(500)));
        }
        queued(queue.offer(at(0), ticket(500)));
        assert_eq!(queue.poll(at(1)), None);
        assert_eq!(queue.running(), usize::from(slots));
    }
}

#[test]
fn request_with_an_unreachable_deadline_is_refused_on_arrival() {
    let mut queue = queue(1);
    assert_refused!(queue.offer(at(0), ticket(5)), DeadlineUnreachable);
    dispatched(queue.offer(at(0), ticket(500)));
    assert_refused!(queue.offer(at(0), ticket(15)), DeadlineUnreachable);
}

#[test]
fn waiting_request_is_dropped_once_its_deadline_is_unreachable() {
    let mut queue = queue(1);
    dispatched(queue.offer(at(0), ticket(500)));
    let key = queued(queue.offer(at(0), ticket(50)));
    let wakeup = queue.next_wakeup().expect("a wakeup");
    assert!(wakeup <= at(40), "{wakeup:?}");
    assert_eq!(queue.poll(at(39)), None);
    let event = queue.poll(at(41));
    let reason = RefusalReason::DeadlineUnreachable;
    assert!(
        matches!(event, Some(QueueEvent::Refused { key: dropped, reason: refused, .. }) if dropped == key && refused == reason),
        "{event:?}"
    );
}

#[test]
fn hedge_never_waits() {
    let mut queue = queue(2);
    dispatched(queue.offer(at(0), hedge(500)));
    dispatched(queue.offer(at(0), ticket(500)));
    assert_refused!(queue.offer(at(0), hedge(500)), QueueFull);
    queued(queue.offer(at(0), ticket(500)));
    queue.set_slots(at(0), 3);
    assert_refused!(queue.offer(at(0), hedge(500)), QueueFull);
}

#[test]
fn cancelled_request_is_never_dispatched() {
    let mut queue = queue(1);
    let running = dispatched(queue.offer(at(0), ticket(500)));
    let waiting = queued(queue.offer(at(0), ticket(400)));
    assert!(queue.cancel(at(1), waiting));
    assert!(!queue.cancel(at(1), waiting));
    assert!(!queue.cancel(at(1), running));
    queue.finish(at(10), running, None);
    assert_eq!(queue.poll(at(10)), None);
    assert_eq!(queue.running(), 0);
}

#[test]
fn queue_blocked_by_a_takeover_dispatches_nothing() {
    let mut queue = queue(1);
    queue.block_until(at(100));
    assert_refused!(queue.offer(at(0), ticket(90)), GrantFenced);
    assert_refused!(queue.offer(at(0), hedge(500)), QueueFull);
    let key = queued(queue.offer(at(0), ticket(500)));
    assert_eq!(queue.poll(at(99)), None);
    assert_eq!(queue.next_wakeup(), Some(at(100)));
    assert_eq!(queue.poll(at(100)), Some(QueueEvent::Dispatch(key)));
}

#[test]
fn abandoned_request_keeps_its_slot() {
    let mut queue = queue(1);
    let running = dispatched(queue.offer(at(0), ticket(500)));
    queue.add_abandoned_slot(at(60));
    queue.finish(at(10), running, None);
    let key = queued(queue.offer(at(20), ticket(500)));
    assert_eq!(queue.poll(at(59)), None);
    assert_eq!(queue.running(), 1);
    assert_eq!(queue.next_wakeup(), Some(at(60)));
    assert_eq!(queue.poll(at(60)), Some(QueueEvent::Dispatch(key)));
}

#[test]
fn closed_queue_refuses_waiting_and_new_requests() {
    let mut queue = queue(1);
    let running = dispatched(queue.offer(at(0), ticket(500)));
    queued(queue.offer(at(0), ticket(400)));
    queue.close(RefusalReason::ServerLeaving);
    let event = queue.poll(at(1));
    let reason = RefusalReason::ServerLeaving;
    assert!(
        matches!(event, Some(QueueEvent::Refused { reason: refused, .. }) if refused == reason),
        "{event:?}"
    );
    assert_eq!(queue.poll(at(1)), None);
    assert_refused!(queue.offer(at(1), ticket(500)), ServerLeaving);
    queue.finish(at(10), running, Some(SERVICE_TIME));
    queue.reopen();
    dispatched(queue.offer(at(11), ticket(500)));
}

#[test]
fn fewer_slots_interrupt_nothing_and_start_nothing() {
    let mut queue = queue(2);
    let first = dispatched(queue.offer(at(0), ticket(500)));
    dispatched(queue.offer(at(0), ticket(500)));
    queued(queue.offer(at(0), ticket(500)));
    queue.set_slots(at(1), 1);
    queue.finish(at(10), first, Some(SERVICE_TIME));
    assert_eq!(queue.poll(at(10)), None);
    assert_eq!(queue.running(), 1);
}

/// Returns a configuration that generates the same cases on every run.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Slots are never exceeded, and each request ends exactly once.
    #[test]
    fn every_request_ends_once_and_slots_are_not_exceeded(
        slots in 1u16..4,
        events in prop::collection::vec((0u8..7, 0usize..8, 1u64..80, 0u64..3), 1..80),
    ) {
        let mut queue = queue(slots);
        let mut now = 0;
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        let mut abandoned_slots = Vec::new();
        for (kind, position, span, customer) in events {
            now += span / 8;
            abandoned_slots.retain(|until| *until > now);
            let has_free_slot = running.len() + abandoned_slots.len() < usize::from(slots);
            match kind {
                0..=2 => {
                    let customer = CustomerKey(customer);
                    let ticket = QueueTicket { hedge: kind == 2, customer, ..ticket(now + span) };
                    match queue.offer(at(now), ticket) {
                        QueueAdmission::Dispatch(key) => {
                            prop_assert!(has_free_slot);
                            running.push(key);
                        }
                        QueueAdmission::Queued(key) => {
                            prop_assert!(kind != 2, "a hedge must not wait");
                            waiting.push(key);
                        }
                        QueueAdmission::Refused { retry_after, .. } => {
                            prop_assert!(!retry_after.is_zero());
                        }
                    }
                }
                3 if !running.is_empty() => {
                    let key = running.swap_remove(position % running.len());
                    queue.finish(at(now), key, Some(SERVICE_TIME));
                }
                4 if !waiting.is_empty() => {
                    let key = waiting.swap_remove(position % waiting.len());
                    prop_assert!(queue.cancel(at(now), key));
                }
                5 if !running.is_empty() => {
                    let key = running.swap_remove(position % running.len());
                    abandoned_slots.push(now + span);
                    queue.add_abandoned_slot(at(now + span));
                    queue.finish(at(now), key, None);
                }
                _ => queue.block_until(at(now + span / 4)),
            }
            while let Some(event) = queue.poll(at(now)) {
                let key = match event {
                    QueueEvent::Dispatch(key) => {
                        running.push(key);
                        key
                    }
                    QueueEvent::Refused { key, .. } => key,
                };
                let before = waiting.len();
                waiting.retain(|other| *other != key);
                prop_assert_eq!(waiting.len() + 1, before, "only waiting requests have events");
            }
            prop_assert!(running.len() + abandoned_slots.len() <= usize::from(slots));
            prop_assert_eq!(queue.waiting(), waiting.len());
            prop_assert_eq!(queue.running(), running.len() + abandoned_slots.len());
            prop_assert!(waiting.is_empty() || queue.next_wakeup().is_some());
        }
    }
}
