//! Fan-out of one request: retries, hedges, delegation and the answer time.

mod delegated;
mod relayed;
mod retries;
mod stopping;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use carobstep_tier::{
    AttemptKind, AttemptOutcome, AttemptTicket, DirectoryChange, FanoutAction, FanoutOutcome,
    FanoutPlan, FanoutRole, FanoutState, FleetLimits, PickScope, RetryPolicy, SearchRank,
    ServerFleet, ServiceKey, ShardIndex,
};
use support::{LIMITS, at, class, entry, fleet, name};

fn plan(fleet: &mut ServerFleet, services: &[ServiceKey], min_shards: usize) -> FanoutPlan {
    FanoutPlan {
        services: services.to_vec(),
        min_shards,
        retry: RetryPolicy::Idempotent,
        attempts: 2,
        class: class(fleet),
        delegations: Vec::new(),
        allowed: indexmap::IndexMap::new(),
        role: FanoutRole::Entry { has_peers: false },
        is_cautious: false,
        arrived: at(0),
        answer_by: at(80),
        deadline: at(500),
    }
}

/// Returns the attempts that `actions` send.
fn sends(actions: &[FanoutAction]) -> Vec<(ShardIndex, AttemptTicket)> {
    let mut sends = Vec::new();
    for action in actions {
        if let FanoutAction::Send { shard, ticket } = action {
            sends.push((*shard, *ticket));
        }
    }
    sends
}

/// Expected outcome of a search of which some shards have answered.
struct OutcomeCase {
    name: &'static str,
    shards: usize,
    min_shards: usize,
    answered: usize,
    /// Outcome at the answer time.
    at_answer_time: Option<FanoutOutcome>,
    /// Outcome at the deadline, if the search did not end before.
    at_deadline: Option<FanoutOutcome>,
}

#[test]
fn a_search_is_answered_at_the_answer_time_once_enough_shards_have_answered() {
    let cases = [
        OutcomeCase {
            name: "enough",
            shards: 10,
            min_shards: 8,
            answered: 8,
            at_answer_time: Some(FanoutOutcome::Answered),
            at_deadline: None,
        },
        OutcomeCase {
            name: "too few",
            shards: 10,
            min_shards: 8,
            answered: 7,
            at_answer_time: None,
            at_deadline: Some(FanoutOutcome::TimedOut),
        },
    ];
    for case in cases {
        let (mut fleet, services) = fleet(case.shards, &["a", "b"], LIMITS);
        let mut state = FanoutState::new(plan(&mut fleet, &services, case.min_shards));
        let sent = sends(&state.start(at(0), &mut fleet));
        assert_eq!(sent.len(), case.shards, "{}", case.name);
        for (shard, ticket) in sent.into_iter().take(case.answered) {
            fleet.on_attempt_ended(at(5), ticket, AttemptOutcome::Answered);
            let actions = state.on_attempt_ended(
                at(5),
                &mut fleet,
                shard,
                ticket.server,
                AttemptOutcome::Answered,
            );
            assert!(actions.is_empty(), "{}", case.name);
        }
        assert_eq!(finish(&state.on_timer(at(79), &mut fleet)), None, "{}", case.name);
        let outcome = finish(&state.on_timer(at(80), &mut fleet));
        assert_eq!(outcome, case.at_answer_time, "{}", case.name);
        let outcome = finish(&state.on_timer(at(500), &mut fleet));
        assert_eq!(outcome, case.at_deadline, "{}", case.name);
    }
}

fn finish(actions: &[FanoutAction]) -> Option<FanoutOutcome> {
    actions.iter().find_map(|action| match action {
        FanoutAction::Finish(outcome) => Some(*outcome),
        _ => None,
    })
}

#[test]
fn a_shard_whose_servers_are_busy_waits_for_a_free_one() {
    // Earlier requests of this node use all of its connections to the server.
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    fleet.configure(at(0), &with_connections("shard-0", 4));
    let key = class(&mut fleet);
    let server = fleet.pick(at(0), services[0], key, PickScope::default()).expect("a server");
    let tickets: Vec<_> =
        (0..4).map(|_| fleet.on_attempt_sent(at(0), server, key, AttemptKind::First)).collect();
    let mut state = FanoutState::new(plan(&mut fleet, &services, 1));
    let actions = state.start(at(0), &mut fleet);
    assert!(actions.is_empty(), "neither sent nor failed: {actions:?}");
    fleet.on_attempt_ended(at(10), tickets[0], AttemptOutcome::Answered);
    assert!(state.next_timer(at(0)) <= at(10), "the shard is retried soon");
    assert_eq!(sends(&state.on_timer(at(10), &mut fleet)).len(), 1);
}

fn with_connections(service: &str, max_connections: u32) -> carobstep_tier::Configuration {
    let mut configuration = carobstep_tier::Configuration::default();
    let config = carobstep_tier::ServiceConfig { max_connections, ..Default::default() };
    configuration.services.insert(name(service), config);
    configuration
}

