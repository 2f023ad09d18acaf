//! Ids, offsets and versions.

use derive_more::Display;
use derive_more::From;
use derive_more::FromStr;
use derive_more::Into;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, From, Into, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, JsonSchema,
        )]
        #[schemars(transparent)]
        pub struct $name(#[schemars(with = "String")] Uuid);

        impl $name {
            /// Draws a new random id.
            pub fn random() -> Self {
                Self(Uuid::new_v4())
            }

            /// Makes an id from a number, for tests and generated sequences.
            pub fn from_number(value: u128) -> Self {
                Self(Uuid::from_u128(value))
            }

            /// Returns the id as a UUID.
            pub fn as_uuid(&self) -> Uuid {
                self.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, FromStr, PartialEq, Eq, PartialOrd,
            Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[schemars(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

uuid_type!(
    /// One run of an entry process, drawn at its start.
    Incarnation
);
uuid_type!(
    /// A record of the log; the same record appended twice keeps its id.
    RecordId
);
uuid_type!(
    /// A caller's request.
    RequestId
);
uuid_type!(
    /// A durable job.
    JobId
);
uuid_type!(
    /// One attempt to run a request on a target.
    AttemptId
);
uuid_type!(
    /// A maintenance wave.
    WaveId
);
number_type!(
    /// A position in a stream of the log.
    Offset
);
number_type!(
    /// The version of a subject; it grows by one with each accepted record. Zero means never
    /// changed. For configuration it is the offset of the accepted record plus one.
    Version
);
