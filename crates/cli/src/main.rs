//! The `lavenderhollow` command.

fn main() {}
