//! Stand-in for the platform's log.

use lavenderhollow_testing::standin::Command;
use lavenderhollow_testing::standin::LogSettings;
use lavenderhollow_testing::standin::LogStandIn;
use lavenderhollow_testing::standin::wait_for_end;

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    let command = Command::<LogSettings>::parse(std::env::args_os().skip(1))?;
    let server = LogStandIn::start(command.listen, command.control, command.settings)?;
    wait_for_end(server.address(), server.control(), command.until_eof).await
}
