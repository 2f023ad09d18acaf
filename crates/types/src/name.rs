//! Shared immutable names.

use std::borrow::Borrow;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The longest name that is accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A name that is empty, too long or has a character that is not allowed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("name {value:?} is not valid: use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_', '.', '/'")]
pub struct InvalidName {
    /// The refused text.
    pub value: String,
}

fn checked(value: &str) -> Result<Arc<str>, InvalidName> {
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
        pub struct $name(#[serde(with = "shared")] #[schemars(with = "String")] Arc<str>);

        impl $name {
            /// Checks and shares a name.
            ///
            /// # Errors
            ///
            /// Fails when the name is empty, too long or has a character that is not allowed.
            pub fn new(value: &str) -> Result<Self, InvalidName> {
                checked(value).map(Self)
            }

            /// Returns the name as text.
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

mod shared {
    use std::sync::Arc;

    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(value: &Arc<str>, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_str(value)
    }
}

name_type!(
    /// A team that submits work.
    TeamName
);
name_type!(
    /// A pool of VMs.
    PoolName
);
name_type!(
    /// A queue of requests, served by one pool.
    QueueName
);
name_type!(
    /// An availability zone.
    ZoneName
);
name_type!(
    /// A region of availability zones.
    RegionName
);
