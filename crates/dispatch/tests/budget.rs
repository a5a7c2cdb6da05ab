//! Token buckets that limit hedges and retries.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::TokenBucket;

struct BudgetCase {
    name: &'static str,
    ratio: f64,
    reserve: f64,
    first_requests: u32,
    idle: Duration,
    taken: u32,
}

const CASES: &[BudgetCase] = &[
    BudgetCase {
        name: "nothing earned",
        ratio: 0.02,
        reserve: 0.0,
        first_requests: 49,
        idle: Duration::ZERO,
        taken: 0,
    },
    BudgetCase {
        name: "two per hundred first requests",
        ratio: 0.02,
        reserve: 0.0,
        first_requests: 500,
        idle: Duration::ZERO,
        taken: 10,
    },
    BudgetCase {
        name: "number of tokens is limited",
        ratio: 0.1,
        reserve: 0.0,
        first_requests: 10_000,
        idle: Duration::ZERO,
        taken: 20,
    },
    BudgetCase {
        name: "reserve from the start",
        ratio: 0.1,
        reserve: 3.0,
        first_requests: 0,
        idle: Duration::ZERO,
        taken: 3,
    },
    BudgetCase {
        name: "ratio of zero",
        ratio: 0.0,
        reserve: 3.0,
        first_requests: 1_000,
        idle: Duration::from_secs(60),
        taken: 0,
    },
];

#[test]
fn bucket_yields_only_earned_tokens() {
    let now = BootTime::from_millis(1);
    for case in CASES {
        let mut bucket = TokenBucket::new(case.ratio, case.reserve, now);
        for _ in 0..case.first_requests {
            bucket.earn();
        }
        let taken = (0..100).filter(|_| bucket.try_take(now + case.idle)).count();
        assert_eq!(taken, case.taken as usize, "{}", case.name);
    }
}

#[test]
fn reserve_refills_slowly_and_survives_a_ratio_of_zero() {
    let now = BootTime::from_millis(1);
    let mut bucket = TokenBucket::new(0.1, 3.0, now);
    for _ in 0..3 {
        assert!(bucket.try_take(now));
    }
    assert!(!bucket.try_take(now + Duration::from_secs(4)));
    assert!(bucket.try_take(now + Duration::from_secs(6)));
    bucket.set_ratio(0.0);
    assert!(!bucket.try_take(now + Duration::from_secs(60)));
    bucket.set_ratio(0.1);
    assert!(bucket.try_take(now + Duration::from_secs(70)));
}
