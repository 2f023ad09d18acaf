//! API keys of teams, the operator token, and their hashes.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::TryRngCore;
use rand::rngs::OsRng;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const KEY_BYTES: usize = 32;

/// A secret that callers authenticate with: the API key of a team, or the operator token. Its debug
/// output hides the secret.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Generates a key of 32 random bytes from the operating system, encoded in URL-safe base64.
    ///
    /// # Panics
    ///
    /// Panics when the random generator of the operating system fails.
    pub fn random() -> Self {
        let mut bytes = [0; KEY_BYTES];
        OsRng
            .try_fill_bytes(&mut bytes)
            .expect("the operating system's random generator failed");
        Self(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Wraps a key that a caller sent or that a key file contains.
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the secret, which the questionnaire writes to the key file once.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }

    /// Returns the hash that the configuration contains in place of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The SHA-256 hash of a key. It needs no salt, since keys are random.
#[serde_as]
#[derive(Clone, Copy, Serialize, Deserialize, JsonSchema)]
#[schemars(transparent)]
pub struct KeyHash(
    #[serde_as(as = "Hex")]
    #[schemars(with = "String")]
    [u8; 32],
);

impl KeyHash {
    /// Returns the 32 bytes of the hash. Their comparison is not in constant time.
    pub fn bytes(&self) -> [u8; 32] {
        self.0
    }
}

impl PartialEq for KeyHash {
    /// Compares in constant time, so that the duration reveals nothing about the key.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}
