//! What callers get in four scenarios, compared with the rule that sends each request until its
//! deadline. The deciding types run in simulated time, without a network.

use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::PeerHealth;
use lavenderhollow_node::ProbeStep;
use lavenderhollow_node::SilentOwner;
use lavenderhollow_node::StoreHealth;
use lavenderhollow_node::WaitDecision;
use lavenderhollow_shard::Name;

/// The step of the simulated time, in milliseconds.
const STEP: u64 = 5;

/// The time between two submissions, in milliseconds: 40 a second.
const GAP: u64 = 25;

/// How long a caller waits, in milliseconds.
const PATIENCE: u64 = 2_960;

/// The time after which an attempt without an answer is given up, and until the next attempt, in
/// milliseconds.
const ATTEMPT: u64 = 1_200;
const RETRY: u64 = 60;

/// The time between two probes, in milliseconds.
const PROBE: u64 = 700;

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Refused,
    Unknown,
}

/// A caller that was answered.
#[derive(Clone, Copy, Debug)]
struct Answer {
    arrival: u64,
    waited: u64,
    outcome: Outcome,
}

/// Returns the number of answers with an outcome among callers that arrived within a time.
fn count(answers: &[Answer], outcome: Outcome, arrivals: std::ops::Range<u64>) -> usize {
    let within = answers.iter().filter(|a| arrivals.contains(&a.arrival));
    within.filter(|a| a.outcome == outcome).count()
}

/// Returns the longest wait of callers that arrived within a time.
fn longest(answers: &[Answer], arrivals: std::ops::Range<u64>) -> u64 {
    let within = answers.iter().filter(|a| arrivals.contains(&a.arrival));
    within.map(|a| a.waited).max().unwrap_or(0)
}

/// The owner of a queue as seen from another process. All times are in milliseconds.
#[derive(Clone, Copy)]
struct Owner {
    /// When its answers stop and return.
    silent: (u64, u64),
    /// How long it takes for a call.
    latency: u64,
    /// Until when it is seen as a member.
    member_until: u64,
    /// When this process knows a new owner.
    replaced_at: u64,
    /// Whether this process loses the store while the owner is silent.
    store_lost: bool,
}

impl Owner {
    /// Returns whether a call that is sent at a time is answered.
    fn answers(&self, sent: u64) -> bool {
        let (from, until) = self.silent;
        sent + self.latency < from || sent >= until
    }
}

/// A caller that waits.
struct Caller {
    arrival: u64,
    sent: Option<u64>,
    next_try: u64,
    unknown: bool,
}

/// Submits jobs to an owner for a time. With `withhold`, nothing is sent to an unresponsive owner.
fn submit_to(owner: Owner, until: u64, withhold: bool) -> Vec<Answer> {
    let start = Instant::now();
    let peer: Name = "owner".into();
    let (mut health, mut watched) = (PeerHealth::default(), false);
    let (mut probes, mut last_probe): (Vec<u64>, Option<u64>) = (Vec::new(), None);
    let (mut callers, mut answers): (Vec<Caller>, Vec<Answer>) = (Vec::new(), Vec::new());
    for time in (0..until + 2 * PATIENCE).step_by(STEP as usize) {
        let now = start + Duration::from_millis(time);
        if time < until && time % GAP == 0 {
            callers.push(Caller {
                arrival: time,
                sent: None,
                next_try: time,
                unknown: false,
            });
        }
        let is_answered = |sent: u64| owner.answers(sent) && time >= sent + owner.latency;
        if probes.iter().any(|sent| is_answered(*sent)) {
            probes.clear();
            health.handle_answer(now, &peer);
        }
        if watched && last_probe.is_none_or(|at| time >= at + PROBE) {
            match health.next_step(now, &peer) {
                ProbeStep::WaitUntil(_) => {}
                ProbeStep::Probe => {
                    probes.push(time);
                    last_probe = Some(time);
                }
                ProbeStep::Stop | ProbeStep::Forget => watched = false,
            }
        }
        callers.retain_mut(|caller| {
            let mut outcome = None;
            if caller.sent.is_some_and(is_answered) {
                health.handle_answer(now, &peer);
                outcome = Some(Outcome::Served);
            } else if time >= caller.arrival + PATIENCE {
                let is_unknown = caller.unknown || caller.sent.is_some();
                outcome = Some(match is_unknown {
                    true => Outcome::Unknown,
                    false => Outcome::Refused,
                });
            } else if caller.sent.is_some_and(|sent| time >= sent + ATTEMPT) {
                caller.unknown = true;
                caller.sent = None;
                caller.next_try = time + RETRY;
            } else if caller.sent.is_none() && time >= caller.next_try {
                caller.next_try = time + RETRY;
                let silent_since = health.unresponsive_since(now, &peer);
                if time >= owner.replaced_at {
                    outcome = Some(Outcome::Served);
                } else if let Some(since) = silent_since.filter(|_| withhold) {
                    let lost = owner.store_lost && time >= owner.silent.0;
                    let silence = if lost { time - owner.silent.0 } else { 0 };
                    let decision = SilentOwner {
                        since,
                        is_member: time < owner.member_until,
                        store_silence: Duration::from_millis(silence),
                    };
                    let is_refused = decision.decide(now) != WaitDecision::Wait;
                    outcome = (is_refused && !caller.unknown).then_some(Outcome::Refused);
                } else {
                    caller.sent = Some(time);
                    watched |= health.handle_call(now, &peer);
                }
            }
            answers.extend(outcome.map(|outcome| Answer {
                arrival: caller.arrival,
                waited: time - caller.arrival,
                outcome,
            }));
            outcome.is_none()
        });
    }
    assert!(callers.is_empty());
    answers
}

