//! Recent dispatches to one backend server, by customer.

use std::hash::BuildHasherDefault;

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3Default;

/// Hash of a customer's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(pub u64);

/// Total number of dispatches at which all counts are halved.
const HALVING_DISPATCHES: u32 = 1024;

/// Multiple of the mean dispatch count above which a customer is over its share.
const SHARE_TOLERANCE: f64 = 1.25;

/// Dispatch counts per customer, halved regularly to favor recent dispatches.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerShares {
    dispatches: IndexMap<CustomerKey, u32, BuildHasherDefault<Xxh3Default>>,
    total: u32,
}

impl CustomerShares {
    /// Counts one dispatch of a customer.
    pub(super) fn charge(&mut self, customer: CustomerKey) {
        if self.total >= HALVING_DISPATCHES {
            self.halve();
        }
        *self.dispatches.entry(customer).or_insert(0) += 1;
        self.total += 1;
    }

    /// Returns whether the customer's dispatches clearly exceed the mean of the active customers.
    ///
    /// A customer without dispatches is not over its share.
    pub(super) fn is_over_share(&self, customer: CustomerKey) -> bool {
        let Some(dispatches) = self.dispatches.get(&customer) else { return false };
        let mean = f64::from(self.total) / self.dispatches.len() as f64;
        f64::from(*dispatches) > mean * SHARE_TOLERANCE
    }

    fn halve(&mut self) {
        self.dispatches.retain(|_, dispatches| {
            *dispatches /= 2;
            *dispatches > 0
        });
        self.total = self.dispatches.values().sum();
    }
}
