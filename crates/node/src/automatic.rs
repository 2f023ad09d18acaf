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
pub enum Action {
    /// Taking machines of a wave down for their upkeep.
    Drains,
    /// Moving machines between pools.
    Moves,
}

impl Action {
    /// Every action.
    pub const ALL: [Self; 2] = [Self::Drains, Self::Moves];
}

/// Which actions are on. Each has its own switch, and one switch is for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Automatic {
    /// The switch of all actions.
    pub all: bool,
    /// The switch of drains.
    pub drains: bool,
    /// The switch of moves.
    pub moves: bool,
}

impl Default for Automatic {
    fn default() -> Self {
        Self {
            all: true,
            drains: true,
            moves: true,
        }
    }
}

impl Automatic {
    /// Tells whether an action may be taken.
    pub fn allows(&self, action: Action) -> bool {
        self.all
            && match action {
                Action::Drains => self.drains,
                Action::Moves => self.moves,
            }
    }

    /// Turns the switch of an action, or that of all actions.
    pub fn set(&mut self, action: Option<Action>, on: bool) {
        let switch = match action {
            None => &mut self.all,
            Some(Action::Drains) => &mut self.drains,
            Some(Action::Moves) => &mut self.moves,
        };
        *switch = on;
    }
}
