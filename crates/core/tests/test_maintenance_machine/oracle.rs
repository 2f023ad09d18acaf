//! What is promised, checked on the accepted records in the order of the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lavenderhollow_core::maintenance::Change;
use lavenderhollow_core::maintenance::FailureBound;
use lavenderhollow_core::maintenance::Maintenance;
use lavenderhollow_core::maintenance::Purpose;
use lavenderhollow_core::maintenance::Rules;
use lavenderhollow_core::maintenance::Stage;
use lavenderhollow_types::PoolName;
use lavenderhollow_types::RackName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

#[derive(Debug, Default)]
struct Wave {
    running: bool,
    bound: FailureBound,
    touched: BTreeSet<VmName>,
    failed: BTreeSet<VmName>,
}

/// Knows the promises only: it counts with plain scans and shares no rule with the fold.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pool: BTreeMap<VmName, PoolName>,
    rack: BTreeMap<VmName, RackName>,
    out: BTreeSet<VmName>,
    drains: BTreeMap<VmName, (RecordId, Purpose, Stage)>,
    waves: BTreeMap<WaveId, Wave>,
    rules: Rules,
}

impl Oracle {
    pub(crate) fn accepted(&mut self, id: RecordId, change: &Change) {
        match change {
            Change::AddVm { vm, rack, pool, .. } => {
                assert!(self.pool.insert(vm.clone(), pool.clone()).is_none());
                self.rack.insert(vm.clone(), rack.clone());
            }
            Change::RemoveVm { vm } => {
                self.pool.remove(vm);
                self.out.remove(vm);
                self.drains.remove(vm);
            }
            Change::MoveVm { vm, from, to } => {
                assert_eq!(
                    self.pool.get(vm),
                    Some(from),
                    "{vm} moved from another's pool"
                );
                let drained = self.drains.remove(vm).map(|(_, _, stage)| stage);
                assert_eq!(drained, Some(Stage::Drained), "{vm} moved without a drain");
                self.pool.insert(vm.clone(), to.clone());
            }
            Change::Out { vm, reason } => {
                self.out.insert(vm.clone());
                if reason.is_failure() {
                    self.failed(vm);
                }
            }
            Change::Back { vm } => assert!(self.out.remove(vm)),
            Change::SetRules(rules) => {
                assert!(
                    rules.version > self.rules.version,
                    "configuration went back"
                );
                self.rules = rules.clone();
            }
            Change::GrantDrain { vm, purpose } => self.granted(id, vm, purpose),
            Change::SetStage { vm, drain, stage } => self.staged(vm, *drain, *stage),
            Change::StartWave { wave, bound, .. } => {
                let wave = self.waves.entry(*wave).or_default();
                assert!(
                    !wave.running && wave.touched.is_empty(),
                    "a start was repeated"
                );
                (wave.running, wave.bound) = (true, *bound);
            }
            Change::PauseWave { wave, .. } | Change::EndWave { wave } => {
                self.waves.entry(*wave).or_default().running = false;
            }
            Change::ResumeWave { wave, .. } => {
                let open = self.open(*wave);
                let wave = self.waves.entry(*wave).or_default();
                wave.running = true;
                wave.failed.clear();
                wave.touched = open;
            }
        }
    }

    fn open(&self, wave: WaveId) -> BTreeSet<VmName> {
        let of_wave = |(vm, (_, purpose, _)): (&VmName, &(_, Purpose, _))| {
            (*purpose == Purpose::Wave(wave)).then(|| vm.clone())
        };
        self.drains.iter().filter_map(of_wave).collect()
    }

    fn failed(&mut self, vm: &VmName) {
        for wave in self
            .waves
            .values_mut()
            .filter(|wave| wave.touched.contains(vm))
        {
            wave.failed.insert(vm.clone());
        }
    }

    fn granted(&mut self, id: RecordId, vm: &VmName, purpose: &Purpose) {
        let pool = &self.pool[vm];
        let is_out = |vm: &&VmName| self.out.contains(*vm) || self.drains.contains_key(*vm);
        assert!(!is_out(&vm), "{vm} was out already");
        let members = self
            .pool
            .iter()
            .filter(|(_, of)| *of == pool)
            .map(|(vm, _)| vm);
        let out = members.filter(is_out).count();
        let rule = self.rules.pools[pool];
        let budget = rule.max_unavailable as usize;
        assert!(
            out < budget,
            "{vm}: {out} of {pool} are out, the budget is {budget}"
        );
        if let Purpose::Wave(id) = purpose {
            assert!(self.rules.drains, "granted while switched off");
            let racks: BTreeSet<_> = self.open(*id).iter().map(|vm| &self.rack[vm]).collect();
            let others = racks.iter().filter(|rack| **rack != &self.rack[vm]).count();
            assert!(
                others < rule.racks_at_once as usize,
                "{racks:?} are drained already"
            );
            let wave = self.waves.get_mut(id).expect("the wave was started");
            assert!(wave.running, "granted while paused");
            let (failed, touched) = (wave.failed.len(), wave.touched.len());
            let often = failed * 100 > touched * wave.bound.percent as usize;
            let above = failed >= wave.bound.failures as usize && often;
            assert!(!above, "granted after {failed} of {touched} failed");
            wave.touched.insert(vm.clone());
        } else {
            assert!(self.rules.moves, "moved while switched off");
        }
        self.drains
            .insert(vm.clone(), (id, purpose.clone(), Stage::Granted));
    }

    fn staged(&mut self, vm: &VmName, id: RecordId, stage: Stage) {
        let drain = self.drains.get_mut(vm).filter(|drain| drain.0 == id);
        drain.expect("the drain is open").2 = stage;
        if stage == Stage::Back {
            self.drains.remove(vm);
        }
    }

    /// A planned stop needs an open grant that says so.
    pub(crate) fn stopped(&self, vm: &VmName) {
        let stage = self.drains.get(vm).map(|(_, _, stage)| *stage);
        assert!(
            matches!(stage, Some(Stage::Rebooting(_))),
            "{vm} stopped at {stage:?}"
        );
    }

    /// Each VM is in exactly one pool of the folded state, and the counters are right.
    pub(crate) fn compare(&self, state: &Maintenance) {
        let mut found = BTreeMap::new();
        for (pool, record) in state.pools() {
            for vm in &record.vms {
                let other = found.insert(vm.clone(), pool.clone());
                assert_eq!(other, None, "{vm} is in two pools");
            }
            let is_out = |vm: &&VmName| self.out.contains(*vm) || self.drains.contains_key(*vm);
            assert_eq!(
                record.out as usize,
                record.vms.iter().filter(is_out).count()
            );
        }
        assert_eq!(found, self.pool);
    }
}
