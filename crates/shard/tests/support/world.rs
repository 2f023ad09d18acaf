//! A small world for the shard: workers with leases, fences and lists, a store, and calls that are
//! late, lost or carried out after their answer was given up. It knows only what the interface
//! promises, and checks the rules where tasks run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use super::step;
use super::timings;
use super::worker_info;

/// The time between two steps of the world.
const TICK: Duration = Duration::from_millis(20);

/// How long a task works, in ticks.
const WORK_TICKS: u32 = 15;

/// The longest lease that a worker honours, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

/// What a fault does for some ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The owner dies, and another follows after so many ticks.
    OwnerDies(u8),
    /// The owner can't reach a worker, which runs on.
    Cut(u8, u16),
    /// A worker dies and starts again with the same id.
    Reborn(u8),
    /// Answers of a worker's orders are lost, and the orders are carried out late.
    Late(u8, u16),
    /// The store does not answer.
    StoreDown(u16),
    /// A worker fails what it runs.
    Fails(u8, u16),
}

/// What the world does at one point of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    /// A caller submits a job with two steps of so many tasks.
    Submit(u8, u8),
    /// A caller submits the n-th job again.
    Repeat(u8),
    /// A caller cancels the n-th job.
    Cancel(u8),
    /// Time passes.
    Wait(u8),
    /// Something fails.
    Fault(Fault),
}

#[derive(Clone, Debug)]
struct Running {
    run: RunId,
    left: u32,
}

#[derive(Clone, Debug)]
struct Machine {
    id: Name,
    incarnation: u64,
    clock_start: Instant,
    fence: u64,
    deadline: u64,
    running: Vec<Running>,
    ended: Vec<FinishedRun>,
    /// The ends that were listed when the lease lapsed.
    lapsed_ends: BTreeSet<u64>,
    next_end: u64,
    highest: BTreeMap<TaskId, u32>,
    cut: u32,
    late: u32,
    fails: u32,
}

impl Machine {
    /// Creates a worker that has run nothing and seen no token.
    fn new(id: Name, incarnation: u64, start: Instant) -> Self {
        Self {
            id,
            incarnation,
            clock_start: start,
            fence: 0,
            deadline: 0,
            running: Vec::new(),
            ended: Vec::new(),
            lapsed_ends: BTreeSet::new(),
            next_end: 1,
            highest: BTreeMap::new(),
            cut: 0,
            late: 0,
            fails: 0,
        }
    }
}

#[derive(Clone, Debug)]
enum Call {
    Start(StartRequest),
    Stop(RunId),
    Poll(PollRequest),
}

/// A call under way: when it is carried out, and when its answer arrives, if ever.
#[derive(Clone, Debug)]
struct Pending {
    at: u64,
    owner: u64,
    token: u64,
    worker: usize,
    call: Call,
    sent: Instant,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Answer {
    Start(usize, RunId, StartOutcome),
    Stop(usize, RunId, bool),
    Poll(usize, Instant, Result<WorkerReport, PollFailure>),
    Stored,
}

/// When an end was acknowledged first, and whether its worker's lease had lapsed by then.
#[derive(Clone, Copy, Debug)]
struct NotedEnd {
    at: Instant,
    lapsed: bool,
}

/// The world.
pub(crate) struct World {
    ticks: u64,
    start: Instant,
    shard: Option<Shard>,
    owner: u64,
    owner_back: u64,
    machines: Vec<Machine>,
    stored: BTreeMap<String, Vec<u8>>,
    storing: Option<(u64, Vec<Record>)>,
    store_down: u64,
    calls: Vec<Pending>,
    answers: Vec<(u64, u64, Answer)>,
    jobs: Vec<Job>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    requests: BTreeMap<RequestId, JobId>,
    next_request: u64,
    /// Tasks that a worker has ended `done`.
    done: BTreeSet<TaskId>,
    /// Ends `done` that an owner has acknowledged.
    noted_done: BTreeMap<TaskId, NotedEnd>,
    /// Ends `failed` that an owner has acknowledged, by task.
    noted_failed: BTreeMap<TaskId, u32>,
    noise: u64,
}

impl World {
    pub(crate) fn new(workers: usize) -> Self {
        let start = Instant::now();
        let machines = (0..workers).map(|i| Machine::new(format!("w{i}").into(), 1, start));
        let mut world = Self {
            ticks: 0,
            start,
            shard: None,
            owner: 0,
            owner_back: 0,
            machines: machines.collect(),
            stored: BTreeMap::new(),
            storing: None,
            store_down: 0,
            calls: Vec::new(),
            answers: Vec::new(),
            jobs: Vec::new(),
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            done: BTreeSet::new(),
            noted_done: BTreeMap::new(),
            noted_failed: BTreeMap::new(),
            noise: 1,
        };
        world.tick();
        world
    }