const NEVER: u64 = u64::MAX;

/// Guards against a zone whose callers all get 504 after 3 s for an owner that is alive elsewhere, and
/// against refusals after the link is back.
#[test]
fn a_zone_that_is_cut_off() {
    for store_lost in [false, true] {
        let owner = Owner {
            silent: (1_000, 6_000),
            latency: 5,
            member_until: NEVER,
            replaced_at: NEVER,
            store_lost,
        };
        let before = submit_to(owner, 9_000, false);
        let after = submit_to(owner, 9_000, true);
        let cut = 1_000..6_000;
        // Callers that wait when the link returns are served.
        assert!(count(&before, Outcome::Unknown, cut.clone()) > 80);
        assert_eq!(count(&before, Outcome::Refused, cut.clone()), 0);
        // 20 submissions are sent within the 0.5 s until the silence is noticed.
        assert!(count(&after, Outcome::Unknown, cut.clone()) <= 21);
        let (noticed, longest_wait) = if store_lost {
            (2_500, 1_000)
        } else {
            (3_400, 2_000)
        };
        assert!(longest(&after, 1_600..6_000) <= longest_wait);
        assert_eq!(longest(&after, noticed + 100..5_900), 0);
        assert_eq!(count(&after, Outcome::Served, noticed + 100..5_000), 0);
        assert_eq!(count(&after, Outcome::Served, 6_800..9_000), 88);
    }
}

/// Guards against callers that are refused although a new owner is there in time.
#[test]
fn an_owner_that_is_killed() {
    let owner = Owner {
        silent: (1_000, NEVER),
        latency: 5,
        member_until: 2_900,
        replaced_at: 3_300,
        store_lost: false,
    };
    for withhold in [false, true] {
        let answers = submit_to(owner, 6_000, withhold);
        assert_eq!(
            count(&answers, Outcome::Served, 0..6_000),
            240,
            "{withhold}"
        );
    }
}

/// Guards against refusals by an owner that is only slow: a call takes some hundred milliseconds, or two
/// seconds while its machine is five times slower.
#[test]
fn an_owner_that_is_slow() {
    for latency in [300, 700, 1_100, 2_000] {
        let owner = Owner {
            silent: (NEVER, NEVER),
            latency,
            member_until: NEVER,
            replaced_at: NEVER,
            store_lost: false,
        };
        let answers = submit_to(owner, 6_000, true);
        assert_eq!(count(&answers, Outcome::Refused, 0..6_000), 0, "{latency}");
        let before = submit_to(owner, 6_000, false);
        let served = |answers: &[Answer]| count(answers, Outcome::Served, 0..6_000);
        assert!(served(&answers) >= served(&before) * 9 / 10, "{latency}");
    }
}

