//! P7: a refusal that says "not run" is true.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::permit::Lease;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::permit::SendError;
use lavenderhollow_core::permit::Sent;
use lavenderhollow_core::retry::RetryBudget;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::Verdict;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::fuzz;

const SEED: u64 = 7_001;
const CASES: u32 = 300;
const TARGETS: usize = 3;
const LEASE: Duration = Duration::from_secs(10);

static OPERATIONS: AtomicU64 = AtomicU64::new(0);
static RUNS: AtomicU64 = AtomicU64::new(0);
static REFUSED: AtomicU64 = AtomicU64::new(0);

/// What the caller's connection shows of an attempt.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// The target's own reply.
    True,
    /// The reply to another attempt.
    Crossed,
    /// The connection ends, the reply is lost.
    Lost,
    /// A status from something that is not the target, without an attempt id.
    Foreign(u16),
    /// A status that is no known refusal, with the right attempt id.
    Failed(u16),
}

#[derive(Clone, Debug)]
enum Op {
    /// A caller submits a request that must start within some seconds.
    Submit(u64),
    /// The entry sends a waiting request to a target.
    Send {
        request: usize,
        target: usize,
    },
    /// A start request that is in the network reaches its target.
    Arrive(usize),
    /// The entry sees the end of an attempt.
    Reply {
        attempt: usize,
        reply: Reply,
    },
    /// The entry gives up a waiting request.
    Refuse(usize),
    Renew(usize),
    /// A target begins or ceases to refuse work.
    Busy {
        target: usize,
        busy: bool,
    },
    Tick(u64),
    /// The worker's clock runs ahead or behind.
    Skew(i64),
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let index = || 0..100usize;
        let status = || prop_oneof![Just(409u16), Just(429), Just(500), Just(503)];
        let reply = prop_oneof![
            6 => Just(Reply::True),
            1 => Just(Reply::Crossed),
            1 => Just(Reply::Lost),
            1 => status().prop_map(Reply::Foreign),
            1 => prop_oneof![Just(500u16), Just(503), Just(408)].prop_map(Reply::Failed),
        ];
        prop_oneof![
            6 => (0..60u64).prop_map(Op::Submit),
            8 => (index(), 0..TARGETS).prop_map(|(request, target)| Op::Send { request, target }),
            8 => index().prop_map(Op::Arrive),
            8 => (index(), reply).prop_map(|(attempt, reply)| Op::Reply { attempt, reply }),
            1 => index().prop_map(Op::Refuse),
            4 => (0..TARGETS).prop_map(Op::Renew),
            3 => (0..TARGETS, any::<bool>()).prop_map(|(target, busy)| Op::Busy { target, busy }),
            3 => (0..8u64).prop_map(Op::Tick),
            1 => (-30..30i64).prop_map(Op::Skew),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

/// Knows only the promise: it sits at the targets, counts runs, and hears what callers are told.
#[derive(Default)]
struct Oracle {
    runs: BTreeMap<usize, u32>,
    not_run: Vec<usize>,
}

impl Oracle {
    fn run(&mut self, request: usize) {
        RUNS.fetch_add(1, Ordering::Relaxed);
        *self.runs.entry(request).or_default() += 1;
        assert!(
            !self.not_run.contains(&request),
            "false not run: {request} ran after it"
        );
        assert_eq!(self.runs[&request], 1, "request {request} ran twice");
    }

    fn told(&mut self, request: usize, verdict: &Verdict<()>) {
        let runs = self.runs.get(&request).copied().unwrap_or_default();
        match verdict {
            Verdict::NotRun(_) => {
                REFUSED.fetch_add(1, Ordering::Relaxed);
                assert_eq!(runs, 0, "false not run: {request} has run");
                self.not_run.push(request);
            }
            Verdict::Ran(()) => assert_eq!(runs, 1, "request {request} has not run"),
            Verdict::MayHaveRun(_) => {}
        }
    }
}

/// The target's reply: its status, and the attempt that it echoes.
type Answer = (u16, AttemptId);

struct Flight {
    sent: Option<Sent<usize>>,
    target: usize,
    attempt: AttemptId,
    request: usize,
    end: SystemTime,
    answer: Option<Answer>,
}

struct World {
    base: Instant,
    elapsed: Duration,
    skew: i64,
    requests: usize,
    waiting: Vec<Permit<usize>>,
    flights: Vec<Flight>,
    leases: Vec<Lease>,
    busy: [bool; TARGETS],
    budget: RetryBudget,
    oracle: Oracle,
}

impl World {
    fn now(&self) -> Instant {
        self.base + self.elapsed
    }

    fn worker_time(&self) -> SystemTime {
        let seconds = 1_000_000_i64 + self.skew;
        SystemTime::UNIX_EPOCH + Duration::from_secs(seconds.unsigned_abs()) + self.elapsed
    }

    fn lease(&self) -> Lease {
        Lease {
            holder: Incarnation::from_number(1),
            until: self.now() + LEASE,
            end: self.worker_time() + LEASE,
        }
    }

    fn submit(&mut self, seconds: u64) {
        let deadline = self.now() + Duration::from_secs(seconds);
        self.waiting.push(Permit::new(self.requests, deadline));
        self.requests += 1;
        self.budget.first_try();
    }

    fn send(&mut self, index: usize, target: usize) {
        let permit = self.waiting.swap_remove(index);
        let request = *permit.request();
        match permit.start(&self.leases[target], self.now()) {
            Ok(sent) => {
                assert!(
                    self.now() < self.leases[target].until,
                    "sent after the lease"
                );
                self.flights.push(Flight {
                    target,
                    attempt: sent.attempt(),
                    request,
                    end: sent.lease_end(),
                    sent: Some(sent),
                    answer: None,
                });
            }
            Err(error) => self.failed(request, error),
        }
    }

    /// A start request arrives once; the target refuses it or runs it.
    fn arrive(&mut self, index: usize) {
        let late = self.worker_time();
        let flight = &mut self.flights[index];
        if flight.answer.is_some() {
            return;
        }
        let refuses = self.busy[flight.target] || late >= flight.end;
        let status = if refuses { 409 } else { 200 };
        flight.answer = Some((status, flight.attempt));
        if !refuses {
            self.oracle.run(flight.request);
        }
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        let crossed = self.flights.iter().rev().find_map(|flight| flight.answer);
        let flight = &mut self.flights[index];
        let answer = match reply {
            Reply::True => flight
                .answer
                .map(|(status, attempt)| (status, Some(attempt))),
            Reply::Crossed => crossed.map(|(status, attempt)| (status, Some(attempt))),
            Reply::Foreign(status) => Some((status, None)),
            Reply::Failed(status) => Some((status, Some(flight.attempt))),
            Reply::Lost => None,
        };
        let Some(sent) = flight.sent.take() else {
            return;
        };
        let request = flight.request;
        match answer {
            Some((200, echoed)) if echoed == Some(sent.attempt()) => {
                self.oracle.told(request, &sent.answered(()));
            }
            Some((status, echoed)) => self.failed(request, sent.refused(status, echoed)),
            None => self.failed(request, sent.lost("connection ended")),
        }
    }

    fn failed(&mut self, request: usize, error: SendError<usize>) {
        let now = self.now();
        match error {
            SendError::NotSent(permit, _)
                if now < permit.deadline() && self.budget.try_retry(now) =>
            {
                self.waiting.push(permit);
            }
            error => self.oracle.told(request, &error.verdict()),
        }
    }

    fn refuse(&mut self, index: usize) {
        let permit = self.waiting.swap_remove(index);
        let request = *permit.request();
        let verdict = permit.refuse(Refusal::new(RefusalKind::Closing, "entry shuts down"));
        self.oracle.told(request, &verdict);
    }
}

struct Dispatch;

impl StateMachineTest for Dispatch {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test((): &()) -> World {
        let base = Instant::now();
        let mut world = World {
            base,
            elapsed: Duration::ZERO,
            skew: 0,
            requests: 0,
            waiting: Vec::new(),
            flights: Vec::new(),
            leases: Vec::new(),
            busy: [false; TARGETS],
            budget: RetryBudget::new(base),
            oracle: Oracle::default(),
        };
        world.leases = vec![world.lease(); TARGETS];
        world
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        OPERATIONS.fetch_add(1, Ordering::Relaxed);
        let (waiting, flights) = (world.waiting.len(), world.flights.len());
        match op {
            Op::Submit(seconds) => world.submit(seconds),
            Op::Send { request, target } if waiting > 0 => world.send(request % waiting, target),
            Op::Refuse(request) if waiting > 0 => world.refuse(request % waiting),
            Op::Arrive(attempt) if flights > 0 => world.arrive(attempt % flights),
            Op::Reply { attempt, reply } if flights > 0 => world.reply(attempt % flights, reply),
            Op::Send { .. } | Op::Refuse(_) | Op::Arrive(_) | Op::Reply { .. } => {}
            Op::Renew(target) => world.leases[target] = world.lease(),
            Op::Busy { target, busy } => world.busy[target] = busy,
            Op::Tick(seconds) => world.elapsed += Duration::from_secs(seconds),
            Op::Skew(seconds) => world.skew = seconds,
        }
        world
    }
}

#[test]
fn dispatch_machine() {
    let config = fuzz::config(SEED, CASES);
    let result = fuzz::run::<Dispatch>(&config, 50..300);
    let operations = OPERATIONS.load(Ordering::Relaxed);
    let runs = RUNS.load(Ordering::Relaxed);
    let refused = REFUSED.load(Ordering::Relaxed);
    let settings = fuzz::describe(&config);
    println!(
        "dispatch_machine: {settings}, {operations} operations, {runs} runs, \
         {refused} not run"
    );
    result.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(
        runs > 0 && refused > 0,
        "too little happened to prove anything"
    );
}
