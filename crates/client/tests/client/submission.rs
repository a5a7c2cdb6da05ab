//! Submissions against a platform that loses and delays calls, and that applies
//! concurrent patches of other operators.

use carobstep_client::{AcceptanceProof, PatchSubmission, SubmitOutcome, SubmitStep};
use carobstep_config::{ConfigPatch, ConfigVersion};
use carobstep_store::ObjectKind;

use crate::support::{
    CallFault::{self, AnswerLost, LateWrite, NoFault, NotSent, Raced, RequestLost, StaleRead},
    FakePlatform, patch,
};

const CHANGE: &str = r#"{"services": {"orders": {"deadline_ms": 1500}}}"#;

const ID: &str = "p1";

fn run(platform: &FakePlatform, patch: ConfigPatch) -> SubmitOutcome {
    run_submission(platform, PatchSubmission::try_from(patch).expect("the chart"))
}

fn run_submission(platform: &FakePlatform, mut submission: PatchSubmission) -> SubmitOutcome {
    let mut step = submission.start();
    loop {
        match step {
            SubmitStep::Call { call, .. } => {
                step = submission.advance(platform.call_with_fault(call))
            }
            SubmitStep::Finish(outcome) => return *outcome,
        }
    }
}

/// Formats an outcome without its record.
fn summarize(outcome: &SubmitOutcome) -> String {
    match outcome {
        SubmitOutcome::Accepted { record, in_force, proof, archived } => {
            format!("accepted {} of {in_force} by {proof}, archived {archived}", record.version)
        }
        SubmitOutcome::Conflict { base, in_force } => format!("conflict {base} {in_force}"),
        SubmitOutcome::Refused(error) => format!("refused {error}"),
        SubmitOutcome::IdReused { version } => format!("id reused at {version}"),
        SubmitOutcome::NoConfiguration => "no configuration".to_owned(),
        SubmitOutcome::Unavailable(reason) => format!("unavailable {reason}"),
        SubmitOutcome::Unknown(reason) => format!("unknown {reason}"),
    }
}

struct FaultCase {
    name: &'static str,
    faults: &'static [CallFault],
    expected: &'static str,
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase { name: "clean", faults: &[], expected: "accepted 2 of 2 by reply, archived true" },
    FaultCase {
        name: "response to the write lost",
        faults: &[NoFault, NoFault, AnswerLost],
        expected: "accepted 2 of 2 by read_back, archived true",
    },
    FaultCase {
        name: "write request lost, then retried",
        faults: &[NoFault, NoFault, RequestLost],
        expected: "accepted 2 of 2 by reply, archived true",
    },
    FaultCase {
        name: "write takes effect after the read-back and before its retry",
        faults: &[NoFault, NoFault, LateWrite],
        expected: "accepted 2 of 2 by read_back, archived true",
    },
    FaultCase {
        name: "response lost, then another operator patches the new version",
        faults: &[NoFault, NoFault, AnswerLost, Raced],
        expected: "accepted 2 of 3 by read_back, archived true",
    },
    FaultCase {
        name: "response lost, then two others patch the new version",
        faults: &[NoFault, NoFault, AnswerLost, Raced, Raced],
        expected: "accepted 2 of 3 by read_back, archived true",
    },
    FaultCase {
        name: "another operator's patch is accepted before the write",
        faults: &[NoFault, NoFault, Raced],
        expected: "conflict 1 2",
    },
    FaultCase {
        name: "another operator's patch is accepted before the read",
        faults: &[Raced],
        expected: "conflict 1 2",
    },
    FaultCase {
        name: "write request lost, then another operator's patch is accepted",
        faults: &[NoFault, NoFault, RequestLost, Raced],
        expected: "conflict 1 2",
    },
    FaultCase {
        name: "response lost, then a stale read",
        faults: &[NoFault, NoFault, AnswerLost, StaleRead],
        expected: "accepted 2 of 2 by read_back, archived true",
    },
    FaultCase {
        name: "platform down throughout",
        faults: &[NotSent; 9],
        expected: "unavailable not_sent: refused",
    },
    FaultCase {
        name: "platform down right after the write",
        faults: &[
            NoFault, NoFault, AnswerLost, NotSent, NotSent, NotSent, NotSent, NotSent, NotSent,
            NotSent, NotSent,
        ],
        expected: "unknown not_sent: refused",
    },
    FaultCase {
        name: "platform down before the history is written",
        faults: &[
            NoFault, NoFault, NoFault, NotSent, NotSent, NotSent, NotSent, NotSent, NotSent,
            NotSent, NotSent, NotSent,
        ],
        expected: "accepted 2 of 2 by reply, archived false",
    },
];

#[test]
fn outcome_of_each_fault() {
    for case in FAULT_CASES {
        let platform = FakePlatform::with_example();
        platform.set_faults(case.faults);
        let outcome = run(&platform, patch(1, ID, CHANGE));
        assert_eq!(summarize(&outcome), case.expected, "{}", case.name);
    }
}

