//! Validated names, which are immutable and cheap to clone.

use std::borrow::Borrow;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The length of the longest valid name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The error for a name that is empty, too long or contains a character that is not allowed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("name {value:?} is not valid: use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_', '.', '/'")]
pub struct InvalidName {
    /// The rejected name, truncated to `MAX_NAME_BYTES + 1` characters.
    pub value: String,
}

fn validate(value: &str) -> Result<Arc<str>, InvalidName> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_./".contains(&b);
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.bytes().all(allowed) {
        return Err(InvalidName {
            value: value.chars().take(MAX_NAME_BYTES + 1).collect(),
        });
    }
    Ok(value.into())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            JsonSchema,
        )]
        #[serde(try_from = "String")]
        #[schemars(transparent)]
        pub struct $name(#[serde(with = "arc_str")] #[schemars(with = "String")] Arc<str>);

        impl $name {
            /// Creates a name from valid text.
            ///
            /// # Errors
            ///
            /// Fails when `value` is empty, too long or contains a character that is not allowed.
            pub fn new(value: &str) -> Result<Self, InvalidName> {
                validate(value).map(Self)
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(value: String) -> Result<Self, InvalidName> {
                Self::new(&value)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(value: &str) -> Result<Self, InvalidName> {
                Self::new(value)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

mod arc_str {
    use std::sync::Arc;

    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(value: &Arc<str>, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_str(value)
    }
}

name_type!(
    /// The name of a team, which submits requests with its API keys.
    TeamName
);
name_type!(
    /// The name of a pool of VMs.
    PoolName
);
name_type!(
    /// The name of a queue of requests, which one pool serves.
    QueueName
);
name_type!(
    /// The name of an availability zone.
    ZoneName
);
name_type!(
    /// The name of a region, which consists of availability zones.
    RegionName
);
