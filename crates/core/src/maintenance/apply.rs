//! The fold of maintenance changes.

use lavenderhollow_types::RecordId;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

use super::Change;
use super::Maintenance;
use super::Purpose;
use super::Reason;
use super::Rejection;
use super::Rules;
use super::Stage;
use super::VmRecord;
use super::WaveRecord;
use super::WaveStatus;
use super::state::COMMANDS;
use super::state::ENDED_WAVES;
use crate::fold::Context;
use crate::fold::Effect;
use crate::fold::State;

type Applied = Result<Effect, Rejection>;

impl State for Maintenance {
    type Change = Change;
    type Rejection = Rejection;

    fn subject(change: &Change) -> String {
        match change {
            Change::AddVm { vm, .. }
            | Change::RemoveVm { vm }
            | Change::MoveVm { vm, .. }
            | Change::Out { vm, .. }
            | Change::Back { vm }
            | Change::GrantDrain { vm, .. }
            | Change::SetStage { vm, .. } => Self::vm_subject(vm),
            Change::SetRules(_) => "rules".into(),
            Change::StartWave { wave, .. }
            | Change::PauseWave { wave, .. }
            | Change::ResumeWave { wave, .. }
            | Change::EndWave { wave } => Self::wave_subject(*wave),
        }
    }

    fn apply(&mut self, cx: &Context, change: &Change) -> Applied {
        match change {
            Change::AddVm {
                vm,
                zone,
                rack,
                pool,
            } => {
                let record = VmRecord {
                    zone: zone.clone(),
                    rack: rack.clone(),
                    pool: pool.clone(),
                    out: None,
                    drain: None,
                    maintained: cx.position.offset,
                    touched: None,
                };
                self.add(vm, record)
            }
            Change::RemoveVm { vm } => self.remove(vm),
            Change::MoveVm { vm, from, to } => self.move_vm(vm, from, to),
            Change::Out { vm, reason } => self.take_out(vm, *reason),
            Change::Back { vm } => self.put_back(vm),
            Change::SetRules(rules) => self.set_rules(rules),
            Change::StartWave {
                wave,
                command,
                pools,
                bound,
            } => {
                let record = WaveRecord {
                    pools: pools.clone(),
                    bound: *bound,
                    status: WaveStatus::Running,
                    started: cx.position.offset,
                    touched: 0,
                    failed: 0,
                    racks: Default::default(),
                    commands: [*command].into(),
                };
                self.start_wave(*wave, record)
            }
            Change::PauseWave { wave, command } => self.pause_wave(*wave, *command),
            Change::ResumeWave { wave, command } => self.resume_wave(*wave, *command),
            Change::EndWave { wave } => self.end_wave(*wave),
            Change::GrantDrain { vm, purpose } => self.grant(cx, vm, purpose),
            Change::SetStage { vm, drain, stage } => self.set_stage(cx, vm, *drain, *stage),
        }
    }
}

impl Maintenance {
    fn add(&mut self, vm: &VmName, mut record: VmRecord) -> Applied {
        if self.vms.contains_key(vm) {
            return Err(Rejection::KnownVm);
        }
        // The key of the pool is shared, so that the VMs of a pool hold one copy of its name.
        if let Some((pool, _)) = self.pools.get_key_value(&record.pool) {
            record.pool = pool.clone();
        }
        let pool = self.pools.entry(record.pool.clone()).or_default();
        pool.vms.insert(vm.clone());
        self.vms.insert(vm.clone(), record);
        Ok(Effect::Changed)
    }

    fn remove(&mut self, vm: &VmName) -> Applied {
        let record = self.vms.remove(vm).ok_or(Rejection::UnknownVm)?;
        if let Some(pool) = self.pools.get_mut(&record.pool) {
            pool.vms.remove(vm);
            pool.out -= u32::from(record.is_out());
        }
        self.draining.remove(vm);
        if let Some(drain) = &record.drain {
            self.close_rack(&record, &drain.purpose);
        }
        Ok(Effect::Removed)
    }

    fn take_out(&mut self, vm: &VmName, reason: Reason) -> Applied {
        let record = self.vms.get(vm).ok_or(Rejection::UnknownVm)?;
        if record.out.is_some() {
            return Err(Rejection::Unchanged);
        }
        self.update(vm, |record| record.out = Some(reason));
        if reason.is_failure() {
            self.count_failure(vm);
        }
        Ok(Effect::Changed)
    }

    fn put_back(&mut self, vm: &VmName) -> Applied {
        let record = self.vms.get(vm).ok_or(Rejection::UnknownVm)?;
        if record.out.is_none() {
            return Err(Rejection::Unchanged);
        }
        self.update(vm, |record| record.out = None);
        Ok(Effect::Changed)
    }

    fn set_rules(&mut self, rules: &Rules) -> Applied {
        if rules.version <= self.rules.version {
            return Err(Rejection::OldRules);
        }
        self.rules = rules.clone();
        Ok(Effect::Changed)
    }

