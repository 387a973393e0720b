//! One daemon's records of streams as it stores them: in buckets by the stream's key, so that a lookup reads one bucket.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::origin::{StreamKey, StreamOrigin};

/// Number of buckets; part of the stored format.
const BUCKETS: u64 = 64;

/// Maximum number of records of one daemon in a bucket; the oldest one is dropped first.
const MAX_RECORDS_PER_BUCKET: usize = 32;

/// Number of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketNumber(u64);

impl BucketNumber {
    /// Returns the bucket of a stream.
    pub fn of(stream: StreamKey) -> Self {
        Self(stream.hash() % BUCKETS)
    }

    /// Returns the bucket after this one, the first one after the last.
    #[must_use]
    pub fn next(self) -> Self {
        Self((self.0 + 1) % BUCKETS)
    }

    /// Returns the number, from 0.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Where a stream began, as it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
}

/// Records of one daemon by bucket, and which buckets have changed since they were stored.
#[derive(Debug, Default)]
pub struct StoredBuckets {
    buckets: BTreeMap<BucketNumber, VecDeque<StoredOrigin>>,
    changed: BTreeSet<BucketNumber>,
}

impl StoredBuckets {
    /// Adds a record; its bucket is to be stored.
    pub fn add(&mut self, record: StoredOrigin) {
        let number = BucketNumber::of(record.stream);
        let bucket = self.buckets.entry(number).or_default();
        if bucket.iter().any(|known| known.stream == record.stream) {
            return;
        }
        if bucket.len() >= MAX_RECORDS_PER_BUCKET {
            bucket.pop_front();
        }
        bucket.push_back(record);
        self.changed.insert(number);
    }

    /// True if a bucket is to be stored.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns up to `count` changed buckets with their records, which count as stored from now on.
    pub fn take_changed(&mut self, count: usize) -> Vec<(BucketNumber, Vec<StoredOrigin>)> {
        let taken: Vec<BucketNumber> = self.changed.iter().copied().take(count).collect();
        for number in &taken {
            self.changed.remove(number);
        }
        let with_records = taken.into_iter().map(|number| {
            let records = self.buckets.get(&number);
            (number, records.into_iter().flatten().copied().collect())
        });
        with_records.collect()
    }

    /// Marks buckets as changed, since they could not be stored.
    pub fn restore_changed(&mut self, numbers: impl IntoIterator<Item = BucketNumber>) {
        self.changed.extend(numbers);
    }
}
