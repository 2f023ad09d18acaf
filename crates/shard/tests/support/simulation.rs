//! A deterministic simulation of the platform around one shard: workers with leases, fencing tokens
//! and run lists, a store, and calls that are delayed, lost or executed after the owner stopped
//! waiting for the response. It assumes only what the platform's interface guarantees, and checks
//! the scheduling rules on the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_shard::Effect;
use lavenderhollow_shard::FinishedRun;
use lavenderhollow_shard::Job;
use lavenderhollow_shard::JobId;
use lavenderhollow_shard::JobState;
use lavenderhollow_shard::Name;
use lavenderhollow_shard::PollFailure;
use lavenderhollow_shard::PollRequest;
use lavenderhollow_shard::Record;
use lavenderhollow_shard::RequestId;
use lavenderhollow_shard::Response;
use lavenderhollow_shard::RunId;
use lavenderhollow_shard::RunOutcome;
use lavenderhollow_shard::RunStatus;
use lavenderhollow_shard::Shard;
use lavenderhollow_shard::StartOutcome;
use lavenderhollow_shard::StartRequest;
use lavenderhollow_shard::TaskId;
use lavenderhollow_shard::Timestamp;
use lavenderhollow_shard::WorkerInfo;
use lavenderhollow_shard::WorkerReport;
use lavenderhollow_shard::decode_record;

use super::CAPACITY;
use super::job;
use super::pool_load;
use super::step;
use super::timings;
use super::worker_info;

/// The simulated time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// How long a run takes, in ticks.
const RUN_TICKS: u32 = 15;

/// How long a run of a long job takes, in ticks; longer than any wait for a lease.
const LONG_RUN_TICKS: u32 = 700;

/// For how many ticks an owner goes on without a confirmation of the store.
const TAKEOVER_TICKS: u64 = 175;

/// The VMs on which the owners run in turn.
const VMS: usize = 2;

/// The longest time from the restart of a worker until owners read its new registration, in ticks.
const REGISTRATION_TICKS: u64 = 75;

/// The number of fencing tokens that an owner may use, one for each batch that it stores.
const TOKENS_PER_OWNER: u64 = 1_000_000;

/// The longest lease that a worker accepts, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// A fault to inject. Workers are given by index, durations in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The owner crashes, and another one may take over after the given number of ticks.
    OwnerCrash(u8),
    /// The owner loses its connection to the store and goes on until it is suspended. Another one may
    /// take over after the given number of ticks.
    OwnerCut(u8),
    /// The owner releases the shard, and another one may take over after the given number of ticks.
    OwnerRelease(u8),
    /// No owner can reach a worker, which keeps running its tasks.
    Partition(u8, u16),
    /// Owners on the VM with the second index can't reach a worker.
    LinkCut(u8, u8, u16),
    /// A worker restarts with the same id, as a new incarnation that has no runs.
    WorkerRestart(u8),
    /// Calls to a worker get no response, and the worker executes them late.
    DelayedCalls(u8, u16),
    /// The store is unavailable: nothing is written, and no owner takes over.
    StoreOutage(u16),
    /// Runs that end on a worker fail.
    FailingRuns(u8, u16),
    /// The owner has too many starts in progress, and sends no further ones.
    WithheldStarts(u16),
}

/// One operation of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    /// Submits a job of two steps with the given numbers of tasks; the second depends on the first.
    Submit(u8, u8),
    /// Submits a job of one step with the given number of tasks that run for long.
    SubmitLong(u8),
    /// Submits the job with this index again, counted modulo the number of jobs.
    Resubmit(u8),
    /// Cancels the job with this index, counted modulo the number of jobs.
    Cancel(u8),
    /// Advances the simulation by the given number of ticks.
    Wait(u8),
    /// Evacuates the zones of the workers whose bits are set, and no others.
    Evacuate(u8),
    /// Injects a fault.
    Fault(Fault),
}

/// A run that a worker executes.
#[derive(Clone, Debug)]
struct ActiveRun {
    run: RunId,
    ticks_left: u32,
}

