//! The state of a `zone/<name>` stream: durable jobs, claims and entry allotments.

use derive_more::Display;
use derive_more::From;
use lavenderhollow_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::escrow;
use crate::escrow::Escrow;
use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;
use crate::jobs::JobChange;
use crate::jobs::JobRejection;
use crate::jobs::Jobs;
use crate::once::ClaimChange;
use crate::once::ClaimRejection;
use crate::once::Claims;

/// A change of a zone's stream.
#[derive(Clone, Debug, From, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneChange {
    /// A change of a durable job.
    Job(JobChange),
    /// A change of an idempotency claim.
    Claim(ClaimChange),
    /// A change of the entries' allotments.
    Allotment(escrow::Change<Incarnation>),
}

/// Why a change of a zone's stream is refused.
#[derive(Clone, Debug, Display, From, PartialEq)]
pub enum ZoneRejection {
    /// The change of a durable job is refused.
    Job(JobRejection),
    /// The change of an idempotency claim is refused.
    Claim(ClaimRejection),
    /// The change of the entries' allotments is refused.
    Allotment(escrow::Rejection),
}

/// Durable jobs, claims and entry allotments of one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneState {
    /// The durable jobs.
    pub jobs: Jobs,
    /// The idempotency claims of the teams whose home zone this is.
    pub claims: Claims,
    /// The entries' allotments of each team's upper limit.
    pub allotments: Escrow<Incarnation>,
}

impl State for ZoneState {
    type Change = ZoneChange;
    type Rejection = ZoneRejection;

    fn subject(change: &ZoneChange) -> String {
        match change {
            ZoneChange::Job(change) => Jobs::subject(change),
            ZoneChange::Claim(change) => Claims::subject(change),
            ZoneChange::Allotment(change) => Escrow::subject(change),
        }
    }

    fn apply(&mut self, cx: &Context, change: &ZoneChange) -> Result<Effect, ZoneRejection> {
        match change {
            ZoneChange::Job(change) => Ok(self.jobs.apply(cx, change)?),
            ZoneChange::Claim(change) => Ok(self.claims.apply(cx, change)?),
            ZoneChange::Allotment(change) => Ok(self.allotments.apply(cx, change)?),
        }
    }
}
