//! Stand-in for the platform's VM list.

use lavenderhollow_testing::standin::Command;
use lavenderhollow_testing::standin::VmListSettings;
use lavenderhollow_testing::standin::VmListStandIn;
use lavenderhollow_testing::standin::wait_for_end;

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    let command = Command::<VmListSettings>::parse(std::env::args_os().skip(1))?;
    let server = VmListStandIn::start(command.listen, command.control, command.settings)?;
    wait_for_end(server.address(), server.control(), command.until_eof).await
}