    fn start_wave(&mut self, id: WaveId, record: WaveRecord) -> Applied {
        let taken = |wave: &WaveRecord| !wave.pools.is_disjoint(&record.pools);
        let known = self.waves.contains_key(&id) || self.ended.contains(&id);
        if known || self.waves.values().any(taken) {
            return Err(Rejection::WaveTaken);
        }
        self.waves.insert(id, record);
        Ok(Effect::Changed)
    }

    fn pause_wave(&mut self, id: WaveId, command: RecordId) -> Applied {
        let wave = self.commanded(id, command)?;
        if wave.status == WaveStatus::Paused {
            return Err(Rejection::WaveState);
        }
        wave.status = WaveStatus::Paused;
        wave.remember(command);
        Ok(Effect::Changed)
    }

    fn resume_wave(&mut self, id: WaveId, command: RecordId) -> Applied {
        let wave = self.commanded(id, command)?;
        if wave.status == WaveStatus::Running {
            return Err(Rejection::WaveState);
        }
        wave.status = WaveStatus::Running;
        // Failures before the resume are the operator's to judge; drains that are still open
        // remain touched.
        wave.touched = wave.racks.values().sum();
        wave.failed = 0;
        wave.remember(command);
        Ok(Effect::Changed)
    }

    fn end_wave(&mut self, id: WaveId) -> Applied {
        let wave = self.waves.get(&id).ok_or(Rejection::WaveState)?;
        if !wave.racks.is_empty() || self.due(wave).next().is_some() {
            return Err(Rejection::WaveOpen);
        }
        self.waves.remove(&id);
        self.ended.push_back(id);
        if self.ended.len() > ENDED_WAVES {
            self.ended.pop_front();
        }
        Ok(Effect::Removed)
    }

    fn commanded(&mut self, id: WaveId, command: RecordId) -> Result<&mut WaveRecord, Rejection> {
        let wave = self.waves.get_mut(&id).ok_or(Rejection::WaveState)?;
        if wave.commands.contains(&command) {
            return Err(Rejection::Repeated);
        }
        Ok(wave)
    }

    /// Returns the VMs that a wave still has to maintain.
    pub fn due<'a>(
        &'a self,
        wave: &'a WaveRecord,
    ) -> impl Iterator<Item = (&'a VmName, &'a VmRecord)> {
        let names = wave.pools.iter().filter_map(|pool| self.pools.get(pool));
        names
            .flat_map(|pool| pool.vms.iter())
            .filter_map(|vm| Some((vm, self.vms.get(vm)?)))
            .filter(|(_, record)| record.is_due(wave.started))
    }

    /// Changes a VM and keeps its pool's counter.
    pub(super) fn update(&mut self, vm: &VmName, change: impl FnOnce(&mut VmRecord)) {
        let Some(record) = self.vms.get_mut(vm) else {
            return;
        };
        let before = record.is_out();
        change(record);
        let after = record.is_out();
        if let Some(pool) = self.pools.get_mut(&record.pool) {
            pool.out = pool.out + u32::from(after) - u32::from(before);
        }
    }

    fn count_failure(&mut self, vm: &VmName) {
        let touched = self.vms.get_mut(vm).and_then(|vm| vm.touched.take());
        let Some(wave) = touched.and_then(|id| self.waves.get_mut(&id)) else {
            return;
        };
        wave.failed += 1;
        let bound = wave.bound;
        let often =
            u64::from(wave.failed) * 100 > u64::from(wave.touched) * u64::from(bound.percent);
        if wave.status == WaveStatus::Running && wave.failed >= bound.failures && often {
            wave.status = WaveStatus::Failing;
        }
    }

    /// Ends the count of a wave's drain in a rack.
    pub(super) fn close_rack(&mut self, record: &VmRecord, purpose: &Purpose) {
        let Purpose::Wave(id) = purpose else {
            return;
        };
        let Some(wave) = self.waves.get_mut(id) else {
            return;
        };
        if let Some(open) = wave.racks.get_mut(&record.rack) {
            *open -= 1;
            if *open == 0 {
                wave.racks.remove(&record.rack);
            }
        }
    }

    fn set_stage(&mut self, cx: &Context, vm: &VmName, id: RecordId, stage: Stage) -> Applied {
        let record = self.vms.get(vm).ok_or(Rejection::UnknownVm)?;
        let drain = record.drain.as_ref().filter(|drain| drain.id == id);
        let drain = drain.ok_or(Rejection::NoDrain)?.clone();
        if !drain.follows(stage) {
            return Err(Rejection::WrongStage);
        }
        if stage == Stage::Back {
            self.end_drain(cx, vm);
        } else {
            self.update(vm, |record| record.set_stage(stage));
        }
        Ok(Effect::Changed)
    }
}

impl WaveRecord {
    fn remember(&mut self, command: RecordId) {
        self.commands.push_back(command);
        if self.commands.len() > COMMANDS {
            self.commands.pop_front();
        }
    }
}
