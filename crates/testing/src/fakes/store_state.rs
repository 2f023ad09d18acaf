//! The state of the fake store: partitions of records, the latest record of each key, and consumer
//! groups.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The number of partitions of each topic.
const PARTITION_COUNT: u64 = 32;

/// Why the store rejects a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreError {
    /// The expected end offset of an append does not match; holds the actual one.
    OffsetMismatch(u64),
    /// The requested records were compacted; holds the first offset that is left.
    Compacted(u64),
    /// The records can't be decoded.
    Malformed,
}

#[derive(Clone, Debug, Default)]
struct Partition {
    /// The offset of the first record that was not compacted.
    first: u64,
    records: Vec<Vec<u8>>,
    /// The offset and the value of the latest record of each key, in a keyed topic.
    latest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Clone, Debug)]
struct Member {
    expires_at: Instant,
    /// The generation that the member had seen when it last joined.
    acked_generation: u64,
}

#[derive(Clone, Debug, Default)]
struct Group {
    generation: u64,
    topics: Vec<String>,
    members: BTreeMap<String, Member>,
    /// The member that each partition, a topic and a number, is assigned to.
    assignments: BTreeMap<(String, u64), String>,
}

/// The partitions of all topics and the groups.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreState {
    partitions: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
}

/// The latest record of a key: key, value and offset.
pub(super) type LatestRecord = (Vec<u8>, Vec<u8>, u64);

impl StoreState {
    /// Appends records and returns the offset of the first. With `expected_end`, appends only if
    /// the partition ends there.
    ///
    /// # Errors
    ///
    /// Fails when the partition ends at another offset or the records are malformed.
    pub(super) fn append(
        &mut self,
        topic: &str,
        part: u64,
        expected_end: Option<u64>,
        body: &[u8],
    ) -> Result<u64, StoreError> {
        let records = split_records(body).ok_or(StoreError::Malformed)?;
        let partition = self.partition(topic, part);
        let offset = partition.end();
        if expected_end.is_some_and(|expected_end| expected_end != offset) {
            return Err(StoreError::OffsetMismatch(offset));
        }
        for (i, record) in records.into_iter().enumerate() {
            if topic.starts_with("keyed.") {
                let (key, value) = split_key(&record).ok_or(StoreError::Malformed)?;
                match value.is_empty() {
                    true => partition.latest.remove(&key),
                    false => partition
                        .latest
                        .insert(key, (offset + i as u64, value.to_vec())),
                };
            }
            partition.records.push(record);
        }
        Ok(offset)
    }

    /// Appends one record to partition 0 of a keyed topic.
    pub(super) fn put(&mut self, topic: &str, key: &[u8], value: &[u8]) {
        let mut body = Vec::new();
        let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
        body.extend_from_slice(&length.to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap_or(0));
        body.extend_from_slice(key);
        body.extend_from_slice(value);
        if let Err(error) = self.append(topic, 0, None, &body) {
            unreachable!("an unconditional append of one record: {error:?}");
        }
    }

    /// Returns the end offset, the first offset and the records from offset `from` on.
    ///
    /// # Errors
    ///
    /// Fails when the record at `from` was compacted.
    pub(super) fn read(
        &mut self,
        topic: &str,
        part: u64,
        from: u64,
    ) -> Result<(u64, u64, Vec<Vec<u8>>), StoreError> {
        let partition = self.partition(topic, part);
        if from < partition.first {
            return Err(StoreError::Compacted(partition.first));
        }
        let skip = usize::try_from(from - partition.first).unwrap_or(usize::MAX);
        let records = partition.records.iter().skip(skip).cloned().collect();
        Ok((partition.end(), partition.first, records))
    }

