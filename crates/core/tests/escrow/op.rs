//! Operations of the escrow world.

/// One operation. Numbers select an entry, a zone, a task or an amount, modulo what exists.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// Decides and dispatches a start at once.
    Start(u8),
    /// Starts as much as the entry's allotment allows.
    Burst(u8),
    /// Decides a start.
    Decide(u8),
    /// Delivers a decided start to a target, also when the entry is paused or gone by now.
    Dispatch(u8),
    Finish(u8, u8),
    Publish(u8),
    Learn(u8),
    MirrorFleet(u8),
    MirrorZone(u8),
    Read(u8),
    AllotZone(u8, u8, u8),
    Fund(u8),
    Allot(u8, u8),
    Give(u8, u8, u8),
    GiveBack(u8, u8),
    Release(u8, u8),
    /// Returns what the zone released, or transfers it to a zone.
    Settle(u8, Option<u8>),
    Repeat(u8, u8),
    Fault(u8, Option<bool>),
    Pause(u8),
    Resume(u8),
    Kill(u8),
    Join(u8),
    Advance(u16),
    Reclaim(u8, u8),
    /// Gives idle slots to another entry, which uses them while the giver goes on.
    Hand(u8, u8, u8),
    /// Gives while the zone's log is down, goes on, and repeats the append when the log is back.
    Late(u8, u8, u8),
    /// Ends the work of every entry that is up and starts as much as is allowed.
    Rush,
    /// Kills an entry and has another one take over its allotment.
    Replace(u8, u8),
    /// Moves slots to another zone; every entry of the zone settles the same release.
    Move(u8, u8),
    /// Mirrors what a resumed entry knows, and allots under it.
    Stale(u8, u8),
    /// Every entry that is up learns, mirrors, funds and reads.
    Sync,
    /// Every entry that is up returns its excess, and then asks for the whole unallotted part.
    Spread,
}