#[test]
fn a_search_with_too_few_available_shards_is_refused_at_once() {
    let (mut fleet, services) = fleet(3, &["a"], LIMITS);
    for shard in 0..2 {
        fleet.apply(at(0), &DirectoryChange::Removed(name(&format!("shard-{shard}-a"))));
    }
    let mut state = FanoutState::new(plan(&mut fleet, &services, 2));
    let actions = state.start(at(0), &mut fleet);
    assert_eq!(actions, [FanoutAction::Finish(FanoutOutcome::NotRun)]);
}

#[test]
fn a_late_shard_is_hedged_if_the_budget_allows_it() {
    struct HedgeCase {
        slack: f64,
        expected: usize,
    }
    let cases = [HedgeCase { slack: 10.0, expected: 1 }, HedgeCase { slack: 0.0, expected: 0 }];
    for case in cases {
        let limits = FleetLimits { retry_slack: case.slack, ..LIMITS };
        let (mut fleet, services) = fleet(1, &["a", "b"], limits);
        let mut state = FanoutState::new(plan(&mut fleet, &services, 1));
        let first = sends(&state.start(at(0), &mut fleet))[0].1;
        let hedges = sends(&state.on_timer(at(40), &mut fleet));
        assert_eq!(hedges.len(), case.expected, "slack {}", case.slack);
        assert!(hedges.iter().all(|(_, ticket)| ticket.server != first.server));
    }
}

/// Expected reaction to the outcome of an attempt at one of two servers.
struct RetryCase {
    retry: RetryPolicy,
    outcome: AttemptOutcome,
    /// Whether the request is sent to the other server.
    is_retried: bool,
    finished: Option<FanoutOutcome>,
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    use AttemptOutcome::{Failed, NotRun, Unsent};
    use RetryPolicy::{AtMostOnce, Idempotent};
    let cases = [
        RetryCase { retry: Idempotent, outcome: Failed, is_retried: true, finished: None },
        RetryCase { retry: Idempotent, outcome: NotRun, is_retried: true, finished: None },
        RetryCase { retry: AtMostOnce, outcome: NotRun, is_retried: true, finished: None },
        RetryCase { retry: AtMostOnce, outcome: Unsent, is_retried: true, finished: None },
        RetryCase {
            retry: AtMostOnce,
            outcome: Failed,
            is_retried: false,
            finished: Some(FanoutOutcome::Failed),
        },
    ];
    for case in cases {
        let (mut fleet, services) = fleet(1, &["a", "b"], LIMITS);
        let mut plan = plan(&mut fleet, &services, 1);
        plan.retry = case.retry;
        let mut state = FanoutState::new(plan);
        let (shard, ticket) = sends(&state.start(at(0), &mut fleet))[0];
        fleet.on_attempt_ended(at(1), ticket, case.outcome);
        let actions = state.on_attempt_ended(at(1), &mut fleet, shard, ticket.server, case.outcome);
        let label = format!("{:?} {}", case.retry, case.outcome);
        assert_eq!(!sends(&actions).is_empty(), case.is_retried, "{label}");
        assert_eq!(finish(&actions), case.finished, "{label}");
    }
}

#[test]
fn a_shard_whose_servers_are_full_is_asked_again_in_time() {
    let (mut fleet, services) = fleet(2, &["a"], LIMITS);
    let mut state = FanoutState::new(plan(&mut fleet, &services, 2));
    let sent = sends(&state.start(at(0), &mut fleet));
    let (shard, ticket) = sent[0];
    fleet.on_attempt_ended(at(1), ticket, AttemptOutcome::NotRun);
    let actions =
        state.on_attempt_ended(at(1), &mut fleet, shard, ticket.server, AttemptOutcome::NotRun);
    assert_eq!(finish(&actions), None, "the search continues");
    let again = sends(&state.on_timer(at(30), &mut fleet));
    assert!(again.iter().any(|(other, next)| (*other, next.server) == (shard, ticket.server)));
    // After the answer time, a refusal is final.
    let (_, ticket) = again[0];
    fleet.on_attempt_ended(at(90), ticket, AttemptOutcome::NotRun);
    let actions =
        state.on_attempt_ended(at(90), &mut fleet, shard, ticket.server, AttemptOutcome::NotRun);
    assert_eq!(finish(&actions), Some(FanoutOutcome::Failed));
}

