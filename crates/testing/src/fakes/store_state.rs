//! The store's topics as plain state: partitions of records, the newest record of each key, and
//! groups with members.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The partitions of each topic.
const PARTS: u64 = 32;

/// Why the store refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreError {
    /// The partition ends elsewhere.
    OffsetMismatch(u64),
    /// The records are gone; the first one that is there.
    Compacted(u64),
    /// The records are malformed.
    Malformed,
}

#[derive(Clone, Debug, Default)]
struct Partition {
    first: u64,
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Clone, Debug)]
struct Member {
    until: Instant,
    acknowledged: u64,
}

#[derive(Clone, Debug, Default)]
struct Group {
    generation: u64,
    topics: Vec<String>,
    members: BTreeMap<String, Member>,
    /// The holder of each partition.
    parts: BTreeMap<(String, u64), String>,
}

/// The store's state.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreState {
    partitions: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
}

/// A row of a keyed topic: key, value and offset.
pub(super) type NewestRow = (String, Vec<u8>, u64);

impl StoreState {
    /// Appends records, only at the given end if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the partition ends elsewhere or the records are malformed.
    pub(super) fn append(
        &mut self,
        topic: &str,
        part: u64,
        at: Option<u64>,
        body: &[u8],
    ) -> Result<u64, StoreError> {
        let records = split(body).ok_or(StoreError::Malformed)?;
        let partition = self.partition(topic, part);
        let offset = partition.end();
        if at.is_some_and(|at| at != offset) {
            return Err(StoreError::OffsetMismatch(offset));
        }
        for (i, record) in records.into_iter().enumerate() {
            if topic.starts_with("keyed.") {
                let (key, value) = keyed(&record).ok_or(StoreError::Malformed)?;
                match value.is_empty() {
                    true => partition.newest.remove(&key),
                    false => partition
                        .newest
                        .insert(key, (offset + i as u64, value.to_vec())),
                };
            }
            partition.records.push(record);
        }
        Ok(offset)
    }

    /// Appends one record of a keyed topic.
    pub(super) fn put(&mut self, topic: &str, key: &str, value: &[u8]) {
        let mut body = Vec::new();
        let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
        body.extend_from_slice(&length.to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap_or(0));
        body.extend_from_slice(key.as_bytes());
        body.extend_from_slice(value);
        if let Err(refusal) = self.append(topic, 0, None, &body) {
            unreachable!("an unconditional append of one record: {refusal:?}");
        }
    }

    /// Returns the end, the first offset and the records from an offset on.
    ///
    /// # Errors
    ///
    /// Fails when the records are gone.
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

    /// Returns the newest record of each key after `after`, and the end.
    pub(super) fn newest(
        &mut self,
        topic: &str,
        part: u64,
        after: Option<&str>,
    ) -> (Vec<NewestRow>, u64) {
        let partition = self.partition(topic, part);
        let rows = partition
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .map(|(key, (offset, value))| (key.clone(), value.clone(), *offset));
        (rows.collect(), partition.end())
    }

    /// Forgets the history of all topics; the newest record of each key stays.
    pub(super) fn compact(&mut self) {
        for partition in self.partitions.values_mut() {
            partition.first = partition.end();
            partition.records.clear();
        }
    }

    /// Joins a group or stays in it; returns its generation.
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
        let joined = Member {
            until: now + ttl,
            acknowledged: generation,
        };
        let known = group.members.insert(member.to_owned(), joined).is_some();
        let gone = group.expire(now);
        if !known || gone {
            group.generation += 1;
        }
        group.deal();
        group.generation
    }

    /// Leaves a group.
    pub(super) fn leave(&mut self, group: &str, member: &str) {
        if let Some(group) = self.groups.get_mut(group)
            && group.members.remove(member).is_some()
        {
            group.generation += 1;
            group.deal();
        }
    }

    /// Returns the members that hold partitions of a group, one row for each partition.
    pub(super) fn owners(&mut self, group: &str) -> Vec<(String, u64, String)> {
        let Some(group) = self.groups.get_mut(group) else {
            return Vec::new();
        };
        if group.expire(Instant::now()) {
            group.generation += 1;
            group.deal();
        }
        let rows = group.parts.iter();
        rows.map(|((topic, part), member)| (topic.clone(), *part, member.clone()))
            .collect()
    }

    fn partition(&mut self, topic: &str, part: u64) -> &mut Partition {
        self.partitions.entry((topic.to_owned(), part)).or_default()
    }
}

impl Group {
    /// Removes the members that were silent for too long; tells whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let before = self.members.len();
        self.members.retain(|_, m| m.until > now);
        self.members.len() < before
    }

    /// Deals the partitions evenly. One that a live member holds moves only once that member has
    /// joined with this generation, and the generation rises when it moves, as it does on the
    /// platform.
    fn deal(&mut self) {
        let names: Vec<&String> = self.members.keys().collect();
        if names.is_empty() {
            self.parts.clear();
            return;
        }
        let places = self
            .topics
            .iter()
            .flat_map(|t| (0..PARTS).map(move |p| (t, p)));
        let mut dealt = BTreeMap::new();
        for (i, (topic, part)) in places.enumerate() {
            let place = (topic.clone(), part);
            let next = names[i % names.len()];
            let holder = self.parts.get(&place);
            let keeps = holder.filter(|h| *h != next).filter(|h| {
                let member = self.members.get(*h);
                member.is_some_and(|m| m.acknowledged < self.generation)
            });
            dealt.insert(place, keeps.unwrap_or(next).clone());
        }
        let moved = |(place, holder)| dealt.get(place).is_some_and(|next| next != holder);
        if self.parts.iter().any(moved) {
            self.generation += 1;
        }
        self.parts = dealt;
    }
}

fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
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

fn keyed(record: &[u8]) -> Option<(String, &[u8])> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((String::from_utf8(key.to_vec()).ok()?, value))
}
