//! Matching of answers to open attempts.
