//! Tests of the process's decisions.

mod test_allotments;
mod test_automatic;
mod test_balance;
mod test_election;
mod test_recent_orders;
mod test_wave;
