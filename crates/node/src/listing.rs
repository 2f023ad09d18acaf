//! Reads the latest record of every key of a topic, page by page.

use crate::backend::Entry;
use crate::backend::Listing;
use crate::backend::Store;
use crate::backend::StoreError;
use crate::backend::Topic;

/// Reads all pages of a topic's latest records. They are not a snapshot if others append meanwhile:
/// the returned end of the topic is the one of the first page.
///
/// # Errors
///
/// Returns the error of a failed read.
pub(crate) async fn read_all_latest(
    store: &dyn Store,
    topic: Topic,
) -> Result<Listing, StoreError> {
    let listing = read_latest_while(store, topic, |_| true).await?;
    Ok(listing.unwrap_or_default())
}

/// Reads the pages of a topic's latest records like [`read_all_latest`]. Returns `None` as soon as `fits`
/// is false of the records that were read.
///
/// # Errors
///
/// Returns the error of a failed read.
pub(crate) async fn read_latest_while(
    store: &dyn Store,
    topic: Topic,
    fits: impl Fn(&[Entry]) -> bool,
) -> Result<Option<Listing>, StoreError> {
    let mut all = store.read_latest(topic, None).await?;
    while let Some(after) = all.next_after.take() {
        if !fits(&all.entries) {
            return Ok(None);
        }
        let page = store.read_latest(topic, Some(&after)).await?;
        all.entries.extend(page.entries);
        // A key that changes on its way to this process may lead back to the same page.
        let (is_later, is_last) = (page.next_after > Some(after), page.next_after.is_none());
        if !is_later && !is_last {
            log::error!(topic:display; "listing_without_progress");
        }
        all.next_after = page.next_after.filter(|_| is_later);
    }
    Ok(fits(&all.entries).then_some(all))
}
