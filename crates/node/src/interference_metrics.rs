//! The metrics of the images that the owner of a shard keeps apart.

use lavenderhollow_shard::Shard;

/// What an owner has added to the metrics of its process, which may own several shards.
#[derive(Debug, Default)]
pub(crate) struct InterferenceMetrics {
    pairs: usize,
    kept_apart: u64,
}

impl InterferenceMetrics {
    /// Updates the metrics from the state of the shard.
    pub(crate) fn update(&mut self, shard: &Shard) {
        self.set_pairs(shard.interfering_pairs());
        let kept_apart = shard.placement_stats().kept_apart;
        if kept_apart > self.kept_apart {
            let placements = kept_apart - self.kept_apart;
            metrics::counter!("placements_kept_apart_total").increment(placements);
            self.kept_apart = kept_apart;
        }
    }

    fn set_pairs(&mut self, pairs: usize) {
        if pairs != self.pairs {
            let change = pairs as f64 - self.pairs as f64;
            metrics::gauge!("interfering_pairs").increment(change);
            self.pairs = pairs;
        }
    }
}

impl Drop for InterferenceMetrics {
    fn drop(&mut self) {
        self.set_pairs(0);
    }
}
