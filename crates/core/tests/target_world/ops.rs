//! The operations that both machines draw.

use lavenderhollow_testing::Fault;
use proptest::prelude::*;

use super::ENTRIES;
use super::Op;
use super::TARGETS;

/// Operations as both machines draw them. Most of them are what entries do all the time, so that
/// targets are open and busy when a fault comes.
pub(crate) fn ops() -> BoxedStrategy<Op> {
    let e = 0..ENTRIES;
    let t = 0..TARGETS;
    let fault = prop_oneof![2 => Just(Fault::None), 1 => Just(Fault::Down)];
    let work = prop_oneof![
        10 => prop_oneof![3 => 20..600u64, 1 => 600..2500u64].prop_map(Op::Tick),
        20 => (e.clone(), prop::bool::weighted(0.8), any::<bool>())
            .prop_map(|(e, follows, fresh)| Op::Serve(e, follows, fresh)),
        20 => (e.clone(), t.clone()).prop_map(|(e, t)| Op::Start(e, t)),
        16 => (0..9usize).prop_map(Op::Deliver),
        5 => t.clone().prop_map(Op::Finish),
        8 => t.clone().prop_map(Op::Report),
        6 => e.clone().prop_map(Op::Drive),
        3 => (t.clone(), prop::bool::weighted(0.7)).prop_map(|(t, wave)| Op::Grant(t, wave)),
    ];
    let parts = prop_oneof![
        1 => e.clone().prop_map(Op::Probe),
        2 => (e.clone(), 0..4usize).prop_map(|(e, back)| Op::ReadList(e, back)),
        2 => (e.clone(), 1..4usize).prop_map(|(e, n)| Op::Follow(e, n)),
        2 => (e.clone(), t.clone()).prop_map(|(e, t)| Op::Lease(e, t)),
        1 => e.clone().prop_map(Op::Load),
    ];
    let faults = prop_oneof![
        3 => (e.clone(), e.clone(), any::<bool>()).prop_map(|(e, o, l)| Op::Believe(e, o, l)),
        1 => (t, any::<bool>()).prop_map(|(t, knows)| Op::Leave(t, knows)),
        2 => e.clone().prop_map(Op::Kill),
        4 => (e.clone(), any::<bool>()).prop_map(|(e, paused)| Op::SetPaused(e, paused)),
        1 => e.prop_map(Op::Shutdown),
        3 => fault.prop_map(Op::Log),
        3 => (0..9usize).prop_map(Op::Repeat),
    ];
    prop_oneof![20 => work, 3 => parts, 2 => faults].boxed()
}
