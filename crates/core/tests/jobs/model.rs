//! Operations of the jobs machine.

use lavenderhollow_testing::Fault;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

pub(super) const ENTRIES: usize = 3;
/// Jobs with an even number are not idempotent.
pub(super) const JOBS: usize = 6;

#[derive(Clone, Copy, Debug)]
pub(super) enum Target {
    Answers,
    LosesAnswer,
    Refuses,
    GetsItLate,
}

#[derive(Clone, Debug)]
pub(super) enum Op {
    Submit {
        job: usize,
        entry: usize,
    },
    Start {
        entry: usize,
    },
    Sync {
        entry: usize,
    },
    Dispatch {
        entry: usize,
        target: Target,
    },
    /// An entry takes another for gone, rightly or not.
    TakeOver {
        entry: usize,
        owner: usize,
    },
    Cancel {
        job: usize,
    },
    Repeat {
        record: usize,
    },
    Deliver,
    Kill {
        entry: usize,
        source: usize,
    },
    Pause {
        entry: usize,
        paused: bool,
    },
    Tick {
        seconds: u64,
    },
    JumpWall {
        entry: usize,
        seconds: i64,
    },
    JumpLog {
        seconds: i64,
    },
    Fault(Fault),
}

pub(super) struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let entry = || 0..ENTRIES;
        let target = prop_oneof![
            3 => Just(Target::Answers),
            1 => Just(Target::LosesAnswer),
            1 => Just(Target::Refuses),
            1 => Just(Target::GetsItLate),
        ];
        let fault = prop_oneof![
            4 => Just(Fault::None),
            1 => Just(Fault::Down),
            1 => Just(Fault::AnswerLost),
        ];
        let seconds = prop_oneof![20 => 0..4u64, 3 => 0..60u64, 1 => 0..5_000u64];
        let jump = || prop_oneof![4 => Just(0), 2 => -60..60i64, 1 => prop_oneof![-6_000..6_000i64, Just(6_000)]];
        prop_oneof![
            10 => (0..JOBS, entry()).prop_map(|(job, entry)| Op::Submit { job, entry }),
            8 => entry().prop_map(|entry| Op::Start { entry }),
            12 => entry().prop_map(|entry| Op::Sync { entry }),
            8 => (entry(), target).prop_map(|(entry, target)| Op::Dispatch { entry, target }),
            2 => (entry(), entry()).prop_map(|(entry, owner)| Op::TakeOver { entry, owner }),
            1 => (0..JOBS).prop_map(|job| Op::Cancel { job }),
            3 => (0..1000usize).prop_map(|record| Op::Repeat { record }),
            2 => Just(Op::Deliver),
            1 => (entry(), entry()).prop_map(|(entry, source)| Op::Kill { entry, source }),
            3 => (entry(), prop::bool::weighted(0.3))
                .prop_map(|(entry, paused)| Op::Pause { entry, paused }),
            4 => seconds.prop_map(|seconds| Op::Tick { seconds }),
            2 => (entry(), jump()).prop_map(|(entry, seconds)| Op::JumpWall { entry, seconds }),
            2 => jump().prop_map(|seconds| Op::JumpLog { seconds }),
            2 => fault.prop_map(Op::Fault),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}
