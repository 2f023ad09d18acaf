//! The weights of the two users, as they are set in their configurations.

use lavenderhollow_config::Weights;

/// Hamakaze Certify weighs roll-out time and nearness to share, because renewals cannot wait.
pub const HAMAKAZE: Weights = Weights {
    buffer_hour: 1.0,
    vm_move: 0.02,
    rollout_hour: 60.0,
    share_distance: 200.0,
};

/// The Board weighs moves and buffer cost, because long renders suffer when moved and its budget
/// is provincial.
pub const BOARD: Weights = Weights {
    buffer_hour: 10.0,
    vm_move: 2.0,
    rollout_hour: 2.0,
    share_distance: 20.0,
};
