//! Recent use of one backend server by each customer.

use std::hash::BuildHasherDefault;

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3Default;

/// Hash of a customer's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(pub u64);

/// Dispatches counted before all counts are halved.
const HALVING_DISPATCHES: u32 = 1024;

/// A customer is over its share when it used this many times the mean use.
const SHARE_TOLERANCE: f64 = 1.25;

/// Fading counts of dispatches per customer.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerShares {
    used: IndexMap<CustomerKey, u32, BuildHasherDefault<Xxh3Default>>,
    total: u32,
}

impl CustomerShares {
    /// Counts one dispatch for a customer.
    pub(super) fn charge(&mut self, customer: CustomerKey) {
        if self.total >= HALVING_DISPATCHES {
            self.halve();
        }
        *self.used.entry(customer).or_insert(0) += 1;
        self.total += 1;
    }

    /// Whether the customer used clearly more than the mean of the active ones.
    ///
    /// A customer without any use yet counts as active.
    pub(super) fn is_over(&self, customer: CustomerKey) -> bool {
        let Some(used) = self.used.get(&customer) else { return false };
        let mean = f64::from(self.total) / self.used.len() as f64;
        f64::from(*used) > mean * SHARE_TOLERANCE
    }

    fn halve(&mut self) {
        self.used.retain(|_, used| {
            *used /= 2;
            *used > 0
        });
        self.total = self.used.values().sum();
    }
}
