//! The switches of the actions that the system takes by itself.

use derive_more::Display;
use derive_more::FromStr;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// An action that the system takes by itself.
#[derive(
    Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum AutomaticAction {
    /// Taking machines of a wave down for their upkeep.
    Drains,
    /// Moving machines between pools.
    Moves,
}

impl AutomaticAction {
    /// Every action.
    pub const ALL: [Self; 2] = [Self::Drains, Self::Moves];
}

/// Which actions are on. Each has its own switch, and one switch is for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AutomaticSwitches {
    /// The switch of all actions.
    pub all: bool,
    /// The switch of drains.
    pub drains: bool,
    /// The switch of moves.
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
    /// Tells whether an action may be taken.
    pub fn is_enabled(&self, action: AutomaticAction) -> bool {
        self.all
            && match action {
                AutomaticAction::Drains => self.drains,
                AutomaticAction::Moves => self.moves,
            }
    }

    /// Turns the switch of an action, or that of all actions.
    pub fn set(&mut self, action: Option<AutomaticAction>, on: bool) {
        let switch = match action {
            None => &mut self.all,
            Some(AutomaticAction::Drains) => &mut self.drains,
            Some(AutomaticAction::Moves) => &mut self.moves,
        };
        *switch = on;
    }
}
