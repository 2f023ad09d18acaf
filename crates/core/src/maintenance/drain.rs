//! The graceful stop of one target.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::RecordId;
use lavenderhollow_types::VmName;

use super::Change;
use super::DrainRecord;
use super::Maintenance;
use super::Purpose;
use super::Stage;

/// How long a record is waited for before it is made again. Repeated stage records are refused by
/// the fold, so that an early repeat costs one record and nothing else.
const RECORD_WAIT: Duration = Duration::from_secs(10);

/// How long a reboot is waited for before it is sent again.
const REBOOT_WAIT: Duration = Duration::from_secs(120);

/// What a target reported about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The tasks that run or wait on the target, whoever started them.
    pub running: u32,
    /// The id of the target's present boot; another one after each reboot.
    pub boot: u64,
    /// Whether the target takes no new work because it is leaving.
    pub leaving: bool,
    /// The monotonic time that the report describes, not the time of its arrival. Where the clocks
    /// of target and entry are not comparable, it is the earliest time that is possible.
    pub as_of: Instant,
}

/// What the entry that drives a drain knows about the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetView {
    /// Since when this entry has held the target's lease without a gap; nothing when it does not
    /// hold the lease.
    pub lease_since: Option<Instant>,
    /// Requests that this entry has given to the target and that have no known end.
    pub in_flight: u32,
    /// The latest report.
    pub usage: Option<Usage>,
}

/// What to do next for a drain.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainStep {
    /// Nothing can be done until work ends or a report arrives.
    Wait,
    /// Take the lease of the target, so that no other entry can start work there.
    TakeLease,
    /// Ask long tasks to checkpoint. Sent once.
    Checkpoint,
    /// Append the change and go on after it has been read back as accepted.
    Record(Change),
    /// Reboot the target if this entry holds its lease and its boot id is still this one. The
    /// target checks both, so that a request that arrives late cuts no later work.
    Reboot {
        /// The boot id.
        boot: u64,
    },
    /// The drain is over; give the target free.
    Done,
}

/// Drives one drain from its folded record, so that any entry can take over at any stage.
#[derive(Clone, Debug)]
pub struct Drain {
    vm: VmName,
    id: RecordId,
    closed: Instant,
    checkpointed: bool,
    recorded: Option<(Stage, Instant)>,
    rebooted: Option<Instant>,
}

impl Drain {
    /// Starts or takes over the drain of a VM. The caller has closed the target before `now`.
    pub fn new(vm: VmName, record: &DrainRecord, now: Instant) -> Self {
        Self {
            vm,
            id: record.id,
            closed: now,
            checkpointed: false,
            recorded: None,
            rebooted: None,
        }
    }

    /// Returns the VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Returns the next step.
    pub fn step(&mut self, state: &Maintenance, view: &TargetView, now: Instant) -> DrainStep {
        let record = state.vm(&self.vm);
        let drain = record.and_then(|record| record.drain.as_ref());
        let (Some(record), Some(drain)) = (record, drain.filter(|drain| drain.id == self.id))
        else {
            return DrainStep::Done;
        };
        match (drain.stage, &drain.purpose) {
            (Stage::Rebooting(boot), _) => self.reboot(boot, view, now),
            _ if view.lease_since.is_none() => DrainStep::TakeLease,
            (Stage::Granted, _) if self.is_quiet(view) => self.stage(Stage::Drained, now),
            (Stage::Granted, _) => self.checkpoint(),
            (Stage::Drained, _) if !self.is_quiet(view) => DrainStep::Wait,
            (Stage::Drained, Purpose::Wave(_)) => match view.usage {
                Some(usage) => self.stage(Stage::Rebooting(usage.boot), now),
                None => DrainStep::Wait,
            },
            (Stage::Drained, Purpose::Move { to, .. }) => {
                let change = Change::MoveVm {
                    vm: self.vm.clone(),
                    from: record.pool.clone(),
                    to: to.clone(),
                };
                self.record(Stage::Back, change, now)
            }
            (Stage::Back, _) => DrainStep::Done,
        }
    }

    /// Tells whether no work can be running: this entry alone may start work, has none in flight,
    /// and the target reported zero after both became true.
    fn is_quiet(&self, view: &TargetView) -> bool {
        let (Some(since), Some(usage)) = (view.lease_since, view.usage) else {
            return false;
        };
        view.in_flight == 0 && usage.running == 0 && usage.as_of >= since.max(self.closed)
    }

    fn checkpoint(&mut self) -> DrainStep {
        if self.checkpointed {
            return DrainStep::Wait;
        }
        self.checkpointed = true;
        DrainStep::Checkpoint
    }

    fn reboot(&mut self, boot: u64, view: &TargetView, now: Instant) -> DrainStep {
        if view.usage.is_some_and(|usage| usage.boot != boot) {
            return self.stage(Stage::Back, now);
        }
        if view.lease_since.is_none() {
            return DrainStep::TakeLease;
        }
        let waits = self.rebooted.is_some_and(|sent| now < sent + REBOOT_WAIT);
        if waits || !self.is_quiet(view) {
            return DrainStep::Wait;
        }
        self.rebooted = Some(now);
        DrainStep::Reboot { boot }
    }

    fn stage(&mut self, stage: Stage, now: Instant) -> DrainStep {
        let change = Change::SetStage {
            vm: self.vm.clone(),
            drain: self.id,
            stage,
        };
        self.record(stage, change, now)
    }

    fn record(&mut self, stage: Stage, change: Change, now: Instant) -> DrainStep {
        let waits = |(made, at): (Stage, Instant)| made == stage && now < at + RECORD_WAIT;
        if self.recorded.is_some_and(waits) {
            return DrainStep::Wait;
        }
        self.recorded = Some((stage, now));
        DrainStep::Record(change)
    }
}
