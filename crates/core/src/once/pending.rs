//! A request that waits for its claim.

use std::time::SystemTime;

use lavenderhollow_types::Doubt;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;

use super::Settled;
use super::Stored;
use super::claims::ClaimChange;
use super::claims::ClaimRejection;
use super::claims::Claims;
use super::key::ClaimKey;
use crate::exchange::Digest;
use crate::fold::Outcome;
use crate::permit::Permit;
use crate::record::Record;

/// A request whose claim is appended and not read back yet.
///
/// It is either resolved, which may free the permit, or abandoned, which refuses the request for
/// good.
#[derive(Debug)]
#[must_use]
pub struct PendingClaim<R> {
    permit: Permit<R>,
    record: Record<ClaimChange>,
}

impl<R> PendingClaim<R> {
    /// Makes the claim record of a request, or answers it at once.
    ///
    /// # Errors
    ///
    /// Returns the verdict when the key is out of its age or claimed already.
    pub fn new(
        permit: Permit<R>,
        key: ClaimKey,
        team: &TeamName,
        digest: Digest,
        owner: Incarnation,
        wall: SystemTime,
        claims: &Claims,
    ) -> Result<Self, Verdict<Stored>> {
        if let Some(verdict) = claims.answer(&key, team, &digest) {
            return Err(verdict);
        }
        if let Err(refusal) = key.check_age(wall) {
            return Err(permit.refuse(refusal));
        }
        let change = ClaimChange::Claim {
            key,
            team: team.clone(),
            digest,
            owner,
        };
        let record = Record {
            id: RecordId::random(),
            created: wall,
            actor: owner,
            expected: None,
            change,
        };
        Ok(Self { permit, record })
    }

    /// Returns the record to append. A repeated append uses the same record.
    pub fn record(&self) -> &Record<ClaimChange> {
        &self.record
    }

    /// Resolves the request with what the fold said about its record at its first occurrence.
    ///
    /// # Errors
    ///
    /// Returns the verdict when the claim did not win.
    pub fn resolve(
        self,
        outcome: &Outcome<ClaimRejection>,
        claims: &Claims,
    ) -> Result<Permit<R>, Verdict<Stored>> {
        match outcome {
            Outcome::Accepted(_) => Ok(self.permit),
            Outcome::Rejected(ClaimRejection::Claimed | ClaimRejection::Mismatch) => {
                Err(self.lost(claims))
            }
            Outcome::Rejected(_)
            | Outcome::Expired
            | Outcome::Conflict(_)
            | Outcome::Duplicate
            | Outcome::Foreign
            | Outcome::Snapshot => {
                let refusal = Refusal::new(RefusalKind::Expired, "the log refused the claim");
                Err(self.permit.refuse(refusal))
            }
        }
    }

    /// Gives the request up before its record was read back, for example when the log is down.
    ///
    /// The claim may be accepted later. The returned change then records that nothing ran.
    pub fn abandon(self, refusal: Refusal) -> (Verdict<Stored>, ClaimChange) {
        let settle = ClaimChange::Settle {
            key: self.key(),
            outcome: Settled::NotRun(refusal.clone()),
        };
        (self.permit.refuse(refusal), settle)
    }

    fn key(&self) -> ClaimKey {
        match &self.record.change {
            ClaimChange::Claim { key, .. } | ClaimChange::Settle { key, .. } => *key,
        }
    }

    fn lost(self, claims: &Claims) -> Verdict<Stored> {
        let answer = match &self.record.change {
            ClaimChange::Claim {
                key, team, digest, ..
            } => claims.answer(key, team, digest),
            ClaimChange::Settle { .. } => None,
        };
        answer.unwrap_or_else(|| Verdict::MayHaveRun(Doubt::new("key was claimed by another")))
    }
}
