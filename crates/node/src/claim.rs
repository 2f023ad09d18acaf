//! Winning a shard: a conditional append of a claim, whose offset gives the token.

use lavenderhollow_shard::Record;

use crate::appender::Appender;
use crate::appender::OwnershipLost;
use crate::assignment::Member;
use crate::assignment::Ownership;
use crate::backend::Entry;
use crate::backend::Platform;
use crate::backend::StoreError;
use crate::backend::Topic;
use crate::shard_id::ShardId;

/// The key of claims.
const CLAIM_KEY: &str = "owner";

/// The key of the record that an owner appends last when it gives its shard up.
const RELEASE_KEY: &str = "released";

/// Returns the record that an owner appends last when it gives its shard up.
pub(crate) fn release_record(fencing_token: u64) -> Record {
    Record {
        key: RELEASE_KEY.to_owned(),
        value: Some(fencing_token.to_string().into_bytes()),
    }
}

/// A shard that was won.
pub(crate) struct ClaimedShard {
    pub(crate) appender: Appender,
    pub(crate) fencing_token: u64,
    /// Whether the last owner gave the shard up, so that it gives no more orders.
    pub(crate) released: bool,
    /// The newest records of the shard.
    pub(crate) entries: Vec<Entry>,
}

/// Claims a shard and reads what its earlier owners stored. After the claim nobody else can append
/// to the shard's partition, so that the pages are a snapshot.
///
/// # Errors
///
/// Fails when the store has no usable answer, or another process claimed the shard.
pub(crate) async fn claim(
    platform: &Platform,
    shard: ShardId,
    me: &Member,
) -> Result<ClaimedShard, StoreError> {
    let topic = Topic::Shard(shard);
    let end_offset = platform.store.read_latest(topic, None).await?.end_offset;
    let mut appender = Appender::new(platform.store.clone(), topic, end_offset);
    let record = Record {
        key: CLAIM_KEY.to_owned(),
        value: Some(me.to_string().into_bytes()),
    };
    if let Err(OwnershipLost) = appender.append(&[record]).await {
        return Err(StoreError::OffsetMismatch { end_offset });
    }
    // An offset may be zero, and a worker takes a missing token for zero.
    let fencing_token = end_offset + 1;
    let mut entries = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = platform.store.read_latest(topic, after.as_deref()).await?;
        after = page.entries.last().map(|e| e.key.clone());
        entries.extend(page.entries);
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let released = entries
        .iter()
        .any(|e| e.key == RELEASE_KEY && e.offset + 1 == end_offset);
    Ok(ClaimedShard {
        appender,
        fencing_token,
        released,
        entries,
    })
}

/// Announces the owner of a shard. Announcements only speed up finding it.
pub(crate) async fn publish_owner(platform: &Platform, shard: ShardId, owner: &Ownership) {
    let value = match postcard::to_allocvec(owner) {
        Ok(value) => value,
        Err(error) => {
            log::error!(shard:display, error:display; "announcement_not_encoded");
            return;
        }
    };
    let record = Record {
        key: shard.to_string(),
        value: Some(value),
    };
    let appended = platform.store.append(Topic::Owners, None, &[record]).await;
    if let Err(error) = appended {
        log::warn!(shard:display, error:display; "announcement_failed");
    }
}

/// Decodes an announcement.
pub(crate) fn decode_owner(key: &str, value: &[u8]) -> Option<(ShardId, Ownership)> {
    let shard = ShardId(key.parse().ok()?);
    let owner = postcard::from_bytes(value).ok()?;
    Some((shard, owner))
}
