//! Conditions under which `LeaseGuard` allows a dispatch and `LeaseWitness`
//! vouches.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_control::{LeaseGuard, LeaseTiming, LeaseWitness};

const TIMING: LeaseTiming = LeaseTiming {
    term: Duration::from_secs(9),
    renew: Duration::from_secs(3),
    drift: Duration::from_millis(500),
    fence: Duration::from_secs(3),
};

const SENT: BootTime = BootTime::from_millis(50_000);

struct VouchCase {
    others: &'static [u8],
    vouched: &'static [u8],
    allowed: bool,
}

/// Half of the witnesses, including the node itself, is sufficient.
const VOUCH_CASES: &[VouchCase] = &[
    VouchCase { others: &[], vouched: &[], allowed: true },
    VouchCase { others: &[1], vouched: &[], allowed: true },
    VouchCase { others: &[1, 2], vouched: &[], allowed: false },
    VouchCase { others: &[1, 2], vouched: &[2], allowed: true },
    VouchCase { others: &[1, 2, 3], vouched: &[3], allowed: true },
    VouchCase { others: &[1, 2, 3], vouched: &[9], allowed: false },
    VouchCase { others: &[1, 2, 3, 4], vouched: &[1], allowed: false },
    VouchCase { others: &[1, 2, 3, 4], vouched: &[1, 4], allowed: true },
];

fn open_guard(others: &[u8]) -> LeaseGuard<u8> {
    let mut guard = LeaseGuard::new(0);
    guard.begin_renewal(SENT, others);
    guard.confirm();
    guard
}

#[test]
fn half_of_the_witnesses_extend_a_lease_past_its_term() {
    for case in VOUCH_CASES {
        let mut guard = open_guard(case.others);
        let end = SENT + TIMING.term;
        for witness in case.vouched {
            guard.record_vouch(*witness, end);
        }
        let allowed = guard.may_dispatch(end, &TIMING);
        assert_eq!(allowed, case.allowed, "{:?} of {:?}", case.vouched, case.others);
    }
}

#[test]
fn a_vouch_lasts_for_the_fence_time() {
    let mut guard = open_guard(&[1, 2]);
    let end = SENT + TIMING.term;
    guard.record_vouch(1, end);
    assert!(guard.may_dispatch(end + TIMING.fence - Duration::from_micros(1), &TIMING));
    assert!(!guard.may_dispatch(end + TIMING.fence, &TIMING));
}

#[test]
fn a_pending_renewal_needs_half_of_both_witness_sets() {
    let mut guard = open_guard(&[1, 2]);
    guard.begin_renewal(SENT, &[3, 4]);
    let end = SENT + TIMING.term;
    guard.record_vouch(1, end);
    assert!(!guard.may_dispatch(end, &TIMING));
    guard.record_vouch(3, end);
    assert!(guard.may_dispatch(end, &TIMING));
}

#[test]
fn a_repeated_renewal_keeps_its_witnesses() {
    let mut guard = open_guard(&[1, 2]);
    assert_eq!(guard.begin_renewal(SENT, &[3]), [0, 3]);
    assert_eq!(guard.begin_renewal(SENT + TIMING.renew, &[1]), [0, 3]);
    guard.fail_renewal();
    assert!(guard.has_pending_renewal(), "the first attempt may still take effect");
}

#[test]
fn a_renewal_that_was_read_back_counts_from_its_first_attempt() {
    let mut guard = open_guard(&[1]);
    guard.begin_renewal(SENT + Duration::from_secs(1), &[1]);
    guard.begin_renewal(SENT + Duration::from_secs(4), &[1]);
    guard.confirm_read_back();
    assert_eq!(guard.term_end(&TIMING), SENT + Duration::from_secs(1) + TIMING.term);
}

#[test]
fn a_closed_lease_never_dispatches() {
    let mut guard = open_guard(&[]);
    guard.close();
    guard.begin_renewal(SENT, &[]);
    guard.confirm();
    assert!(!guard.may_dispatch(SENT, &TIMING));
}

#[test]
fn a_witness_vouches_only_after_it_has_read_the_leases() {
    let mut witness = LeaseWitness::default();
    assert!(!witness.vouches(&0, 1));
    witness.mark_leases_read();
    assert!(witness.vouches(&0, 1));
    witness.record_closed(0, 1);
    assert!(!witness.vouches(&0, 1));
    assert!(witness.vouches(&0, 2));
    assert!(witness.vouches(&1, 1));
}