/// Submits jobs to an owner whose appends take as long as `append_time` says for the time at which they
/// are sent. Renewals of the membership are answered if `renewals` says so. With `refuse`, the owner
/// withdraws what waits.
fn submit_to_store(
    until: u64,
    append_time: impl Fn(u64) -> u64,
    renewals: impl Fn(u64) -> bool,
    refuse: bool,
) -> Vec<Answer> {
    let start = Instant::now();
    let mut health = StoreHealth::default();
    let mut in_flight: Option<(u64, Vec<u64>)> = None;
    let (mut waiting, mut answers): (Vec<u64>, Vec<Answer>) = (Vec::new(), Vec::new());
    let mut answered_at = 0;
    for time in (0..until + 2 * PATIENCE).step_by(STEP as usize) {
        let now = start + Duration::from_millis(time);
        let mut answer = |arrival: u64, outcome| {
            answers.push(Answer {
                arrival,
                waited: time - arrival,
                outcome,
            });
        };
        if time < until && time % GAP == 0 {
            waiting.push(time);
        }
        if time % 400 == 0 && renewals(time) {
            answered_at = time;
        }
        if let Some((sent, stored)) =
            in_flight.take_if(|(sent, _)| time >= *sent + append_time(*sent))
        {
            health.handle_answer();
            answered_at = time;
            for arrival in stored {
                let is_late = time > arrival + PATIENCE;
                answer(
                    arrival,
                    if is_late {
                        Outcome::Unknown
                    } else {
                        Outcome::Served
                    },
                );
            }
            assert!(sent < time);
        }
        health.update(now, Duration::from_millis(time - answered_at), true);
        if refuse && health.is_unresponsive() {
            waiting
                .drain(..)
                .for_each(|arrival| answer(arrival, Outcome::Refused));
        }
        // Without the withdrawal an owner answers none of those whose callers have given up.
        waiting.retain(|arrival| {
            let is_late = time > arrival + PATIENCE;
            if is_late {
                answer(*arrival, Outcome::Unknown);
            }
            !is_late
        });
        if in_flight.is_none() && !waiting.is_empty() {
            health.handle_sent(now);
            in_flight = Some((time, std::mem::take(&mut waiting)));
        }
    }
    answers
}

/// Guards against callers that get 504 although nothing of their submissions was sent to the store, and
/// against refusals after the store is back.
#[test]
fn a_store_that_is_unresponsive() {
    for outage in [3_000, 6_000] {
        let append_time = |sent: u64| match (1_000..1_000 + outage).contains(&sent) {
            true => 1_000 + outage - sent,
            false => 4,
        };
        let renewals = |time| append_time(time) == 4;
        for is_process_cut_off in [false, true] {
            let renewals = |time| !is_process_cut_off || renewals(time);
            let submit = |refuse| submit_to_store(10_000, append_time, renewals, refuse);
            let (before, after) = (submit(false), submit(true));
            let during = 1_000..1_000 + outage;
            let unknown = |answers: &[Answer]| count(answers, Outcome::Unknown, during.clone());
            // Those in the append in flight.
            assert!(unknown(&after) <= 1);
            assert!(unknown(&before) >= unknown(&after));
            assert!(longest(&before, 1_050..1_000 + outage) > 2_800);
            assert!(longest(&after, 1_050..1_000 + outage) <= 2_200);
            let noticed = if is_process_cut_off { 2_500 } else { 3_300 };
            assert_eq!(longest(&after, noticed..900 + outage), 0);
            let back = 1_000 + outage + 5;
            let expected = count(&before, Outcome::Served, back..10_000);
            assert_eq!(count(&after, Outcome::Served, back..10_000), expected);
        }
        if outage == 6_000 {
            let before = submit_to_store(10_000, append_time, renewals, false);
            assert!(count(&before, Outcome::Unknown, 1_000..7_000) > 100);
        }
    }
}

/// Guards against refusals while the store is only slow: sixty times slower, or with appends that are
/// queued for two seconds.
#[test]
fn a_store_that_is_slow() {
    for append_time in [240, 2_000] {
        let submit = |refuse| submit_to_store(6_000, |_| append_time, |_| true, refuse);
        let (before, after) = (submit(false), submit(true));
        assert_eq!(count(&after, Outcome::Refused, 0..6_000), 0);
        let served = |answers: &[Answer]| count(answers, Outcome::Served, 0..6_000);
        assert_eq!(served(&after), served(&before));
    }
}

/// Guards against refusals by a process that stood still itself, and has not read the answers that have
/// arrived meanwhile.
#[test]
fn a_process_that_stands_still() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut health = StoreHealth::default();
    health.handle_sent(at(0));
    assert!(!health.update(at(0), Duration::ZERO, true));
    let silence = Duration::from_secs(3);
    assert!(!health.update(at(3_000), silence, true));
    // Still no answer.
    assert!(health.update(at(3_100), silence, true));
    health.handle_answer();
    assert!(health.update(at(3_200), Duration::ZERO, true));
    assert!(!health.is_unresponsive());
    // A process that always needs longer between two decisions decides at the second.
    assert!(!health.update(at(4_000), silence, true));
    assert!(health.update(at(5_000), silence, true));
}
