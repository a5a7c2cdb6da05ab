//! Settled writes and claims against the platform's stand-in and its faults.

use std::{sync::Arc, time::Duration};

use carobstep_config::{NodeName, ServiceName};
use carobstep_platform::{
    AttemptId, ClaimEnd, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState, Condition, HttpStore,
    MarkedWrite, ObjectCall, ObjectKind, ObjectReply, ObjectStore, ObjectVersion, OwnerSight,
    RecordedOutcome, SettleEnd, abandon_claim, acquire_claim, digest_of, record_claim,
    settle_write,
};
use carobstep_standin::{PlatformFaultsPatch, PlatformSettings, PlatformStandin};
use serde_json::json;
use tokio::{task::JoinSet, time::Instant};

/// Long enough for every call that can succeed.
const AMPLE: Duration = Duration::from_secs(30);
/// Short, for calls that can't.
const BRIEF: Duration = Duration::from_millis(600);

async fn start() -> (PlatformStandin, HttpStore) {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    let store = HttpStore::builder(platform.address()).timeout(Duration::from_secs(5)).build();
    (platform, store)
}

fn within(span: Duration) -> Instant {
    Instant::now() + span
}

fn request(number: u128, key: &str, body: &str) -> ClaimRequest {
    ClaimRequest {
        service: ServiceName::try_from("orders").unwrap(),
        key: key.to_owned(),
        body_digest: digest_of(body.as_bytes()),
        node: NodeName::try_from("n1").unwrap(),
        incarnation: 1,
        attempt: AttemptId(number),
        time_ms: 1_000,
    }
}

fn record_of(platform: &PlatformStandin, request: &ClaimRequest) -> Option<ClaimRecord> {
    let (_, value) = platform.object(ObjectKind::Claim, &request.object_name())?;
    Some(serde_json::from_value(value).unwrap())
}

fn present(_: &ClaimRecord) -> OwnerSight {
    OwnerSight::Present
}

#[derive(Clone, Copy)]
enum Before {
    Nothing,
    SameObject,
    OtherObject,
}

struct WriteCase {
    name: &'static str,
    faults: fn(&mut PlatformFaultsPatch),
    before: Before,
    condition: Condition,
    expected: SettleEnd,
    calls: u64,
}

const WRITE_CASES: &[WriteCase] = &[
    WriteCase {
        name: "no fault",
        faults: |_| {},
        before: Before::Nothing,
        condition: Condition::Absent,
        expected: SettleEnd::Written(ObjectVersion(1)),
        calls: 1,
    },
    WriteCase {
        name: "exists",
        faults: |_| {},
        before: Before::OtherObject,
        condition: Condition::Absent,
        expected: SettleEnd::LostRace,
        calls: 1,
    },
    WriteCase {
        name: "own object exists, but this write did not make it",
        faults: |_| {},
        before: Before::SameObject,
        condition: Condition::Absent,
        expected: SettleEnd::LostRace,
        calls: 1,
    },
    WriteCase {
        name: "answer lost",
        faults: |patch| patch.lose_answers = Some(1),
        before: Before::Nothing,
        condition: Condition::Absent,
        expected: SettleEnd::Written(ObjectVersion(1)),
        calls: 2,
    },
    WriteCase {
        name: "answer of a replacement lost",
        faults: |patch| patch.lose_answers = Some(1),
        before: Before::OtherObject,
        condition: Condition::At(ObjectVersion(1)),
        expected: SettleEnd::Written(ObjectVersion(2)),
        calls: 2,
    },
];

#[tokio::test]
async fn a_write_is_settled_with_few_calls() {
    for case in WRITE_CASES {
        let (platform, store) = start().await;
        let write = |condition, marker: &str| MarkedWrite {
            kind: ObjectKind::Lease,
            name: "n1".to_owned(),
            condition,
            value: json!({"marker": marker}),
            markers: &["/marker"],
        };
        let earlier = match case.before {
            Before::Nothing => None,
            Before::SameObject => Some(write(Condition::Absent, "own")),
            Before::OtherObject => Some(write(Condition::Absent, "other")),
        };
        if let Some(earlier) = earlier {
            settle_write(&store, &earlier, within(AMPLE)).await;
        }
        let calls_before = platform.report().total;
        let mut patch = PlatformFaultsPatch::default();
        (case.faults)(&mut patch);
        platform.apply_faults(patch);
        let own = write(case.condition, "own");
        let outcome = settle_write(&store, &own, within(AMPLE)).await;
        assert_eq!(outcome.end, case.expected, "{}", case.name);
        assert_eq!(platform.report().total - calls_before, case.calls, "{}", case.name);
    }
}

