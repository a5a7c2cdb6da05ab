//! Shards that this node can't call servers for: peers that call them, and what is kept
//! while they do.

use carobstep_tier::{
    AttemptOutcome, Delegation, DelegationIndex, DelegationUpdate, FanoutAction, FanoutOutcome,
    FanoutPlan, FanoutRole, FanoutState, FleetLimits, Placement, ProbeOutcome, RetryPolicy,
    ServerFleet, ServerKey, ServiceKey, ShardIndex,
};
use indexmap::IndexMap;

use crate::{
    finish, plan, sends,
    support::{LIMITS, at, fleet, name},
};

const FIRST: DelegationIndex = DelegationIndex(0);
const SECOND: DelegationIndex = DelegationIndex(1);

/// Plans a request to one service, with other nodes around.
fn single(fleet: &mut ServerFleet, services: &[ServiceKey], retry: RetryPolicy) -> FanoutPlan {
    let role = FanoutRole::Entry { has_peers: true };
    FanoutPlan { retry, role, ..plan(fleet, &services[..1], 1) }
}

fn placement(peer: &str, shards: &[u16]) -> Placement {
    let delegation = Delegation {
        peer: name(peer),
        shards: shards.iter().copied().map(ShardIndex).collect(),
        is_relay: true,
        fallback_at: at(50),
        is_first: true,
    };
    Placement { delegations: vec![delegation], allowed: IndexMap::new() }
}

/// Starts a request whose shard is delegated to a peer because no server is in reach.
fn relayed(retry: RetryPolicy, limits: FleetLimits) -> (ServerFleet, FanoutState) {
    let (mut fleet, services) = fleet(1, &["a", "b"], limits);
    lose_all(&mut fleet);
    let Placement { delegations, .. } = placement("peer-1", &[0]);
    let plan = FanoutPlan { delegations, ..single(&mut fleet, &services, retry) };
    let mut state = FanoutState::new(plan);
    assert_eq!(state.start(at(0), &mut fleet), [FanoutAction::Delegate(FIRST)]);
    (fleet, state)
}

/// Lets all links of the node be lost.
fn lose_all(fleet: &mut ServerFleet) {
    for zone in ["a", "b"] {
        fleet.suspect_zone(at(0), &name(zone));
    }
    for server in fleet.due_probes(at(0)) {
        fleet.on_probe_ended(at(0), server, ProbeOutcome::Unreachable);
    }
}

/// How a peer's work for a request to one service ends, and what follows.
struct EndCase {
    label: &'static str,
    retry: RetryPolicy,
    update: DelegationUpdate,
    slack: f64,
    /// Whether another peer may be asked.
    is_asked_elsewhere: bool,
    outcome: Option<FanoutOutcome>,
}

#[test]
fn a_request_is_sent_on_elsewhere_only_if_it_can_not_have_run_or_may_run_again() {
    use DelegationUpdate::{Ended, Failed, Lost, NotCalled, NotRun, NotSent};
    use RetryPolicy::{AtMostOnce, Idempotent};
    let all = || vec![ShardIndex(0)];
    let case = |label, retry, update, is_asked_elsewhere, outcome| EndCase {
        label,
        retry,
        update,
        slack: 10.0,
        is_asked_elsewhere,
        outcome,
    };
    let failed = Some(FanoutOutcome::Failed);
    let not_run = Some(FanoutOutcome::NotRun);
    let cases = [
        case("not sent", AtMostOnce, NotSent, true, None),
        case("no server called", AtMostOnce, NotCalled(all()), true, None),
        case("hop lost after it was sent", AtMostOnce, Lost, false, failed),
        case("peer ended without a word", AtMostOnce, Ended, false, failed),
        case("ran without success", AtMostOnce, Failed, false, failed),
        case("refused by the servers", AtMostOnce, NotRun, false, not_run),
        case("not sent", Idempotent, NotSent, true, None),
        case("hop lost", Idempotent, Lost, true, None),
        case("ran without success", Idempotent, Failed, false, failed),
        case("refused by the servers", Idempotent, NotRun, false, not_run),
        EndCase {
            label: "hop lost, no retry budget",
            retry: Idempotent,
            update: Lost,
            slack: 0.0,
            is_asked_elsewhere: false,
            outcome: None,
        },
    ];
    for case in cases {
        let label = format!("{}, {:?}", case.label, case.retry);
        let limits = FleetLimits { retry_slack: case.slack, ..LIMITS };
        let (mut fleet, mut state) = relayed(case.retry, limits);
        let actions = state.on_delegation_update(at(10), FIRST, &case.update);
        assert_eq!(finish(&actions), case.outcome, "{label}");
        state.on_timer(at(10), &mut fleet);
        let unplaced = state.unplaced_shards();
        if case.outcome.is_some() {
            assert!(unplaced.is_empty(), "{label}");
            continue;
        }
        assert_eq!(unplaced.len(), 1, "{label}");
        assert_eq!(unplaced[0].tried, [name("peer-1")], "{label}");
        let actions = state.place(at(10), &mut fleet, placement("peer-2", &[0]));
        let is_asked = actions.contains(&FanoutAction::Delegate(SECOND));
        assert_eq!(is_asked, case.is_asked_elsewhere, "{label}: {actions:?}");
        let extra = u32::from(case.update == Lost && is_asked);
        assert_eq!(state.extra_attempts(), extra, "{label}: charged to the retry budget");
    }
}

