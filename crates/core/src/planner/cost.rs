//! The cost of a pool's capacity over a horizon, by the user's weights.

use lavenderhollow_config::Weights;

/// What one choice of capacity leads to, per hour.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// VMs kept free.
    pub buffer: f64,
    /// The distance from the share: the part of the wanted slots that the pool does not give.
    pub distance: f64,
    /// Hours that a running wave still takes.
    pub rollout: f64,
    /// VMs to move.
    pub moves: f64,
}

/// Weighs an outlook.
pub fn cost(weights: &Weights, outlook: &Outlook) -> f64 {
    weights.buffer_hour * outlook.buffer
        + weights.share_distance * outlook.distance
        + weights.rollout_hour * outlook.rollout
        + weights.vm_move * outlook.moves
}