#[tokio::test]
async fn a_write_is_not_written_or_unknown_when_the_platform_is_away() {
    let write = MarkedWrite {
        kind: ObjectKind::Lease,
        name: "n1".to_owned(),
        condition: Condition::Absent,
        value: json!({"marker": 1}),
        markers: &["/marker"],
    };
    let (platform, store) = start().await;
    let silent = PlatformFaultsPatch { silent: Some(true), ..Default::default() };
    platform.apply_faults(silent);
    let outcome = settle_write(&store, &write, within(BRIEF)).await;
    assert_eq!(outcome.end, SettleEnd::StillUnknown);
    drop(platform);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let store = HttpStore::builder(closed).build();
    let outcome = settle_write(&store, &write, within(BRIEF)).await;
    assert_eq!(outcome.end, SettleEnd::NotWritten);
    assert!(outcome.error.is_some());
}

#[tokio::test]
async fn a_late_copy_can_not_undo_a_settled_write() {
    let (platform, store) = start().await;
    let late = PlatformFaultsPatch { delay_writes_ms: Some(1_500), ..Default::default() };
    platform.apply_faults(late);
    let request = request(1, "k", "b");
    let call = ObjectCall::Put {
        kind: ObjectKind::Claim,
        name: request.object_name(),
        condition: Condition::Absent,
        value: json!(request.create().record),
    };
    store.call(call).await.unwrap_err();
    platform.apply_faults(PlatformFaultsPatch { delay_writes_ms: Some(0), ..Default::default() });
    let end = acquire_claim(&store, &request, present, within(AMPLE)).await;
    assert_eq!(end, ClaimEnd::Acquired(ObjectVersion(1)));
    let ran = ClaimOutcome::Ran;
    let end = record_claim(&store, &request, ObjectVersion(1), ran, None, within(AMPLE)).await;
    assert_eq!(end, ClaimEnd::Recorded);
    while platform.report().conflicts == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(record_of(&platform, &request).unwrap().state, ClaimState::Done(ran));
}

#[tokio::test]
async fn an_order_costs_two_writes_and_its_resend_gets_the_answer() {
    let (platform, store) = start().await;
    let first = request(1, "k", "b");
    let end = acquire_claim(&store, &first, present, within(AMPLE)).await;
    let ClaimEnd::Acquired(version) = end else { panic!("{end:?}") };
    let answer = Some("{\"order\":7}".to_owned());
    let ran = ClaimOutcome::Ran;
    record_claim(&store, &first, version, ran, answer.clone(), within(AMPLE)).await;
    assert_eq!(platform.report().total, 2);
    let resend = request(2, "k", "b");
    let end = acquire_claim(&store, &resend, present, within(AMPLE)).await;
    assert_eq!(end, ClaimEnd::Replay(RecordedOutcome { outcome: ran, answer }));
    assert_eq!(platform.report().total, 4);
}

struct ResendCase {
    name: &'static str,
    /// Outcome that the first attempt recorded, if it did.
    recorded: Option<ClaimOutcome>,
    body: &'static str,
    sight: OwnerSight,
    expected: ClaimEnd,
}

const RESEND_CASES: &[ResendCase] = &[
    ResendCase {
        name: "open",
        recorded: None,
        body: "b",
        sight: OwnerSight::Present,
        expected: ClaimEnd::InProgress,
    },
    ResendCase {
        name: "owner gone",
        recorded: None,
        body: "b",
        sight: OwnerSight::Gone,
        expected: replay(ClaimOutcome::Unknown),
    },
    ResendCase {
        name: "abandoned by this node",
        recorded: None,
        body: "b",
        sight: OwnerSight::Abandoned,
        expected: ClaimEnd::Acquired(ObjectVersion(2)),
    },
    ResendCase {
        name: "other body",
        recorded: None,
        body: "c",
        sight: OwnerSight::Gone,
        expected: ClaimEnd::Mismatch,
    },
    ResendCase {
        name: "ran",
        recorded: Some(ClaimOutcome::Ran),
        body: "b",
        sight: OwnerSight::Present,
        expected: replay(ClaimOutcome::Ran),
    },
    ResendCase {
        name: "ran, other body",
        recorded: Some(ClaimOutcome::Ran),
        body: "c",
        sight: OwnerSight::Present,
        expected: ClaimEnd::Mismatch,
    },
    ResendCase {
        name: "unknown",
        recorded: Some(ClaimOutcome::Unknown),
        body: "b",
        sight: OwnerSight::Gone,
        expected: replay(ClaimOutcome::Unknown),
    },
    ResendCase {
        name: "not run",
        recorded: Some(ClaimOutcome::NotRun),
        body: "b",
        sight: OwnerSight::Present,
        expected: ClaimEnd::Acquired(ObjectVersion(3)),
    },
];

