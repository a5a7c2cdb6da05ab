//! Requests that crash the servers that run them.
//!
//! Guards against such a request reaching server after server, and against turning away
//! a request that was only in flight beside one.

mod support;

use carobstep_tier::{
    AttemptOutcome, ClassKey, CrashEvidence, CrashRecord, CrashTable, Delegation, DelegationIndex,
    DelegationUpdate, FanoutAction, FanoutOutcome, FanoutPlan, FanoutRole, FanoutState,
    QuarantineChange, RequestAdmission, RequestFingerprint, RetryPolicy, ServerIncarnation,
    ServiceKey, ShardIndex,
};
use indexmap::IndexMap;
use support::{LIMITS, OBJECTIVE, at, class, fleet, name};

fn request(path: &str) -> RequestFingerprint {
    RequestFingerprint::of(&[b"GET", path.as_bytes()])
}

fn evidence(server: &str) -> CrashEvidence {
    CrashEvidence::of(&ServerIncarnation { id: name(server), born_ms: Some(1) })
}

/// Parts of two requests, and whether they are the same request.
struct FingerprintCase {
    one: [&'static [u8]; 3],
    other: [&'static [u8]; 3],
    is_same: bool,
}

#[test]
fn requests_that_differ_in_any_part_are_not_confused() {
    let cases = [
        FingerprintCase { one: [b"GET", b"/a", b""], other: [b"GET", b"/a", b""], is_same: true },
        FingerprintCase { one: [b"GET", b"/a", b""], other: [b"GET", b"/b", b""], is_same: false },
        FingerprintCase {
            one: [b"GET", b"/a", b"x"],
            other: [b"GET", b"/ax", b""],
            is_same: false,
        },
        FingerprintCase { one: [b"GET", b"/a", b""], other: [b"GET", b"", b"/a"], is_same: false },
    ];
    for FingerprintCase { one, other, is_same } in cases {
        let equal = RequestFingerprint::of(&one) == RequestFingerprint::of(&other);
        assert_eq!(equal, is_same, "{one:?} {other:?}");
    }
}

#[test]
fn a_request_is_refused_after_three_servers_crashed_under_it() {
    let mut table = CrashTable::default();
    let poison = request("/poison");
    assert_eq!(table.admit(at(0), poison, false), RequestAdmission::Free);
    for (server, expected) in [("a", None), ("a", None), ("b", None)] {
        assert_eq!(table.record_crash(at(0), poison, evidence(server)), expected);
        assert_eq!(table.admit(at(0), poison, false), RequestAdmission::Cautious);
    }
    let change = table.record_crash(at(0), poison, evidence("c"));
    assert_eq!(change, Some(QuarantineChange::Started));
    assert!(matches!(table.admit(at(0), poison, false), RequestAdmission::Refused { .. }));
    assert_eq!(table.admit(at(0), request("/other"), false), RequestAdmission::Free);
    assert_eq!(table.quarantined(), 1);
}

#[test]
fn a_request_with_responses_is_not_refused_for_what_another_one_did() {
    let mut table = CrashTable::default();
    let popular = request("/popular");
    for round in 0..10 {
        table.record_response(at(round), popular);
        for server in ["a", "b", "c"] {
            assert_eq!(table.record_crash(at(round), popular, evidence(server)), None);
        }
        assert_eq!(table.admit(at(round), popular, false), RequestAdmission::Free);
    }
    // Without a response in between, further crashes count.
    for server in ["a", "b", "c"] {
        table.record_crash(at(20), popular, evidence(server));
    }
    assert!(matches!(table.admit(at(20), popular, false), RequestAdmission::Refused { .. }));
}

#[test]
fn a_response_at_any_node_clears_a_request_on_all() {
    let (mut near, mut far) = (CrashTable::default(), CrashTable::default());
    let popular = request("/popular");
    for server in ["a", "b", "c"] {
        near.record_crash(at(0), popular, evidence(server));
    }
    far.record_response(at(0), popular);
    let mut changes = Vec::new();
    for record in &near.updates_after(at(100), 0).records {
        changes.push(far.merge(at(100), record));
    }
    assert_eq!(changes, [None]);
    assert_eq!(far.admit(at(100), popular, false), RequestAdmission::Free);
    let [cleared] = &far.updates_after(at(200), 0).records[..] else { panic!("one record") };
    assert_eq!(near.merge(at(200), cleared), Some(QuarantineChange::Ended));
    assert_eq!(near.admit(at(200), popular, false), RequestAdmission::Free);
}

#[test]
fn crashes_that_two_nodes_saw_at_the_same_time_add_up() {
    let poison = request("/poison");
    let mut tables = vec![CrashTable::default(); 3];
    for (table, servers) in tables.iter_mut().zip([["a", "b"], ["b", "c"], ["a", "c"]]) {
        for server in servers {
            table.record_crash(at(0), poison, evidence(server));
        }
    }
    let records: Vec<CrashRecord> =
        tables.iter().flat_map(|table| table.updates_after(at(0), 0).records).collect();
    for table in &mut tables {
        for record in records.iter().chain(&records) {
            table.merge(at(0), record);
        }
        assert!(matches!(table.admit(at(0), poison, false), RequestAdmission::Refused { .. }));
        // What is known already causes no further messages.
        let number = table.last_change();
        for record in &table.clone().updates_after(at(0), 0).records {
            table.merge(at(0), record);
        }
        assert_eq!(table.last_change(), number);
    }
}

#[test]
fn one_node_probes_a_refused_request_a_few_times() {
    let mut table = CrashTable::default();
    let poison = request("/poison");
    for server in ["a", "b", "c"] {
        table.record_crash(at(0), poison, evidence(server));
    }
    let mut probes = 0;
    for second in 0..500u64 {
        let now = at(second * 1_000);
        assert!(matches!(table.admit(now, poison, false), RequestAdmission::Refused { .. }));
        if table.admit(now, poison, true) == RequestAdmission::Cautious {
            probes += 1;
            table.record_crash(now, poison, evidence(&format!("d{second}")));
        }
    }
    assert_eq!(probes, 2);
}

#[test]
fn a_request_is_forgotten_in_time_and_memory_is_bounded() {
    let mut table = CrashTable::default();
    for number in 0..10_000 {
        table.record_crash(at(0), request(&format!("/{number}")), evidence("a"));
        table.record_response(at(0), request(&format!("/served/{number}")));
    }
    let poison = request("/poison");
    for server in ["a", "b", "c"] {
        table.record_crash(at(0), poison, evidence(server));
    }
    for number in 0..10_000 {
        table.record_crash(at(0), request(&format!("/more/{number}")), evidence("a"));
    }
    // A quarantined request is not forgotten for many suspected ones.
    assert!(matches!(table.admit(at(1), poison, false), RequestAdmission::Refused { .. }));
    assert_eq!(table.updates_after(at(1), 0).records.len(), 2048);
    let later = at(601_000);
    assert_eq!(table.updates_after(later, 0).records, []);
    assert_eq!(table.admit(later, poison, false), RequestAdmission::Free);
    // A copy that a peer passes on does not start its time anew.
    let mut old = CrashTable::default();
    old.record_crash(at(0), poison, evidence("a"));
    let [copy] = &old.updates_after(at(590_000), 0).records[..] else { panic!("one record") };
    let mut restarted = CrashTable::default();
    restarted.merge(at(590_000), copy);
    assert_eq!(restarted.admit(later, poison, false), RequestAdmission::Free);
}

fn plan(services: Vec<ServiceKey>, class: ClassKey, is_cautious: bool) -> FanoutPlan {
    FanoutPlan {
        min_shards: services.len(),
        services,
        retry: RetryPolicy::Idempotent,
        attempts: 2,
        class,
        delegations: Vec::new(),
        allowed: IndexMap::new(),
        role: FanoutRole::Entry { has_peers: false },
        is_cautious,
        arrived: at(0),
        answer_by: at(0) + OBJECTIVE,
        deadline: at(500),
    }
}

/// A request that is sent with caution: its shards, and the end of its first attempt.
struct CautionCase {
    label: &'static str,
    shards: usize,
    is_broken: bool,
    /// Attempts that follow within 10 ms.
    further: usize,
    finish: Option<FanoutOutcome>,
}

#[test]
fn a_suspected_request_crashes_at_most_one_further_server() {
    let cases = [
        CautionCase {
            label: "a search that servers survive",
            shards: 4,
            is_broken: false,
            further: 3,
            finish: None,
        },
        CautionCase {
            label: "a search that crashes servers",
            shards: 4,
            is_broken: true,
            further: 0,
            finish: Some(FanoutOutcome::Failed),
        },
        CautionCase {
            label: "a request to one service",
            shards: 1,
            is_broken: true,
            further: 0,
            finish: Some(FanoutOutcome::Failed),
        },
    ];
    for CautionCase { label, shards, is_broken, further, finish } in cases {
        let (mut fleet, services) = fleet(shards, &["a", "b"], LIMITS);
        let key = class(&mut fleet);
        let mut state = FanoutState::new(plan(services, key, true));
        let actions = state.start(at(0), &mut fleet);
        let [FanoutAction::Send { shard, ticket }] = actions[..] else {
            panic!("{label}: {actions:?}")
        };
        assert_eq!(state.on_timer(at(4), &mut fleet), [], "{label}");
        let outcome = if is_broken { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        fleet.on_attempt_ended(at(5), ticket, outcome);
        if is_broken {
            state.on_connection_broken(shard, ticket.server);
        }
        let mut actions = state.on_attempt_ended(at(5), &mut fleet, shard, ticket.server, outcome);
        actions.extend(state.on_timer(at(10), &mut fleet));
        let sent = actions.iter().filter(|it| matches!(it, FanoutAction::Send { .. })).count();
        assert_eq!(sent, further, "{label}");
        let finished = actions.iter().find_map(|action| match action {
            FanoutAction::Finish(outcome) => Some(*outcome),
            _ => None,
        });
        assert_eq!(finished, finish, "{label}");
    }
}

#[test]
fn a_search_that_crashed_the_servers_of_a_delegate_is_not_sent_to_all_others() {
    let (mut fleet, services) = fleet(8, &["a", "b"], LIMITS);
    let key = class(&mut fleet);
    let delegation = Delegation {
        peer: name("peer"),
        shards: (0..8).map(ShardIndex).collect(),
        fallback_at: at(20),
        is_first: true,
        is_relay: false,
    };
    let search = FanoutPlan { delegations: vec![delegation], ..plan(services, key, false) };
    let mut state = FanoutState::new(search);
    assert_eq!(state.start(at(0), &mut fleet), [FanoutAction::Delegate(DelegationIndex(0))]);
    state.suspect();
    state.on_delegation_update(at(10), DelegationIndex(0), &DelegationUpdate::Lost);
    let mut sent = 0;
    for millis in 10..90 {
        for action in state.on_timer(at(millis), &mut fleet) {
            if let FanoutAction::Send { shard, ticket } = action {
                sent += 1;
                fleet.on_attempt_ended(at(millis), ticket, AttemptOutcome::Failed);
                state.on_connection_broken(shard, ticket.server);
                let failed = AttemptOutcome::Failed;
                state.on_attempt_ended(at(millis), &mut fleet, shard, ticket.server, failed);
            }
        }
    }
    assert_eq!(sent, 1);
}

#[test]
fn a_search_does_not_crash_the_second_servers_of_all_shards() {
    let (mut fleet, services) = fleet(8, &["a", "b"], LIMITS);
    let key = class(&mut fleet);
    let mut state = FanoutState::new(plan(services, key, false));
    let mut actions = state.start(at(0), &mut fleet);
    assert_eq!(actions.len(), 8);
    let mut crashed = 0;
    let mut millis = 5;
    let mut outcome = None;
    while outcome.is_none() && millis < 400 {
        for action in std::mem::take(&mut actions) {
            match action {
                FanoutAction::Send { shard, ticket } => {
                    crashed += 1;
                    fleet.on_attempt_ended(at(millis), ticket, AttemptOutcome::Failed);
                    state.on_connection_broken(shard, ticket.server);
                    let failed = AttemptOutcome::Failed;
                    actions.extend(state.on_attempt_ended(
                        at(millis),
                        &mut fleet,
                        shard,
                        ticket.server,
                        failed,
                    ));
                }
                FanoutAction::Finish(finished) => outcome = Some(finished),
                _ => {}
            }
        }
        millis += 1;
        actions.extend(state.on_timer(at(millis), &mut fleet));
    }
    assert_eq!(outcome, Some(FanoutOutcome::Failed));
    assert!(crashed <= 11, "{crashed} servers of 16");
}

/// A search that crashes every server that runs it.
struct DeadlyCase {
    label: &'static str,
    /// Number of nodes that call the servers of a part of the shards each.
    nodes: usize,
    shards_of_each: usize,
    /// Time that a server works on the search before it crashes, in milliseconds.
    work: u64,
}

/// Guards against a search that ends both servers of every shard, so that nobody is served
/// until they have started again.
#[test]
fn a_search_that_crashes_servers_leaves_the_second_server_of_each_shard() {
    let cases = [
        DeadlyCase { label: "at once", nodes: 1, shards_of_each: 20, work: 1 },
        DeadlyCase { label: "after some work", nodes: 1, shards_of_each: 20, work: 8 },
        DeadlyCase { label: "after the hedge delay", nodes: 1, shards_of_each: 20, work: 45 },
        DeadlyCase { label: "several delegates", nodes: 5, shards_of_each: 4, work: 8 },
        DeadlyCase { label: "several delegates, late", nodes: 5, shards_of_each: 4, work: 45 },
        DeadlyCase { label: "many delegates", nodes: 10, shards_of_each: 2, work: 8 },
    ];
    for DeadlyCase { label, nodes, shards_of_each, work } in cases {
        let mut crashed = 0;
        for _ in 0..nodes {
            let (mut fleet, services) = fleet(shards_of_each, &["a", "b"], LIMITS);
            let key = class(&mut fleet);
            let mut plan = plan(services, key, false);
            if nodes > 1 {
                (plan.role, plan.min_shards) = (FanoutRole::Delegate { is_first: true }, 0);
            }
            let mut state = FanoutState::new(plan);
            let mut running = Vec::new();
            let mut actions = state.start(at(0), &mut fleet);
            for millis in 0..400 {
                let now = at(millis);
                for action in std::mem::take(&mut actions) {
                    if let FanoutAction::Send { shard, ticket } = action {
                        // Not all servers start to work on it in the same moment.
                        running.push((millis + work + u64::from(shard.0 % 5), shard, ticket));
                        crashed += 1;
                    }
                }
                actions.extend(state.on_timer(now, &mut fleet));
                for (_, shard, ticket) in running.extract_if(.., |it| it.0 <= millis) {
                    let failed = AttemptOutcome::Failed;
                    fleet.on_attempt_ended(now, ticket, failed);
                    state.on_connection_broken(shard, ticket.server);
                    let ended =
                        state.on_attempt_ended(now, &mut fleet, shard, ticket.server, failed);
                    actions.extend(ended);
                }
            }
        }
        assert_eq!(crashed, nodes * shards_of_each, "{label}");
    }
}
