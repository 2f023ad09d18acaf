//! Entries, log, callers and target of the once machine.

use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::once::ClaimChange;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::once::Claims;
use lavenderhollow_core::once::PendingClaim;
use lavenderhollow_core::once::Running;
use lavenderhollow_core::once::Settled;
use lavenderhollow_core::once::Spend;
use lavenderhollow_core::once::Stored;
use lavenderhollow_core::once::Ticket;
use lavenderhollow_core::once::TicketLimits;
use lavenderhollow_core::once::Tickets;
use lavenderhollow_core::permit::Lease;
use lavenderhollow_core::permit::Permit;
use lavenderhollow_core::permit::SendError;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Record;
use lavenderhollow_testing::FakeLog;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;
use lavenderhollow_types::ZoneName;
use std::collections::VecDeque;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::model::ENTRIES;
use super::model::REQUESTS;
use super::model::Target;

const LEASE: Duration = Duration::from_secs(10);
const START: Duration = Duration::from_secs(1_000_000_000);

pub(super) static RUNS: AtomicU64 = AtomicU64::new(0);

/// Knows only the promise: it sits at the target and counts runs.
#[derive(Default)]
pub(super) struct Oracle {
    runs: [u32; REQUESTS],
}

impl Oracle {
    pub(super) fn run(&mut self, request: usize) {
        RUNS.fetch_add(1, Ordering::Relaxed);
        self.runs[request] += 1;
        assert_eq!(self.runs[request], 1, "request {request} ran twice");
    }

    fn caller_got(&self, request: usize, verdict: &Verdict<Stored>) {
        let ran = matches!(verdict, Verdict::Ran(stored) if stored.status == request as u16);
        let other = matches!(verdict, Verdict::Ran(_)) && !ran;
        assert!(!other, "request {request} got another's answer");
        assert!(
            !ran || self.runs[request] == 1,
            "request {request} never ran"
        );
    }
}

pub(super) enum Origin {
    Key(ClaimKey),
    Ticket(Running),
}

pub(super) struct Entry {
    id: Incarnation,
    fold: Fold<Claims>,
    pending: Vec<PendingClaim<usize>>,
    ready: VecDeque<(Permit<usize>, Origin)>,
    tickets: Tickets,
    pub(super) skew: i64,
    lease: Lease,
    pub(super) paused: bool,
}

pub(super) struct World {
    pub(super) base: Instant,
    pub(super) elapsed: Duration,
    pub(super) log: FakeLog<Claims>,
    pub(super) log_skew: i64,
    pub(super) entries: Vec<Entry>,
    keys: [Option<ClaimKey>; REQUESTS],
    texts: [Option<String>; REQUESTS],
    pub(super) appended: Vec<Record<ClaimChange>>,
    pub(super) late: VecDeque<(usize, SystemTime)>,
    pub(super) oracle: Oracle,
    incarnations: u128,
}

fn shifted(time: SystemTime, seconds: i64) -> SystemTime {
    let step = Duration::from_secs(seconds.unsigned_abs());
    if seconds < 0 {
        time - step
    } else {
        time + step
    }
}

fn team() -> TeamName {
    TeamName::new("visas").unwrap()
}

fn digest(request: usize) -> Digest {
    Digest::of(&[request as u8])
}

impl World {
    pub(super) fn new() -> Self {
        let mut world = Self {
            base: Instant::now(),
            elapsed: Duration::ZERO,
            log: FakeLog::default(),
            log_skew: 0,
            entries: Vec::new(),
            keys: Default::default(),
            texts: Default::default(),
            appended: Vec::new(),
            late: VecDeque::new(),
            oracle: Oracle::default(),
            incarnations: 0,
        };
        for _ in 0..ENTRIES {
            let entry = world.start(Fold::default());
            world.entries.push(entry);
        }
        world
    }

    pub(super) fn now(&self) -> Instant {
        self.base + self.elapsed
    }

