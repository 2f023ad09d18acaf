//! Idempotency keys.

use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// How long after its time a key is accepted, and its claim kept. It is a constant because every
/// fold of a stream must apply the same value. It is less than half of the log's retention.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(3600);
/// How far a key may be ahead of the entry's wall clock.
pub const KEY_AHEAD: Duration = Duration::from_secs(60);
/// How far a key may be ahead of the log's time. It is [`KEY_AHEAD`] and 5 minutes that the log's
/// clock may differ from the entry's. It bounds how long a claim can stay in the state.
pub const LOG_AHEAD: Duration = Duration::from_secs(360);

/// A text that is no UUID of version 7.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("idempotency key is not a UUID of version 7")]
pub struct InvalidKey;

/// A caller's idempotency key, a UUID of version 7. Keys are ordered by their time first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "Uuid")]
pub struct ClaimKey(Uuid);

impl TryFrom<Uuid> for ClaimKey {
    type Error = InvalidKey;

    fn try_from(id: Uuid) -> Result<Self, InvalidKey> {
        if id.get_version_num() == 7 {
            Ok(Self(id))
        } else {
            Err(InvalidKey)
        }
    }
}

impl FromStr for ClaimKey {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        Uuid::try_parse(text).map_err(|_| InvalidKey)?.try_into()
    }
}

impl ClaimKey {
    /// Makes a key from its time and its random part, of which the low 62 bits count.
    pub fn from_parts(time: SystemTime, random: u64) -> Self {
        let millis = time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let mut bytes = [0; 10];
        bytes[2..].copy_from_slice(&random.to_be_bytes());
        Self(uuid::Builder::from_unix_timestamp_millis(millis, &bytes).into_uuid())
    }

    /// Returns the key as a UUID.
    pub fn as_uuid(&self) -> Uuid {
        self.0
    }

    /// Returns the time in the key, with milliseconds.
    pub fn time(&self) -> SystemTime {
        let millis = (self.0.as_u128() >> 80) as u64;
        SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
    }

    /// Checks the age of the key by the entry's wall clock.
    ///
    /// This refuses early only. The fold checks the age again by the log's time, because the wall
    /// clock may have jumped.
    ///
    /// # Errors
    ///
    /// Fails when the key is older than [`CLAIM_WINDOW`] or more than [`KEY_AHEAD`] ahead.
    pub fn check_age(&self, wall: SystemTime) -> Result<(), Refusal> {
        if self.time() + CLAIM_WINDOW < wall {
            let detail = "idempotency key is older than the claim window";
            return Err(Refusal::new(RefusalKind::Expired, detail));
        }
        if self.time() > wall + KEY_AHEAD {
            let detail = "idempotency key is ahead of the clock";
            return Err(Refusal::new(RefusalKind::Expired, detail));
        }
        Ok(())
    }
}

/// Cuts a time to the milliseconds that a snapshot keeps, so that a restored state decides as the
/// original one does.
pub(crate) fn to_millis(time: SystemTime) -> SystemTime {
    let millis = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis as u64)
}
