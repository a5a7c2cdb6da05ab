//! Single decisions of searches and service requests.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, ServerKey, ServiceKey, SnapshotMap};
use carobstep_dispatch::{
    AttemptKey, AttemptSend, QueryPlan, QueryState, RequestAction, ServerRouter, SinglePlan,
    SingleState,
};
use carobstep_wire::{
    RefusalReason, RequestId, RequestOutcome, RetryReason, ShardReply, ShardResult,
};
use proptest::{prelude::*, test_runner::RngSeed};

use support::fleet::{FleetRun, snapshot, topology};

const CONFIG: FleetRun = FleetRun {
    shards: 3,
    replicas: 2,
    slots: 2,
    service: Duration::from_millis(5),
    load: 0.0,
    straggle: 0.0,
    straggle_factor: 1.0,
    hedge_percent: 5.0,
    retry_percent: 50.0,
    at_most_once: false,
    deadline_ms: 100,
    returning: false,
    faults: &[],
    seconds: 0,
    seed: 1,
};

struct Entry {
    topology: Arc<ConfigTopology>,
    router: ServerRouter,
    actions: Vec<RequestAction>,
    map: Arc<SnapshotMap>,
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn entry(config: FleetRun) -> Entry {
    let topology = Arc::new(topology(&config));
    let mut router = ServerRouter::new(Arc::clone(&topology), "z0", 1, at(0));
    for (server, _) in topology.servers() {
        router.set_usable(server, true);
    }
    let map = snapshot(&topology, 7);
    Entry { topology, router, actions: Vec::new(), map }
}

impl Entry {
    fn query(&mut self) -> QueryState {
        let plan = QueryPlan {
            id: RequestId(9 << 64),
            deadline: at(100),
            map: Arc::clone(&self.map),
            topology: Arc::clone(&self.topology),
        };
        let mut query = QueryState::new(plan, at(0));
        query.start(at(0), &mut self.router, &mut self.actions);
        query
    }

    fn single(&mut self) -> SingleState {
        let plan = SinglePlan {
            id: RequestId(9 << 64),
            deadline: at(100),
            service: ServiceKey(0),
            topology: Arc::clone(&self.topology),
        };
        let mut single = SingleState::new(plan);
        single.start(at(0), &mut self.router, &mut self.actions);
        single
    }

    fn sends(&mut self) -> Vec<AttemptSend> {
        let mut sends = Vec::new();
        for action in self.actions.drain(..) {
            if let RequestAction::Send(send) = action {
                sends.push(send);
            }
        }
        sends
    }

    fn reply(&self, send: &AttemptSend) -> ShardReply {
        ShardReply {
            id: send.id,
            shard: Some(self.map.shards[send.shard].name.clone()),
            snapshot: Some(self.map.number),
            result: ShardResult::Body(Bytes::from(format!("{}", send.shard))),
            queue_length: 0,
            service_us: 5_000,
        }
    }

