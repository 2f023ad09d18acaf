//! Tests of the stand-ins.

mod setup;
mod test_binaries;
mod test_ledger;
mod test_ports;
mod test_scenarios;
mod test_vm_list;
mod test_worker_answers;
mod test_worker_leases;
