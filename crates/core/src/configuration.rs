//! The state of the `config` stream.
