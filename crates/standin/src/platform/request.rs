//! Parses and validates requests of the object API.

use carobstep_store::{ObjectKind, ObjectVersion, WriteCondition, is_object_name};
use http::{HeaderMap, Method, StatusCode, Uri, header, request};

use super::calls::CallMethod;

/// A request of the object API; the value of a write is in the HTTP body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ApiRequest {
    /// Reads one object.
    Get { kind: ObjectKind, name: String },
    /// Reads every object of a kind.
    List { kind: ObjectKind },
    /// Writes one object.
    Put { kind: ObjectKind, name: String, condition: WriteCondition },
    /// Deletes one object.
    Delete { kind: ObjectKind, name: String, at: ObjectVersion },
    /// Watches the changes of a kind.
    Watch { kind: ObjectKind, after: ObjectVersion },
    /// Reads the VM list.
    Vms,
}

/// The error of a request that is malformed or not supported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestError {
    /// HTTP status of the response.
    pub(crate) status: StatusCode,
    /// Description of the problem.
    pub(crate) detail: String,
}

impl RequestError {
    fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        Self { status, detail: detail.into() }
    }
}

impl ApiRequest {
    /// Returns the category under which the request is counted.
    pub(crate) const fn method(&self) -> CallMethod {
        match self {
            Self::Get { .. } => CallMethod::Get,
            Self::List { .. } => CallMethod::List,
            Self::Put { .. } => CallMethod::Put,
            Self::Delete { .. } => CallMethod::Delete,
            Self::Watch { .. } => CallMethod::Watch,
            Self::Vms => CallMethod::Vms,
        }
    }

    /// Returns the object kind that the request addresses.
    pub(crate) const fn kind(&self) -> Option<ObjectKind> {
        match self {
            Self::Get { kind, .. }
            | Self::List { kind }
            | Self::Put { kind, .. }
            | Self::Delete { kind, .. }
            | Self::Watch { kind, .. } => Some(*kind),
            Self::Vms => None,
        }
    }
}

impl TryFrom<&request::Parts> for ApiRequest {
    type Error = RequestError;

    fn try_from(parts: &request::Parts) -> Result<Self, RequestError> {
        let segments: Vec<&str> = parts.uri.path().trim_start_matches('/').split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::GET, ["vms"]) => Ok(Self::Vms),
            (&Method::GET, ["watch", kind]) => {
                Ok(Self::Watch { kind: parse_kind(kind)?, after: parse_after(&parts.uri)? })
            }
            (&Method::GET, ["objects", kind]) => Ok(Self::List { kind: parse_kind(kind)? }),
            (&Method::GET, ["objects", kind, name]) => {
                Ok(Self::Get { kind: parse_kind(kind)?, name: parse_name(name)? })
            }
            (&Method::PUT, ["objects", kind, name]) => Ok(Self::Put {
                kind: parse_kind(kind)?,
                name: parse_name(name)?,
                condition: parse_condition(&parts.headers)?,
            }),
            (&Method::DELETE, ["objects", kind, name]) => {
                let WriteCondition::At(at) = parse_condition(&parts.headers)? else {
                    let detail = "a deletion needs if-match with a version";
                    return Err(RequestError::new(StatusCode::PRECONDITION_REQUIRED, detail));
                };
                Ok(Self::Delete { kind: parse_kind(kind)?, name: parse_name(name)?, at })
            }
            (method, ["vms"] | ["watch", _] | ["objects", ..]) => {
                let detail = format!("{method} is not supported here");
                Err(RequestError::new(StatusCode::METHOD_NOT_ALLOWED, detail))
            }
            _ => {
                let detail = format!("no such path: {}", parts.uri.path());
                Err(RequestError::new(StatusCode::NOT_FOUND, detail))
            }
        }
    }
}

fn parse_kind(kind: &str) -> Result<ObjectKind, RequestError> {
    kind.parse()
        .map_err(|_| RequestError::new(StatusCode::BAD_REQUEST, format!("no such kind: {kind:?}")))
}

fn parse_name(name: &str) -> Result<String, RequestError> {
    if is_object_name(name) {
        return Ok(name.to_owned());
    }
    Err(RequestError::new(StatusCode::BAD_REQUEST, format!("bad object name {name:?}")))
}

fn parse_after(uri: &Uri) -> Result<ObjectVersion, RequestError> {
    let digits = uri.query().and_then(|query| query.strip_prefix("after="));
    digits
        .and_then(|digits| digits.parse().ok())
        .map(ObjectVersion)
        .ok_or_else(|| RequestError::new(StatusCode::BAD_REQUEST, "a watch needs ?after=VERSION"))
}

fn parse_condition(headers: &HeaderMap) -> Result<WriteCondition, RequestError> {
    let bad_request = |detail: &str| RequestError::new(StatusCode::BAD_REQUEST, detail);
    match (headers.get(header::IF_MATCH), headers.get(header::IF_NONE_MATCH)) {
        (None, None) => {
            let detail = "a write needs if-match or if-none-match";
            Err(RequestError::new(StatusCode::PRECONDITION_REQUIRED, detail))
        }
        (Some(_), Some(_)) => Err(bad_request("if-match and if-none-match exclude each other")),
        (None, Some(tag)) if tag.as_bytes() == b"*" => Ok(WriteCondition::Absent),
        (None, Some(_)) => Err(bad_request("if-none-match must be *")),
        (Some(tag), None) => {
            let text = tag.to_str().unwrap_or_default();
            let digits = text.strip_prefix('"').and_then(|text| text.strip_suffix('"'));
            let version = digits.and_then(|digits| digits.parse().ok()).map(ObjectVersion);
            version
                .map(WriteCondition::At)
                .ok_or_else(|| bad_request("if-match must be a quoted version"))
        }
    }
}
