//! Identity of a request: its identifier, and digests of customer and caller.

use carobstep_dispatch::caller_id;
use carobstep_wire::RequestId;
use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_64;

/// Length of a request identifier in hex digits.
const REQUEST_ID_DIGITS: usize = 32;

/// Identity of a request and of the caller that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Identifier of the request.
    pub request: RequestId,
    /// Digest of the customer that the request is accounted to.
    pub customer: u64,
    /// Digest of the identity that a caller keeps when it retries after a refusal.
    pub caller: u64,
}

impl CallerIdentity {
    /// Reads the headers `x-request-id` and `x-customer`. The default for a missing
    /// or malformed identifier is a random one, and for a missing customer the
    /// caller's IP address.
    #[must_use]
    pub fn read(headers: &HeaderMap, remote_ip: &str) -> Self {
        let request = header_text(headers, "x-request-id")
            .and_then(parse_request_id)
            .unwrap_or_else(random_request_id);
        let customer = xxh3_64(header_text(headers, "x-customer").unwrap_or(remote_ip).as_bytes());
        let caller = customer ^ caller_id(request);
        Self { request, customer, caller }
    }

    /// Returns an identifier from which those of the attempts are derived: the
    /// caller's half of the request's identifier and a random half.
    #[must_use]
    pub fn attempt_seed(&self) -> RequestId {
        let random_half = u128::from(rand::random::<u64>());
        RequestId(u128::from(caller_id(self.request)) << 64 | random_half)
    }
}

#[must_use]
pub fn random_request_id() -> RequestId {
    RequestId(rand::random())
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != REQUEST_ID_DIGITS {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

/// Returns the value of a header, if it is present and visible ASCII.
pub fn header_text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