    fn refusal(&self, send: &AttemptSend, reason: RefusalReason) -> ShardReply {
        let refused =
            ShardResult::Refused { outcome: RequestOutcome::NotRun, reason, retry_after_ms: 10 };
        ShardReply { result: refused, shard: None, snapshot: None, ..self.reply(send) }
    }
}

#[test]
fn whole_replies_cover_their_shards() {
    let mut entry = entry(CONFIG);
    let mut query = entry.query();
    for send in entry.sends() {
        let reply = entry.reply(&send);
        query.on_reply(at(5), send.attempt, reply, &mut entry.router, &mut entry.actions);
    }
    assert!(query.is_finished());
    assert_eq!(entry.actions, [RequestAction::Finish]);
    let report = query.into_report();
    let bodies: Vec<_> = report.covered().map(|(_, body)| body.clone()).collect();
    assert_eq!(bodies, ["0", "1", "2"]);
    assert_eq!(report.snapshot(), 7);
}

struct MismatchCase {
    name: &'static str,
    change: fn(&mut ShardReply),
}

const MISMATCHES: &[MismatchCase] = &[
    MismatchCase { name: "other request", change: |reply| reply.id = RequestId(1) },
    MismatchCase { name: "other snapshot", change: |reply| reply.snapshot = Some(8) },
    MismatchCase { name: "no snapshot", change: |reply| reply.snapshot = None },
    MismatchCase {
        name: "other shard",
        change: |reply| reply.shard = "shard-svc2".try_into().ok(),
    },
    MismatchCase { name: "no shard", change: |reply| reply.shard = None },
];

#[test]
fn reply_to_something_else_is_dropped_and_the_shard_asked_again() {
    for case in MISMATCHES {
        let mut entry = entry(CONFIG);
        let mut query = entry.query();
        let first = entry.sends()[0];
        let mut reply = entry.reply(&first);
        (case.change)(&mut reply);
        query.on_reply(at(5), first.attempt, reply, &mut entry.router, &mut entry.actions);
        let expected = [
            RequestAction::CountRefusal(RefusalReason::ReplyMismatch),
            RequestAction::CountRetry(RetryReason::UnknownRead),
        ];
        assert_eq!(entry.actions[..2], expected, "{}", case.name);
        let again = entry.sends()[0];
        assert_eq!(again.shard, 0, "{}", case.name);
        assert_ne!(again.server, first.server, "{}", case.name);
        assert_ne!(again.id, first.id, "{}", case.name);
        let late = entry.reply(&first);
        query.on_reply(at(6), first.attempt, late, &mut entry.router, &mut entry.actions);
        assert!(entry.actions.is_empty(), "{}", case.name);
        let report = query.into_report();
        assert_eq!(report.counts.mismatches, 1, "{}", case.name);
        assert_eq!(report.covered().count(), 0, "{}", case.name);
    }
}

#[test]
fn deadline_ends_the_query_with_what_there_is() {
    let mut entry = entry(CONFIG);
    let mut query = entry.query();
    let sends = entry.sends();
    let reply = entry.reply(&sends[1]);
    query.on_reply(at(5), sends[1].attempt, reply, &mut entry.router, &mut entry.actions);
    assert!(query.next_wakeup() < at(100));
    query.on_timer(query.next_wakeup(), &mut entry.router, &mut entry.actions);
    assert!(query.is_finished());
    let cancelled: Vec<_> = entry
        .actions
        .iter()
        .filter(|action| matches!(action, RequestAction::Cancel { .. }))
        .collect();
    assert_eq!(cancelled.len(), 2);
    let report = query.into_report();
    assert_eq!(report.covered().count(), 1);
    let reasons: Vec<_> = report.lacking().map(|(_, reason)| reason).collect();
    assert_eq!(reasons, [RefusalReason::DeadlinePassed; 2]);
    for (server, _) in entry.topology.servers() {
        assert_eq!(entry.router.in_flight(server), 0);
    }
}

#[test]
fn moved_query_keeps_nothing_of_the_old_snapshot() {
    let mut entry = entry(CONFIG);
    let mut query = entry.query();
    let sends = entry.sends();
    let kept = entry.reply(&sends[0]);
    query.on_reply(at(2), sends[0].attempt, kept, &mut entry.router, &mut entry.actions);
    let gone = entry.refusal(&sends[1], RefusalReason::SnapshotGone);
    query.on_reply(at(2), sends[1].attempt, gone, &mut entry.router, &mut entry.actions);
    let second = entry.sends()[0];
    let gone = entry.refusal(&second, RefusalReason::SnapshotGone);
    query.on_reply(at(4), second.attempt, gone, &mut entry.router, &mut entry.actions);
    assert!(entry.actions.contains(&RequestAction::Replan { avoid: 7 }));
    entry.actions.clear();
    let old = entry.reply(&sends[2]);
    entry.map = snapshot(&entry.topology, 8);
    let (map, topology) = (Arc::clone(&entry.map), Arc::clone(&entry.topology));
    query.restart(at(5), map, topology, &mut entry.router, &mut entry.actions);
    assert!(entry.actions.contains(&RequestAction::Cancel { attempt: sends[2].attempt }));
    assert!(entry.actions.contains(&RequestAction::CountRetry(RetryReason::SnapshotMoved)));
    let sends = entry.sends();
    assert_eq!(sends.len(), 3);
    query.on_reply(at(6), AttemptKey(2), old, &mut entry.router, &mut entry.actions);
    for send in &sends[1..] {
        let reply = entry.reply(send);
        query.on_reply(at(7), send.attempt, reply, &mut entry.router, &mut entry.actions);
    }
    query.on_timer(at(100), &mut entry.router, &mut entry.actions);
    let report = query.into_report();
    assert_eq!(report.snapshot(), 8);
    assert!(report.shards[0].is_err(), "its only answer was of the old snapshot");
    assert_eq!(report.covered().count(), 2);
}

struct BudgetCase {
    reason: RefusalReason,
    free: bool,
}

const BUDGET_CASES: [BudgetCase; 6] = [
    BudgetCase { reason: RefusalReason::NotHolder, free: true },
    BudgetCase { reason: RefusalReason::LeaseLapsed, free: true },
    BudgetCase { reason: RefusalReason::GrantFenced, free: true },
    BudgetCase { reason: RefusalReason::SnapshotGone, free: true },
    BudgetCase { reason: RefusalReason::ServerShed, free: false },
    BudgetCase { reason: RefusalReason::QueueFull, free: false },
];

#[test]
fn refusal_by_a_holder_that_may_not_send_costs_no_retry_budget() {
    for case in BUDGET_CASES {
        let mut entry = entry(FleetRun { retry_percent: 0.0, ..CONFIG });
        let mut retried = true;
        // The first queries use up what the budget starts with.
        for _ in 0..100 {
            let mut query = entry.query();
            let send = entry.sends()[0];
            let (outcome, reason) = (RequestOutcome::NotRun, case.reason);
            let Entry { router, actions, .. } = &mut entry;
            query.on_failure(at(1), send.attempt, outcome, reason, router, actions);
            retried = !entry.sends().is_empty();
        }
        assert_eq!(retried, case.free, "{:?}", case.reason);
    }
}

#[test]
fn configuration_may_change_under_a_query() {
    let mut entry = entry(CONFIG);
    let mut query = entry.query();
    let sends = entry.sends();
    let fewer = Arc::new(topology(&FleetRun { shards: 1, ..CONFIG }));
    entry.router.set_topology(at(1), fewer);
    for send in &sends {
        let reason = RefusalReason::ServerShed;
        let reply = entry.refusal(send, reason);
        query.on_reply(at(2), send.attempt, reply, &mut entry.router, &mut entry.actions);
    }
    let again = entry.sends();
    assert_eq!(again.len(), 1, "only the first service is left");
    assert_eq!(again[0].shard, 0);
}

#[test]
fn query_may_move_to_a_snapshot_of_a_newer_configuration() {
    let mut entry = entry(CONFIG);
    let mut query = entry.query();
    entry.sends();
    let newer = Arc::new(topology(&FleetRun { shards: 1, ..CONFIG }));
    let map = snapshot(&newer, 8);
    // The router still has the old configuration, and learns of the new one later.
    let Entry { router, actions, .. } = &mut entry;
    query.restart(at(1), map, Arc::clone(&newer), router, actions);
    let sends = entry.sends();
    assert_eq!(sends.len(), 1);
    assert!(Arc::ptr_eq(query.topology(), entry.router.topology()));
    entry.router.set_topology(at(2), newer);
    query.on_timer(at(3), &mut entry.router, &mut entry.actions);
    assert!(Arc::ptr_eq(query.topology(), entry.router.topology()));
}

struct SingleCase {
    name: &'static str,
    at_most_once: bool,
    outcome: RequestOutcome,
    sent_again: bool,
}

const SINGLES: &[SingleCase] = &[
    SingleCase {
        name: "order, not run",
        at_most_once: true,
        outcome: RequestOutcome::NotRun,
        sent_again: true,
    },
    SingleCase {
        name: "order, unknown",
        at_most_once: true,
        outcome: RequestOutcome::Unknown,
        sent_again: false,
    },
    SingleCase {
        name: "read, not run",
        at_most_once: false,
        outcome: RequestOutcome::NotRun,
        sent_again: true,
    },
    SingleCase {
        name: "read, unknown",
        at_most_once: false,
        outcome: RequestOutcome::Unknown,
        sent_again: true,
    },
];

#[test]
fn request_is_sent_again_only_where_it_may() {
    for case in SINGLES {
        let mut entry = entry(FleetRun { at_most_once: case.at_most_once, ..CONFIG });
        let mut single = entry.single();
        let first = entry.sends()[0];
        let reason = RefusalReason::ConnectionLost;
        let Entry { router, actions, .. } = &mut entry;
        single.on_failure(at(5), first.attempt, case.outcome, reason, router, actions);
        let again = entry.sends();
        assert_eq!(again.len(), usize::from(case.sent_again), "{}", case.name);
        if case.sent_again {
            continue;
        }
        let report = single.into_report();
        assert_eq!(report.outcome, case.outcome, "{}", case.name);
        assert_eq!(report.reason, Some(reason), "{}", case.name);
    }
}

#[test]
fn unanswered_order_is_unknown_at_its_deadline() {
    let mut entry = entry(FleetRun { at_most_once: true, ..CONFIG });
    let mut single = entry.single();
    let sent = entry.sends();
    assert_eq!(sent.len(), 1);
    assert_eq!(single.next_wakeup(), at(100));
    single.on_timer(at(100), &mut entry.router, &mut entry.actions);
    let report = single.into_report();
    assert_eq!(report.outcome, RequestOutcome::Unknown);
}

#[test]
fn leaving_servers_get_nothing() {
    let mut entry = entry(CONFIG);
    for server in [0, 1] {
        entry.router.set_leaving(at(0), ServerKey(server), true);
    }
    let single = entry.single();
    let report = single.into_report();
    assert_eq!(report.outcome, RequestOutcome::NotRun);
    assert_eq!(report.reason, Some(RefusalReason::ServerLeaving));
}

const REASONS: &[RefusalReason] = &[
    RefusalReason::NotHolder,
    RefusalReason::ServerShed,
    RefusalReason::SnapshotGone,
    RefusalReason::QueueFull,
    RefusalReason::ConnectionLost,
];

/// The same cases on every run.
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

