//! Client accounts of the configuration in force, looked up by the key of a request.

use std::{
    fmt,
    hash::{BuildHasher, RandomState},
    hint::black_box,
    sync::Arc,
};

use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};

use crate::model::{AccountConfig, AccountQuota};

/// Number of accounts that counters name; the others are counted together.
const LARGE_ACCOUNTS: usize = 16;

new_key_type! {
    /// Client account in an [`AccountTable`].
    pub struct AccountKey;
}

/// Key that a client sends with its requests. It does not print itself.
#[derive(Clone)]
pub struct SecretKey(Arc<str>);

impl SecretKey {
    /// Compares the key in a time that depends only on the lengths.
    #[must_use]
    pub fn matches(&self, presented: &str) -> bool {
        let (own, presented) = (self.0.as_bytes(), presented.as_bytes());
        let mut difference = u8::from(own.len() != presented.len());
        for (one, other) in own.iter().zip(presented) {
            difference = black_box(difference | (one ^ other));
        }
        difference == 0
    }
}

impl From<String> for SecretKey {
    fn from(key: String) -> Self {
        Self(key.into())
    }
}

impl PartialEq for SecretKey {
    fn eq(&self, other: &Self) -> bool {
        self.matches(&other.0)
    }
}

impl Eq for SecretKey {}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey")
    }
}

/// A key that two accounts list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyConflict {
    /// Account that the key counts for: the first that lists it.
    pub holder: Arc<str>,
    /// Account that lists the key without effect.
    pub other: Arc<str>,
}

/// Who sent a request, as far as its key says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountAccess {
    /// The configuration has no accounts; the key is not looked at.
    Open,
    /// The route is public, and no account has the key.
    Anonymous,
    /// The key is that of an account.
    Known(AccountKey),
    /// No account has the key, and the route needs one.
    Denied,
}

/// Number of priorities of routes that [`RequestPriority::rank`] tells apart.
const ROUTE_RANKS: u32 = 256;

/// Priority of a request: that of its account decides before that of its route.
///
/// The smaller one comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestPriority {
    leading: u32,
    route: u32,
}

impl RequestPriority {
    /// Combines the priorities; an account without one has that of the route.
    #[must_use]
    pub const fn new(account: Option<u32>, route: u32) -> Self {
        let leading = match account {
            Some(account) => account,
            None => route,
        };
        Self { leading, route }
    }

    /// Returns a number that orders priorities as a whole; the smallest comes first.
    #[must_use]
    pub const fn rank(self) -> u32 {
        let route = if self.route < ROUTE_RANKS { self.route } else { ROUTE_RANKS - 1 };
        self.leading.saturating_mul(ROUTE_RANKS).saturating_add(route)
    }

    /// Returns the deciding priority alone; 0 is the highest.
    #[must_use]
    pub const fn level(self) -> u32 {
        self.leading
    }
}

/// A client account without its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Name of the account.
    pub name: Arc<str>,
    /// Priority of its requests, if it has one.
    pub priority: Option<u32>,
    /// Limit on its requests over all nodes, if there is one.
    pub quota: Option<AccountQuota>,
    /// Whether the account has one of the highest rates of the configuration.
    pub is_large: bool,
}

#[derive(Clone, Debug)]
struct KeyHolder {
    key: SecretKey,
    account: AccountKey,
}

/// Accounts of the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    is_in_force: bool,
    accounts: SlotMap<AccountKey, AccountEntry>,
    by_name: IndexMap<Arc<str>, AccountKey>,
    /// Keys by their hash. The hash is random, so that clients can't choose keys that
    /// share one, and the time of a lookup says nothing about the keys.
    holders: IndexMap<u64, Vec<KeyHolder>>,
    hasher: RandomState,
}

impl AccountTable {
    /// Applies the accounts of a configuration; `None` if requests carry no keys. Returns
    /// the keys that several accounts list.
    ///
    /// An account that stays keeps its [`AccountKey`], and one that is gone loses its keys
    /// at once.
    pub fn configure(&mut self, accounts: Option<&[AccountConfig]>) -> Vec<KeyConflict> {
        self.is_in_force = accounts.is_some();
        self.holders.clear();
        let large = large_accounts(accounts.unwrap_or_default());
        let mut conflicts = Vec::new();
        let mut by_name = IndexMap::new();
        for config in accounts.unwrap_or_default() {
            let AccountConfig { name, keys, priority, quota } = config;
            let entry = AccountEntry {
                name: name.clone(),
                priority: *priority,
                quota: *quota,
                is_large: large.contains(&name),
            };
            let account = match self.by_name.swap_remove(name) {
                Some(account) => {
                    self.accounts[account] = entry;
                    account
                }
                None => self.accounts.insert(entry),
            };
            by_name.insert(name.clone(), account);
            for key in keys {
                if let Some(holder) = self.find(&key.0) {
                    if holder != account {
                        let holder = self.accounts[holder].name.clone();
                        conflicts.push(KeyConflict { holder, other: name.clone() });
                    }
                    continue;
                }
                let holders = self.holders.entry(self.hasher.hash_one(&*key.0)).or_default();
                holders.push(KeyHolder { key: key.clone(), account });
            }
        }
        for (_, gone) in std::mem::replace(&mut self.by_name, by_name) {
            self.accounts.remove(gone);
        }
        conflicts
    }

    /// Returns whether requests need keys.
    #[must_use]
    pub const fn is_in_force(&self) -> bool {
        self.is_in_force
    }

    /// Decides who sent a request to a route with this key.
    #[must_use]
    pub fn identify(&self, is_public: bool, key: Option<&str>) -> AccountAccess {
        if !self.is_in_force {
            return AccountAccess::Open;
        }
        match key.and_then(|key| self.find(key)) {
            Some(account) => AccountAccess::Known(account),
            None if is_public => AccountAccess::Anonymous,
            None => AccountAccess::Denied,
        }
    }

    /// Returns an account; `None` if the configuration in force does not have it.
    #[must_use]
    pub fn get(&self, account: AccountKey) -> Option<&AccountEntry> {
        self.accounts.get(account)
    }

    /// Returns the account with this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<AccountKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn find(&self, presented: &str) -> Option<AccountKey> {
        let holders = self.holders.get(&self.hasher.hash_one(presented))?;
        holders.iter().find(|holder| holder.key.matches(presented)).map(|holder| holder.account)
    }
}

/// Returns the names of the accounts with the highest rates.
fn large_accounts(accounts: &[AccountConfig]) -> Vec<&Arc<str>> {
    let mut rates: Vec<_> = accounts
        .iter()
        .filter_map(|account| account.quota.map(|quota| (quota.rate, &account.name)))
        .collect();
    rates.sort_by(|one, other| other.cmp(one));
    rates.truncate(LARGE_ACCOUNTS);
    rates.into_iter().map(|(_, name)| name).collect()
}
