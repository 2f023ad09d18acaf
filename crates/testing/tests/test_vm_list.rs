use assert_matches::assert_matches;
use http::Method;
use lavenderhollow_platform::HttpVmList;
use lavenderhollow_platform::VmList;
use lavenderhollow_platform::VmListError;
use lavenderhollow_platform::VmState;
use lavenderhollow_testing::standin::ControlClient;
use lavenderhollow_testing::standin::VmListSettings;
use lavenderhollow_testing::standin::VmListStandIn;
use serde_json::json;

use crate::setup::client;
use crate::setup::local;
use crate::setup::sleep_ms;

/// Guards against changes that are seen at once, or not at all, or an outage that empties the list.
#[tokio::test]
async fn changes_are_seen_after_the_lag() -> eyre::Result<()> {
    let server = VmListStandIn::start(local(), local(), VmListSettings::default())?;
    let control = ControlClient::new(server.control());
    let list = HttpVmList::new(client(), server.address(), HttpVmList::DEFAULT_LIMITS);
    let vm = json!([{"name": "w1", "address": "127.0.0.1:9", "zone": "kyushu-a", "rack": "r1",
        "pool": "portal", "state": "live"}]);
    control.call(Method::POST, "/vms", Some(&vm)).await?;
    assert_eq!(list.vms().await?.vms.len(), 1);

    // The list of 400 ms ago must have the VM already.
    sleep_ms(450).await;
    control.patch(json!({"lag_ms": 400})).await?;
    let leaving = json!({"state": "leaving"});
    control
        .call(Method::PUT, "/vms/w1/state", Some(&leaving))
        .await?;
    let state = |page: &lavenderhollow_platform::VmPage| page.vms.first().map(|vm| vm.state);
    sleep_ms(50).await;
    let early = list.vms().await?;
    assert_eq!(state(&early), Some(VmState::Live));
    sleep_ms(450).await;
    let late = list.vms().await?;
    assert_eq!(state(&late), Some(VmState::Leaving));
    assert!(late.as_of > early.as_of);

    control.patch(json!({"lag_ms": 0, "down": true})).await?;
    control.call(Method::DELETE, "/vms/w1", None).await?;
    assert_matches!(list.vms().await, Err(VmListError::Status(503)));
    control.patch(json!({"down": false})).await?;
    assert_eq!(list.vms().await?.vms, []);
    Ok(())
}
