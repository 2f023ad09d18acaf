//! Divides the records of a batch into appends that the store takes.

use std::iter;

use crate::records::Record;
use crate::records::is_progress_of;

/// The bytes that the store's format adds to the key and the value of a record.
const RECORD_OVERHEAD: usize = 5;

/// Divides records into batches of at most `max_bytes` each, in their order. The two records of a job
/// stay together, since neither is of use without the other. Records that are larger by themselves make
/// up a batch of their own.
pub fn split_batch(records: Vec<Record>, max_bytes: usize) -> Vec<Vec<Record>> {
    let mut batches = Vec::new();
    let mut batch: Vec<Record> = Vec::new();
    let mut batch_bytes = 0;
    let mut records = records.into_iter().peekable();
    while let Some(record) = records.next() {
        let progress = records.next_if(|next| is_progress_of(next, &record));
        let unit: Vec<Record> = iter::once(record).chain(progress).collect();
        let bytes: usize = unit.iter().map(stored_bytes).sum();
        if !batch.is_empty() && batch_bytes + bytes > max_bytes {
            batches.push(std::mem::take(&mut batch));
            batch_bytes = 0;
        }
        batch_bytes += bytes;
        batch.extend(unit);
    }
    batches.extend((!batch.is_empty()).then_some(batch));
    batches
}

fn stored_bytes(record: &Record) -> usize {
    RECORD_OVERHEAD + record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}
