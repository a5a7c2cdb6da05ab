//! Validates the values of settings and collects an error for each invalid one.

use std::{fmt, net::SocketAddr, ops::RangeInclusive, time::Duration};

use super::{error::SettingsFault, section::Located};

/// Collects the errors found while a settings document is validated.
pub(super) struct SettingsChecker {
    faults: Vec<SettingsFault>,
}

/// A checked value with its key and line, which are reported if the value
/// conflicts with another.
///
/// `line` is `None` for a default value.
#[derive(Clone, Copy, Debug)]
pub(super) struct Checked<T> {
    pub(super) key: &'static str,
    pub(super) value: T,
    pub(super) line: Option<usize>,
    /// Whether the value in the file was within the allowed range.
    pub(super) in_range: bool,
}

impl SettingsChecker {
    pub(super) fn new(faults: Vec<SettingsFault>) -> Self {
        Self { faults }
    }

    pub(super) fn into_faults(self) -> Vec<SettingsFault> {
        self.faults
    }

    pub(super) fn fault(&mut self, line: usize, key: &str, message: impl Into<String>) {
        self.faults.push(SettingsFault::new(line, key, message));
    }

    /// Validates a name. Returns `None` for an absent one; if it is required, it was
    /// reported when the file was parsed.
    pub(super) fn name<T>(&mut self, key: &str, text: Option<Located<String>>) -> Option<T>
    where
        T: TryFrom<String, Error: fmt::Display>,
    {
        let text = text?;
        match T::try_from(text.value) {
            Ok(name) => Some(name),
            Err(error) => {
                self.fault(text.line, key, error.to_string());
                None
            }
        }
    }

    /// Validates an address of the form `ip:port`.
    pub(super) fn address(
        &mut self,
        key: &'static str,
        text: Option<&Located<String>>,
    ) -> Option<Checked<SocketAddr>> {
        let text = text?;
        let Ok(value) = text.value.parse() else {
            self.fault(text.line, key, format!("{:?} is not an ip:port address", text.value));
            return None;
        };
        Some(Checked { key, value, line: Some(text.line), in_range: true })
    }

    /// Validates the address of a remote listener, which needs a definite IP and
    /// port.
    pub(super) fn remote_address(
        &mut self,
        key: &'static str,
        text: Option<&Located<String>>,
    ) -> Option<Checked<SocketAddr>> {
        let checked = self.address(key, text)?;
        if checked.value.port() != 0 && !checked.value.ip().is_unspecified() {
            return Some(checked);
        }
        let message =
            format!("{} cannot be connected to: IP or port is unspecified", checked.value);
        self.fault(checked.line.unwrap_or(1), key, message);
        None
    }

    /// Checks that a number is within `range`; uses `default` for an absent one.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        number: Option<Located<u64>>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Checked<u64> {
        let Some(number) = number else {
            return Checked { key, value: default, line: None, in_range: true };
        };
        if range.contains(&number.value) {
            return Checked { key, value: number.value, line: Some(number.line), in_range: true };
        }
        let message = format!("{} is outside {} to {}", number.value, range.start(), range.end());
        self.fault(number.line, key, message);
        Checked { key, value: default, line: None, in_range: false }
    }

    /// Requires `low` to be less than `high`, unless one of them was already
    /// reported as out of range.
    pub(super) fn require_less(&mut self, low: Checked<u64>, high: Checked<u64>) {
        if !low.in_range || !high.in_range || low.value < high.value {
            return;
        }
        // Two defaults never conflict, so at least one value has a line.
        let Some(line) = low.line.or(high.line) else { return };
        let message = format!("{} is not less than {} {}", low.value, high.key, high.value);
        self.fault(line, low.key, message);
    }

    /// Reports each address that is used by more than one key.
    ///
    /// An unspecified IP address overlaps every address with the same port.
    /// Port 0 never overlaps, as the operating system then assigns a free port.
    pub(super) fn require_distinct(&mut self, addresses: &[Checked<SocketAddr>]) {
        for (position, later) in addresses.iter().enumerate() {
            let earlier =
                addresses[..position].iter().find(|earlier| addresses_overlap(earlier, later));
            let Some(earlier) = earlier else { continue };
            let message = format!("{} is already used by {}", later.value, earlier.key);
            self.fault(later.line.unwrap_or(1), later.key, message);
        }
    }
}

/// Whether two listeners could not both be bound to their addresses.
fn addresses_overlap(one: &Checked<SocketAddr>, other: &Checked<SocketAddr>) -> bool {
    let (one, other) = (one.value, other.value);
    if one.port() == 0 || one.port() != other.port() {
        return false;
    }
    one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified()
}

impl Checked<u64> {
    /// Returns the value as a duration in milliseconds.
    pub(super) const fn millis(self) -> Duration {
        Duration::from_millis(self.value)
    }

    /// Returns the value as a `usize`; the range checks keep it within 32 bits.
    pub(super) fn count(self) -> usize {
        usize::try_from(self.value).unwrap_or(usize::MAX)
    }
}