#[test]
fn resubmission_reports_the_earlier_run() {
    let platform = FakePlatform::with_example();
    run(&platform, patch(1, ID, CHANGE));
    let again = run(&platform, patch(1, ID, CHANGE));
    assert_eq!(summarize(&again), "accepted 2 of 2 by earlier_run, archived true");
    run(&platform, patch(2, "p2", "{}"));
    run(&platform, patch(3, "p3", "{}"));
    let again = run(&platform, patch(1, ID, CHANGE));
    assert_eq!(summarize(&again), "accepted 2 of 4 by earlier_run, archived true");
    assert_eq!(platform.current_config().version, ConfigVersion(4));
}

#[test]
fn reused_id_with_another_change_is_rejected() {
    let platform = FakePlatform::with_example();
    run(&platform, patch(1, ID, CHANGE));
    let other = r#"{"services": {"orders": {"deadline_ms": 900}}}"#;
    assert_eq!(summarize(&run(&platform, patch(1, ID, other))), "id reused at 2");
    assert_eq!(summarize(&run(&platform, patch(2, ID, CHANGE))), "id reused at 2");
    assert_eq!(platform.current_config().version, ConfigVersion(2));
}

#[test]
fn pruned_successor_leaves_the_outcome_unknown() {
    let platform = FakePlatform::with_example();
    for base in 1..4 {
        run(&platform, patch(base, &format!("p{base}"), "{}"));
    }
    platform.remove(ObjectKind::History, "2");
    let expected = "unknown history/2 is missing, so its patch id is not known";
    assert_eq!(summarize(&run(&platform, patch(1, "q", "{}"))), expected);
    let submission = PatchSubmission::try_from(patch(1, "q", "{}")).expect("the chart");
    let outcome = run_submission(&platform, submission.with_new_id());
    assert_eq!(summarize(&outcome), "conflict 1 4");
}

#[test]
fn submission_without_configuration() {
    let outcome = run(&FakePlatform::default(), patch(1, ID, CHANGE));
    assert_eq!(outcome, SubmitOutcome::NoConfiguration);
}

#[test]
fn invalid_patch_writes_nothing() {
    let platform = FakePlatform::with_example();
    let outcome = run(&platform, patch(1, ID, r#"{"services": {"orders": {"slots": 1}}}"#));
    assert_eq!(summarize(&outcome), "refused /services/orders/slots: unknown key with value 1");
    assert_eq!(platform.call_count(), 1);
}

const FAULTS: [CallFault; 7] =
    [NoFault, NotSent, RequestLost, AnswerLost, LateWrite, StaleRead, Raced];

/// Returns every sequence of `length` faults.
fn sequences(length: u32) -> impl Iterator<Item = Vec<CallFault>> {
    let count = FAULTS.len();
    (0..count.pow(length)).map(move |number| {
        let positions = 0..length;
        positions.map(|position| FAULTS[number / count.pow(position) % count]).collect()
    })
}

/// The reported outcome must agree with what the store contains.
#[test]
fn outcome_matches_the_store_after_every_fault_sequence() {
    let mut checked = 0;
    for faults in sequences(5) {
        check_sequence(&faults);
        checked += 1;
    }
    assert_eq!(checked, 16_807);
}

#[test]
fn outcome_matches_the_store_when_the_platform_stays_down() {
    let mut checked = 0;
    for mut faults in sequences(4) {
        faults.extend([NotSent; 16]);
        check_sequence(&faults);
        checked += 1;
    }
    assert_eq!(checked, 2_401);
}

/// Submits a patch under the given faults and compares the outcome with the store:
/// an accepted patch created exactly version 2, one with an unknown outcome at
/// most one version, and any other none.
fn check_sequence(faults: &[CallFault]) {
    let platform = FakePlatform::without_history();
    platform.set_faults(faults);
    let outcome = run(&platform, patch(1, ID, CHANGE));
    let current = platform.current_config();
    let mut own_versions = Vec::new();
    for version in 1..=current.version.0 {
        let record = match version == current.version.0 {
            true => Some(current.clone()),
            false => platform.history_record(version),
        };
        let record = record
            .unwrap_or_else(|| panic!("{faults:?}: version {version} is missing from the history"));
        if record.patch_id == ID {
            own_versions.push(version);
        }
    }
    let reported = summarize(&outcome);
    match outcome {
        SubmitOutcome::Accepted { proof, .. } => {
            assert_eq!(own_versions, [2], "{faults:?}: {reported}");
            assert_ne!(proof, AcceptanceProof::EarlierRun, "{faults:?}: {reported}");
        }
        SubmitOutcome::Unknown(_) => assert!(own_versions.len() <= 1, "{faults:?}: {reported}"),
        _ => assert!(own_versions.is_empty(), "{faults:?}: {reported}"),
    }
}