/// A worker as the platform provides it.
#[derive(Clone, Debug)]
struct SimulatedWorker {
    id: Name,
    incarnation: u64,
    /// The incarnation in the registration that owners read.
    registered_incarnation: u64,
    /// The tick at which owners read the registration of the current incarnation.
    registration_tick: u64,
    clock_start: Instant,
    /// The highest fencing token of a call that it has executed.
    fencing_token: u64,
    /// When the lease expires, on the worker's own clock.
    lease_deadline: u64,
    running: Vec<ActiveRun>,
    /// Finished runs that no owner has acknowledged.
    finished: Vec<FinishedRun>,
    /// Sequence numbers of the runs that were in `finished` while the lease was expired.
    expired_sequences: BTreeSet<u64>,
    next_sequence: u64,
    /// The highest run number of each task that was started or stopped here.
    highest_run: BTreeMap<TaskId, u32>,
    /// For how many more ticks each fault lasts.
    partition_ticks: u32,
    link_cut_ticks: [u32; VMS],
    delay_ticks: u32,
    failing_ticks: u32,
}

impl SimulatedWorker {
    /// Creates a worker without runs that has seen no fencing token.
    fn new(id: Name, incarnation: u64, start: Instant) -> Self {
        Self {
            id,
            incarnation,
            registered_incarnation: incarnation,
            registration_tick: 0,
            clock_start: start,
            fencing_token: 0,
            lease_deadline: 0,
            running: Vec::new(),
            finished: Vec::new(),
            expired_sequences: BTreeSet::new(),
            next_sequence: 1,
            highest_run: BTreeMap::new(),
            partition_ticks: 0,
            link_cut_ticks: [0; VMS],
            delay_ticks: 0,
            failing_ticks: 0,
        }
    }
}

/// A call from the owner to a worker.
#[derive(Clone, Debug)]
enum Call {
    Start(StartRequest),
    Stop(RunId),
    Poll(PollRequest),
}

/// A call in flight.
///
/// The worker executes it at `due_tick`. The result reaches the owner only if `answered` is set and
/// that owner still runs.
#[derive(Clone, Debug)]
struct PendingCall {
    due_tick: u64,
    owner: u64,
    fencing_token: u64,
    worker_index: usize,
    call: Call,
    sent: Instant,
    answered: bool,
}

impl PendingCall {
    /// Returns what the owner receives if the call gets no response.
    fn lost(&self) -> Completion {
        let index = self.worker_index;
        match &self.call {
            Call::Start(request) => Completion::Start(index, request.run, StartOutcome::Unknown),
            Call::Stop(run) => Completion::Stop(index, *run, false),
            Call::Poll(_) => Completion::Poll(index, self.sent, Err(PollFailure::NoResponse)),
        }
    }
}

/// The result of a call or of a store write, as the owner receives it.
#[derive(Clone, Debug)]
enum Completion {
    Start(usize, RunId, StartOutcome),
    Stop(usize, RunId, bool),
    Poll(usize, Instant, Result<WorkerReport, PollFailure>),
    Stored,
}

/// When a finished run of a task was first acknowledged, and whether the leases of all workers that
/// reported one had expired by then.
#[derive(Clone, Copy, Debug)]
struct AckedRun {
    at: Instant,
    lease_expired: bool,
}

/// An owner that has lost its connection to the store, and may have been superseded.
#[derive(Debug)]
struct CutOwner {
    number: u64,
    shard: Shard,
    /// The tick at which it is suspended.
    end_tick: u64,
}

/// A shard with its workers, its store and the calls in flight.
pub(crate) struct Simulation {
    /// The current tick.
    ticks: u64,
    start: Instant,
    shard: Option<Shard>,
    cut_owners: Vec<CutOwner>,
    /// Whether the last owner has released the shard.
    released: bool,
    /// The number of the current owner.
    owner: u64,
    /// The number of batches that all owners have stored.
    batches: u64,
    /// The first tick at which the next owner may start.
    takeover_tick: u64,
    workers: Vec<SimulatedWorker>,
    stored: BTreeMap<String, Vec<u8>>,
    /// The batch that is being written, and the tick at which the write completes.
    pending_write: Option<(u64, Vec<Record>)>,
    /// The tick at which the store accepts writes again.
    outage_end: u64,
    /// The tick until which starts are withheld.
    withheld_end: u64,
    calls: Vec<PendingCall>,
    /// Results on their way: the tick of delivery, the number of the owner, and the result.
    completions: Vec<(u64, u64, Completion)>,
    jobs: Vec<Job>,
    long_jobs: BTreeSet<JobId>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    requests: BTreeMap<RequestId, JobId>,
    cancellations: BTreeMap<RequestId, JobId>,
    next_request: u64,
    /// Tasks with a run that ended `done` on a worker.
    done: BTreeSet<TaskId>,
    /// Runs that ended `done` and that an owner has acknowledged, by task.
    acked_done: BTreeMap<TaskId, AckedRun>,
    /// How many runs of each task ended `failed` and were acknowledged by an owner.
    acked_failed: BTreeMap<TaskId, u32>,
    random_state: u64,
    /// The evacuated zones, as all owners know them. Each worker is in a zone with the name of its id.
    evacuated: Arc<BTreeSet<Name>>,
    /// Whether the owner makes a placement pass in each tick.
    pub(crate) repeats_passes: bool,
    /// The runs whose start was sent, with the tick and the index of the worker.
    pub(crate) starts: Vec<(u64, usize, RunId)>,
}

