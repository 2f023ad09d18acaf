//! Tests of the HTTP client.

mod test_client;
