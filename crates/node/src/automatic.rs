//! The actions that the owner of the fleet shard takes automatically, and the switches with which
//! operators enable and disable them.

use derive_more::Display;
use derive_more::FromStr;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// An action on machines that the owner of the fleet shard takes automatically, without an
/// operator's request.
#[derive(
    Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FleetAction {
    /// Draining machines of maintenance waves and starting their maintenance.
    Drains,
    /// Moving machines between pools to where capacity is needed.
    Moves,
}

impl FleetAction {
    /// All actions that have a switch of their own.
    pub const ALL: [Self; 2] = [Self::Drains, Self::Moves];
}

/// The state of the switches of the [`FleetAction`]s. Each action has its own switch, and one more
/// switch applies to all of them: an action is enabled only if both are on. All are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSwitches {
    /// The switch for all actions.
    pub all: bool,
    /// The switch for [`FleetAction::Drains`].
    pub drains: bool,
    /// The switch for [`FleetAction::Moves`].
    pub moves: bool,
}

impl Default for FleetSwitches {
    fn default() -> Self {
        Self {
            all: true,
            drains: true,
            moves: true,
        }
    }
}

impl FleetSwitches {
    /// Returns whether an action may be taken.
    pub fn is_enabled(&self, action: FleetAction) -> bool {
        self.all
            && match action {
                FleetAction::Drains => self.drains,
                FleetAction::Moves => self.moves,
            }
    }

    /// Sets the switch of an action, or the one for all actions if `action` is `None`.
    pub fn set(&mut self, action: Option<FleetAction>, on: bool) {
        let switch = match action {
            None => &mut self.all,
            Some(FleetAction::Drains) => &mut self.drains,
            Some(FleetAction::Moves) => &mut self.moves,
        };
        *switch = on;
    }
}
