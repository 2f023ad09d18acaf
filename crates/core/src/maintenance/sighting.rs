//! Records that follow from what the VM list shows and what VMs answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::PoolName;
use lavenderhollow_types::RackName;
use lavenderhollow_types::VmName;
use lavenderhollow_types::ZoneName;

use super::Change;
use super::Maintenance;
use super::Reason;
use super::Stage;
use super::VmRecord;

/// A VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool that the list names; it counts at first sight only.
    pub pool: PoolName,
    /// Whether the platform is removing the VM.
    pub leaving: bool,
}

/// Compares the platform's list and the VMs' answers with the fold, for the VMs of one zone.
#[derive(Clone, Debug)]
pub struct Sightings {
    zone: ZoneName,
    /// For how long newer lists must omit a VM before it is forgotten.
    gone_after: Duration,
    listed: BTreeMap<VmName, ListedVm>,
    omitted: BTreeMap<VmName, Instant>,
    latest: Option<Instant>,
}

impl Sightings {
    /// Creates the comparison for one zone. A VM is forgotten when lists have omitted it for
    /// `gone_after`.
    pub fn new(zone: ZoneName, gone_after: Duration) -> Self {
        Self {
            zone,
            gone_after,
            listed: BTreeMap::new(),
            omitted: BTreeMap::new(),
            latest: None,
        }
    }

    /// Takes in a list that describes the time `as_of`; an older list than the latest is ignored.
    pub fn on_list(&mut self, state: &Maintenance, list: &[ListedVm], as_of: Instant) {
        if self.latest.is_some_and(|latest| as_of <= latest) {
            return;
        }
        self.latest = Some(as_of);
        let own = list.iter().filter(|vm| vm.zone == self.zone);
        self.listed = own.map(|vm| (vm.vm.clone(), vm.clone())).collect();
        let recorded = state.vms().filter(|(_, record)| record.zone == self.zone);
        let missing = recorded.filter(|(vm, _)| !self.listed.contains_key(*vm));
        let since = |vm: &VmName| self.omitted.get(vm).copied().unwrap_or(as_of);
        self.omitted = missing.map(|(vm, _)| (vm.clone(), since(vm))).collect();
    }

    /// Returns the records to append. `answers` tells of each probed VM whether it answers.
    pub fn changes(&self, state: &Maintenance, answers: &BTreeMap<VmName, bool>) -> Vec<Change> {
        let Some(latest) = self.latest else {
            return Vec::new();
        };
        let new = |listed: &&ListedVm| !listed.leaving && state.vm(&listed.vm).is_none();
        let mut changes: Vec<Change> = self.listed.values().filter(new).map(added).collect();
        let own = state.vms().filter(|(_, record)| record.zone == self.zone);
        for (vm, record) in own {
            changes.extend(self.known(vm, record, answers.get(vm).copied(), latest));
        }
        changes
    }

    /// Returns the recorded VMs that seem out and are not recorded as such.
    pub fn suspects(
        &self,
        state: &Maintenance,
        answers: &BTreeMap<VmName, bool>,
    ) -> BTreeSet<VmName> {
        let changes = self.changes(state, answers);
        let out = changes.into_iter().filter_map(|change| match change {
            Change::Out { vm, .. } => Some(vm),
            _ => None,
        });
        out.collect()
    }

    fn known(
        &self,
        vm: &VmName,
        record: &VmRecord,
        answers: Option<bool>,
        latest: Instant,
    ) -> Option<Change> {
        let vm = vm.clone();
        let rebooting = record
            .drain
            .as_ref()
            .is_some_and(|drain| matches!(drain.stage, Stage::Rebooting(_)));
        if !self.listed.contains_key(&vm) {
            let since = self.omitted.get(&vm).copied();
            let gone = since.is_some_and(|since| latest >= since + self.gone_after);
            return match record.out {
                _ if gone => Some(Change::RemoveVm { vm }),
                None if !rebooting => Some(Change::Out {
                    vm,
                    reason: Reason::Missing,
                }),
                _ => None,
            };
        }
        match (record.out, answers) {
            (None, Some(false)) if !rebooting => Some(Change::Out {
                vm,
                reason: Reason::Failed,
            }),
            (Some(Reason::Missing), None | Some(true)) | (Some(Reason::Failed), Some(true)) => {
                Some(Change::Back { vm })
            }
            _ => None,
        }
    }
}

fn added(listed: &ListedVm) -> Change {
    Change::AddVm {
        vm: listed.vm.clone(),
        zone: listed.zone.clone(),
        rack: listed.rack.clone(),
        pool: listed.pool.clone(),
    }
}
