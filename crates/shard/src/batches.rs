//! Divides the records of a batch into appends that the store takes.

use crate::records::Record;
use crate::records::is_continuation;
use crate::records::is_progress_of;

/// The bytes that the store's format adds to the key and the value of a record.
const RECORD_OVERHEAD: usize = 5;

/// Divides records into batches of at most `max_bytes` each, in their order.
///
/// The records of a job stay together as far as they fit into one batch. The first two of a new job are
/// small, and neither is of use without the other. The progress of a job comes before its tasks: a task
/// whose row is removed would run again if its finished occurrence weren't stored.
pub fn split_batch(records: Vec<Record>, max_bytes: usize) -> Vec<Vec<Record>> {
    let mut batches = Vec::new();
    let mut batch: Vec<Record> = Vec::new();
    let mut batch_bytes = 0;
    let mut records = records.into_iter().peekable();
    while let Some(record) = records.next() {
        let mut unit = vec![record];
        let mut bytes = stored_bytes(&unit[0]);
        while let Some(next) = records.next_if(|next| {
            is_progress_of(next, &unit[0])
                || is_continuation(next, &unit[0]) && bytes + stored_bytes(next) <= max_bytes
        }) {
            bytes += stored_bytes(&next);
            unit.push(next);
        }
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
