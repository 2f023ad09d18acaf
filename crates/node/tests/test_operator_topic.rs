//! Tests of how a process follows what operators publish.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_node::EvacuatedZones;
use lavenderhollow_node::backend::Topic;
use lavenderhollow_shard::Name;

use crate::memory_store::INVALID_CONFIG;
use crate::memory_store::MemoryStore;
use crate::memory_store::PANICKING_CONFIG;

/// A time after which a configuration that is not confirmed any more is too old to check keys with.
const LONG_TIME: Duration = Duration::from_secs(6);

/// Guards against a withdrawn key that stays valid because the configuration that withdraws it can't
/// be decoded, and the one before is taken for the latest.
#[tokio::test(start_paused = true)]
async fn a_configuration_is_not_confirmed_while_a_later_one_is_invalid() {
    let store = MemoryStore::new();
    let node = store.start_node("vm-1").await;
    tokio::time::sleep(LONG_TIME).await;
    assert!(node.is_ready());
    store.state().put(Topic::Operator, "config", INVALID_CONFIG);
    tokio::time::sleep(LONG_TIME).await;
    assert!(!node.is_ready());
    store.state().put(Topic::Operator, "config", b"");
    tokio::time::sleep(LONG_TIME).await;
    assert!(node.is_ready());
}

/// Guards against a process that follows no configuration any more after an unexpected error.
#[tokio::test(start_paused = true)]
async fn the_configuration_is_followed_after_a_panic() {
    let store = MemoryStore::new();
    let node = store.start_node("vm-1").await;
    store
        .state()
        .put(Topic::Operator, "config", PANICKING_CONFIG);
    tokio::time::sleep(LONG_TIME).await;
    assert!(!node.is_ready());
    store.state().put(Topic::Operator, "config", b"");
    tokio::time::sleep(LONG_TIME).await;
    assert!(node.is_ready());
}

/// Guards against evacuations that are dropped when others begin or end, and against owners that compare
/// all zones although none has changed.
#[test]
fn the_evacuated_zones_are_replaced_as_a_whole() {
    let zones = |names: &[&str]| -> BTreeSet<Name> { names.iter().map(|n| (*n).into()).collect() };
    let (evacuated, now) = (EvacuatedZones::default(), Instant::now());
    assert!(evacuated.load().is_empty());
    for names in [&["a"][..], &["a", "b"], &["b"], &[]] {
        evacuated.update(now, zones(names));
        let known = evacuated.load();
        assert_eq!(*known, zones(names));
        evacuated.update(now, zones(names));
        assert!(std::sync::Arc::ptr_eq(&known, &evacuated.load()));
    }
}
