//! Stand-in for a worker.

use lavenderhollow_testing::standin::Command;
use lavenderhollow_testing::standin::WorkerSettings;
use lavenderhollow_testing::standin::WorkerStandIn;
use lavenderhollow_testing::standin::wait_for_end;

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    let command = Command::<WorkerSettings>::parse(std::env::args_os().skip(1))?;
    let server = WorkerStandIn::start(command.listen, command.control, command.settings)?;
    wait_for_end(server.address(), server.control(), command.until_eof).await
}
