//! Drain grants, their end, and moves.

use lavenderhollow_types::PoolName;
use lavenderhollow_types::VmName;
use lavenderhollow_types::WaveId;

use super::DrainRecord;
use super::Maintenance;
use super::Purpose;
use super::Rejection;
use super::Stage;
use super::VmRecord;
use super::WaveStatus;
use crate::fold::Context;
use crate::fold::Effect;

type Applied = Result<Effect, Rejection>;

impl Maintenance {
    pub(super) fn grant(&mut self, cx: &Context, vm: &VmName, purpose: &Purpose) -> Applied {
        let record = self.vms.get(vm).ok_or(Rejection::UnknownVm)?;
        if record.is_out() {
            return Err(Rejection::Unchanged);
        }
        self.check_budget(&record.pool)?;
        match purpose {
            Purpose::Wave(wave) => self.check_wave(record, *wave)?,
            Purpose::Move { to, plan } => self.check_move(record, to, *plan)?,
        }
        self.open_drain(cx, vm, purpose);
        Ok(Effect::Changed)
    }

    /// Checks that one more VM of the pool may be out.
    fn check_budget(&self, pool: &PoolName) -> Result<(), Rejection> {
        if !self.rules.pools.contains_key(pool) {
            return Err(Rejection::NoRule);
        }
        if self.room(pool) == 0 {
            return Err(Rejection::Budget);
        }
        Ok(())
    }

    fn check_wave(&self, record: &VmRecord, id: WaveId) -> Result<(), Rejection> {
        if !self.rules.drains {
            return Err(Rejection::SwitchedOff);
        }
        let wave = self.waves.get(&id).ok_or(Rejection::WaveState)?;
        if wave.status != WaveStatus::Running || !wave.pools.contains(&record.pool) {
            return Err(Rejection::WaveState);
        }
        if !record.is_due(wave.started) {
            return Err(Rejection::Maintained);
        }
        let rule = self.rules.pools.get(&record.pool);
        let most = rule.map_or(0, |rule| rule.racks_at_once) as usize;
        let others = wave.racks.keys().filter(|rack| **rack != record.rack);
        if others.count() >= most {
            return Err(Rejection::Racks);
        }
        Ok(())
    }

    fn check_move(&self, record: &VmRecord, to: &PoolName, plan: u64) -> Result<(), Rejection> {
        if !self.rules.moves {
            return Err(Rejection::SwitchedOff);
        }
        if record.pool == *to {
            return Err(Rejection::WrongPool);
        }
        if !self.rules.pools.contains_key(to) {
            return Err(Rejection::NoRule);
        }
        if plan != self.plan {
            return Err(Rejection::OldPlan);
        }
        Ok(())
    }

    fn open_drain(&mut self, cx: &Context, vm: &VmName, purpose: &Purpose) {
        let drain = DrainRecord {
            id: cx.id,
            purpose: purpose.clone(),
            stage: Stage::Granted,
            granted: cx.position.time,
        };
        self.update(vm, |record| record.drain = Some(drain));
        self.draining.insert(vm.clone());
        match purpose {
            Purpose::Wave(id) => self.touch(vm, *id),
            Purpose::Move { .. } => self.plan += 1,
        }
    }

    fn touch(&mut self, vm: &VmName, id: WaveId) {
        let Some(record) = self.vms.get_mut(vm) else {
            return;
        };
        record.touched = Some(id);
        if let Some(wave) = self.waves.get_mut(&id) {
            wave.touched += 1;
            *wave.racks.entry(record.rack.clone()).or_default() += 1;
        }
    }

    pub(super) fn end_drain(&mut self, cx: &Context, vm: &VmName) {
        let Some(record) = self.vms.get(vm).cloned() else {
            return;
        };
        let Some(drain) = &record.drain else {
            return;
        };
        let rebooted = matches!(drain.stage, Stage::Rebooting(_));
        self.close_rack(&record, &drain.purpose);
        self.draining.remove(vm);
        self.update(vm, |record| {
            record.drain = None;
            if rebooted {
                record.maintained = cx.position.offset;
            }
        });
    }

    pub(super) fn move_vm(&mut self, vm: &VmName, from: &PoolName, to: &PoolName) -> Applied {
        let record = self.vms.get(vm).ok_or(Rejection::UnknownVm)?;
        if record.pool != *from || from == to {
            return Err(Rejection::WrongPool);
        }
        let drain = record.drain.as_ref().ok_or(Rejection::NoDrain)?;
        match &drain.purpose {
            Purpose::Move { to: planned, .. } if planned == to => {}
            _ => return Err(Rejection::NoDrain),
        }
        if drain.stage != Stage::Drained {
            return Err(Rejection::WrongStage);
        }
        self.draining.remove(vm);
        self.update(vm, |record| record.drain = None);
        self.change_pool(vm, to);
        Ok(Effect::Changed)
    }

    fn change_pool(&mut self, vm: &VmName, to: &PoolName) {
        self.pools.entry(to.clone()).or_default();
        let shared = self.pools.get_key_value(to).map(|(name, _)| name.clone());
        let (Some(record), Some(to)) = (self.vms.get_mut(vm), shared) else {
            return;
        };
        let from = std::mem::replace(&mut record.pool, to);
        let out = u32::from(record.is_out());
        let to = record.pool.clone();
        if let Some(pool) = self.pools.get_mut(&from) {
            pool.vms.remove(vm);
            pool.out -= out;
        }
        if let Some(pool) = self.pools.get_mut(&to) {
            pool.vms.insert(vm.clone());
            pool.out += out;
        }
    }
}

impl DrainRecord {
    /// Tells whether a stage may be recorded next. The drain of a move ends by `MoveVm`, or goes
    /// straight back when the move is given up.
    pub fn follows(&self, stage: Stage) -> bool {
        let wave = matches!(self.purpose, Purpose::Wave(_));
        match (self.stage, stage) {
            (Stage::Granted, Stage::Drained) => true,
            (Stage::Drained, Stage::Rebooting(_)) | (Stage::Rebooting(_), Stage::Back) => wave,
            (Stage::Granted | Stage::Drained, Stage::Back) => !wave,
            _ => false,
        }
    }
}

impl VmRecord {
    pub(super) fn set_stage(&mut self, stage: Stage) {
        if let Some(drain) = &mut self.drain {
            drain.stage = stage;
        }
    }
}