    /// Returns the latest record of each key that sorts after `after`, and the end offset.
    pub(super) fn read_latest(
        &mut self,
        topic: &str,
        part: u64,
        after: Option<&[u8]>,
    ) -> (Vec<LatestRecord>, u64) {
        let partition = self.partition(topic, part);
        let rows = partition
            .latest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_slice() > after))
            .map(|(key, (offset, value))| (key.clone(), value.clone(), *offset));
        (rows.collect(), partition.end())
    }

    /// Deletes the history of all topics; the latest record of each key stays.
    pub(super) fn compact(&mut self) {
        for partition in self.partitions.values_mut() {
            partition.first = partition.end();
            partition.records.clear();
        }
    }

    /// Joins a group or renews the membership for `ttl`. Returns the current generation;
    /// `generation` is the one that the member has seen.
    pub(super) fn join(
        &mut self,
        group: &str,
        member: &str,
        topics: Vec<String>,
        ttl: Duration,
        generation: u64,
    ) -> u64 {
        let now = Instant::now();
        let group = self.groups.entry(group.to_owned()).or_default();
        group.topics = topics;
        let membership = Member {
            expires_at: now + ttl,
            acked_generation: generation,
        };
        let was_member = group
            .members
            .insert(member.to_owned(), membership)
            .is_some();
        let expired = group.expire(now);
        if !was_member || expired {
            group.generation += 1;
        }
        group.assign();
        group.generation
    }

    /// Removes a member from a group and reassigns its partitions.
    pub(super) fn leave(&mut self, group: &str, member: &str) {
        if let Some(group) = self.groups.get_mut(group)
            && group.members.remove(member).is_some()
        {
            group.generation += 1;
            group.assign();
        }
    }

    /// Returns the topic, the number and the member of each assigned partition of a group.
    pub(super) fn owners(&mut self, group: &str) -> Vec<(String, u64, String)> {
        let Some(group) = self.groups.get_mut(group) else {
            return Vec::new();
        };
        if group.expire(Instant::now()) {
            group.generation += 1;
            group.assign();
        }
        let rows = group.assignments.iter();
        rows.map(|((topic, part), member)| (topic.clone(), *part, member.clone()))
            .collect()
    }

    fn partition(&mut self, topic: &str, part: u64) -> &mut Partition {
        self.partitions.entry((topic.to_owned(), part)).or_default()
    }
}

impl Group {
    /// Removes the members whose time to live has passed; returns whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let before = self.members.len();
        self.members.retain(|_, m| m.expires_at > now);
        self.members.len() < before
    }

    /// Assigns the partitions to the members in turn. A partition that a live member holds moves
    /// only after that member has joined with the current generation. The generation rises when a
    /// partition moves, as in the real store.
    fn assign(&mut self) {
        let names: Vec<&String> = self.members.keys().collect();
        if names.is_empty() {
            self.assignments.clear();
            return;
        }
        let partitions = self
            .topics
            .iter()
            .flat_map(|t| (0..PARTITION_COUNT).map(move |p| (t, p)));
        let mut assigned = BTreeMap::new();
        for (i, (topic, part)) in partitions.enumerate() {
            let partition = (topic.clone(), part);
            let new_holder = names[i % names.len()];
            let holder = self.assignments.get(&partition);
            let retained = holder.filter(|h| *h != new_holder).filter(|h| {
                let member = self.members.get(*h);
                member.is_some_and(|m| m.acked_generation < self.generation)
            });
            assigned.insert(partition, retained.unwrap_or(new_holder).clone());
        }
        let moved = |(partition, holder)| {
            assigned
                .get(partition)
                .is_some_and(|new_holder| new_holder != holder)
        };
        if self.assignments.iter().any(moved) {
            self.generation += 1;
        }
        self.assignments = assigned;
    }
}

/// Splits a body into records, each of which follows its length in four bytes, big-endian.
fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?);
        let (record, rest) = rest.split_at_checked(usize::try_from(length).ok()?)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

/// Splits a record of a keyed topic into its key, which follows its length in one byte, and its
/// value.
fn split_key(record: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((key.to_vec(), value))
}
