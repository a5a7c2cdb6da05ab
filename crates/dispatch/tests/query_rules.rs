//! State machines of searches and service requests, one event at a time.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, ServerKey, ServiceKey, SnapshotMap};
use carobstep_dispatch::{
    AttemptKey, AttemptSend, RequestAction, SearchPlan, SearchState, ServerRouter,
    ServiceRequestPlan, ServiceRequestState,
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
    service_time: Duration::from_millis(5),
    load: 0.0,
    straggle: 0.0,
    straggle_factor: 1.0,
    hedge_percent: 5.0,
    retry_percent: 50.0,
    at_most_once: false,
    deadline_ms: 100,
    callers_return: false,
    faults: &[],
    seconds: 0,
    seed: 1,
};

struct EntryNode {
    topology: Arc<ConfigTopology>,
    router: ServerRouter,
    actions: Vec<RequestAction>,
    map: Arc<SnapshotMap>,
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn entry(config: FleetRun) -> EntryNode {
    let topology = Arc::new(topology(&config));
    let mut router = ServerRouter::new(Arc::clone(&topology), "z0", 1, at(0));
    for (server, _) in topology.servers() {
        router.set_usable(server, true);
    }
    let map = snapshot(&topology, 7);
    EntryNode { topology, router, actions: Vec::new(), map }
}

impl EntryNode {
    fn search(&mut self) -> SearchState {
        let plan = SearchPlan {
            id: RequestId(9 << 64),
            deadline: at(100),
            map: Arc::clone(&self.map),
            topology: Arc::clone(&self.topology),
        };
        let mut search = SearchState::new(plan, at(0));
        search.start(at(0), &mut self.router, &mut self.actions);
        search
    }

