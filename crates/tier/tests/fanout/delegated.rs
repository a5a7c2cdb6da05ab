//! Shards that another node calls: partial results, fallback to direct calls, and
//! reports to the delegating node.

use carobstep_tier::{
    AttemptOutcome, Delegation, DelegationIndex, DelegationUpdate, DirectoryChange, FanoutAction,
    FanoutOutcome, FanoutRole, FanoutState, FleetLimits, ShardIndex,
};

use crate::{
    plan, sends, support,
    support::{LIMITS, at, fleet, name},
};

const DELEGATION: DelegationIndex = DelegationIndex(0);

/// Builds and starts a search over two shards, the second of which is delegated to a peer.
fn delegated(limits: FleetLimits) -> (carobstep_tier::ServerFleet, FanoutState, Vec<FanoutAction>) {
    let (mut fleet, services) = fleet(2, &["a", "b"], limits);
    let mut plan = plan(&mut fleet, &services, 2);
    plan.delegations = vec![Delegation {
        peer: name("peer"),
        shards: vec![ShardIndex(1)],
        fallback_at: at(30),
        is_first: true,
        is_relay: false,
    }];
    let mut state = FanoutState::new(plan);
    let actions = state.start(at(0), &mut fleet);
    (fleet, state, actions)
}

#[test]
fn partial_results_of_a_peer_are_used_if_they_arrive_first() {
    let (mut fleet, mut state, actions) = delegated(LIMITS);
    assert!(actions.contains(&FanoutAction::Delegate(DELEGATION)));
    assert_eq!(sends(&actions).len(), 1);
    let (shard, ticket) = sends(&actions)[0];
    fleet.on_attempt_ended(at(5), ticket, AttemptOutcome::Answered);
    state.on_attempt_ended(at(5), &mut fleet, shard, ticket.server, AttemptOutcome::Answered);
    let update = DelegationUpdate::PartialResults(vec![ShardIndex(1)]);
    let actions = state.on_delegation_update(at(9), DELEGATION, &update);
    let expected = [
        FanoutAction::UsePartialResults(DELEGATION),
        FanoutAction::Finish(FanoutOutcome::Answered),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn a_shard_answered_directly_and_by_a_peer_counts_once() {
    let (mut fleet, mut state, _) = delegated(LIMITS);
    let direct = sends(&state.on_timer(at(30), &mut fleet));
    assert_eq!(direct.len(), 2, "a hedge of the first shard, and a direct call for the second one");
    let (shard, ticket) =
        direct.into_iter().find(|(shard, _)| shard.0 == 1).expect("a direct call");
    fleet.on_attempt_ended(at(40), ticket, AttemptOutcome::Answered);
    state.on_attempt_ended(at(40), &mut fleet, shard, ticket.server, AttemptOutcome::Answered);
    let update = DelegationUpdate::PartialResults(vec![ShardIndex(1)]);
    let actions = state.on_delegation_update(at(41), DELEGATION, &update);
    assert!(
        actions.contains(&FanoutAction::UsePartialResults(DELEGATION)),
        "it replaces the direct answer"
    );
    assert_eq!(state.answered(), 1, "and is not counted twice");

    let (mut fleet, mut state, _) = delegated(LIMITS);
    let (shard, ticket) = sends(&state.on_timer(at(30), &mut fleet))
        .into_iter()
        .find(|(shard, _)| shard.0 == 1)
        .expect("a direct call");
    let actions = state.on_delegation_update(at(41), DELEGATION, &update);
    assert!(actions.contains(&FanoutAction::UsePartialResults(DELEGATION)), "{actions:?}");
    fleet.on_attempt_ended(at(42), ticket, AttemptOutcome::Answered);
    state.on_attempt_ended(at(42), &mut fleet, shard, ticket.server, AttemptOutcome::Answered);
    assert_eq!(state.answered(), 1, "the direct answer came second");
}

#[test]
fn partial_results_of_a_late_peer_are_used_although_one_shard_was_answered_directly() {
    // The peer did not respond in time, and the budget allows one direct call: the node starts
    // with one token, and a part of one would pay for a second call at random.
    let limits = FleetLimits { retry_ratio: 0.0, retry_slack: 2.5, ..LIMITS };
    let (mut fleet, services) = fleet(1, &["a", "b"], limits);
    let services = vec![services[0]; 3];
    let mut plan = plan(&mut fleet, &services, 3);
    plan.delegations = vec![Delegation {
        peer: name("peer"),
        shards: vec![ShardIndex(0), ShardIndex(1), ShardIndex(2)],
        fallback_at: at(30),
        is_first: true,
        is_relay: false,
    }];
    let mut state = FanoutState::new(plan);
    state.start(at(0), &mut fleet);
    let direct = sends(&state.on_timer(at(30), &mut fleet));
    assert_eq!(direct.len(), 1, "the budget does not allow the others");
    let (shard, ticket) = direct[0];
    fleet.on_attempt_ended(at(40), ticket, AttemptOutcome::Answered);
    state.on_attempt_ended(at(40), &mut fleet, shard, ticket.server, AttemptOutcome::Answered);
    let all = DelegationUpdate::PartialResults(vec![ShardIndex(0), ShardIndex(1), ShardIndex(2)]);
    let actions = state.on_delegation_update(at(60), DELEGATION, &all);
    assert_eq!(
        actions,
        [
            FanoutAction::UsePartialResults(DELEGATION),
            FanoutAction::Finish(FanoutOutcome::Answered)
        ]
    );
}

#[test]
fn direct_calls_need_budget_only_if_the_peer_may_have_called_servers() {
    struct FallbackCase {
        update: DelegationUpdate,
        slack: f64,
        sent: usize,
    }
    let cases = [
        FallbackCase { update: DelegationUpdate::NotSent, slack: 0.0, sent: 1 },
        FallbackCase { update: DelegationUpdate::Lost, slack: 0.0, sent: 0 },
        FallbackCase { update: DelegationUpdate::Lost, slack: 10.0, sent: 1 },
    ];
    for case in cases {
        let limits = FleetLimits { retry_slack: case.slack, ..LIMITS };
        let (mut fleet, mut state, _) = delegated(limits);
        state.on_delegation_update(at(1), DELEGATION, &case.update);
        let sent = sends(&state.on_timer(at(1), &mut fleet));
        assert_eq!(sent.len(), case.sent, "{:?} with slack {}", case.update, case.slack);
    }
}

#[test]
fn shards_that_a_peer_could_not_get_are_called_only_after_the_answer_time() {
    let (mut fleet, mut state, actions) = delegated(LIMITS);
    let (shard, ticket) = sends(&actions)[0];
    fleet.on_attempt_ended(at(5), ticket, AttemptOutcome::Answered);
    state.on_attempt_ended(at(5), &mut fleet, shard, ticket.server, AttemptOutcome::Answered);
    let update = DelegationUpdate::Ended;
    assert!(state.on_delegation_update(at(70), DELEGATION, &update).is_empty(), "not abandoned");
    assert!(sends(&state.on_timer(at(79), &mut fleet)).is_empty());
    assert_eq!(sends(&state.on_timer(at(80), &mut fleet)).len(), 1);
}

/// Servers of a shard that are known to the two nodes of a delegated search.
struct SharedShardCase {
    name: &'static str,
    /// Zones in which the node knows servers; each server is named by its zone.
    known: &'static [&'static str],
    /// Zones in which the delegate knows servers.
    known_to_delegate: &'static [&'static str],
    /// Server that is removed from the node's directory although it still answers.
    lost: Option<&'static str>,
}

