//! Requests of a node that is stopping.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptKind, AttemptOutcome, ClassKey, Delegation, FanoutAction, FanoutOutcome, FanoutPlan,
    FanoutRole, FanoutState, RetryPolicy, ServerFleet, ServerKey, ServiceKey, ShardIndex,
    StopHorizon,
};
use indexmap::IndexMap;

use super::{finish, plan, sends};
use crate::support::{self, LIMITS, at, name};

/// Objective and timeout of the orders.
const ORDER_OBJECTIVE: Duration = Duration::from_secs(8);
const ORDER_TIMEOUT: Duration = Duration::from_secs(8);

/// When the node sends its last responses.
const LAST_RESPONSE_MS: u64 = 5_600;

/// Number of requests that each server executes at once.
const SLOTS: u32 = 8;

fn order_class(fleet: &mut ServerFleet) -> ClassKey {
    fleet.classes.class_for(ORDER_OBJECTIVE, ORDER_TIMEOUT, false)
}

/// Builds a fleet with two servers of one service, and lets orders be answered that took
/// `work_ms` each, so that the node knows how long they take.
fn order_fleet(work_ms: &[u64]) -> (ServerFleet, ServiceKey) {
    let mut fleet = ServerFleet::new(name("a"), LIMITS);
    let service = fleet.get_or_insert_service(at(0), &name("orders"));
    for number in 0..2 {
        let mut entry = support::entry(&format!("orders-{number}"), "orders", "a");
        entry.slots = SLOTS;
        fleet.apply(at(0), &carobstep_tier::DirectoryChange::Changed(entry));
    }
    let class = order_class(&mut fleet);
    for work in work_ms {
        let scope = carobstep_tier::PickScope::default();
        let server = fleet.pick(at(0), service, class, scope).expect("a server");
        let ticket = fleet.on_attempt_sent(at(0), server, class, AttemptKind::First);
        fleet.on_attempt_ended(at(*work), ticket, AttemptOutcome::Answered);
    }
    (fleet, service)
}

fn order_plan(fleet: &mut ServerFleet, service: ServiceKey, arrived: BootTime) -> FanoutPlan {
    FanoutPlan {
        retry: RetryPolicy::AtMostOnce,
        class: order_class(fleet),
        arrived,
        answer_by: arrived + ORDER_OBJECTIVE,
        deadline: arrived + ORDER_TIMEOUT,
        ..plan(fleet, &[service], 1)
    }
}

/// Whether an order is passed on by a node that stops at the start.
struct OrderCase {
    name: &'static str,
    /// Times that earlier orders took.
    known_ms: Vec<u64>,
    sent_ms: u64,
    retry: RetryPolicy,
    is_sent: bool,
}

/// Guards against orders that are passed on although servers still work on them when the
/// process exits.
#[test]
fn an_order_that_cannot_end_before_the_exit_is_not_sent() {
    let at_most_once = RetryPolicy::AtMostOnce;
    let usual = || [vec![100; 45], vec![2_500; 3]].concat();
    let cases = [
        OrderCase {
            name: "nothing is known, and it may take until its timeout",
            known_ms: vec![],
            sent_ms: 0,
            retry: at_most_once,
            is_sent: false,
        },
        OrderCase {
            name: "it ends in time",
            known_ms: usual(),
            sent_ms: 2_800,
            retry: at_most_once,
            is_sent: true,
        },
        OrderCase {
            name: "some take too long",
            known_ms: usual(),
            sent_ms: 3_200,
            retry: at_most_once,
            is_sent: false,
        },
        OrderCase {
            name: "nearly all end in time, and it may be repeated",
            known_ms: usual(),
            sent_ms: 3_200,
            retry: RetryPolicy::Idempotent,
            is_sent: true,
        },
        OrderCase {
            name: "hardly any end in time",
            known_ms: usual(),
            sent_ms: LAST_RESPONSE_MS - 50,
            retry: RetryPolicy::Idempotent,
            is_sent: false,
        },
    ];
    for case in cases {
        let (mut fleet, service) = order_fleet(&case.known_ms);
        fleet.set_horizon(StopHorizon::at(at(LAST_RESPONSE_MS)));
        let arrived = at(case.sent_ms);
        let plan = FanoutPlan { retry: case.retry, ..order_plan(&mut fleet, service, arrived) };
        let actions = FanoutState::new(plan).start(arrived, &mut fleet);
        assert_eq!(sends(&actions).len(), usize::from(case.is_sent), "{}", case.name);
        let outcome = (!case.is_sent).then_some(FanoutOutcome::NotRun);
        assert_eq!(finish(&actions), outcome, "{}: refused at once", case.name);
    }
}

