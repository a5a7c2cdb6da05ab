//! Client accounts: whose key a request carries, and which accounts are large.

use carobstep_tier::{
    AccountAccess, AccountConfig, AccountKey, AccountQuota, AccountTable, KeyConflict,
    RequestPriority, RequestRate, SecretKey,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn account(name: &str, keys: &[&str]) -> AccountConfig {
    let keys = keys.iter().map(|key| SecretKey::from((*key).to_owned())).collect();
    AccountConfig { name: name.into(), keys, priority: None, quota: None }
}

/// Returns the name of the account that gets a request, and what else was decided.
fn decided(table: &AccountTable, is_public: bool, key: Option<&str>) -> String {
    match table.identify(is_public, key) {
        AccountAccess::Known(account) => table.get(account).expect("an account").name.to_string(),
        other => format!("{other:?}"),
    }
}

struct KeyCase {
    key: Option<&'static str>,
    /// Decision for a route that needs a key.
    closed: &'static str,
    /// Decision for a public route.
    public: &'static str,
}

const KEY_CASES: [KeyCase; 8] = [
    KeyCase { key: Some("k-one"), closed: "one", public: "one" },
    KeyCase { key: Some("k-two"), closed: "two", public: "two" },
    KeyCase { key: Some("k-second"), closed: "one", public: "one" },
    KeyCase { key: Some("K-one"), closed: "Denied", public: "Anonymous" },
    KeyCase { key: Some("k-on"), closed: "Denied", public: "Anonymous" },
    KeyCase { key: Some("k-one0"), closed: "Denied", public: "Anonymous" },
    KeyCase { key: Some(""), closed: "Denied", public: "Anonymous" },
    KeyCase { key: None, closed: "Denied", public: "Anonymous" },
];

#[test]
fn keys_decide_on_the_account() {
    let mut table = AccountTable::default();
    assert_eq!(decided(&table, false, Some("k-one")), "Open");
    let accounts = [account("one", &["k-one", "k-second"]), account("two", &["k-two"])];
    assert_eq!(table.configure(Some(&accounts)), []);
    for case in KEY_CASES {
        assert_eq!(decided(&table, false, case.key), case.closed, "{:?}", case.key);
        assert_eq!(decided(&table, true, case.key), case.public, "{:?}", case.key);
    }
    // Accounts without any keys let nobody in; no accounts let everybody in.
    table.configure(Some(&[]));
    assert_eq!(decided(&table, false, Some("k-one")), "Denied");
    table.configure(None);
    assert_eq!(decided(&table, false, None), "Open");
}

#[test]
fn a_key_of_two_accounts_counts_for_the_first() {
    let mut table = AccountTable::default();
    let accounts = [account("one", &["k", "k"]), account("two", &["k", "own"])];
    let conflict = KeyConflict { holder: "one".into(), other: "two".into() };
    assert_eq!(table.configure(Some(&accounts)), [conflict]);
    assert_eq!(decided(&table, false, Some("k")), "one");
    assert_eq!(decided(&table, false, Some("own")), "two");
}

/// Random sequences of configurations: only keys of the last one count, and an account that
/// stays keeps its place.
#[test]
fn only_keys_of_the_last_configuration_count() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = AccountTable::default();
        let mut places: Vec<Option<AccountKey>> = Vec::new();
        for _ in 0..30 {
            let mut accounts = Vec::new();
            for number in 0..20 {
                if random.random_bool(0.5) {
                    let key = format!("k{number}-{}", random.random_range(0..3));
                    accounts.push(account(&format!("a{number}"), &[&key]));
                }
            }
            table.configure(Some(&accounts));
            assert_eq!(table.len(), accounts.len());
            for number in 0..20 {
                let name = format!("a{number}");
                let config = accounts.iter().find(|config| *config.name == *name);
                for version in 0..3 {
                    let text = format!("k{number}-{version}");
                    let is_listed = config
                        .is_some_and(|config| config.keys.contains(&SecretKey::from(text.clone())));
                    let expected = if is_listed { &name } else { "Denied" };
                    assert_eq!(decided(&table, false, Some(&text)), expected, "seed {seed}");
                }
            }
            let now: Vec<_> = (0..20).map(|number| table.named(&format!("a{number}"))).collect();
            for (before, after) in places.iter().zip(&now) {
                assert!(before == after || before.is_none() || after.is_none());
            }
            places = now;
        }
    }
}

#[test]
fn keys_do_not_print_themselves() {
    let text = format!("{:?}", account("one", &["k-one"]));
    assert!(text.contains("one") && !text.contains("k-one"), "{text}");
}

#[test]
fn the_priority_of_the_account_decides_before_that_of_the_route() {
    let mut priorities = [(Some(1), 0), (None, 2), (Some(0), 2), (Some(1), 1), (None, 0)]
        .map(|(account, route)| RequestPriority::new(account, route));
    priorities.sort();
    assert_eq!(priorities.map(RequestPriority::level), [0, 0, 1, 1, 2]);
    assert_eq!(priorities[0], RequestPriority::new(None, 0));
    assert_eq!(RequestPriority::new(None, 7).level(), 7, "as without accounts");
}

#[test]
fn the_accounts_with_the_highest_rates_are_large() {
    let mut accounts: Vec<_> = (0..30).map(|it| account(&format!("a{it}"), &[])).collect();
    for (number, account) in accounts.iter_mut().enumerate().skip(1) {
        let rate = RequestRate::try_from(number as f64).expect("a rate");
        account.quota = Some(AccountQuota { rate, burst: 0 });
    }
    let mut table = AccountTable::default();
    table.configure(Some(&accounts));
    for number in 0..30 {
        let account = table.named(&format!("a{number}")).expect("an account");
        assert_eq!(table.get(account).map(|it| it.is_large), Some(number >= 14), "{number}");
    }
}