#[test]
fn later_results_of_a_peer_are_awaited_without_direct_calls() {
    let (mut fleet, services) = fleet(3, &["a", "b"], LIMITS);
    let mut plan = plan(&mut fleet, &services, 3);
    plan.delegations = vec![Delegation {
        peer: name("peer"),
        shards: vec![ShardIndex(0), ShardIndex(1), ShardIndex(2)],
        fallback_at: at(30),
        is_first: true,
        is_relay: false,
    }];
    let mut state = FanoutState::new(plan);
    state.start(at(0), &mut fleet);
    // The peer reports one shard first and continues with the others.
    let first = DelegationUpdate::PartialResults(vec![ShardIndex(0)]);
    assert_eq!(
        state.on_delegation_update(at(29), DELEGATION, &first),
        [FanoutAction::UsePartialResults(DELEGATION)]
    );
    for millis in [30, 80, 200] {
        let actions = state.on_timer(at(millis), &mut fleet);
        assert!(actions.is_empty(), "{actions:?} after {millis} ms");
    }
    let second = DelegationUpdate::PartialResults(vec![ShardIndex(2)]);
    assert_eq!(
        state.on_delegation_update(at(210), DELEGATION, &second),
        [FanoutAction::UsePartialResults(DELEGATION)]
    );
    let last = DelegationUpdate::PartialResults(vec![ShardIndex(1)]);
    let actions = state.on_delegation_update(at(220), DELEGATION, &last);
    assert_eq!(
        actions,
        [
            FanoutAction::UsePartialResults(DELEGATION),
            FanoutAction::Finish(FanoutOutcome::Answered)
        ]
    );
}