/// An order of [`play_orders`].
struct PlayedOrder {
    state: FanoutState,
    work: Duration,
    sent: Option<(BootTime, ServerKey)>,
    ended: Option<(BootTime, FanoutOutcome)>,
}

/// Sends orders that take `work_ms` at the same time to a stopping node, whose servers
/// execute [`SLOTS`] of them each, in the order in which they arrive. Returns when and how
/// each ended, and when it was sent to a server.
fn play_orders(fleet: &mut ServerFleet, service: ServiceKey, work_ms: &[u64]) -> Vec<PlayedOrder> {
    let start = at(2_000);
    let mut orders = Vec::new();
    let mut due = Vec::new();
    for work in work_ms {
        let state = FanoutState::new(order_plan(fleet, service, start));
        let work = Duration::from_millis(*work);
        orders.push(PlayedOrder { state, work, sent: None, ended: None });
    }
    // When each slot of a server is free.
    let mut slots: IndexMap<ServerKey, Vec<BootTime>> = IndexMap::new();
    for millis in 2_000..6_000 {
        let now = at(millis);
        for (position, order) in orders.iter_mut().enumerate() {
            if order.ended.is_some() {
                continue;
            }
            let mut actions = if millis == 2_000 {
                order.state.start(now, fleet)
            } else if now >= order.state.next_timer(now) {
                order.state.on_timer(now, fleet)
            } else {
                Vec::new()
            };
            for (_, ticket) in sends(&actions) {
                let free = slots.entry(ticket.server).or_insert(vec![now; SLOTS as usize]);
                let slot = free.iter_mut().min().expect("a slot");
                *slot = (*slot).max(now) + order.work;
                due.push((*slot, position, ticket));
                order.sent = Some((now, ticket.server));
            }
            let answer = due.iter().position(|(at, it, _)| *it == position && *at <= now);
            if let Some((_, _, ticket)) = answer.map(|index| due.swap_remove(index)) {
                let outcome = AttemptOutcome::Answered;
                fleet.on_attempt_ended(now, ticket, outcome);
                actions.extend(order.state.on_attempt_ended(
                    now,
                    fleet,
                    ShardIndex(0),
                    ticket.server,
                    outcome,
                ));
            }
            order.ended = finish(&actions).map(|outcome| (now, outcome));
        }
    }
    orders
}

/// Guards against orders that wait for a slot of a stopping node, are passed on late and cut
/// by the exit: 36 orders at 16 slots, half of which take 2.4 s.
#[test]
fn orders_that_wait_for_a_slot_of_a_stopping_node_end_before_its_exit() {
    let work_ms: Vec<u64> = (0..36).map(|it| if it % 2 == 0 { 500 } else { 2_400 }).collect();
    let (mut fleet, service) = order_fleet(&work_ms.repeat(2));
    fleet.set_horizon(StopHorizon::at(at(LAST_RESPONSE_MS)));
    let orders = play_orders(&mut fleet, service, &work_ms);
    let mut executed = 0;
    for (number, order) in orders.iter().enumerate() {
        let (ended, outcome) = order.ended.expect("the node answers before it exits");
        match order.sent {
            Some((sent, _)) => {
                assert_eq!(outcome, FanoutOutcome::Answered, "order {number}, sent at {sent:?}");
                executed += 1;
            }
            None => {
                assert_eq!(outcome, FanoutOutcome::NotRun, "order {number}");
                // Without the time that the longest orders take, nothing is left to wait for.
                assert!(ended <= at(LAST_RESPONSE_MS - 2_400), "order {number} waited for long");
            }
        }
    }
    assert!(executed >= 16, "{executed} orders were executed at 16 slots");
}

