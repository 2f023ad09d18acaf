//! Operations of the once machine.

use lavenderhollow_testing::Fault;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

pub(super) const ENTRIES: usize = 3;
/// Requests with an even number use a key, the others a ticket.
pub(super) const REQUESTS: usize = 10;

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
        request: usize,
        entry: usize,
        ahead: i64,
    },
    Sync {
        entry: usize,
        max: usize,
    },
    Dispatch {
        entry: usize,
        target: Target,
    },
    Abandon {
        entry: usize,
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
    },
    Resume {
        entry: usize,
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
            3 => Just(Fault::None),
            1 => Just(Fault::Down),
            1 => Just(Fault::AnswerLost),
        ];
        let seconds = prop_oneof![20 => 0..4u64, 3 => 0..60u64, 1 => 0..5_000u64];
        let jump = || prop_oneof![4 => Just(0), 2 => -60..60i64, 1 => -6_000..6_000i64];
        prop_oneof![
            10 => (0..REQUESTS, entry(), -200..100i64)
                .prop_map(|(request, entry, ahead)| Op::Submit { request, entry, ahead }),
            8 => (entry(), 1..20usize).prop_map(|(entry, max)| Op::Sync { entry, max }),
            8 => (entry(), target).prop_map(|(entry, target)| Op::Dispatch { entry, target }),
            1 => entry().prop_map(|entry| Op::Abandon { entry }),
            3 => (0..1000usize).prop_map(|record| Op::Repeat { record }),
            2 => Just(Op::Deliver),
            1 => (entry(), entry()).prop_map(|(entry, source)| Op::Kill { entry, source }),
            1 => entry().prop_map(|entry| Op::Pause { entry }),
            3 => entry().prop_map(|entry| Op::Resume { entry }),
            3 => seconds.prop_map(|seconds| Op::Tick { seconds }),
            2 => (entry(), jump())
                .prop_map(|(entry, seconds)| Op::JumpWall { entry, seconds }),
            1 => jump().prop_map(|seconds| Op::JumpLog { seconds }),
            2 => fault.prop_map(Op::Fault),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}
