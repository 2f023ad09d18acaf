//! Tests of the configuration crate.

mod test_diff;
mod test_examples;
mod test_parse;
mod test_questionnaire;
