//! Tests of the platform's messages and clients.

mod test_clients;
mod test_messages;