    fn at(&self) -> Timestamp {
        let passed = TICK * u32::try_from(self.ticks).unwrap();
        Timestamp {
            now: self.start + passed,
            unix: Duration::from_secs(1_000_000) + passed,
        }
    }

    /// A deterministic source of small delays.
    fn noise(&mut self) -> u64 {
        self.noise = self
            .noise
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.noise >> 33
    }

    fn token(&self) -> u64 {
        self.owner
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Submit(first, second) => {
                let id = self.jobs.len() as u64 + 1;
                let steps = vec![step(first.into(), &[]), step(second.into(), &[0])];
                self.jobs.push(job(id, steps));
                self.submit(self.jobs.len() - 1);
            }
            Op::Repeat(n) if !self.jobs.is_empty() => {
                self.submit(usize::from(n) % self.jobs.len());
            }
            Op::Cancel(n) if !self.jobs.is_empty() => {
                let id = self.jobs[usize::from(n) % self.jobs.len()].id;
                let at = self.at();
                self.next_request += 1;
                let request_id = RequestId(self.next_request);
                if let Some(shard) = &mut self.shard {
                    self.cancelled.insert(id);
                    shard.cancel(at, request_id, id);
                }
            }
            Op::Repeat(_) | Op::Cancel(_) => {}
            Op::Wait(ticks) => {
                for _ in 0..ticks {
                    self.tick();
                }
            }
            Op::Fault(fault) => self.inject(fault),
        }
        self.tick();
    }

