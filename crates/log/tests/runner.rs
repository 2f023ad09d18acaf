//! Tests of the log client.

mod test_faults;
mod test_pages;
