//! Tests of the shared test helpers.

mod test_ports;
