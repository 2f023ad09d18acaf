//! Choice of a target for a request.

use lavenderhollow_config::Resources;
use lavenderhollow_types::RackName;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::VmName;

/// What a worker offers and what its last report says.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The worker.
    pub vm: VmName,
    /// Its rack.
    pub rack: RackName,
    /// Slots that it offers.
    pub slots: u32,
    /// Connections that it offers.
    pub connections: u32,
    /// The size of the worker.
    pub size: Resources,
    /// Slots in use by the last report.
    pub used_slots: u32,
    /// Resources in use by the last report.
    pub used: Resources,
}

/// An immutable view of the open targets with counts of what was started since the reports.
#[derive(Debug, Default)]
pub struct Targets {}

/// A place on a target; dropping it gives it back.
#[derive(Debug)]
#[must_use]
pub struct Place {}

impl Place {
    /// Returns the chosen worker.
    pub fn vm(&self) -> &VmName {
        todo!()
    }
}

impl Targets {
    /// Builds a view; counts of starts that the reports don't include go on from `previous`.
    pub fn new(_targets: Vec<Target>, _previous: Option<&Targets>) -> Self {
        todo!()
    }
    /// Chooses a target with room for a request. `draw` gives random numbers.
    ///
    /// # Errors
    ///
    /// `Impossible` if no worker could ever hold the request, `Overloaded` or `NoTarget` if none
    /// can now.
    pub fn choose(
        &self,
        _need: &Resources,
        _draw: &mut dyn FnMut() -> u64,
    ) -> Result<Place, Refusal> {
        todo!()
    }
}
