//! Authentication of messages between entries.

use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use hmac::Hmac;
use hmac::Mac;
use lavenderhollow_types::EntryName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

/// How far the clocks of two entries may differ. A recorded message can be repeated for as long.
const MAX_SKEW: Duration = Duration::from_secs(60);

/// What a message is for, so that one can't be passed off as another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    Status,
    StatusReply,
    Config,
    ConfigReply,
    Forward,
    ForwardReply,
    Job,
    JobReply,
}

/// A message with its sender and a code that only holders of the secret can make.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Sealed {
    sender: EntryName,
    kind: Kind,
    sent_ms: u64,
    content: Vec<u8>,
    code: Vec<u8>,
}

impl Sealed {
    /// Returns the approximate size on the wire, in bytes.
    pub(crate) fn size(&self) -> u64 {
        let parts = self.sender.as_str().len() + self.content.len() + self.code.len();
        (parts + size_of::<u64>() * 2) as u64
    }
}

/// Why a message is not trusted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SealError {
    /// The code is not that of the deployment's secret.
    #[display("message is not authentic")]
    Code,
    /// The message is of another kind than expected.
    #[display("message is of another kind")]
    Kind,
    /// The message is too old, or the clocks differ too much.
    #[display("message is too old")]
    Age,
    /// The content can't be read.
    #[display("message can't be read")]
    Content,
}

/// Seals and opens messages with the deployment's secret.
pub(crate) struct Seal {
    name: EntryName,
    mac: Hmac<Sha256>,
}

impl Seal {
    pub(crate) fn new(name: EntryName, secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
        Self { name, mac }
    }

    /// Seals a message.
    pub(crate) fn seal<T: Serialize>(
        &self,
        kind: Kind,
        message: &T,
        wall: SystemTime,
    ) -> Result<Sealed, SealError> {
        let mut sealed = Sealed {
            sender: self.name.clone(),
            kind,
            sent_ms: millis(wall),
            content: postcard::to_stdvec(message).map_err(|_| SealError::Content)?,
            code: Vec::new(),
        };
        sealed.code = self.code(&sealed).finalize().into_bytes().to_vec();
        Ok(sealed)
    }

    /// Opens a message and returns it with its sender.
    pub(crate) fn open<T: DeserializeOwned>(
        &self,
        kind: Kind,
        sealed: &Sealed,
        wall: SystemTime,
    ) -> Result<(EntryName, T), SealError> {
        // The comparison takes the same time for every code.
        self.code(sealed)
            .verify_slice(&sealed.code)
            .map_err(|_| SealError::Code)?;
        if sealed.kind != kind {
            return Err(SealError::Kind);
        }
        let skew = millis(wall).abs_diff(sealed.sent_ms);
        if u128::from(skew) > MAX_SKEW.as_millis() {
            return Err(SealError::Age);
        }
        let message = postcard::from_bytes(&sealed.content).map_err(|_| SealError::Content)?;
        Ok((sealed.sender.clone(), message))
    }

    fn code(&self, sealed: &Sealed) -> Hmac<Sha256> {
        let name = sealed.sender.as_str().as_bytes();
        self.mac
            .clone()
            .chain_update([sealed.kind as u8])
            .chain_update(sealed.sent_ms.to_be_bytes())
            .chain_update((name.len() as u64).to_be_bytes())
            .chain_update(name)
            .chain_update(&sealed.content)
    }
}

fn millis(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
