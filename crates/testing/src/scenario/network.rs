//! The VM lists and the network of a world.

use eyre::OptionExt;
use http::Method;
use serde_json::json;

use super::world::Role;
use super::world::World;

impl World {
    /// Lists a VM in a state, `live` or `leaving`.
    ///
    /// # Errors
    ///
    /// Fails when the VM is unknown or a list does not answer.
    pub async fn list(&mut self, name: &str, state: &'static str) -> eyre::Result<()> {
        let vm = self.vms.get_mut(name).ok_or_eyre("no such VM")?;
        vm.state = state;
        let vm = vm.clone();
        for zone in &self.zones {
            let pool = match &vm.role {
                Role::Entry => "entries",
                Role::Worker { pool, .. } => pool,
            };
            // Only entries of a worker's own zone call it.
            let from = if pool == "entries" { zone } else { &vm.zone };
            let info = json!([{
                "name": name,
                "address": self.relay(from, name)?.address(),
                "zone": vm.zone,
                "rack": vm.rack,
                "pool": pool,
                "state": vm.state,
            }]);
            let control = self.control(&format!("vms-{zone}"))?;
            control.call(Method::POST, "/vms", Some(&info)).await?;
        }
        Ok(())
    }

    /// Removes a VM from the lists.
    ///
    /// # Errors
    ///
    /// Fails when a list does not answer.
    pub async fn unlist(&self, name: &str) -> eyre::Result<()> {
        for zone in &self.zones {
            let control = self.control(&format!("vms-{zone}"))?;
            control
                .call(Method::DELETE, &format!("/vms/{name}"), None)
                .await?;
        }
        Ok(())
    }

    /// Cuts or heals the network between a zone and the platform, all other zones (`peers`),
    /// another zone, or a worker.
    ///
    /// # Errors
    ///
    /// Fails when nothing is called `other`.
    pub fn set_cut(&self, zone: &str, other: &str, cut: bool) -> eyre::Result<()> {
        let mut touched = 0;
        for ((from, to), relay) in &self.relays {
            if self.is_between(zone, other, from, to) {
                relay.set_cut(cut);
                touched += 1;
            }
        }
        eyre::ensure!(touched > 0, "nothing lies between {zone:?} and {other:?}");
        Ok(())
    }

    fn is_between(&self, zone: &str, other: &str, from: &str, to: &str) -> bool {
        let to_zone = match self.vms.get(to) {
            Some(vm) => vm.zone.as_str(),
            None => return other == "platform" && from == zone,
        };
        match other {
            "platform" => false,
            "peers" => (from == zone) != (to_zone == zone),
            _ => {
                let pair = (from, to_zone);
                to == other || pair == (zone, other) || pair == (other, zone)
            }
        }
    }

    /// Heals every cut.
    pub fn heal_all(&self) {
        self.relays.values().for_each(|relay| relay.set_cut(false));
    }
}
