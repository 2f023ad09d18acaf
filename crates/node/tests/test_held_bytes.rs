//! Tests of the bytes of submissions that owners have not answered.

use lavenderhollow_node::HeldBytes;

/// Guards against submissions beyond the memory, and against bytes that are not returned, after which
/// every submission is rejected.
#[test]
fn bytes_are_held_up_to_the_limit_until_they_are_dropped() {
    let held = HeldBytes::new(100);
    let first = held.try_hold(60).unwrap();
    let second = held.try_hold(40).unwrap();
    assert!(held.try_hold(1).is_none());
    assert!(held.try_hold(usize::MAX).is_none());
    drop(first);
    assert!(held.try_hold(60).is_some());
    drop(second);
    assert!(held.try_hold(100).is_some());
}
