//! The switches with which operators enable and disable the automatic actions on machines.

use derive_more::Display;
use derive_more::FromStr;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// An action on machines that the owner of the fleet shard takes without an operator's request.
#[derive(
    Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum AutomaticAction {
    /// Draining machines of maintenance waves and starting their maintenance.
    Drains,
    /// Moving machines between pools to where capacity is needed.
    Moves,
}

impl AutomaticAction {
    /// All actions that have a switch of their own.
    pub const ALL: [Self; 2] = [Self::Drains, Self::Moves];
}

/// The state of the switches. Each action has its own switch, and one more switch applies to all of
/// them: an action is enabled only if both are on. All are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AutomaticSwitches {
    /// The switch for all actions.
    pub all: bool,
    /// The switch for [`AutomaticAction::Drains`].
    pub drains: bool,
    /// The switch for [`AutomaticAction::Moves`].
    pub moves: bool,
}

impl Default for AutomaticSwitches {
    fn default() -> Self {
        Self {
            all: true,
            drains: true,
            moves: true,
        }
    }
}

impl AutomaticSwitches {
    /// Returns whether an action may be taken.
    pub fn is_enabled(&self, action: AutomaticAction) -> bool {
        self.all
            && match action {
                AutomaticAction::Drains => self.drains,
                AutomaticAction::Moves => self.moves,
            }
    }

    /// Sets the switch of an action, or the one for all actions if `action` is `None`.
    pub fn set(&mut self, action: Option<AutomaticAction>, on: bool) {
        let switch = match action {
            None => &mut self.all,
            Some(AutomaticAction::Drains) => &mut self.drains,
            Some(AutomaticAction::Moves) => &mut self.moves,
        };
        *switch = on;
    }
}
