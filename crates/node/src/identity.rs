//! Request identifiers and digests of callers.

use carobstep_dispatch::caller_of;
use carobstep_wire::RequestId;
use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_64;

/// Length of a request identifier in hex digits.
const REQUEST_ID_DIGITS: usize = 32;

/// Who a request comes from and how it is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Identifier of the request.
    pub request: RequestId,
    /// Digest of the customer that the request is charged to.
    pub customer: u64,
    /// Digest of the identity that a refused caller presents again.
    pub caller: u64,
}

impl CallerIdentity {
    /// Reads `x-request-id` and `x-customer`; a missing identifier is drawn at
    /// random and a missing customer is the caller's IP number.
    #[must_use]
    pub fn read(headers: &HeaderMap, remote_ip: &str) -> Self {
        let request =
            header_text(headers, "x-request-id").and_then(parse_id).unwrap_or_else(random_id);
        let customer = xxh3_64(header_text(headers, "x-customer").unwrap_or(remote_ip).as_bytes());
        let caller = customer ^ caller_of(request);
        Self { request, customer, caller }
    }

    /// An identifier for the attempts of one run: the caller's half of the
    /// request's identifier and a random half.
    #[must_use]
    pub fn attempt_seed(&self) -> RequestId {
        let own = u128::from(rand::random::<u64>());
        RequestId(u128::from(caller_of(self.request)) << 64 | own)
    }
}

/// Draws a request identifier at random.
#[must_use]
pub fn random_id() -> RequestId {
    RequestId(rand::random())
}

fn parse_id(text: &str) -> Option<RequestId> {
    if text.len() != REQUEST_ID_DIGITS {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

/// The text of a header, if it is there and is visible ASCII.
pub fn header_text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