impl Simulation {
    pub(crate) fn new(worker_count: usize) -> Self {
        let start = Instant::now();
        let workers =
            (0..worker_count).map(|i| SimulatedWorker::new(format!("w{i}").into(), 1, start));
        let mut simulation = Self {
            ticks: 0,
            start,
            shard: None,
            cut_owners: Vec::new(),
            released: false,
            owner: 0,
            batches: 0,
            takeover_tick: 0,
            workers: workers.collect(),
            stored: BTreeMap::new(),
            pending_write: None,
            outage_end: 0,
            withheld_end: 0,
            calls: Vec::new(),
            completions: Vec::new(),
            jobs: Vec::new(),
            long_jobs: BTreeSet::new(),
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            requests: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            next_request: 0,
            done: BTreeSet::new(),
            acked_done: BTreeMap::new(),
            acked_failed: BTreeMap::new(),
            random_state: 1,
            evacuated: Arc::default(),
            repeats_passes: false,
            starts: Vec::new(),
        };
        simulation.tick();
        simulation
    }

    fn timestamp(&self) -> Timestamp {
        let elapsed = TICK * u32::try_from(self.ticks).unwrap();
        Timestamp {
            now: self.start + elapsed,
            unix: Duration::from_secs(1_000_000) + elapsed,
        }
    }

