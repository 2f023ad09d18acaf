//! The state of the `fleet` stream: VMs, drains, waves and zone allotments.

use derive_more::Display;
use derive_more::From;
use lavenderhollow_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::escrow;
use crate::escrow::Escrow;
use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;
use crate::maintenance;
use crate::maintenance::Maintenance;

/// A change of the `fleet` stream.
#[derive(Clone, Debug, From, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetChange {
    /// A change of VMs, drains and waves.
    Maintenance(maintenance::Change),
    /// A change of the zones' allotments.
    Allotment(escrow::Change<ZoneName>),
}

/// Why a change of the `fleet` stream is refused.
#[derive(Clone, Debug, Display, From, PartialEq)]
pub enum FleetRejection {
    /// The change of VMs, drains and waves is refused.
    Maintenance(maintenance::Rejection),
    /// The change of the zones' allotments is refused.
    Allotment(escrow::Rejection),
}

/// VMs, drains, waves and zone allotments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    /// VMs, drains and waves.
    pub maintenance: Maintenance,
    /// The zones' allotments of each team's upper limit.
    pub allotments: Escrow<ZoneName>,
}

impl State for FleetState {
    type Change = FleetChange;
    type Rejection = FleetRejection;

    fn subject(change: &FleetChange) -> String {
        match change {
            FleetChange::Maintenance(change) => Maintenance::subject(change),
            FleetChange::Allotment(change) => Escrow::subject(change),
        }
    }

    fn apply(&mut self, cx: &Context, change: &FleetChange) -> Result<Effect, FleetRejection> {
        match change {
            FleetChange::Maintenance(change) => Ok(self.maintenance.apply(cx, change)?),
            FleetChange::Allotment(change) => Ok(self.allotments.apply(cx, change)?),
        }
    }
}