const fn replay(outcome: ClaimOutcome) -> ClaimEnd {
    ClaimEnd::Replay(RecordedOutcome { outcome, answer: None })
}

#[tokio::test]
async fn a_resend_finds_what_the_first_attempt_left() {
    for case in RESEND_CASES {
        let (_platform, store) = start().await;
        let first = request(1, "k", "b");
        acquire_claim(&store, &first, present, within(AMPLE)).await;
        if let Some(outcome) = case.recorded {
            let version = ObjectVersion(1);
            record_claim(&store, &first, version, outcome, None, within(AMPLE)).await;
        }
        let resend = request(2, "k", case.body);
        let end = acquire_claim(&store, &resend, |_| case.sight, within(AMPLE)).await;
        assert_eq!(end, case.expected, "{}", case.name);
    }
}

#[tokio::test]
async fn the_owner_replaces_an_unknown_outcome_by_what_it_knows() {
    let (platform, store) = start().await;
    let first = request(1, "k", "b");
    acquire_claim(&store, &first, present, within(AMPLE)).await;
    let other = request(2, "k", "b");
    acquire_claim(&store, &other, |_| OwnerSight::Gone, within(AMPLE)).await;
    let ran = ClaimOutcome::Ran;
    let end = record_claim(&store, &first, ObjectVersion(1), ran, None, within(AMPLE)).await;
    assert_eq!(end, ClaimEnd::Recorded);
    assert_eq!(record_of(&platform, &first).unwrap().state, ClaimState::Done(ran));
}

#[tokio::test]
async fn an_abandoned_claim_can_be_taken_by_another_node() {
    let (platform, store) = start().await;
    let first = request(1, "k", "b");
    let silent = PlatformFaultsPatch { silent: Some(true), ..Default::default() };
    platform.apply_faults(silent);
    let end = acquire_claim(&store, &first, present, within(BRIEF)).await;
    assert_eq!(end, ClaimEnd::Uncertain);
    platform.apply_faults(PlatformFaultsPatch { silent: Some(false), ..Default::default() });
    let end = abandon_claim(&store, &first, within(AMPLE)).await;
    assert_eq!(end, ClaimEnd::NotOwner, "the claim never came into being");
    acquire_claim(&store, &first, present, within(AMPLE)).await;
    assert_eq!(abandon_claim(&store, &first, within(AMPLE)).await, ClaimEnd::Recorded);
    let other = request(2, "k", "b");
    let end = acquire_claim(&store, &other, present, within(AMPLE)).await;
    assert!(matches!(end, ClaimEnd::Acquired(_)), "{end:?}");
    assert_eq!(abandon_claim(&store, &first, within(AMPLE)).await, ClaimEnd::NotOwner);
}

#[tokio::test]
async fn racing_attempts_have_one_owner_while_answers_are_lost() {
    let (platform, store) = start().await;
    let store = Arc::new(store);
    let mut owners = 0;
    for round in 0..10 {
        let lost = PlatformFaultsPatch { lose_answers: Some(2), ..Default::default() };
        platform.apply_faults(lost);
        let mut attempts = JoinSet::new();
        for number in 0..8 {
            let store = Arc::clone(&store);
            let request = request(round * 8 + number, &format!("k{round}"), "b");
            attempts.spawn(async move {
                acquire_claim(store.as_ref(), &request, present, within(AMPLE)).await
            });
        }
        let ends = attempts.join_all().await;
        let acquired = ends.iter().filter(|end| matches!(end, ClaimEnd::Acquired(_))).count();
        assert_eq!(acquired, 1, "{ends:?}");
        owners += acquired;
    }
    assert_eq!(owners, 10);
}

#[tokio::test]
async fn an_object_that_is_no_claim_is_left_alone() {
    let (platform, store) = start().await;
    let request = request(1, "k", "b");
    let call = ObjectCall::Put {
        kind: ObjectKind::Claim,
        name: request.object_name(),
        condition: Condition::Absent,
        value: json!({"hats": 3}),
    };
    assert_eq!(store.call(call).await, Ok(ObjectReply::Written(ObjectVersion(1))));
    let end = acquire_claim(&store, &request, present, within(AMPLE)).await;
    assert_eq!(end, ClaimEnd::Unreadable);
    let object = platform.object(ObjectKind::Claim, &request.object_name());
    assert_eq!(object, Some((ObjectVersion(1), json!({"hats": 3}))));
}