    /// Returns the next number of a deterministic generator, used for small delays.
    fn next_random(&mut self) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.random_state >> 33
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Submit(first, second) => {
                let id = self.jobs.len() as u64 + 1;
                let steps = vec![step(first.into(), &[]), step(second.into(), &[0])];
                self.jobs.push(job(id, steps));
                self.submit(self.jobs.len() - 1);
            }
            Op::SubmitLong(count) => {
                let id = self.jobs.len() as u64 + 1;
                self.jobs.push(job(id, vec![step(count.into(), &[])]));
                self.long_jobs.insert(JobId(id));
                self.submit(self.jobs.len() - 1);
            }
            Op::Resubmit(n) if !self.jobs.is_empty() => {
                self.submit(usize::from(n) % self.jobs.len());
            }
            Op::Cancel(n) if !self.jobs.is_empty() => {
                let id = self.jobs[usize::from(n) % self.jobs.len()].id;
                let at = self.timestamp();
                self.next_request += 1;
                let request_id = RequestId(self.next_request);
                if let Some(shard) = &mut self.shard {
                    self.cancellations.insert(request_id, id);
                    shard.cancel(at, request_id, id);
                }
            }
            Op::Resubmit(_) | Op::Cancel(_) => {}
            Op::Wait(ticks) => {
                for _ in 0..ticks {
                    self.tick();
                }
            }
            Op::Evacuate(mask) => {
                let workers = (0u32..).zip(&self.workers);
                let evacuated = workers.filter(|(bit, _)| u32::from(mask) >> bit & 1 == 1);
                let zones = evacuated.map(|(_, worker)| Arc::clone(&worker.id));
                self.evacuated = Arc::new(zones.collect());
            }
            Op::Fault(fault) => self.inject(fault),
        }
        self.tick();
    }

    fn submit(&mut self, index: usize) {
        let job = self.jobs[index].clone();
        let at = self.timestamp();
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        self.requests.insert(request_id, job.id);
        if let Some(shard) = &mut self.shard {
            shard.submit(at, request_id, job);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let len = self.workers.len();
        match fault {
            Fault::OwnerCrash(ticks) => {
                self.shard = None;
                self.end_ownership(ticks);
            }
            Fault::OwnerCut(ticks) => {
                if let Some(shard) = self.shard.take() {
                    self.cut_owners.push(CutOwner {
                        number: self.owner,
                        shard,
                        end_tick: self.ticks + TAKEOVER_TICKS,
                    });
                    self.end_ownership(ticks);
                }
            }
            Fault::OwnerRelease(ticks) => self.release(ticks),
            Fault::LinkCut(w, vm, t) => {
                self.workers[usize::from(w) % len].link_cut_ticks[usize::from(vm) % VMS] = t.into();
            }
            Fault::Partition(w, t) => self.workers[usize::from(w) % len].partition_ticks = t.into(),
            Fault::DelayedCalls(w, t) => self.workers[usize::from(w) % len].delay_ticks = t.into(),
            Fault::FailingRuns(w, t) => self.workers[usize::from(w) % len].failing_ticks = t.into(),
            Fault::WithheldStarts(ticks) => self.withheld_end = self.ticks + u64::from(ticks),
            Fault::StoreOutage(ticks) => self.outage_end = self.ticks + u64::from(ticks),
            Fault::WorkerRestart(w) => self.restart_worker(usize::from(w) % len),
        }
    }

    /// Restarts a worker under its id. Owners learn of it from its registration or its next report.
    ///
    /// Of the calls that have not reached it, some are dropped, some are answered by the new
    /// incarnation, and some are carried out by it up to ten seconds later without a response. The
    /// calls that have reached it end with it.
    fn restart_worker(&mut self, index: usize) {
        let now = self.timestamp().now;
        let incarnation = self.ticks + 2;
        let registration_tick = self.ticks + 1 + self.next_random() % REGISTRATION_TICKS;
        let calls = std::mem::take(&mut self.calls);
        let (lost, kept): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|c| c.worker_index == index);
        self.calls = kept;
        for mut call in lost.into_iter().filter(|c| c.answered) {
            let fate = self.next_random() % 3;
            if fate > 0 {
                self.completions
                    .push((self.ticks + 30, call.owner, call.lost()));
                call.answered = false;
                call.due_tick += self.next_random() % 500;
            }
            if fate < 2 {
                self.calls.push(call);
            }
        }
        let worker = &mut self.workers[index];
        *worker = SimulatedWorker {
            registered_incarnation: worker.registered_incarnation,
            registration_tick,
            partition_ticks: worker.partition_ticks,
            link_cut_ticks: worker.link_cut_ticks,
            delay_ticks: worker.delay_ticks,
            failing_ticks: worker.failing_ticks,
            ..SimulatedWorker::new(worker.id.clone(), incarnation, now)
        };
    }

    /// Ends the writes of the owner, so that another one may take over after `ticks`.
    fn end_ownership(&mut self, ticks: u8) {
        self.takeover_tick = self.ticks + u64::from(ticks);
        let has_ended = self.cut_owners.iter().all(|o| o.number != self.owner);
        let owner = self.owner;
        self.completions.retain(|(_, to, completion)| {
            *to != owner || !has_ended && !matches!(completion, Completion::Stored)
        });
        // A write in flight may still complete; the next owner's claim fences any later one.
        if let Some((_, records)) = self.pending_write.take()
            && self.next_random().is_multiple_of(2)
        {
            self.apply_records(records);
        }
    }

    /// Lets the owner store its last records and end, unless the store is unavailable.
    fn release(&mut self, ticks: u8) {
        if self.ticks < self.outage_end {
            return;
        }
        let at = self.timestamp();
        let Some(mut shard) = self.shard.take() else {
            return;
        };
        if let Some((_, records)) = self.pending_write.take() {
            self.apply_records(records);
        }
        self.apply_records(shard.release_records(at));
        self.released = true;
        self.end_ownership(ticks);
    }

    fn apply_records(&mut self, records: Vec<Record>) {
        for record in records {
            match record.value {
                Some(value) => self.stored.insert(record.key, value),
                None => self.stored.remove(&record.key),
            };
        }
    }

    fn worker_infos(&self) -> Vec<WorkerInfo> {
        let worker_infos = self.workers.iter().map(|w| WorkerInfo {
            incarnation: w.registered_incarnation,
            zone: Arc::clone(&w.id),
            ..worker_info(&w.id)
        });
        worker_infos.collect()
    }

    /// Advances the simulation by one tick.
    pub(crate) fn tick(&mut self) {
        self.ticks += 1;
        let at = self.timestamp();
        if self.shard.is_none() && self.ticks >= self.takeover_tick && self.ticks >= self.outage_end
        {
            self.owner += 1;
            let mut timings = timings();
            if std::mem::take(&mut self.released) {
                timings.takeover_wait = Duration::ZERO;
            }
            let mut shard = Shard::new(timings, at.now);
            shard.set_fencing_token(self.owner * TOKENS_PER_OWNER);
            let records = self
                .stored
                .iter()
                .filter_map(|(k, v)| decode_record(k, v).unwrap());
            shard.restore(at, records.collect());
            self.shard = Some(shard);
        }
        let cut_owners = self.cut_owners.iter_mut().map(|owner| &mut owner.shard);
        for shard in self.shard.iter_mut().chain(cut_owners) {
            shard.set_evacuated_zones(&self.evacuated);
        }
        self.advance_runs();
        self.execute_calls();
        self.deliver_completions();
        for worker in &mut self.workers {
            if self.ticks >= worker.registration_tick {
                worker.registered_incarnation = worker.incarnation;
            }
        }
        let worker_infos = self.worker_infos();
        if let Some(shard) = &mut self.shard {
            shard.update_workers(at, worker_infos.clone());
            if self.repeats_passes {
                // No job has a team, so that new quotas change nothing but cause a pass.
                shard.set_quotas(&BTreeMap::new());
            }
            shard.tick(at);
            pool_load::check(shard, at.now);
        }
        self.tick_cut_owners(at, &worker_infos);
        self.write_batch();
        self.execute_effects();
        for worker in &mut self.workers {
            worker.partition_ticks = worker.partition_ticks.saturating_sub(1);
            for ticks in &mut worker.link_cut_ticks {
                *ticks = ticks.saturating_sub(1);
            }
            worker.delay_ticks = worker.delay_ticks.saturating_sub(1);
            worker.failing_ticks = worker.failing_ticks.saturating_sub(1);
        }
    }

    /// Lets the owners without a connection to the store go on. What they want to store never is.
    fn tick_cut_owners(&mut self, at: Timestamp, worker_infos: &[WorkerInfo]) {
        let now = self.ticks;
        let mut owners = std::mem::take(&mut self.cut_owners);
        owners.retain(|owner| now <= owner.end_tick && !owner.shard.is_superseded());
        for owner in &mut owners {
            owner.shard.update_workers(at, worker_infos.to_vec());
            owner.shard.tick(at);
            let _ = owner.shard.next_batch();
            let effects = owner.shard.take_effects();
            self.execute_all(owner.number, &owner.shard, effects);
        }
        self.cut_owners = owners;
    }

    /// Advances the runs of all workers, and ends the runs of workers whose lease has expired.
    fn advance_runs(&mut self) {
        let now = self.timestamp().now;
        for worker in &mut self.workers {
            let clock_ms = local_clock_ms(worker, now);
            let lease_expired = clock_ms >= worker.lease_deadline;
            if lease_expired {
                let listed = worker.finished.iter().map(|f| f.sequence);
                worker.expired_sequences.extend(listed);
            }
            let failing = worker.failing_ticks > 0;
            let mut finishing = Vec::new();
            for active in &mut worker.running {
                active.ticks_left = active.ticks_left.saturating_sub(1);
                if lease_expired {
                    finishing.push((active.run, RunOutcome::LeaseExpired));
                } else if active.ticks_left == 0 {
                    let outcome = if failing {
                        RunOutcome::Failed
                    } else {
                        RunOutcome::Done
                    };
                    finishing.push((active.run, outcome));
                }
            }
            for (run, outcome) in finishing {
                if outcome == RunOutcome::Done {
                    self.done.insert(run.task);
                }
                finish_run(worker, run, outcome);
            }
        }
    }

    /// Starts to write the shard's next batch unless a write is in flight, and completes a write
    /// that is due.
    fn write_batch(&mut self) {
        if self.ticks < self.outage_end {
            return;
        }
        if self.pending_write.is_none()
            && let Some(records) = self.shard.as_mut().and_then(Shard::next_batch)
        {
            let done_tick = self.ticks + self.next_random() % 3;
            self.pending_write = Some((done_tick, records));
        }
        if let Some((done_tick, _)) = &self.pending_write
            && self.ticks >= *done_tick
            && let Some((_, records)) = self.pending_write.take()
        {
            self.apply_records(records);
            let owner = self.owner;
            self.completions
                .push((self.ticks + 1, owner, Completion::Stored));
        }
    }

    /// Executes the shard's effects: sends its calls to the workers, and records which jobs it
    /// accepted.
    fn execute_effects(&mut self) {
        let Some(mut shard) = self.shard.take() else {
            return;
        };
        let superseded = shard.is_superseded();
        let effects = shard.take_effects();
        self.execute_all(self.owner, &shard, effects);
        self.shard = Some(shard);
        assert!(
            !superseded,
            "the owner was superseded although no other owner has taken over"
        );
    }

    fn execute_all(&mut self, owner: u64, shard: &Shard, effects: Vec<Effect>) {
        for effect in effects {
            let (worker, call) = match effect {
                Effect::Respond(request_id, response) => {
                    if response == Response::Accepted {
                        self.accepted.extend(self.requests.get(&request_id));
                        self.cancelled.extend(self.cancellations.get(&request_id));
                    }
                    continue;
                }
                Effect::Start(worker, request) => (worker, Call::Start(request)),
                Effect::Stop(worker, run) => (worker, Call::Stop(run)),
                Effect::Poll(worker, request) => (worker, Call::Poll(request)),
                Effect::Throttle(..) | Effect::QueryPolicy(..) => continue,
            };
            let index = self.workers.iter().position(|w| w.id == worker);
            self.send(
                owner,
                shard.fencing_token(&worker),
                index.expect("an effect names a worker that does not exist"),
                call,
            );
        }
    }

    /// Puts a call in flight, with the faults of its worker. A call that gets no response is
    /// reported to the owner as failed after 30 ticks.
    fn send(&mut self, owner: u64, fencing_token: u64, worker_index: usize, call: Call) {
        if let Call::Start(request) = &call {
            if self.ticks < self.withheld_end {
                let outcome = StartOutcome::Withheld;
                let completion = Completion::Start(worker_index, request.run, outcome);
                self.completions.push((self.ticks + 10, owner, completion));
                return;
            }
            self.starts.push((self.ticks, worker_index, request.run));
            let id = &self.workers[worker_index].id;
            let is_evacuated = self.evacuated.contains(id);
            assert!(
                !is_evacuated,
                "a start is sent to the evacuated worker {id}"
            );
        }
        let sent = self.timestamp().now;
        let worker = &self.workers[worker_index];
        let vm = usize::try_from(owner).unwrap() % VMS;
        let partitioned = worker.partition_ticks > 0 || worker.link_cut_ticks[vm] > 0;
        let delayed = worker.delay_ticks > 0;
        let mut pending = PendingCall {
            due_tick: self.ticks,
            owner,
            fencing_token,
            worker_index,
            call,
            sent,
            answered: !delayed,
        };
        if partitioned || delayed {
            self.completions
                .push((self.ticks + 30, owner, pending.lost()));
        }
        if partitioned {
            return;
        }
        pending.due_tick += match delayed {
            true => 100 + self.next_random() % 400,
            false => self.next_random() % 2,
        };
        self.calls.push(pending);
    }

    fn execute_calls(&mut self) {
        let now = self.ticks;
        let (due, rest): (Vec<PendingCall>, Vec<PendingCall>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|c| c.due_tick <= now);
        self.calls = rest;
        for pending in due {
            let completion = self.execute_call(&pending);
            if pending.answered {
                self.completions.push((now + 1, pending.owner, completion));
            }
        }
    }

    fn execute_call(&mut self, pending: &PendingCall) -> Completion {
        let now = self.timestamp().now;
        let index = pending.worker_index;
        let fencing_token = self.workers[index].fencing_token;
        let stale = pending.fencing_token < fencing_token;
        let clock_ms = local_clock_ms(&self.workers[index], now);
        if !stale {
            self.workers[index].fencing_token = pending.fencing_token;
        }
        match &pending.call {
            Call::Start(request) => {
                let outcome = match stale {
                    true => StartOutcome::StaleToken,
                    false => self.start_run(index, clock_ms, request, pending),
                };
                Completion::Start(index, request.run, outcome)
            }
            Call::Stop(run) => {
                if !stale {
                    let worker = &mut self.workers[index];
                    let highest_run = worker.highest_run.entry(run.task).or_insert(0);
                    *highest_run = (*highest_run).max(run.number);
                    if worker.running.iter().any(|r| r.run == *run) {
                        finish_run(worker, *run, RunOutcome::Stopped);
                    }
                }
                Completion::Stop(index, *run, !stale)
            }
            Call::Poll(request) => {
                if stale {
                    return Completion::Poll(index, pending.sent, Err(PollFailure::StaleToken));
                }
                self.record_acks(index, request.acked_until);
                let worker = &mut self.workers[index];
                if let Some(lease_deadline) = request.lease_deadline {
                    extend_lease(worker, clock_ms, lease_deadline);
                }
                let running = worker.running.iter().map(|r| RunStatus {
                    run: r.run,
                    checkpoint: "".into(),
                    progress: 50,
                    metric: 0,
                });
                let report = WorkerReport {
                    clock_ms,
                    incarnation: worker.incarnation,
                    running: running.collect(),
                    finished: worker.finished.clone(),
                    truncated: false,
                };
                Completion::Poll(index, pending.sent, Ok(report))
            }
        }
    }

    /// Removes acknowledged runs from a worker's list and records them.
    fn record_acks(&mut self, index: usize, acked_until: u64) {
        let now = self.timestamp().now;
        let finished = std::mem::take(&mut self.workers[index].finished);
        let (acked, kept): (Vec<FinishedRun>, Vec<FinishedRun>) = finished
            .into_iter()
            .partition(|f| f.sequence <= acked_until);
        self.workers[index].finished = kept;
        for finished in acked {
            match finished.outcome {
                RunOutcome::Done => {
                    let lease_expired = self.workers[index]
                        .expired_sequences
                        .contains(&finished.sequence);
                    let acked_run = self.acked_done.entry(finished.run.task);
                    let acked_run = acked_run.or_insert(AckedRun {
                        at: now,
                        lease_expired,
                    });
                    acked_run.lease_expired &= lease_expired;
                }
                RunOutcome::Failed => *self.acked_failed.entry(finished.run.task).or_insert(0) += 1,
                _ => {}
            }
        }
    }

    fn start_run(
        &mut self,
        index: usize,
        clock_ms: u64,
        request: &StartRequest,
        pending: &PendingCall,
    ) -> StartOutcome {
        let worker = &mut self.workers[index];
        if worker.running.iter().any(|r| r.run == request.run) {
            return StartOutcome::Started(clock_ms);
        }
        let highest_run = worker
            .highest_run
            .get(&request.run.task)
            .copied()
            .unwrap_or(0);
        if request.run.number <= highest_run {
            return StartOutcome::StaleRun;
        }
        if clock_ms >= request.lease_deadline {
            return StartOutcome::DeadlineExceeded;
        }
        extend_lease(worker, clock_ms, request.lease_deadline);
        let ticks_left = match self.long_jobs.contains(&request.run.task.job) {
            true => LONG_RUN_TICKS,
            false => RUN_TICKS,
        };
        if worker.running.len() as u64 >= CAPACITY.cpu / 1_000 {
            return StartOutcome::InsufficientResources;
        }
        worker.running.push(ActiveRun {
            run: request.run,
            ticks_left,
        });
        self.check_start(request.run, pending);
        StartOutcome::Started(clock_ms)
    }

    /// Checks the scheduling rules when a task starts on a worker.
    fn check_start(&self, run: RunId, pending: &PendingCall) {
        let task = run.task;
        let active_runs = self.workers.iter().flat_map(|w| &w.running);
        let active_runs = active_runs.filter(|r| r.run.task == task).count();
        assert_eq!(active_runs, 1, "{task} runs twice at the same time");
        // A delayed start request that was sent before the acknowledgement can't be recalled. It is
        // allowed if the earlier run had counted as lost because its worker's lease had expired.
        let allowed =
            |acked: &AckedRun| acked.lease_expired && !pending.answered && pending.sent < acked.at;
        assert!(
            self.acked_done.get(&task).is_none_or(allowed),
            "{task} starts after it was done"
        );
        let failed = self.acked_failed.get(&task).copied().unwrap_or(0);
        assert!(failed < 2, "{task} starts after its last attempt");
        let submitted = self.jobs.iter().find(|j| j.id == task.job);
        let submitted = submitted.expect("the task belongs to a job that was never submitted");
        if task.step == 1 {
            for index in 0..submitted.steps[0].count {
                let dependency = TaskId {
                    step: 0,
                    index,
                    ..task
                };
                assert!(
                    self.done.contains(&dependency),
                    "{task} starts before {dependency} is done"
                );
            }
        }
    }

    fn deliver_completions(&mut self) {
        let at = self.timestamp();
        let (now, owner) = (self.ticks, self.owner);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.completions)
            .into_iter()
            .partition(|(when, _, _)| *when <= now);
        self.completions = rest;
        for (_, to, completion) in due {
            let cut_owner = self.cut_owners.iter_mut().find(|o| o.number == to);
            let shard = cut_owner.map(|o| &mut o.shard);
            let Some(shard) = shard.or(self.shard.as_mut().filter(|_| to == owner)) else {
                continue;
            };
            match completion {
                Completion::Start(w, run, outcome) => {
                    shard.handle_start(at, &self.workers[w].id, run, outcome);
                }
                Completion::Stop(w, run, done) => {
                    shard.handle_stop(at, &self.workers[w].id, run, done);
                }
                Completion::Poll(w, sent, Ok(report)) => {
                    shard.handle_report(at, &self.workers[w].id, sent, &report);
                }
                Completion::Poll(w, _, Err(failure)) => {
                    shard.handle_poll_failure(at, &self.workers[w].id, failure);
                }
                Completion::Stored => {
                    self.batches += 1;
                    shard.set_fencing_token(owner * TOKENS_PER_OWNER + self.batches);
                    shard.batch_stored(at);
                }
            }
        }
    }

    /// Ends all faults and evacuations and checks that every accepted job reaches a final state.
    pub(crate) fn run_to_completion(&mut self) {
        self.outage_end = 0;
        self.withheld_end = 0;
        self.evacuated = Arc::default();
        for worker in &mut self.workers {
            (
                worker.partition_ticks,
                worker.delay_ticks,
                worker.failing_ticks,
            ) = (0, 0, 0);
            worker.link_cut_ticks = [0; VMS];
        }
        for _ in 0..3_000 {
            self.tick();
            if self.unfinished_jobs().is_empty() {
                break;
            }
        }
        assert_eq!(
            self.unfinished_jobs(),
            Vec::<(JobId, Option<JobState>)>::new(),
            "jobs that did not reach a final state"
        );
        let ended: BTreeSet<JobId> = self.cancelled.union(&self.accepted).copied().collect();
        // Calls are delayed by less than 500 ticks; none of them may restart a finished task or a
        // cancelled job.
        for _ in 0..600 {
            self.tick();
        }
        for id in &ended {
            let mut running = self.workers.iter().flat_map(|w| &w.running);
            assert!(
                !running.any(|r| r.run.task.job == *id),
                "{id} still runs after its end"
            );
        }
    }

    fn unfinished_jobs(&self) -> Vec<(JobId, Option<JobState>)> {
        let Some(shard) = &self.shard else {
            return self.accepted.iter().map(|id| (*id, None)).collect();
        };
        let states = self.accepted.iter().map(|id| (*id, shard.state(*id)));
        states
            .filter(|(_, s)| !s.is_some_and(JobState::is_final))
            .collect()
    }
}

/// Returns the time on a worker's own clock, in milliseconds.
fn local_clock_ms(worker: &SimulatedWorker, now: Instant) -> u64 {
    // Two percent slower than true time, the most that the platform allows.
    let elapsed = now.saturating_duration_since(worker.clock_start);
    1_000 + u64::try_from(elapsed.as_millis()).unwrap() * 98 / 100
}

/// Extends a worker's lease, which never gets shorter.
fn extend_lease(worker: &mut SimulatedWorker, clock_ms: u64, lease_deadline: u64) {
    worker.lease_deadline = worker
        .lease_deadline
        .max(lease_deadline.min(clock_ms + MAX_LEASE_MS));
}

/// Ends a run and adds it to the worker's finished runs.
fn finish_run(worker: &mut SimulatedWorker, run: RunId, outcome: RunOutcome) {
    worker.running.retain(|r| r.run != run);
    let highest_run = worker.highest_run.entry(run.task).or_insert(0);
    *highest_run = (*highest_run).max(run.number);
    worker.finished.push(FinishedRun {
        sequence: worker.next_sequence,
        run,
        outcome,
        checkpoint: "".into(),
    });
    worker.next_sequence += 1;
}