    fn request(&mut self) -> ServiceRequestState {
        let plan = ServiceRequestPlan {
            id: RequestId(9 << 64),
            deadline: at(100),
            service: ServiceKey(0),
            topology: Arc::clone(&self.topology),
        };
        let mut request = ServiceRequestState::new(plan);
        request.start(at(0), &mut self.router, &mut self.actions);
        request
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
        let refusal =
            ShardResult::Refused { outcome: RequestOutcome::NotRun, reason, retry_after_ms: 10 };
        ShardReply { result: refusal, shard: None, snapshot: None, ..self.reply(send) }
    }
}

#[test]
fn complete_replies_cover_their_shards() {
    let mut entry = entry(CONFIG);
    let mut search = entry.search();
    for send in entry.sends() {
        let reply = entry.reply(&send);
        search.on_reply(at(5), send.attempt, reply, &mut entry.router, &mut entry.actions);
    }
    assert!(search.is_finished());
    assert_eq!(entry.actions, [RequestAction::Finish]);
    let report = search.into_report();
    let bodies: Vec<_> = report.covered().map(|(_, body)| body.clone()).collect();
    assert_eq!(bodies, ["0", "1", "2"]);
    assert_eq!(report.snapshot(), 7);
}

struct MismatchCase {
    name: &'static str,
    modify: fn(&mut ShardReply),
}

const MISMATCHES: &[MismatchCase] = &[
    MismatchCase { name: "other request", modify: |reply| reply.id = RequestId(1) },
    MismatchCase { name: "other snapshot", modify: |reply| reply.snapshot = Some(8) },
    MismatchCase { name: "no snapshot", modify: |reply| reply.snapshot = None },
    MismatchCase {
        name: "other shard",
        modify: |reply| reply.shard = "shard-svc2".try_into().ok(),
    },
    MismatchCase { name: "no shard", modify: |reply| reply.shard = None },
];

#[test]
fn mismatched_reply_is_dropped_and_the_shard_retried() {
    for case in MISMATCHES {
        let mut entry = entry(CONFIG);
        let mut search = entry.search();
        let first = entry.sends()[0];
        let mut reply = entry.reply(&first);
        (case.modify)(&mut reply);
        search.on_reply(at(5), first.attempt, reply, &mut entry.router, &mut entry.actions);
        let expected = [
            RequestAction::CountRefusal(RefusalReason::ReplyMismatch),
            RequestAction::CountRetry(RetryReason::UnknownRead),
        ];
        assert_eq!(entry.actions[..2], expected, "{}", case.name);
        let retry = entry.sends()[0];
        assert_eq!(retry.shard, 0, "{}", case.name);
        assert_ne!(retry.server, first.server, "{}", case.name);
        assert_ne!(retry.id, first.id, "{}", case.name);
        let late = entry.reply(&first);
        search.on_reply(at(6), first.attempt, late, &mut entry.router, &mut entry.actions);
        assert!(entry.actions.is_empty(), "{}", case.name);
        let report = search.into_report();
        assert_eq!(report.counts.mismatches, 1, "{}", case.name);
        assert_eq!(report.covered().count(), 0, "{}", case.name);
    }
}

#[test]
fn deadline_ends_the_search_with_the_results_so_far() {
    let mut entry = entry(CONFIG);
    let mut search = entry.search();
    let sends = entry.sends();
    let reply = entry.reply(&sends[1]);
    search.on_reply(at(5), sends[1].attempt, reply, &mut entry.router, &mut entry.actions);
    assert!(search.next_wakeup() < at(100));
    search.on_timer(search.next_wakeup(), &mut entry.router, &mut entry.actions);
    assert!(search.is_finished());
    let cancelled: Vec<_> = entry
        .actions
        .iter()
        .filter(|action| matches!(action, RequestAction::Cancel { .. }))
        .collect();
    assert_eq!(cancelled.len(), 2);
    let report = search.into_report();
    assert_eq!(report.covered().count(), 1);
    let reasons: Vec<_> = report.missing().map(|(_, reason)| reason).collect();
    assert_eq!(reasons, [RefusalReason::DeadlinePassed; 2]);
    for (server, _) in entry.topology.servers() {
        assert_eq!(entry.router.in_flight(server), 0);
    }
}

#[test]
fn restarted_search_keeps_nothing_of_the_old_snapshot() {
    let mut entry = entry(CONFIG);
    let mut search = entry.search();
    let sends = entry.sends();
    let old_reply = entry.reply(&sends[0]);
    search.on_reply(at(2), sends[0].attempt, old_reply, &mut entry.router, &mut entry.actions);
    let snapshot_gone = entry.refusal(&sends[1], RefusalReason::SnapshotGone);
    search.on_reply(at(2), sends[1].attempt, snapshot_gone, &mut entry.router, &mut entry.actions);
    let second = entry.sends()[0];
    let snapshot_gone = entry.refusal(&second, RefusalReason::SnapshotGone);
    search.on_reply(at(4), second.attempt, snapshot_gone, &mut entry.router, &mut entry.actions);
    assert!(entry.actions.contains(&RequestAction::Replan { avoid: 7 }));
    entry.actions.clear();
    let late_reply = entry.reply(&sends[2]);
    entry.map = snapshot(&entry.topology, 8);
    let (map, topology) = (Arc::clone(&entry.map), Arc::clone(&entry.topology));
    search.restart(at(5), map, topology, &mut entry.router, &mut entry.actions);
    assert!(entry.actions.contains(&RequestAction::Cancel { attempt: sends[2].attempt }));
    assert!(entry.actions.contains(&RequestAction::CountRetry(RetryReason::SnapshotMoved)));
    let sends = entry.sends();
    assert_eq!(sends.len(), 3);
    search.on_reply(at(6), AttemptKey(2), late_reply, &mut entry.router, &mut entry.actions);
    for send in &sends[1..] {
        let reply = entry.reply(send);
        search.on_reply(at(7), send.attempt, reply, &mut entry.router, &mut entry.actions);
    }
    search.on_timer(at(100), &mut entry.router, &mut entry.actions);
    let report = search.into_report();
    assert_eq!(report.snapshot(), 8);
    assert!(report.shards[0].is_err(), "its only reply was from the old snapshot");
    assert_eq!(report.covered().count(), 2);
}

struct BudgetCase {
    reason: RefusalReason,
    is_free: bool,
}

const BUDGET_CASES: [BudgetCase; 6] = [
    BudgetCase { reason: RefusalReason::NotHolder, is_free: true },
    BudgetCase { reason: RefusalReason::LeaseLapsed, is_free: true },
    BudgetCase { reason: RefusalReason::GrantFenced, is_free: true },
    BudgetCase { reason: RefusalReason::SnapshotGone, is_free: true },
    BudgetCase { reason: RefusalReason::ServerShed, is_free: false },
    BudgetCase { reason: RefusalReason::QueueFull, is_free: false },
];

#[test]
fn budget_exempt_refusals_cost_no_retry_budget() {
    for case in BUDGET_CASES {
        let mut entry = entry(FleetRun { retry_percent: 0.0, ..CONFIG });
        let mut retried = true;
        // The first searches use up the initial tokens of the budget.
        for _ in 0..100 {
            let mut search = entry.search();
            let send = entry.sends()[0];
            let (outcome, reason) = (RequestOutcome::NotRun, case.reason);
            let EntryNode { router, actions, .. } = &mut entry;
            search.on_failure(at(1), send.attempt, outcome, reason, router, actions);
            retried = !entry.sends().is_empty();
        }
        assert_eq!(retried, case.is_free, "{:?}", case.reason);
    }
}

#[test]
fn configuration_may_change_during_a_search() {
    let mut entry = entry(CONFIG);
    let mut search = entry.search();
    let sends = entry.sends();
    let fewer = Arc::new(topology(&FleetRun { shards: 1, ..CONFIG }));
    entry.router.set_topology(at(1), fewer);
    for send in &sends {
        let reason = RefusalReason::ServerShed;
        let reply = entry.refusal(send, reason);
        search.on_reply(at(2), send.attempt, reply, &mut entry.router, &mut entry.actions);
    }
    let retries = entry.sends();
    assert_eq!(retries.len(), 1, "only the first service is left");
    assert_eq!(retries[0].shard, 0);
}

#[test]
fn search_may_restart_on_a_snapshot_of_a_newer_configuration() {
    let mut entry = entry(CONFIG);
    let mut search = entry.search();
    entry.sends();
    let newer = Arc::new(topology(&FleetRun { shards: 1, ..CONFIG }));
    let map = snapshot(&newer, 8);
    // The router has the old configuration and changes to the new one later.
    let EntryNode { router, actions, .. } = &mut entry;
    search.restart(at(1), map, Arc::clone(&newer), router, actions);
    let sends = entry.sends();
    assert_eq!(sends.len(), 1);
    assert!(Arc::ptr_eq(search.topology(), entry.router.topology()));
    entry.router.set_topology(at(2), newer);
    search.on_timer(at(3), &mut entry.router, &mut entry.actions);
    assert!(Arc::ptr_eq(search.topology(), entry.router.topology()));
}

struct ServiceRequestCase {
    name: &'static str,
    at_most_once: bool,
    outcome: RequestOutcome,
    is_retried: bool,
}

const SERVICE_REQUESTS: &[ServiceRequestCase] = &[
    ServiceRequestCase {
        name: "at most once, not run",
        at_most_once: true,
        outcome: RequestOutcome::NotRun,
        is_retried: true,
    },
    ServiceRequestCase {
        name: "at most once, unknown",
        at_most_once: true,
        outcome: RequestOutcome::Unknown,
        is_retried: false,
    },
    ServiceRequestCase {
        name: "idempotent, not run",
        at_most_once: false,
        outcome: RequestOutcome::NotRun,
        is_retried: true,
    },
    ServiceRequestCase {
        name: "idempotent, unknown",
        at_most_once: false,
        outcome: RequestOutcome::Unknown,
        is_retried: true,
    },
];

#[test]
fn request_is_retried_only_if_allowed() {
    for case in SERVICE_REQUESTS {
        let mut entry = entry(FleetRun { at_most_once: case.at_most_once, ..CONFIG });
        let mut request = entry.request();
        let first = entry.sends()[0];
        let reason = RefusalReason::ConnectionLost;
        let EntryNode { router, actions, .. } = &mut entry;
        request.on_failure(at(5), first.attempt, case.outcome, reason, router, actions);
        let retries = entry.sends();
        assert_eq!(retries.len(), usize::from(case.is_retried), "{}", case.name);
        if case.is_retried {
            continue;
        }
        let report = request.into_report();
        assert_eq!(report.outcome, case.outcome, "{}", case.name);
        assert_eq!(report.reason, Some(reason), "{}", case.name);
    }
}

#[test]
fn unanswered_at_most_once_request_is_unknown_at_its_deadline() {
    let mut entry = entry(FleetRun { at_most_once: true, ..CONFIG });
    let mut request = entry.request();
    let sent = entry.sends();
    assert_eq!(sent.len(), 1);
    assert_eq!(request.next_wakeup(), at(100));
    request.on_timer(at(100), &mut entry.router, &mut entry.actions);
    let report = request.into_report();
    assert_eq!(report.outcome, RequestOutcome::Unknown);
}

#[test]
fn leaving_servers_get_no_requests() {
    let mut entry = entry(CONFIG);
    for server in [0, 1] {
        entry.router.set_leaving(at(0), ServerKey(server), true);
    }
    let request = entry.request();
    let report = request.into_report();
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

    /// After any events, every shard is covered or missing, and no attempt remains in flight.
    #[test]
    fn report_has_every_shard_of_the_snapshot(
        events in prop::collection::vec((0u8..6, 0usize..8, 0usize..5, any::<bool>()), 0..40),
    ) {
        let mut entry = entry(CONFIG);
        let mut search = entry.search();
        let mut sends = entry.sends();
        let mut now = 0;
        let mut answered = [false; 3];
        for (kind, position, reason, unknown) in events {
            if search.is_finished() {
                break;
            }
            now += 3;
            let send = sends[position % sends.len()];
            let outcome = if unknown { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
            let complete_reply = entry.reply(&send);
            let refusal = entry.refusal(&send, REASONS[reason]);
            let EntryNode { router, actions, .. } = &mut entry;
            match kind {
                0 | 1 => {
                    answered[send.shard] = true;
                    search.on_reply(at(now), send.attempt, complete_reply, router, actions);
                }
                2 => search.on_reply(at(now), send.attempt, refusal, router, actions),
                3 => {
                    search.on_failure(at(now), send.attempt, outcome, REASONS[reason], router, actions);
                }
                4 => search.on_timer(at(now), router, actions),
                _ => search.decline_replan(actions),
            }
            sends.extend(entry.sends());
        }
        search.on_timer(at(200), &mut entry.router, &mut entry.actions);
        prop_assert!(search.is_finished());
        let report = search.into_report();
        prop_assert_eq!(report.covered().count() + report.missing().count(), 3);
        for (shard, result) in report.shards.iter().enumerate() {
            prop_assert!(result.is_err() || answered[shard]);
        }
        for (server, _) in entry.topology.servers() {
            prop_assert_eq!(entry.router.in_flight(server), 0);
        }
    }

    /// An at-most-once request has at most one attempt in flight, and is not retried once it may
    /// have run.
    #[test]
    fn at_most_once_request_has_one_attempt_in_flight(
        events in prop::collection::vec((0u8..4, 0usize..5), 0..12),
    ) {
        let mut entry = entry(FleetRun { at_most_once: true, ..CONFIG });
        let mut request = entry.request();
        let mut in_flight = entry.sends();
        let mut unknown = false;
        for (step, (kind, reason)) in events.into_iter().enumerate() {
            prop_assert!(in_flight.len() <= 1);
            let Some(send) = in_flight.pop() else { break };
            let now = at(step as u64 * 5);
            let refusal = entry.refusal(&send, REASONS[reason]);
            let EntryNode { router, actions, .. } = &mut entry;
            match kind {
                0 => request.on_reply(now, send.attempt, refusal, router, actions),
                1 => {
                    unknown = true;
                    let reason = REASONS[reason];
                    request.on_failure(now, send.attempt, RequestOutcome::Unknown, reason, router, actions);
                }
                _ => {
                    request.on_timer(now, router, actions);
                    in_flight.push(send);
                }
            }
            let retries = entry.sends();
            prop_assert!(retries.is_empty() || !unknown);
            in_flight.extend(retries);
        }
        prop_assert!(!unknown || request.into_report().outcome == RequestOutcome::Unknown);
    }
}