#[test]
fn a_request_that_no_peer_can_send_is_refused_at_once() {
    for retry in [RetryPolicy::Idempotent, RetryPolicy::AtMostOnce] {
        let (mut fleet, mut state) = relayed(retry, LIMITS);
        let not_called = DelegationUpdate::NotCalled(vec![ShardIndex(0)]);
        state.on_delegation_update(at(3), FIRST, &not_called);
        state.on_timer(at(3), &mut fleet);
        state.place(at(3), &mut fleet, Placement::default());
        let actions = state.on_timer(at(3), &mut fleet);
        assert_eq!(finish(&actions), Some(FanoutOutcome::NotRun), "{retry:?}");
        assert_eq!(state.missing_shards().out_of_reach, 1, "{retry:?}");
    }
}

#[test]
fn later_requests_do_not_ask_peers_that_could_not_help() {
    let (mut fleet, mut state) = relayed(RetryPolicy::Idempotent, LIMITS);
    let not_called = DelegationUpdate::NotCalled(vec![ShardIndex(0)]);
    state.on_delegation_update(at(3), FIRST, &not_called);
    state.on_timer(at(3), &mut fleet);
    state.place(at(3), &mut fleet, Placement::default());
    let service = state.plan().services[0];
    assert!(fleet.is_relay_futile(at(10), service));
    assert!(!fleet.is_relay_futile(at(1_000), service));
}

/// Guards against a search that is given up while a busy peer still works on it, and against
/// a response that holds the records of a shard twice: the merged results of two peers can't
/// be separated by shard.
#[test]
fn shards_at_a_silent_peer_are_awaited_and_not_given_to_another() {
    let (mut fleet, services) = fleet(3, &["a"], LIMITS);
    let Placement { delegations, .. } = placement("peer-1", &[0, 1, 2]);
    let role = FanoutRole::Entry { has_peers: true };
    let plan = FanoutPlan { delegations, role, ..plan(&mut fleet, &services, 3) };
    let mut state = FanoutState::new(plan);
    state.start(at(0), &mut fleet);
    lose_all(&mut fleet);
    for millis in [50, 55, 60, 79] {
        assert!(state.on_timer(at(millis), &mut fleet).is_empty(), "{millis} ms");
        assert!(state.unplaced_shards().is_empty(), "{millis} ms");
    }
    let all = DelegationUpdate::PartialResults(vec![ShardIndex(0), ShardIndex(1), ShardIndex(2)]);
    let actions = state.on_delegation_update(at(79), FIRST, &all);
    assert_eq!(finish(&actions), Some(FanoutOutcome::Answered));
}

/// Guards against shards that no node calls because the peer that had them was lost.
#[test]
fn shards_at_a_peer_that_is_lost_go_to_another_as_the_budget_allows() {
    let limits = FleetLimits { retry_slack: 2.6, ..LIMITS };
    let (mut fleet, services) = fleet(1, &["a"], limits);
    lose_all(&mut fleet);
    let services = vec![services[0]; 3];
    let Placement { delegations, .. } = placement("peer-1", &[0, 1, 2]);
    let role = FanoutRole::Entry { has_peers: true };
    let plan = FanoutPlan { delegations, role, ..plan(&mut fleet, &services, 1) };
    let mut state = FanoutState::new(plan);
    state.start(at(0), &mut fleet);
    state.on_delegation_update(at(20), FIRST, &DelegationUpdate::Lost);
    state.on_timer(at(20), &mut fleet);
    assert_eq!(state.unplaced_shards().len(), 3);
    let actions = state.place(at(20), &mut fleet, placement("peer-2", &[0, 1, 2]));
    assert_eq!(actions, [FanoutAction::Delegate(SECOND)]);
    assert_eq!(state.plan().delegations[1].shards.len(), 1, "the budget pays for one");
    assert!(!fleet.is_relay_futile(at(20), services[0]), "no peer has said that it can't");
}

/// Guards against a request that reaches more servers than its route allows because each
/// peer gets servers of its own.
#[test]
fn the_next_peer_may_call_the_same_servers_only() {
    let (mut fleet, mut state) = relayed(RetryPolicy::Idempotent, LIMITS);
    let service = state.plan().services[0];
    let key = state.plan().class;
    let servers = fleet.choose_allowed(at(0), service, key, "a", 2, &[]);
    let with_allowed = |peer, servers: &[ServerKey]| {
        let mut placement = placement(peer, &[0]);
        placement.allowed.insert(ShardIndex(0), servers.to_vec());
        placement
    };
    for (peer, allowed) in [("peer-2", &servers[..1]), ("peer-3", &servers[1..])] {
        let index = DelegationIndex(state.plan().delegations.len() as u16 - 1);
        state.on_delegation_update(at(1), index, &DelegationUpdate::Lost);
        state.on_timer(at(1), &mut fleet);
        state.place(at(1), &mut fleet, with_allowed(peer, allowed));
        assert_eq!(state.plan().allowed[&ShardIndex(0)], servers[..1], "{peer}");
    }
}