    fn submit(&mut self, index: usize) {
        let job = self.jobs[index].clone();
        let at = self.at();
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        self.requests.insert(request_id, job.id);
        if let Some(shard) = &mut self.shard {
            shard.submit(at, request_id, job);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let count = self.machines.len();
        match fault {
            Fault::OwnerDies(ticks) => {
                self.shard = None;
                self.owner_back = self.ticks + u64::from(ticks);
                self.answers.clear();
                // An append under way may still be carried out, and a later claim fences it.
                if let Some((_, records)) = self.storing.take()
                    && self.noise().is_multiple_of(2)
                {
                    self.keep(records);
                }
            }
            Fault::Cut(w, ticks) => self.machines[usize::from(w) % count].cut = ticks.into(),
            Fault::Late(w, ticks) => self.machines[usize::from(w) % count].late = ticks.into(),
            Fault::Fails(w, ticks) => self.machines[usize::from(w) % count].fails = ticks.into(),
            Fault::StoreDown(ticks) => self.store_down = self.ticks + u64::from(ticks),
            Fault::Reborn(w) => {
                let now = self.at().now;
                let incarnation = self.ticks + 2;
                let machine = &mut self.machines[usize::from(w) % count];
                // Calls to the earlier life are lost: its connections are gone.
                let index = usize::from(w) % count;
                self.calls.retain(|c| c.worker != index);
                *machine = Machine {
                    cut: machine.cut,
                    late: machine.late,
                    fails: machine.fails,
                    ..Machine::new(machine.id.clone(), incarnation, now)
                };
                let now = self.at().now;
                let owner = self.owner;
                let answer = Answer::Poll(index, now, Err(PollFailure::NoResponse));
                self.answers.push((self.ticks + 1, owner, answer));
            }
        }
    }

    fn keep(&mut self, records: Vec<Record>) {
        for record in records {
            match record.value {
                Some(value) => self.stored.insert(record.key, value),
                None => self.stored.remove(&record.key),
            };
        }
    }

    fn worker_infos(&self) -> Vec<WorkerInfo> {
        let worker_infos = self.machines.iter().map(|m| WorkerInfo {
            incarnation: m.incarnation,
            ..worker_info(&m.id)
        });
        worker_infos.collect()
    }

    /// Moves the world on by one tick.
    pub(crate) fn tick(&mut self) {
        self.ticks += 1;
        let at = self.at();
        if self.shard.is_none() && self.ticks >= self.owner_back && self.ticks >= self.store_down {
            self.owner += 1;
            let mut shard = Shard::new(timings(), at.now);
            let records = self
                .stored
                .iter()
                .filter_map(|(k, v)| decode_record(k, v).unwrap());
            shard.restore(at, records.collect());
            self.shard = Some(shard);
        }
        self.work();
        self.carry_out_calls();
        self.deliver_answers();
        let worker_infos = self.worker_infos();
        if let Some(shard) = &mut self.shard {
            shard.update_workers(at, worker_infos);
            shard.tick(at);
        }
        self.store();
        self.take_effects();
        for machine in &mut self.machines {
            machine.cut = machine.cut.saturating_sub(1);
            machine.late = machine.late.saturating_sub(1);
            machine.fails = machine.fails.saturating_sub(1);
        }
    }

    /// Lets the workers work, and ends what has no lease.
    fn work(&mut self) {
        let now = self.at().now;
        for machine in &mut self.machines {
            let clock_ms = clock_of(machine, now);
            let lapsed = clock_ms >= machine.deadline;
            if lapsed {
                let listed = machine.ended.iter().map(|end| end.sequence);
                machine.lapsed_ends.extend(listed);
            }
            let fails = machine.fails > 0;
            let mut over = Vec::new();
            for running in &mut machine.running {
                running.left = running.left.saturating_sub(1);
                if lapsed {
                    over.push((running.run, RunOutcome::LeaseExpired));
                } else if running.left == 0 {
                    let outcome = if fails {
                        RunOutcome::Failed
                    } else {
                        RunOutcome::Done
                    };
                    over.push((running.run, outcome));
                }
            }
            for (run, outcome) in over {
                if outcome == RunOutcome::Done {
                    self.done.insert(run.task);
                }
                finish(machine, run, outcome);
            }
        }
    }

    fn store(&mut self) {
        if self.ticks < self.store_down {
            return;
        }
        if self.storing.is_none()
            && let Some(records) = self.shard.as_mut().and_then(Shard::next_batch)
        {
            let done = self.ticks + self.noise() % 3;
            self.storing = Some((done, records));
        }
        if let Some((done, _)) = &self.storing
            && self.ticks >= *done
            && let Some((_, records)) = self.storing.take()
        {
            self.keep(records);
            let owner = self.owner;
            self.answers.push((self.ticks + 1, owner, Answer::Stored));
        }
    }

    fn take_effects(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        let superseded = shard.is_superseded();
        for effect in shard.take_effects() {
            let (worker, call) = match effect {
                Effect::Respond(request_id, answer) => {
                    if let (Some(id), lavenderhollow_shard::Response::Accepted) =
                        (self.requests.get(&request_id), answer)
                    {
                        self.accepted.insert(*id);
                    }
                    continue;
                }
                Effect::Start(worker, order) => (worker, Call::Start(order)),
                Effect::Stop(worker, run) => (worker, Call::Stop(run)),
                Effect::Poll(worker, order) => (worker, Call::Poll(order)),
                Effect::Throttle(..) | Effect::QueryPolicy(..) => continue,
            };
            let index = self.machines.iter().position(|m| m.id == worker);
            self.send(index.expect("an order to a worker that never was"), call);
        }
        assert!(!superseded, "an owner without a successor was deposed");
    }

    fn send(&mut self, worker: usize, call: Call) {
        let sent = self.at().now;
        let machine = &self.machines[worker];
        let (cut, late) = (machine.cut > 0, machine.late > 0);
        let owner = self.owner;
        let refused = |call: &Call| match call {
            Call::Start(order) => Answer::Start(worker, order.run, StartOutcome::Unknown),
            Call::Stop(run) => Answer::Stop(worker, *run, false),
            Call::Poll(_) => Answer::Poll(worker, sent, Err(PollFailure::NoResponse)),
        };
        if cut || late {
            self.answers.push((self.ticks + 30, owner, refused(&call)));
        }
        if cut {
            return;
        }
        let delay = match late {
            true => 100 + self.noise() % 400,
            false => self.noise() % 2,
        };
        self.calls.push(Pending {
            at: self.ticks + delay,
            owner,
            token: self.token(),
            worker,
            call,
            sent,
            answered: !late,
        });
    }

    fn carry_out_calls(&mut self) {
        let now = self.ticks;
        let (due, rest): (Vec<Pending>, Vec<Pending>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|c| c.at <= now);
        self.calls = rest;
        for pending in due {
            let answer = self.carry_out(&pending);
            if pending.answered {
                self.answers.push((now + 1, pending.owner, answer));
            }
        }
    }

    fn carry_out(&mut self, pending: &Pending) -> Answer {
        let now = self.at().now;
        let index = pending.worker;
        let fence = self.machines[index].fence;
        let fenced = pending.token < fence;
        let clock_ms = clock_of(&self.machines[index], now);
        if !fenced {
            self.machines[index].fence = pending.token;
        }
        match &pending.call {
            Call::Start(order) => {
                let answer = match fenced {
                    true => StartOutcome::StaleToken,
                    false => self.start(index, clock_ms, order, pending),
                };
                Answer::Start(index, order.run, answer)
            }
            Call::Stop(run) => {
                if !fenced {
                    let machine = &mut self.machines[index];
                    let highest = machine.highest.entry(run.task).or_insert(0);
                    *highest = (*highest).max(run.number);
                    if machine.running.iter().any(|r| r.run == *run) {
                        finish(machine, *run, RunOutcome::Stopped);
                    }
                }
                Answer::Stop(index, *run, !fenced)
            }
            Call::Poll(order) => {
                if fenced {
                    return Answer::Poll(index, pending.sent, Err(PollFailure::StaleToken));
                }
                self.note_acks(index, order.acked_until);
                let machine = &mut self.machines[index];
                if let Some(deadline) = order.lease_deadline {
                    extend(machine, clock_ms, deadline);
                }
                let running = machine.running.iter().map(|r| RunStatus {
                    run: r.run,
                    checkpoint: "".into(),
                    progress: 50,
                    metric: 0,
                });
                let report = WorkerReport {
                    clock_ms,
                    incarnation: machine.incarnation,
                    running: running.collect(),
                    finished: machine.ended.clone(),
                };
                Answer::Poll(index, pending.sent, Ok(report))
            }
        }
    }

    fn note_acks(&mut self, index: usize, acked: u64) {
        let now = self.at().now;
        let ended = std::mem::take(&mut self.machines[index].ended);
        let (acked, kept): (Vec<FinishedRun>, Vec<FinishedRun>) =
            ended.into_iter().partition(|e| e.sequence <= acked);
        self.machines[index].ended = kept;
        for end in acked {
            match end.outcome {
                RunOutcome::Done => {
                    let lapsed = self.machines[index].lapsed_ends.contains(&end.sequence);
                    let noted = self.noted_done.entry(end.run.task);
                    let noted = noted.or_insert(NotedEnd { at: now, lapsed });
                    noted.lapsed &= lapsed;
                }
                RunOutcome::Failed => *self.noted_failed.entry(end.run.task).or_insert(0) += 1,
                _ => {}
            }
        }
    }

    fn start(
        &mut self,
        index: usize,
        clock_ms: u64,
        order: &StartRequest,
        pending: &Pending,
    ) -> StartOutcome {
        let machine = &mut self.machines[index];
        if machine.running.iter().any(|r| r.run == order.run) {
            return StartOutcome::Started(clock_ms);
        }
        let highest = machine.highest.get(&order.run.task).copied().unwrap_or(0);
        if order.run.number <= highest {
            return StartOutcome::StaleRun;
        }
        if clock_ms >= order.lease_deadline {
            return StartOutcome::DeadlineExceeded;
        }
        extend(machine, clock_ms, order.lease_deadline);
        if machine.running.len() as u64 >= CAPACITY.cpu / 1_000 {
            return StartOutcome::InsufficientResources;
        }
        machine.running.push(Running {
            run: order.run,
            left: WORK_TICKS,
        });
        self.check_start(order.run, pending);
        StartOutcome::Started(clock_ms)
    }

    /// Checks the rules at the moment when a task begins.
    fn check_start(&self, run: RunId, pending: &Pending) {
        let task = run.task;
        let twins = self.machines.iter().flat_map(|m| &m.running);
        let twins = twins.filter(|r| r.run.task == task).count();
        assert_eq!(twins, 1, "{task} runs twice at the same time");
        // An order that was sent before, and that the worker carries out late, can't be recalled. It
        // is allowed if the earlier run had counted as over because its worker's lease had lapsed.
        let allowed = |end: &NotedEnd| end.lapsed && !pending.answered && pending.sent < end.at;
        assert!(
            self.noted_done.get(&task).is_none_or(allowed),
            "{task} starts after it was done"
        );
        let failed = self.noted_failed.get(&task).copied().unwrap_or(0);
        assert!(failed < 2, "{task} starts after its last attempt");
        let submitted = self.jobs.iter().find(|j| j.id == task.job);
        let submitted = submitted.expect("a task of a job that nobody submitted");
        if task.step == 1 {
            for index in 0..submitted.steps[0].count {
                let before = TaskId {
                    step: 0,
                    index,
                    ..task
                };
                assert!(
                    self.done.contains(&before),
                    "{task} starts before {before} is done"
                );
            }
        }
    }

    fn deliver_answers(&mut self) {
        let at = self.at();
        let (now, owner) = (self.ticks, self.owner);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(when, _, _)| *when <= now);
        self.answers = rest;
        for (_, to, answer) in due {
            let Some(shard) = self.shard.as_mut().filter(|_| to == owner) else {
                continue;
            };
            match answer {
                Answer::Start(w, run, answer) => {
                    shard.handle_start(at, &self.machines[w].id, run, answer);
                }
                Answer::Stop(w, run, done) => {
                    shard.handle_stop(at, &self.machines[w].id, run, done);
                }
                Answer::Poll(w, sent, Ok(report)) => {
                    shard.handle_report(at, &self.machines[w].id, sent, &report);
                }
                Answer::Poll(w, _, Err(failure)) => {
                    shard.handle_poll_failure(at, &self.machines[w].id, failure);
                }
                Answer::Stored => shard.batch_stored(at),
            }
        }
    }