/// Guards against a stopping node that hands work to another node and exits before that node
/// can respond.
#[test]
fn a_stopping_node_delegates_no_order_that_outlasts_it() {
    for (sent_ms, is_delegated) in [(2_900, true), (3_200, false)] {
        let (mut fleet, service) = order_fleet(&vec![2_450; 48]);
        fleet.set_horizon(StopHorizon::at(at(LAST_RESPONSE_MS)));
        let arrived = at(sent_ms);
        let mut plan = order_plan(&mut fleet, service, arrived);
        plan.delegations = vec![Delegation {
            peer: name("front-b-1"),
            shards: vec![ShardIndex(0)],
            is_relay: true,
            fallback_at: plan.answer_by,
            is_first: true,
        }];
        let actions = FanoutState::new(plan).start(arrived, &mut fleet);
        let delegates = actions.iter().any(|it| matches!(it, FanoutAction::Delegate(_)));
        assert_eq!(delegates, is_delegated, "{sent_ms} ms: {actions:?}");
        let outcome = (!is_delegated).then_some(FanoutOutcome::NotRun);
        assert_eq!(finish(&actions), outcome, "{sent_ms} ms");
    }
}

/// Guards against a delegate that starts an order shortly before it exits, so that the node
/// which delegated it can't tell whether it was executed.
#[test]
fn a_stopping_delegate_calls_no_server_for_an_order_that_outlasts_it() {
    let (mut fleet, service) = order_fleet(&vec![2_450; 48]);
    fleet.set_horizon(StopHorizon::at(at(LAST_RESPONSE_MS)));
    let plan = FanoutPlan {
        role: FanoutRole::Delegate { is_first: true },
        ..order_plan(&mut fleet, service, at(3_500))
    };
    let mut state = FanoutState::new(plan);
    assert_eq!(finish(&state.start(at(3_500), &mut fleet)), Some(FanoutOutcome::NotRun));
    assert_eq!(state.shards_not_called(), [ShardIndex(0)], "another node may be asked");
}

/// Guards against callers in flight at the exit whose connections close without a response.
#[test]
fn a_request_in_flight_is_answered_before_the_exit() {
    let (mut fleet, service) = order_fleet(&[]);
    let mut order = FanoutState::new(order_plan(&mut fleet, service, at(0)));
    assert_eq!(sends(&order.start(at(0), &mut fleet)).len(), 1);
    fleet.set_horizon(StopHorizon::at(at(LAST_RESPONSE_MS)));
    assert_eq!(finish(&order.on_timer(at(250), &mut fleet)), None);
    assert_eq!(order.next_timer(at(250)), at(LAST_RESPONSE_MS));
    let outcome = finish(&order.on_timer(at(LAST_RESPONSE_MS), &mut fleet));
    assert_eq!(outcome, Some(FanoutOutcome::TimedOut), "it may have been executed");
}

/// Guards against the parts of a search that are lost although enough of them have arrived
/// when the node exits.
#[test]
fn a_search_is_answered_with_what_has_arrived_before_the_exit() {
    let (mut fleet, services) = support::fleet(4, &["a"], LIMITS);
    let mut state = FanoutState::new(plan(&mut fleet, &services, 3));
    for (shard, ticket) in sends(&state.start(at(0), &mut fleet)).into_iter().take(3) {
        let (server, outcome) = (ticket.server, AttemptOutcome::Answered);
        fleet.on_attempt_ended(at(5), ticket, outcome);
        let actions = state.on_attempt_ended(at(5), &mut fleet, shard, server, outcome);
        assert_eq!(finish(&actions), None);
    }
    fleet.set_horizon(StopHorizon::at(at(20)));
    let outcome = finish(&state.on_timer(at(20), &mut fleet));
    assert_eq!(outcome, Some(FanoutOutcome::Answered));
}
