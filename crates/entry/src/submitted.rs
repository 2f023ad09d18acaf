//! Records under way, so that a decision that is made again is not submitted again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lavenderhollow_types::Version;

/// How long a record is waited for before it is submitted again.
const RECORD_WAIT: Duration = Duration::from_secs(5);

/// The latest record of each subject, with the version of the subject that it was made from.
#[derive(Debug, Default)]
pub(crate) struct Submitted(BTreeMap<String, (Version, Instant)>);

impl Submitted {
    /// Tells whether a record may be submitted, and notes that it is. It may when the subject has
    /// changed since the last one, or when that one was lost.
    pub(crate) fn may_submit(&mut self, subject: String, version: Version, now: Instant) -> bool {
        self.0.retain(|_, (_, at)| now < *at + RECORD_WAIT);
        match self.0.get(&subject) {
            Some((seen, _)) if *seen == version => false,
            _ => {
                self.0.insert(subject, (version, now));
                true
            }
        }
    }
}