#[test]
fn a_server_that_refused_for_lack_of_room_gets_fewer_requests_at_a_time() {
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    let key = class(&mut fleet);
    let mut held = Vec::new();
    while let Some(server) = fleet.pick(at(0), services[0], key, PickScope::default()) {
        held.push(fleet.on_attempt_sent(at(0), server, key, AttemptKind::First));
    }
    let before = held.len();
    fleet.on_attempt_ended(at(1), held.remove(0), AttemptOutcome::NotRun);
    assert!(fleet.pick(at(100), services[0], key, PickScope::default()).is_none());
    for ticket in held {
        fleet.on_attempt_ended(at(101), ticket, AttemptOutcome::Answered);
    }
    let mut after = 0;
    while let Some(server) = fleet.pick(at(102), services[0], key, PickScope::default()) {
        fleet.on_attempt_sent(at(102), server, key, AttemptKind::First);
        after += 1;
    }
    assert!(after < before && after > 0, "{after} after {before}");
}

#[test]
fn a_request_refused_by_every_server_ends_as_not_run() {
    let (mut fleet, services) = fleet(1, &["a", "b"], LIMITS);
    let mut state = FanoutState::new(plan(&mut fleet, &services, 1));
    let mut actions = state.start(at(0), &mut fleet);
    for round in 0..2 {
        let (shard, ticket) = sends(&actions)[0];
        fleet.on_attempt_ended(at(round), ticket, AttemptOutcome::NotRun);
        actions = state.on_attempt_ended(
            at(round),
            &mut fleet,
            shard,
            ticket.server,
            AttemptOutcome::NotRun,
        );
    }
    assert_eq!(finish(&actions), Some(FanoutOutcome::NotRun));
}

#[test]
fn retries_of_unsent_attempts_need_no_budget() {
    let limits = FleetLimits { retry_slack: 0.0, ..LIMITS };
    let (mut fleet, services) = fleet(1, &["a", "b"], limits);
    let mut state = FanoutState::new(plan(&mut fleet, &services, 1));
    let (shard, ticket) = sends(&state.start(at(0), &mut fleet))[0];
    fleet.on_attempt_ended(at(1), ticket, AttemptOutcome::Unsent);
    let actions =
        state.on_attempt_ended(at(1), &mut fleet, shard, ticket.server, AttemptOutcome::Unsent);
    assert_eq!(sends(&actions).len(), 1);
    assert_eq!(state.extra_attempts(), 0);
}

#[test]
fn late_searches_yield_to_timely_ones_at_busy_servers() {
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    fleet.configure(at(0), &with_connections("shard-0", 4));
    let key = class(&mut fleet);
    let server = fleet.pick(at(0), services[0], key, PickScope::default()).expect("a server");
    for _ in 0..2 {
        fleet.on_attempt_sent(at(0), server, key, AttemptKind::First);
    }
    let scope = |is_on_time| PickScope {
        rank: SearchRank { is_on_time, arrived: at(0), ..SearchRank::default() },
        ..PickScope::default()
    };
    assert!(fleet.pick(at(0), services[0], key, scope(false)).is_none());
    assert!(fleet.pick(at(0), services[0], key, scope(true)).is_some());
}

#[test]
fn removing_a_server_does_not_end_its_attempts_in_flight() {
    let (mut fleet, services) = fleet(1, &["a", "b"], LIMITS);
    let mut state = FanoutState::new(plan(&mut fleet, &services, 1));
    let (shard, ticket) = sends(&state.start(at(0), &mut fleet))[0];
    fleet.apply(at(1), &DirectoryChange::Removed(name("shard-0-a")));
    fleet.apply(at(1), &DirectoryChange::Changed(entry("new", "shard-0", "a")));
    fleet.on_attempt_ended(at(5), ticket, AttemptOutcome::Answered);
    let actions =
        state.on_attempt_ended(at(5), &mut fleet, shard, ticket.server, AttemptOutcome::Answered);
    assert_eq!(finish(&actions), Some(FanoutOutcome::Answered));
}

/// Guards against a shard that reaches more servers than the route allows: an attempt
/// that could not be sent to a server must not hide that an earlier one reached it.
#[test]
fn a_failed_connection_to_a_server_that_refused_before_is_no_free_attempt() {
    let (mut fleet, services) = fleet(2, &["a", "b", "c"], LIMITS);
    let mut plan = plan(&mut fleet, &services, 1);
    plan.attempts = 1;
    let mut state = FanoutState::new(plan);
    let sent = sends(&state.start(at(0), &mut fleet));
    let (shard, first) = sent[0];
    let mut reached = vec![first.server];
    let mut ticket = first;
    // The server refuses the first attempt, and no connection to it succeeds afterwards.
    for (step, outcome) in
        [AttemptOutcome::NotRun, AttemptOutcome::Unsent, AttemptOutcome::Unsent].iter().enumerate()
    {
        let now = at(1 + 30 * step as u64);
        fleet.on_attempt_ended(now, ticket, *outcome);
        state.on_attempt_ended(now, &mut fleet, shard, ticket.server, *outcome);
        let again = sends(&state.on_timer(now + Duration::from_millis(25), &mut fleet));
        let Some((_, next)) = again.iter().find(|(other, _)| *other == shard) else { continue };
        reached.push(next.server);
        ticket = *next;
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 1, "servers of one shard that may have been called");
}
