//! Tests of the format, the validation, the differences and the questionnaire of configurations.

mod test_diff;
mod test_examples;
mod test_parse;
mod test_questionnaire;