    pub(super) fn time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + START + self.elapsed
    }

    pub(super) fn start(&mut self, fold: Fold<Claims>) -> Entry {
        self.incarnations += 1;
        let id = Incarnation::from_number(self.incarnations);
        let limits = TicketLimits {
            count: 64,
            ..TicketLimits::default()
        };
        let secret = [self.incarnations as u8; 32];
        Entry {
            id,
            fold,
            pending: Vec::new(),
            ready: VecDeque::new(),
            tickets: Tickets::new(ZoneName::new("fuk-a").unwrap(), id, &secret, limits),
            skew: 0,
            lease: Lease {
                holder: id,
                until: self.now(),
                end: self.time(),
            },
            paused: false,
        }
    }

    pub(super) fn append(&mut self, record: Record<ClaimChange>) {
        let time = shifted(self.time(), self.log_skew);
        let _ = self.log.append(Item::Change(record.clone()), time);
        self.appended.push(record);
    }

    fn record(&self, entry: usize, change: ClaimChange) -> Record<ClaimChange> {
        Record {
            id: RecordId::random(),
            created: shifted(self.time(), self.entries[entry].skew),
            actor: self.entries[entry].id,
            expected: None,
            change,
        }
    }

    pub(super) fn submit_key(&mut self, request: usize, at: usize, ahead: i64) {
        let (now, time) = (self.now(), self.time());
        let key = *self.keys[request]
            .get_or_insert_with(|| ClaimKey::from_parts(shifted(time, ahead), request as u64));
        let entry = &mut self.entries[at];
        let wall = shifted(time, entry.skew);
        let permit = Permit::new(request, now + Duration::from_secs(3_000));
        let claims = entry.fold.state();
        let digest = digest(request);
        match PendingClaim::new(permit, key, &team(), digest, entry.id, wall, claims) {
            Ok(pending) => {
                let record = pending.record().clone();
                entry.pending.push(pending);
                self.append(record);
            }
            Err(verdict) => self.oracle.caller_got(request, &verdict),
        }
    }

    pub(super) fn submit_ticket(&mut self, request: usize, at: usize) {
        let now = self.now();
        let Some(text) = self.texts[request].clone() else {
            self.texts[request] = self.entries[at].tickets.issue(now).ok();
            return;
        };
        // Forwards to the owner, or to any entry when the owner is gone.
        let owner = Ticket::parse(&text).unwrap().incarnation;
        let found = self.entries.iter().position(|entry| entry.id == owner);
        let entry = &mut self.entries[found.unwrap_or(at)];
        if entry.paused {
            return;
        }
        match entry.tickets.spend(&text, digest(request), now) {
            Spend::Granted(grant) => {
                let (permit, running) = grant.permit(request, now + Duration::from_secs(3_000));
                entry.ready.push_back((permit, Origin::Ticket(running)));
            }
            Spend::Running => {}
            Spend::Answered(verdict) => self.oracle.caller_got(request, &verdict),
        }
    }

    pub(super) fn sync(&mut self, at: usize, max: usize) {
        let (now, time) = (self.now(), self.time());
        let entry = &mut self.entries[at];
        entry.lease.until = now + LEASE;
        entry.lease.end = time + LEASE;
        let Ok(items) = self.log.read(entry.fold.next(), max) else {
            return;
        };
        for (position, item) in items {
            let outcome = entry.fold.apply(position, &item);
            let Item::Change(record) = item else { continue };
            let mine = |pending: &PendingClaim<usize>| pending.record().id == record.id;
            let ClaimChange::Claim { key, .. } = record.change else {
                continue;
            };
            let Some(index) = entry.pending.iter().position(mine) else {
                continue;
            };
            let pending = entry.pending.remove(index);
            match pending.resolve(&outcome, entry.fold.state()) {
                Ok(permit) => entry.ready.push_back((permit, Origin::Key(key))),
                Err(verdict) => {
                    let request = self.keys.iter().position(|known| *known == Some(key));
                    self.oracle.caller_got(request.unwrap(), &verdict);
                }
            }
        }
    }

    pub(super) fn dispatch(&mut self, at: usize, target: Target) {
        let now = self.now();
        let entry = &mut self.entries[at];
        let Some((permit, origin)) = entry.ready.pop_front() else {
            return;
        };
        let request = *permit.request();
        let sent = match permit.start(&entry.lease, now) {
            Ok(sent) => sent,
            Err(error) => return self.unsent(at, error, origin),
        };
        let end = sent.lease_end();
        match target {
            Target::Refuses => {
                let echoed = Some(sent.attempt());
                return self.unsent(at, sent.refused(409, echoed), origin);
            }
            Target::GetsItLate => self.late.push_back((request, end)),
            Target::Answers | Target::LosesAnswer => self.oracle.run(request),
        }
        if matches!(target, Target::Answers) {
            let answer = Stored::new(request as u16, Body::default());
            self.settle(at, origin, sent.answered(answer));
        } else {
            self.unsent(at, sent.lost("timed out"), origin);
        }
    }

    fn unsent(&mut self, at: usize, error: SendError<usize>, origin: Origin) {
        match error {
            SendError::NotSent(permit, _) if permit.deadline() > self.now() => {
                self.entries[at].ready.push_back((permit, origin));
            }
            error => self.settle(at, origin, error.verdict()),
        }
    }

    fn settle(&mut self, at: usize, origin: Origin, verdict: Verdict<Stored>) {
        match origin {
            Origin::Key(key) => {
                let outcome = Settled::from(verdict);
                let record = self.record(at, ClaimChange::Settle { key, outcome });
                self.append(record);
            }
            Origin::Ticket(running) => {
                self.entries[at]
                    .tickets
                    .settle(running, verdict, self.now());
            }
        }
    }

    pub(super) fn abandon(&mut self, at: usize) {
        for pending in std::mem::take(&mut self.entries[at].pending) {
            let refusal = Refusal::new(RefusalKind::LogUnavailable, "log is down");
            let (_, change) = pending.abandon(refusal);
            let record = self.record(at, change);
            self.append(record);
        }
    }

    /// Replaces an entry by a new process that rebuilds from another entry's snapshot.
    pub(super) fn kill(&mut self, at: usize, source: usize) {
        let snapshot = serde_json::to_string(&self.entries[source].fold).unwrap();
        let fold: Fold<Claims> = serde_json::from_str(&snapshot).unwrap();
        self.entries[at] = self.start(fold.restored());
    }
}
