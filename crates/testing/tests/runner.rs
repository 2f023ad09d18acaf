//! Tests of what tests share.

mod test_ports;
