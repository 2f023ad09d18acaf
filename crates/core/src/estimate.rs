//! Learned quantiles of sizes and run times.
