//! Validated names of nodes, regions, availability zones, services, servers,
//! indexes and shards.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// A name that is empty, too long or contains a character that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
    name: String,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "name {:?} is not 1 to {MAX_NAME_BYTES} bytes of a-z, 0-9, \"-\" and \".\"",
            self.name
        )
    }
}

impl std::error::Error for NameError {}

fn check_name(name: &str) -> Result<Arc<str>, NameError> {
    let length_ok = (1..=MAX_NAME_BYTES).contains(&name.len());
    let bytes_ok = name
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte));
    if length_ok && bytes_ok { Ok(name.into()) } else { Err(NameError { name: name.to_owned() }) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(name: &str) -> Result<Self, NameError> {
                check_name(name).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(name: String) -> Result<Self, NameError> {
                check_name(&name).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a node: the daemon process on an entry VM, which accepts requests
    /// and forwards them to backend servers.
    NodeName
}
name_type! {
    /// Name of a region: a group of availability zones.
    RegionName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a service: a set of backend servers with the same content.
    ServiceName
}
name_type! {
    /// Name of one backend server.
    ServerName
}
name_type! {
    /// Name of a search index that is split into shards.
    IndexName
}
name_type! {
    /// Name of one shard of an index.
    ShardName
}