#[test]
fn shards_for_which_a_peer_called_no_server_are_called_directly_without_budget() {
    let limits = FleetLimits { retry_slack: 0.0, ..LIMITS };
    let (mut fleet, mut state, _) = delegated(limits);
    let not_called = DelegationUpdate::NotCalled(vec![ShardIndex(1)]);
    state.on_delegation_update(at(2), DELEGATION, &not_called);
    let sent = sends(&state.on_timer(at(2), &mut fleet));
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, ShardIndex(1));
    assert_eq!(state.extra_attempts(), 0);
}

#[test]
fn a_delegate_reports_at_once_the_shards_that_it_cannot_call() {
    let (mut fleet, services) = fleet(3, &["a"], LIMITS);
    fleet.apply(at(0), &DirectoryChange::Removed(name("shard-1-a")));
    let mut plan = plan(&mut fleet, &services, 0);
    plan.role = FanoutRole::Delegate { is_first: true };
    let mut state = FanoutState::new(plan);
    let actions = state.start(at(0), &mut fleet);
    assert!(actions.contains(&FanoutAction::Report), "{actions:?}");
    assert_eq!(state.shards_not_called(), [ShardIndex(1)]);
    assert_eq!(sends(&actions).len(), 2, "the other shards are called");
}

#[test]
fn shards_of_a_peer_that_is_lost_after_its_first_response_are_called_directly() {
    let (mut fleet, mut state, _) = delegated(LIMITS);
    assert!(
        state
            .on_delegation_update(at(20), DELEGATION, &DelegationUpdate::PartialResults(Vec::new()))
            .is_empty()
    );
    let direct = |actions: &[FanoutAction]| sends(actions).iter().any(|(shard, _)| shard.0 == 1);
    assert!(!direct(&state.on_timer(at(90), &mut fleet)), "the peer has shown that it is alive");
    state.on_delegation_update(at(91), DELEGATION, &DelegationUpdate::Lost);
    assert!(direct(&state.on_timer(at(91), &mut fleet)));
}

