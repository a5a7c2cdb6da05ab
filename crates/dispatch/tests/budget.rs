//! Token buckets for extra load.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::TokenBucket;

struct BudgetCase {
    name: &'static str,
    ratio: f64,
    reserve: f64,
    earned: u32,
    idle: Duration,
    granted: u32,
}

const CASES: &[BudgetCase] = &[
    BudgetCase {
        name: "nothing earned",
        ratio: 0.02,
        reserve: 0.0,
        earned: 49,
        idle: Duration::ZERO,
        granted: 0,
    },
    BudgetCase {
        name: "two in a hundred",
        ratio: 0.02,
        reserve: 0.0,
        earned: 500,
        idle: Duration::ZERO,
        granted: 10,
    },
    BudgetCase {
        name: "savings are bounded",
        ratio: 0.1,
        reserve: 0.0,
        earned: 10_000,
        idle: Duration::ZERO,
        granted: 20,
    },
    BudgetCase {
        name: "reserve from the start",
        ratio: 0.1,
        reserve: 3.0,
        earned: 0,
        idle: Duration::ZERO,
        granted: 3,
    },
    BudgetCase {
        name: "ratio of zero",
        ratio: 0.0,
        reserve: 3.0,
        earned: 1_000,
        idle: Duration::from_secs(60),
        granted: 0,
    },
];

#[test]
fn bucket_grants_what_was_earned() {
    let now = BootTime::from_millis(1);
    for case in CASES {
        let mut bucket = TokenBucket::new(case.ratio, case.reserve, now);
        for _ in 0..case.earned {
            bucket.earn();
        }
        let granted = (0..100).filter(|_| bucket.take(now + case.idle)).count();
        assert_eq!(granted, case.granted as usize, "{}", case.name);
    }
}

#[test]
fn reserve_refills_slowly_and_survives_a_ratio_of_zero() {
    let now = BootTime::from_millis(1);
    let mut bucket = TokenBucket::new(0.1, 3.0, now);
    for _ in 0..3 {
        assert!(bucket.take(now));
    }
    assert!(!bucket.take(now + Duration::from_secs(4)));
    assert!(bucket.take(now + Duration::from_secs(6)));
    bucket.set_ratio(0.0);
    assert!(!bucket.take(now + Duration::from_secs(60)));
    bucket.set_ratio(0.1);
    assert!(bucket.take(now + Duration::from_secs(70)));
}
