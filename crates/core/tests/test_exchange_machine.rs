//! P6: a caller gets the whole answer to its own request, or none.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_core::exchange::Answer;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::exchange::Exchange;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::RequestId;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::fuzz;

const SEED: u64 = 6_001;
const CASES: u32 = 300;

static OPERATIONS: AtomicU64 = AtomicU64::new(0);
static DELIVERED: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// What the network does to an answer.
#[derive(Clone, Copy, Debug)]
enum Harm {
    None,
    /// The answer arrives with the attempt id of another attempt.
    OtherAttempt(usize),
    /// The answer arrives with the request id of another request.
    OtherRequest(usize),
    /// The body ends early.
    Cut(usize),
    /// The body ends early, and the declared length was altered to match.
    CutUnseen(usize),
    /// A byte of the body is altered.
    Altered(usize),
    /// Bytes of the next answer are appended.
    Joined,
}

#[derive(Clone, Debug)]
enum Op {
    /// A request is dispatched; a retry of it opens another attempt.
    Open {
        request: usize,
        seconds: u64,
    },
    /// A target's answer arrives, possibly not for the first time.
    Arrive {
        attempt: usize,
        harm: Harm,
    },
    /// The connection of an attempt ends.
    Close(usize),
    Tick(u64),
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
        let harm = prop_oneof![
            6 => Just(Harm::None),
            1 => index().prop_map(Harm::OtherAttempt),
            1 => index().prop_map(Harm::OtherRequest),
            1 => index().prop_map(Harm::Cut),
            1 => index().prop_map(Harm::CutUnseen),
            1 => index().prop_map(Harm::Altered),
            1 => Just(Harm::Joined),
        ];
        prop_oneof![
            8 => (0..8usize, 1..30u64)
                .prop_map(|(request, seconds)| Op::Open { request, seconds }),
            12 => (index(), harm).prop_map(|(attempt, harm)| Op::Arrive { attempt, harm }),
            1 => index().prop_map(Op::Close),
            2 => (0..5u64).prop_map(Op::Tick),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

/// Knows only the promise: which body the target gave to which attempt, and what the caller got.
#[derive(Default)]
struct Oracle {
    bodies: Vec<(RequestId, Vec<u8>)>,
    heard: Vec<bool>,
}

impl Oracle {
    fn target_answers(&mut self, request: RequestId) -> Vec<u8> {
        let number = self.bodies.len();
        let body = format!("{request} attempt {number}").into_bytes();
        self.bodies.push((request, body.clone()));
        self.heard.push(false);
        body
    }

    fn caller_gets(&mut self, waiter: usize, request: RequestId, body: &[u8]) {
        DELIVERED.fetch_add(1, Ordering::Relaxed);
        assert_eq!(self.bodies[waiter].0, request, "answer to another request");
        // Two attempts of one request may give different bodies; each is the request's answer.
        let given = self.bodies.iter().any(|(r, b)| *r == request && b == body);
        assert!(given, "answer is not a whole body of the request");
        self.caller_hears(waiter);
    }

    fn caller_hears(&mut self, waiter: usize) {
        assert!(
            !self.heard[waiter],
            "caller heard twice of attempt {waiter}"
        );
        self.heard[waiter] = true;
    }
}

struct World {
    now: Instant,
    exchange: Exchange<usize>,
    answers: Vec<Answer<Vec<u8>>>,
    untils: Vec<Instant>,
    oracle: Oracle,
    dropped: u64,
}

impl World {
    fn open(&mut self, request: usize, seconds: u64) {
        let request = RequestId::from_number(request as u128);
        let waiter = self.answers.len();
        // Few low bits, so that attempts share shards.
        let attempt = AttemptId::from_number((waiter as u128) << 5);
        let until = self.now + Duration::from_secs(seconds);
        let opened = self.exchange.open(request, attempt, until, waiter);
        assert!(opened.is_ok(), "attempt {waiter} is new");
        let again = self.exchange.open(request, attempt, until, usize::MAX);
        assert!(again.is_err(), "attempt {waiter} was opened twice");
        self.untils.push(until);
        let body = self.oracle.target_answers(request);
        self.answers.push(Answer {
            request,
            attempt,
            length: body.len() as u64,
            digest: Digest::of(&body),
            body,
        });
    }

    fn harmed(&self, attempt: usize, harm: Harm) -> Answer<Vec<u8>> {
        let mut answer = self.answers[attempt].clone();
        let other = |index: usize| &self.answers[index % self.answers.len()];
        let at = |index: usize| index % answer.body.len();
        match harm {
            Harm::None => {}
            Harm::OtherAttempt(index) => answer.attempt = other(index).attempt,
            Harm::OtherRequest(index) => answer.request = other(index).request,
            Harm::Cut(index) => answer.body.truncate(at(index)),
            Harm::CutUnseen(index) => {
                answer.body.truncate(at(index));
                answer.length = answer.body.len() as u64;
            }
            Harm::Altered(index) => {
                let index = at(index);
                answer.body[index] ^= 1;
            }
            Harm::Joined => answer.body.extend_from_within(..),
        }
        answer
    }

    fn arrive(&mut self, attempt: usize, harm: Harm) {
        let answer = self.harmed(attempt, harm);
        let request = self.answers[attempt].request;
        match self.exchange.deliver(answer) {
            Ok((waiter, body)) => self.oracle.caller_gets(waiter, request, &body),
            Err(_) => self.dropped += 1,
        }
    }
}

struct Exchanges;

impl StateMachineTest for Exchanges {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test((): &()) -> World {
        World {
            now: Instant::now(),
            exchange: Exchange::default(),
            answers: Vec::new(),
            untils: Vec::new(),
            oracle: Oracle::default(),
            dropped: 0,
        }
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        OPERATIONS.fetch_add(1, Ordering::Relaxed);
        let count = world.answers.len();
        match op {
            Op::Open { request, seconds } => world.open(request, seconds),
            Op::Arrive { attempt, harm } if count > 0 => world.arrive(attempt % count, harm),
            Op::Close(attempt) if count > 0 => {
                let attempt = world.answers[attempt % count].attempt;
                let waiter = world.exchange.close(attempt);
                waiter
                    .into_iter()
                    .for_each(|waiter| world.oracle.caller_hears(waiter));
            }
            Op::Arrive { .. } | Op::Close(_) => {}
            Op::Tick(seconds) => {
                world.now += Duration::from_secs(seconds);
                for expired in world.exchange.expire(world.now) {
                    world.oracle.caller_hears(expired.waiter);
                }
                let heard = world.untils.iter().zip(&world.oracle.heard);
                let late = heard.filter(|(until, heard)| **until <= world.now && !**heard);
                assert_eq!(late.count(), 0, "a caller waits beyond its time");
            }
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        let waiting = world.oracle.heard.iter().filter(|heard| !**heard).count();
        assert_eq!(
            world.exchange.open_count(),
            waiting,
            "a caller was forgotten"
        );
        let drops = world.exchange.drops();
        let counted = drops.unmatched + drops.crossed + drops.length + drops.digest;
        assert_eq!(counted, world.dropped, "dropped answers are not counted");
    }

    fn teardown(world: World, (): ()) {
        DROPPED.fetch_add(world.dropped, Ordering::Relaxed);
    }
}

#[test]
fn exchange_machine() {
    let config = fuzz::config(SEED, CASES);
    let result = fuzz::run::<Exchanges>(&config, 50..300);
    let operations = OPERATIONS.load(Ordering::Relaxed);
    let delivered = DELIVERED.load(Ordering::Relaxed);
    let dropped = DROPPED.load(Ordering::Relaxed);
    let settings = fuzz::describe(&config);
    println!(
        "exchange_machine: {settings}, {operations} operations, \
         {delivered} delivered, {dropped} dropped"
    );
    result.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(
        delivered > 0 && dropped > 0,
        "too little happened to prove anything"
    );
}

/// Guards against a race between the match and the removal of an attempt.
#[test]
fn one_of_concurrent_duplicates_is_delivered() {
    let exchange = Exchange::default();
    let until = Instant::now() + Duration::from_secs(60);
    let request = RequestId::from_number(1);
    let body = b"answer";
    let answers: Vec<_> = (0..500)
        .map(|number| Answer {
            request,
            attempt: AttemptId::from_number(number),
            length: body.len() as u64,
            digest: Digest::of(body),
            body,
        })
        .collect();
    for answer in &answers {
        exchange.open(request, answer.attempt, until, ()).unwrap();
    }
    let deliver = || {
        answers
            .iter()
            .filter(|a| exchange.deliver((*a).clone()).is_ok())
            .count()
    };
    let delivered: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(deliver)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    });
    assert_eq!(delivered, 500);
    assert_eq!(exchange.drops().unmatched, 1_500);
}