#[test]
fn a_delegate_reports_at_the_answer_time_and_after_each_later_answer() {
    let (mut fleet, services) = fleet(3, &["a", "b"], LIMITS);
    let mut plan = plan(&mut fleet, &services, 0);
    plan.role = FanoutRole::Delegate { is_first: true };
    let mut state = FanoutState::new(plan);
    let sent = sends(&state.start(at(0), &mut fleet));
    let mut answer = |state: &mut FanoutState, position: usize, millis: u64| {
        let (shard, ticket) = sent[position];
        fleet.on_attempt_ended(at(millis), ticket, AttemptOutcome::Answered);
        state.on_attempt_ended(
            at(millis),
            &mut fleet,
            shard,
            ticket.server,
            AttemptOutcome::Answered,
        )
    };
    assert!(answer(&mut state, 0, 10).is_empty(), "no report is sent before the answer time");
    let (mut other, _) = support::fleet(0, &[], LIMITS);
    let reports = |actions: &[FanoutAction]| actions.contains(&FanoutAction::Report);
    assert!(reports(&state.on_timer(at(80), &mut other)));
    assert!(!reports(&state.on_timer(at(85), &mut other)), "there are no new answers");
    assert_eq!(answer(&mut state, 1, 100), [FanoutAction::Report]);
    let last = answer(&mut state, 2, 110);
    assert_eq!(last, [FanoutAction::Finish(FanoutOutcome::Answered)]);
}

#[test]
fn a_node_and_its_delegate_reach_no_more_servers_than_the_route_allows() {
    // Three servers, two attempts: the delegate calls two servers and then stops
    // responding, and the node calls servers itself.
    let cases = [
        SharedShardCase {
            name: "the same servers",
            known: &["a", "b", "c"],
            known_to_delegate: &["c", "b", "a"],
            lost: None,
        },
        SharedShardCase {
            name: "the delegate does not know one yet",
            known: &["a", "b", "c"],
            known_to_delegate: &["b", "c"],
            lost: None,
        },
        SharedShardCase {
            name: "the node does not know one yet",
            known: &["a", "c"],
            known_to_delegate: &["a", "b", "c"],
            lost: None,
        },
        SharedShardCase {
            name: "an entry is removed while its server still runs",
            known: &["a", "b", "c"],
            known_to_delegate: &["a", "b", "c"],
            lost: Some("b"),
        },
    ];
    for case in cases {
        for round in 0..12 {
            let label = format!("{}, round {round}", case.name);
            let (mut own, services) = fleet(1, case.known, LIMITS);
            let mut own_plan = plan(&mut own, &services, 1);
            let shard = ShardIndex(0);
            let mut allowed = Vec::new();
            // The choice among equal servers rotates, so later searches choose others.
            for _ in 0..=round {
                allowed = own.choose_allowed(at(0), services[0], own_plan.class, "b", 2, &[]);
            }
            let id_hashes = own.id_hashes(&allowed);
            own_plan.allowed.insert(shard, allowed);
            own_plan.delegations = vec![Delegation {
                peer: name("peer"),
                shards: vec![shard],
                fallback_at: at(30),
                is_first: true,
                is_relay: false,
            }];

            let (mut delegate, services) = fleet(1, case.known_to_delegate, LIMITS);
            let mut delegate_plan = plan(&mut delegate, &services, 0);
            delegate_plan.role = FanoutRole::Delegate { is_first: true };
            let (service, servers) =
                delegate.find_servers_by_hash(&id_hashes).expect("known servers");
            assert_eq!(service, services[0]);
            delegate_plan.allowed.insert(shard, servers);
            let mut reached = indexmap::IndexSet::new();
            let mut state = FanoutState::new(delegate_plan);
            let mut sent = sends(&state.start(at(0), &mut delegate));
            sent.extend(sends(&state.on_timer(at(40), &mut delegate)));
            for (_, ticket) in sent {
                reached.insert(delegate.endpoint(ticket.server).expect("a server").entry.id);
            }
            assert!(!reached.is_empty(), "{label}");

            let mut state = FanoutState::new(own_plan);
            state.start(at(0), &mut own);
            if let Some(zone) = case.lost {
                own.apply(at(20), &DirectoryChange::Removed(name(&format!("shard-0-{zone}"))));
            }
            let mut sent = sends(&state.on_timer(at(30), &mut own));
            sent.extend(sends(&state.on_timer(at(90), &mut own)));
            for (_, ticket) in sent {
                reached.insert(own.endpoint(ticket.server).expect("a server").entry.id);
            }
            assert!(reached.len() <= 2, "{label}: {reached:?}");
        }
    }
}
