//! Measures what a durable job and a claim cost in the fold, at four sizes.
//!
//! Prints, per item: the bytes of its records in the log and in a snapshot, the time to fold its
//! records, and the resident memory of the state alone and of the fold with its record ids. Each
//! figure of memory comes from a process of its own, so that no freed memory is reused. Run it with
//! `cargo run --release -p lavenderhollow-core --example fold_cost`.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::Fold;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::jobs::JobChange;
use lavenderhollow_core::jobs::JobOutcome;
use lavenderhollow_core::jobs::JobSpec;
use lavenderhollow_core::jobs::Jobs;
use lavenderhollow_core::once::ClaimChange;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::once::Claims;
use lavenderhollow_core::once::Settled;
use lavenderhollow_core::once::Stored;
use lavenderhollow_core::record::Item;
use lavenderhollow_core::record::Position;
use lavenderhollow_core::record::Record;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::QueueName;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::VmName;

const SIZES: [u64; 4] = [1_000, 10_000, 100_000, 400_000];
/// The size of request and answer bodies, in bytes.
const BODY: usize = 256;
const START: Duration = Duration::from_secs(1_000_000_000);
/// All items arrive within this time, so that none is dropped by its age.
const SPAN: Duration = Duration::from_secs(600);

/// Makes the changes of one item from its number and time.
type Make<S> = fn(u64, SystemTime) -> Vec<<S as State>::Change>;

const KINDS: [&str; 4] = [
    "jobs-waiting",
    "jobs-finished",
    "claims-open",
    "claims-settled",
];

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [kind, size, part] = args.as_slice() else {
        return all();
    };
    let size = size.parse().expect("size is a number");
    match kind.as_str() {
        "jobs-waiting" => measure::<Jobs>(size, part, submitted),
        "jobs-finished" => measure::<Jobs>(size, part, finished),
        "claims-open" => measure::<Claims>(size, part, claimed),
        _ => measure::<Claims>(size, part, settled),
    }
}

/// Runs this program once for each figure.
fn all() {
    let program = std::env::current_exe().expect("the program has a path");
    println!("per item, body {BODY} bytes");
    for size in SIZES {
        for kind in KINDS {
            print!("{kind:>14} {size:>7}:");
            for part in ["text", "state", "fold"] {
                let mut command = std::process::Command::new(&program);
                let output = command.args([kind, &size.to_string(), part]).output();
                let output = output.expect("the program runs");
                print!(" {}", String::from_utf8_lossy(&output.stdout).trim());
            }
            println!();
        }
        waves(size);
    }
}

/// Measures the index: finding the next job, taking over all jobs, cancelling all jobs.
fn waves(size: u64) {
    let mut jobs = Jobs::default();
    let mut ids = Vec::new();
    for (position, record) in records::<Jobs>(size, submitted) {
        ids.push(record.change.job());
        apply(&mut jobs, position, 1, &record.change);
    }
    let position = Position {
        offset: Offset::new(size),
        time: SystemTime::UNIX_EPOCH + START + SPAN,
    };
    let next = timed(size, || {
        (0..size).for_each(|_| assert!(jobs.next(Incarnation::from_number(1)).is_some()));
    });
    let seen: Vec<_> = jobs.owned(Incarnation::from_number(1)).collect();
    let takeover = timed(size, || {
        for job in seen {
            let attempt = None;
            apply(
                &mut jobs,
                position,
                2,
                &JobChange::TakeOver { job, attempt },
            );
        }
    });
    let cancel = timed(size, || {
        for job in ids {
            apply(&mut jobs, position, 1, &JobChange::Cancel { job });
        }
    });
    println!(
        "{:>14} {size:>7}: next {next} ns, takeover {takeover} ns, cancel {cancel} ns",
        "waves"
    );
}

fn apply<S: State>(state: &mut S, position: Position, actor: u128, change: &S::Change) {
    let cx = Context {
        position,
        id: RecordId::from_number(0),
        actor: Incarnation::from_number(actor),
    };
    state.apply(&cx, change).expect("change is valid");
}

/// Returns the time of `work` divided by `size`, in nanoseconds.
fn timed(size: u64, work: impl FnOnce()) -> u64 {
    let begin = Instant::now();
    work();
    begin.elapsed().as_nanos() as u64 / size
}