    /// Lets all faults end and checks that every accepted job reaches its end.
    pub(crate) fn settle(&mut self) {
        self.store_down = 0;
        for machine in &mut self.machines {
            (machine.cut, machine.late, machine.fails) = (0, 0, 0);
        }
        for _ in 0..3_000 {
            self.tick();
            if self.open().is_empty() {
                break;
            }
        }
        assert_eq!(
            self.open(),
            Vec::<(JobId, Option<JobState>)>::new(),
            "jobs without an end"
        );
        // Late orders must not wake anything up again.
        for _ in 0..600 {
            self.tick();
        }
        for id in &self.cancelled {
            let mut running = self.machines.iter().flat_map(|m| &m.running);
            assert!(
                !running.any(|r| r.run.task.job == *id),
                "{id} runs on after its cancelling"
            );
        }
    }

    fn open(&self) -> Vec<(JobId, Option<JobState>)> {
        let Some(shard) = &self.shard else {
            return self.accepted.iter().map(|id| (*id, None)).collect();
        };
        let states = self.accepted.iter().map(|id| (*id, shard.state(*id)));
        states
            .filter(|(_, s)| !s.is_some_and(JobState::is_final))
            .collect()
    }
}

fn clock_of(machine: &Machine, now: Instant) -> u64 {
    // Two in a hundred slower than true time.
    let passed = now.saturating_duration_since(machine.clock_start);
    1_000 + u64::try_from(passed.as_millis()).unwrap() * 98 / 100
}

fn extend(machine: &mut Machine, clock_ms: u64, deadline: u64) {
    machine.deadline = machine.deadline.max(deadline.min(clock_ms + MAX_HOLD_MS));
}

fn finish(machine: &mut Machine, run: RunId, outcome: RunOutcome) {
    machine.running.retain(|r| r.run != run);
    let highest = machine.highest.entry(run.task).or_insert(0);
    *highest = (*highest).max(run.number);
    machine.ended.push(FinishedRun {
        sequence: machine.next_end,
        run,
        outcome,
        checkpoint: "".into(),
    });
    machine.next_end += 1;
}