    /// Whatever happens, every shard is covered or lacking, and nothing stays counted.
    #[test]
    fn report_is_exactly_the_snapshot(
        events in prop::collection::vec((0u8..6, 0usize..8, 0usize..5, any::<bool>()), 0..40),
    ) {
        let mut entry = entry(CONFIG);
        let mut query = entry.query();
        let mut sends = entry.sends();
        let mut now = 0;
        let mut answered = [false; 3];
        for (kind, position, reason, unknown) in events {
            if query.is_finished() {
                break;
            }
            now += 3;
            let send = sends[position % sends.len()];
            let outcome = if unknown { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
            let whole = entry.reply(&send);
            let refused = entry.refusal(&send, REASONS[reason]);
            let Entry { router, actions, .. } = &mut entry;
            match kind {
                0 | 1 => {
                    answered[send.shard] = true;
                    query.on_reply(at(now), send.attempt, whole, router, actions);
                }
                2 => query.on_reply(at(now), send.attempt, refused, router, actions),
                3 => {
                    query.on_failure(at(now), send.attempt, outcome, REASONS[reason], router, actions);
                }
                4 => query.on_timer(at(now), router, actions),
                _ => query.decline_move(actions),
            }
            sends.extend(entry.sends());
        }
        query.on_timer(at(200), &mut entry.router, &mut entry.actions);
        prop_assert!(query.is_finished());
        let report = query.into_report();
        prop_assert_eq!(report.covered().count() + report.lacking().count(), 3);
        for (shard, result) in report.shards.iter().enumerate() {
            prop_assert!(result.is_err() || answered[shard]);
        }
        for (server, _) in entry.topology.servers() {
            prop_assert_eq!(entry.router.in_flight(server), 0);
        }
    }

    /// An order is never under way twice, and never sent again once it may have run.
    #[test]
    fn order_is_never_sent_beside_another(
        events in prop::collection::vec((0u8..4, 0usize..5), 0..12),
    ) {
        let mut entry = entry(FleetRun { at_most_once: true, ..CONFIG });
        let mut single = entry.single();
        let mut live = entry.sends();
        let mut unknown = false;
        for (step, (kind, reason)) in events.into_iter().enumerate() {
            prop_assert!(live.len() <= 1);
            let Some(send) = live.pop() else { break };
            let now = at(step as u64 * 5);
            let refused = entry.refusal(&send, REASONS[reason]);
            let Entry { router, actions, .. } = &mut entry;
            match kind {
                0 => single.on_reply(now, send.attempt, refused, router, actions),
                1 => {
                    unknown = true;
                    let reason = REASONS[reason];
                    single.on_failure(now, send.attempt, RequestOutcome::Unknown, reason, router, actions);
                }
                _ => {
                    single.on_timer(now, router, actions);
                    live.push(send);
                }
            }
            let again = entry.sends();
            prop_assert!(again.is_empty() || !unknown);
            live.extend(again);
        }
        prop_assert!(!unknown || single.into_report().outcome == RequestOutcome::Unknown);
    }
}