#[test]
fn a_request_whose_servers_can_not_be_connected_to_goes_to_a_peer() {
    for retry in [RetryPolicy::Idempotent, RetryPolicy::AtMostOnce] {
        let (mut fleet, services) = fleet(1, &["a", "b"], LIMITS);
        let mut state = FanoutState::new(single(&mut fleet, &services, retry));
        let mut sent = sends(&state.start(at(0), &mut fleet));
        for step in 1..=2 {
            let (shard, ticket) = sent.pop().expect("an attempt");
            fleet.on_attempt_ended(at(step), ticket, AttemptOutcome::Unsent);
            let actions = state.on_attempt_ended(
                at(step),
                &mut fleet,
                shard,
                ticket.server,
                AttemptOutcome::Unsent,
            );
            assert_eq!(finish(&actions), None, "{retry:?}");
            sent = sends(&actions);
        }
        assert!(sent.is_empty() && state.unplaced_shards().len() == 1, "{retry:?}");
        let actions = state.place(at(2), &mut fleet, placement("peer-1", &[0]));
        assert_eq!(actions, [FanoutAction::Delegate(FIRST)], "{retry:?}");
        assert_eq!(state.extra_attempts(), 0, "no server was reached, {retry:?}");
    }
}

/// A request in flight when its links are found to be lost.
struct InFlightCase {
    retry: RetryPolicy,
    slack: f64,
    is_delegated: bool,
    /// Outcome if no peer can help either.
    without_peer: Option<FanoutOutcome>,
}

#[test]
fn a_request_in_flight_on_lost_links_goes_to_a_peer_if_it_may_run_again() {
    let cases = [
        InFlightCase {
            retry: RetryPolicy::Idempotent,
            slack: 10.0,
            is_delegated: true,
            without_peer: Some(FanoutOutcome::Failed),
        },
        InFlightCase {
            retry: RetryPolicy::AtMostOnce,
            slack: 10.0,
            is_delegated: false,
            without_peer: None,
        },
    ];
    for InFlightCase { retry, slack, is_delegated, without_peer } in cases {
        for has_peer in [true, false] {
            let limits = FleetLimits { retry_slack: slack, ..LIMITS };
            let (mut fleet, services) = fleet(1, &["a", "b"], limits);
            let mut state = FanoutState::new(single(&mut fleet, &services, retry));
            assert_eq!(sends(&state.start(at(0), &mut fleet)).len(), 1);
            lose_all(&mut fleet);
            state.on_timer(at(300), &mut fleet);
            assert_eq!(state.unplaced_shards().len(), usize::from(is_delegated), "{retry:?}");
            let placement = if has_peer { placement("peer-1", &[0]) } else { Placement::default() };
            let actions = state.place(at(300), &mut fleet, placement);
            let is_sent = actions.contains(&FanoutAction::Delegate(FIRST));
            assert_eq!(is_sent, has_peer && is_delegated, "{retry:?}");
            if !has_peer {
                assert_eq!(finish(&actions), without_peer, "{retry:?}");
            }
        }
    }
}

/// Guards against a busy loop of a request whose links are lost while no peer is there.
#[test]
fn a_request_that_waits_for_a_silent_server_is_not_examined_without_pause() {
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    let mut state = FanoutState::new(single(&mut fleet, &services, RetryPolicy::Idempotent));
    state.start(at(0), &mut fleet);
    fleet.suspect_zone(at(0), &name("a"));
    let mut now = at(0);
    let mut steps = 0;
    while now < at(400) {
        state.on_timer(now, &mut fleet);
        if !state.unplaced_shards().is_empty() {
            state.place(now, &mut fleet, Placement::default());
        }
        let next = state.next_timer(now);
        assert!(next > now, "due again at once");
        now = next;
        steps += 1;
    }
    assert!(steps <= 100, "{steps} steps in 400 ms");
}

#[test]
fn a_delegate_does_not_delegate_further() {
    let (mut fleet, services) = fleet(1, &["a"], LIMITS);
    lose_all(&mut fleet);
    let role = FanoutRole::Delegate { is_first: true };
    let plan = FanoutPlan { role, ..plan(&mut fleet, &services, 1) };
    let mut state = FanoutState::new(plan);
    let actions = state.start(at(0), &mut fleet);
    assert_eq!(finish(&actions), Some(FanoutOutcome::NotRun));
    assert_eq!(state.shards_not_called(), [ShardIndex(0)]);
}
