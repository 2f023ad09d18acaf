//! Claims of idempotency keys in a zone's stream.

use std::collections::BTreeMap;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;
use serde::Deserialize;
use serde::Serialize;
use serde_with::TimestampMilliSeconds;
use serde_with::serde_as;

use super::key::CLAIM_WINDOW;
use super::key::ClaimKey;
use super::key::LOG_AHEAD;
use super::key::to_millis;
use crate::exchange::Body;
use crate::exchange::Digest;
use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;

/// The largest answer body that a claim keeps, in bytes.
pub const MAX_KEPT_BODY: usize = 16 * 1024;

/// All claims are one subject, because a claim that is dropped by age would leave its version in
/// the fold. The rules below decide which claim wins, so that records need no expected version.
const SUBJECT: &str = "claims";

/// An answer as it is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The status of the answer.
    pub status: u16,
    /// The length of the body, in bytes.
    pub length: u64,
    /// The digest of the body.
    pub digest: Digest,
    /// The body, absent when it is larger than [`MAX_KEPT_BODY`].
    pub body: Option<Body>,
}

impl Stored {
    /// Keeps an answer, without its body if that is too large.
    pub fn new(status: u16, body: Body) -> Self {
        let bytes = body.as_ref();
        Self {
            status,
            length: bytes.len() as u64,
            digest: Digest::of(bytes),
            body: (bytes.len() <= MAX_KEPT_BODY).then_some(body),
        }
    }
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settled {
    /// It ran, with this answer.
    Ran(Stored),
    /// It did not run, and no repeat of the key will run.
    NotRun(Refusal),
    /// It may have run.
    MayHaveRun(Doubt),
}

impl From<Verdict<Stored>> for Settled {
    fn from(verdict: Verdict<Stored>) -> Self {
        match verdict {
            Verdict::Ran(stored) => Self::Ran(stored),
            Verdict::NotRun(refusal) => Self::NotRun(refusal),
            Verdict::MayHaveRun(doubt) => Self::MayHaveRun(doubt),
        }
    }
}

impl From<Settled> for Verdict<Stored> {
    fn from(settled: Settled) -> Self {
        match settled {
            Settled::Ran(stored) => Self::Ran(stored),
            Settled::NotRun(refusal) => Self::NotRun(refusal),
            Settled::MayHaveRun(doubt) => Self::MayHaveRun(doubt),
        }
    }
}

/// A change of the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimChange {
    /// Claims a key for the actor.
    Claim {
        /// The caller's key.
        key: ClaimKey,
        /// The caller's team.
        team: TeamName,
        /// The digest of the whole request.
        digest: Digest,
        /// The process that will dispatch the request; it must be the record's actor.
        owner: Incarnation,
    },
    /// Records the outcome of a claimed request.
    Settle {
        /// The claimed key.
        key: ClaimKey,
        /// The outcome.
        outcome: Settled,
    },
}

/// Why a change of the claims is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ClaimRejection {
    /// The key is claimed already.
    #[display("key is claimed")]
    Claimed,
    /// The key was claimed for another request or by another team.
    #[display("key is claimed for another request")]
    Mismatch,
    /// The key is older than the claim window by the log's time.
    #[display("key is older than the claim window")]
    Expired,
    /// The key is ahead of the log's time.
    #[display("key is ahead of the log")]
    Ahead,
    /// The record's actor is not the owner.
    #[display("actor is not the owner")]
    NotOwner,
    /// There is no such claim.
    #[display("key is not claimed")]
    Unknown,
    /// The outcome is recorded already.
    #[display("key is settled")]
    Settled,
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The team that used the key.
    pub team: TeamName,
    /// The digest of the request.
    pub digest: Digest,
    /// The process that may dispatch the request.
    pub owner: Incarnation,
    /// The outcome, once it is recorded.
    pub outcome: Option<Settled>,
}

/// The claims of a zone that are inside the claim window.
///
/// A missing claim proves that the key was never claimed only as long as the fold would still
/// accept a claim of it. Therefore one rule by one clock decides both: a claim is accepted while its
/// key's time plus the window is not before the greatest log time seen, and it is dropped after
/// that. No wall clock of an entry and no step back of the log's clock can reopen a key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
    /// The greatest log time of an accepted change.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    latest: SystemTime,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            claims: BTreeMap::new(),
            latest: SystemTime::UNIX_EPOCH,
        }
    }
}

impl Claims {
    /// Returns the claim of a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Answers a repeated key from its claim. Without a claim it answers nothing, which says only
    /// that a claim may be appended: the state may lag behind the log.
    pub fn answer(
        &self,
        key: &ClaimKey,
        team: &TeamName,
        digest: &Digest,
    ) -> Option<Verdict<Stored>> {
        let claim = self.claims.get(key)?;
        if claim.team != *team || claim.digest != *digest {
            let detail = "idempotency key was used for another request";
            return Some(Verdict::NotRun(Refusal::new(RefusalKind::Invalid, detail)));
        }
        let doubt = || Settled::MayHaveRun(Doubt::new("key is claimed, outcome is not recorded"));
        Some(claim.outcome.clone().unwrap_or_else(doubt).into())
    }

    fn claim(
        &mut self,
        key: ClaimKey,
        now: SystemTime,
        claim: Claim,
    ) -> Result<(), ClaimRejection> {
        if let Some(known) = self.claims.get(&key) {
            let same = known.team == claim.team && known.digest == claim.digest;
            return Err(if same {
                ClaimRejection::Claimed
            } else {
                ClaimRejection::Mismatch
            });
        }
        if key.time() + CLAIM_WINDOW < now {
            return Err(ClaimRejection::Expired);
        }
        if key.time() > now + LOG_AHEAD {
            return Err(ClaimRejection::Ahead);
        }
        self.claims.insert(key, claim);
        Ok(())
    }

    fn settle(
        &mut self,
        key: &ClaimKey,
        actor: Incarnation,
        outcome: &Settled,
    ) -> Result<(), ClaimRejection> {
        let claim = self.claims.get_mut(key).ok_or(ClaimRejection::Unknown)?;
        if claim.owner != actor {
            return Err(ClaimRejection::NotOwner);
        }
        if claim.outcome.is_some() {
            return Err(ClaimRejection::Settled);
        }
        claim.outcome = Some(outcome.clone());
        Ok(())
    }

    fn drop_expired(&mut self, now: SystemTime) {
        self.latest = now;
        while let Some(oldest) = self.claims.first_entry()
            && oldest.key().time() + CLAIM_WINDOW < now
        {
            oldest.remove();
        }
    }
}

impl State for Claims {
    type Change = ClaimChange;
    type Rejection = ClaimRejection;

    fn subject(_: &ClaimChange) -> String {
        SUBJECT.into()
    }

    fn apply(&mut self, cx: &Context, change: &ClaimChange) -> Result<Effect, ClaimRejection> {
        let now = self.latest.max(to_millis(cx.position.time));
        match change {
            ClaimChange::Claim { owner, .. } if *owner != cx.actor => {
                return Err(ClaimRejection::NotOwner);
            }
            ClaimChange::Claim {
                key,
                team,
                digest,
                owner,
            } => {
                let claim = Claim {
                    team: team.clone(),
                    digest: *digest,
                    owner: *owner,
                    outcome: None,
                };
                self.claim(*key, now, claim)?;
            }
            ClaimChange::Settle { key, outcome } => self.settle(key, cx.actor, outcome)?,
        }
        self.drop_expired(now);
        Ok(Effect::Changed)
    }
}
