//! Origins of recent streams, those that began at this daemon and those that peers announced.

use std::sync::Arc;

use lru::LruCache;
use tokio::time::Instant;

use crate::origin::{StreamKey, StreamOrigin};

/// Maximum number of records; the least recently used one is dropped first. Some 9 MB.
const MAX_RECORDS: usize = 65_536;

/// Expired records removed per new one, so that the ledger shrinks without a scan.
const REMOVALS_PER_RECORD: usize = 2;

/// From whom a record is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordSource {
    /// This daemon passed on events of the stream.
    Own,
    /// A peer announced it, or reported it on request.
    Peer(Arc<str>),
}

/// Origin of one stream. It never changes, so that a record isn't outdated, only missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginRecord {
    /// Service and software version.
    pub origin: StreamOrigin,
    /// From whom it is.
    pub source: RecordSource,
    /// When this daemon learned it.
    pub known_at: Instant,
    /// When no caller takes the stream up any more.
    pub expires_at: Instant,
    /// True once peers were notified.
    pub is_announced: bool,
}

/// Records of recent streams.
#[derive(Debug)]
pub struct OriginLedger {
    records: LruCache<StreamKey, OriginRecord>,
}

impl Default for OriginLedger {
    fn default() -> Self {
        Self {
            // Grows with its records; a capacity would be allocated at once.
            records: LruCache::unbounded(),
        }
    }
}

impl OriginLedger {
    /// Adds a record. A known stream keeps its origin, and is kept for the longer time.
    pub fn note(&mut self, stream: StreamKey, record: OriginRecord, now: Instant) {
        if let Some(known) = self.records.get_mut(&stream)
            && known.expires_at > now
        {
            known.expires_at = known.expires_at.max(record.expires_at);
            known.is_announced |= record.is_announced;
            return;
        }
        for _ in 0..REMOVALS_PER_RECORD {
            let oldest = self.records.peek_lru();
            if oldest.is_none_or(|(_, oldest)| oldest.expires_at > now) {
                break;
            }
            self.records.pop_lru();
        }
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_lru();
        }
        self.records.put(stream, record);
    }

    /// Returns the record of a stream; `None` if there is none or it has expired.
    pub fn get(&mut self, stream: StreamKey, now: Instant) -> Option<&OriginRecord> {
        let known = self.records.get(&stream)?;
        (known.expires_at > now).then_some(known)
    }

    /// Returns the own records of a service of which peers weren't notified, those learned from `since` on, the oldest
    /// first, and marks them as announced.
    pub fn take_unannounced(
        &mut self,
        service: u32,
        since: Instant,
    ) -> Vec<(StreamKey, OriginRecord)> {
        let own = self.records.iter_mut().rev().filter(|(_, record)| {
            record.origin.service == service
                && record.source == RecordSource::Own
                && !record.is_announced
                && record.known_at >= since
        });
        let taken = own.map(|(stream, record)| {
            record.is_announced = true;
            (*stream, record.clone())
        });
        taken.collect()
    }

    /// Returns the number of records, expired ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True without records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