fn measure<S: State>(size: u64, part: &str, make: Make<S>) {
    let per = |total: u64| total / size;
    match part {
        "text" => {
            let (log, snapshot) = texts::<S>(size, make);
            println!("log {} B, snapshot {} B,", per(log), per(snapshot));
        }
        "state" => {
            let before = resident();
            let mut state = S::default();
            for (position, record) in records::<S>(size, make) {
                apply(&mut state, position, 1, &record.change);
            }
            println!("state {} B,", per(resident() - before));
        }
        _ => {
            let before = resident();
            let mut spent = Duration::ZERO;
            let mut fold = Fold::<S>::default();
            for (position, record) in records::<S>(size, make) {
                let item = Item::Change(record);
                let begin = Instant::now();
                let outcome = fold.apply(position, &item);
                spent += begin.elapsed();
                assert!(outcome.is_accepted(), "a change was refused");
            }
            let memory = per(resident() - before);
            println!("fold {memory} B, {} ns", per(spent.as_nanos() as u64));
        }
    }
}

fn texts<S: State>(size: u64, make: Make<S>) -> (u64, u64) {
    let mut fold = Fold::<S>::default();
    let mut log = 0;
    for (position, record) in records::<S>(size, make) {
        let item = Item::Change(record);
        log += serde_json::to_vec(&item).expect("item is JSON").len();
        let _ = fold.apply(position, &item);
    }
    let snapshot = serde_json::to_vec(&fold).expect("fold is JSON").len();
    (log as u64, snapshot as u64)
}

fn records<S: State>(
    size: u64,
    make: Make<S>,
) -> impl Iterator<Item = (Position, Record<S::Change>)> {
    let mut offset = Offset::new(0);
    let times = (0..size).map(move |number| {
        let step = SPAN.as_millis() as u64 * number / size;
        let time = SystemTime::UNIX_EPOCH + START + Duration::from_millis(step);
        (number, time)
    });
    times.flat_map(move |(number, time)| {
        let changes = make(number, time).into_iter();
        changes
            .map(|change| record(&mut offset, time, change))
            .collect::<Vec<_>>()
    })
}

fn record<C>(offset: &mut Offset, time: SystemTime, change: C) -> (Position, Record<C>) {
    let position = Position {
        offset: *offset,
        time,
    };
    *offset = offset.next();
    let record = Record {
        id: RecordId::random(),
        created: time,
        actor: Incarnation::from_number(1),
        expected: None,
        change,
    };
    (position, record)
}

fn body() -> Body {
    Body::from(vec![7; BODY])
}

fn submitted(number: u64, time: SystemTime) -> Vec<JobChange> {
    let spec = JobSpec {
        team: TeamName::new("royalties").expect("name is valid"),
        queue: QueueName::new("fee-runs").expect("name is valid"),
        idempotent: false,
        urgent: false,
        deadline: time + Duration::from_secs(60),
        slots: 1,
        run_time: Duration::from_secs(20),
        body: body(),
    };
    let job = ClaimKey::from_parts(time, number).as_uuid().into();
    vec![JobChange::Submit {
        job,
        spec: Box::new(spec),
    }]
}

fn finished(number: u64, time: SystemTime) -> Vec<JobChange> {
    let mut changes = submitted(number, time);
    let job = changes[0].job();
    let attempt = AttemptId::random();
    changes.push(JobChange::Start {
        job,
        attempt,
        worker: VmName::new("vm-0001").expect("name is valid"),
        lease_end: time + Duration::from_secs(10),
    });
    changes.push(JobChange::Finish {
        job,
        attempt: Some(attempt),
        outcome: JobOutcome::Succeeded(body()),
    });
    changes
}

fn claimed(number: u64, time: SystemTime) -> Vec<ClaimChange> {
    vec![ClaimChange::Claim {
        key: ClaimKey::from_parts(time, number),
        team: TeamName::new("royalties").expect("name is valid"),
        digest: Digest::of(&number.to_be_bytes()),
        owner: Incarnation::from_number(1),
    }]
}

fn settled(number: u64, time: SystemTime) -> Vec<ClaimChange> {
    let mut changes = claimed(number, time);
    changes.push(ClaimChange::Settle {
        key: ClaimKey::from_parts(time, number),
        outcome: Settled::Ran(Stored::new(200, body())),
    });
    changes
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
