//! Bodies and their digests.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest as _;
use sha2::Sha256;

/// A SHA-256 digest.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Wraps the bytes of a digest.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A request or answer body that is shared, not copied. Its text form is base64.
#[derive(Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Body(Arc<[u8]>);

#[serde_as]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Encoded(#[serde_as(as = "Base64")] Vec<u8>);

impl From<Encoded> for Body {
    fn from(encoded: Encoded) -> Self {
        Self(encoded.0.into())
    }
}

impl From<Body> for Encoded {
    fn from(body: Body) -> Self {
        Self(body.0.to_vec())
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl From<&[u8]> for Body {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({} bytes)", self.0.len())
    }
}
