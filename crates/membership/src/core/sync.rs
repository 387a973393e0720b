//! Anti-entropy: members whose views differ by much, or for long, compare bucket digests and exchange the differing
//! records.
//!
//! Gossip spreads a single change quickly, but would take long to fill the views of a whole fleet that starts at once.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord};

use super::digest::{bucket_count, bucket_of};
use super::{MembershipCore, OutgoingDatagram, Source, supersedes};

/// A view lacks many members if a peer's is larger by one in `LARGE_GAP_DIVISOR`, and by `MIN_LARGE_GAP` at least.
const LARGE_GAP_DIVISOR: u32 = 100;
const MIN_LARGE_GAP: u32 = 2;

/// Times and counters that decide when this member requests and replies to syncs.
#[derive(Debug, Clone, Default)]
pub(super) struct SyncState {
    requested_at: Option<Duration>,
    /// When a received view digest last equalled the own one.
    agreed_at: Duration,
    /// Size of the own view at the last comparison.
    size: u32,
    size_since: Duration,
    replies_since_tick: usize,
    /// Position in the rotation of records sent in replies to joins.
    join_cursor: usize,
}

impl SyncState {
    fn note_size(&mut self, size: u32, now: Duration) {
        if self.size != size {
            self.size = size;
            self.size_since = now;
        }
    }

    /// Resets the limit of sync replies per tick.
    pub(super) fn note_tick(&mut self) {
        self.replies_since_tick = 0;
    }
}

impl MembershipCore {
    /// Returns a sync request to the sender if its view differs by enough, or for long enough.
    pub(super) fn consider_sync(
        &mut self,
        datagram: &Datagram,
        now: Duration,
    ) -> Option<OutgoingDatagram> {
        let own_size = self.view_size();
        self.sync.note_size(own_size, now);
        if datagram.view_size == 0 {
            return None;
        }
        if datagram.view_digest == self.view_digest() {
            self.sync.agreed_at = now;
            return None;
        }
        if !self.is_sync_due(own_size, datagram.view_size, now) {
            return None;
        }
        let address = self.address(&datagram.from)?;
        self.sync.requested_at = Some(now);
        let members = own_size.max(datagram.view_size) as usize;
        let digests = self.bucket_digests(bucket_count(members));
        let mut request = self.bare_datagram(DatagramKind::SyncRequest, 0, String::new());
        request.bucket_digests = digests.into_iter().flat_map(u16::to_le_bytes).collect();
        // A receiver that doesn't know this member needs its address to reply.
        request.records.push(self.own.clone());
        Some(OutgoingDatagram {
            address,
            datagram: request,
        })
    }

    fn is_sync_due(&self, own_size: u32, peer_size: u32, now: Duration) -> bool {
        let since_request = self
            .sync
            .requested_at
            .map_or(Duration::MAX, |at| now.saturating_sub(at));
        let large_gap = (peer_size / LARGE_GAP_DIVISOR).max(MIN_LARGE_GAP);
        if peer_size >= own_size + large_gap {
            return since_request >= self.settings.sync_catch_up_interval;
        }
        let timeout = self.settings.disagreement_timeout;
        let disagreed_for = now.saturating_sub(self.sync.agreed_at.max(self.last_request_at()));
        // Members that lack the same one have equal digests, so agreement with one peer doesn't prove a complete view.
        let unchanged_for = now.saturating_sub(self.sync.size_since);
        let lacks_members = peer_size > own_size && unchanged_for >= timeout;
        (lacks_members || disagreed_for >= timeout) && since_request >= timeout / 2
    }

    /// Returns the time of the last request; disagreement before it doesn't count.
    fn last_request_at(&self) -> Duration {
        self.sync.requested_at.unwrap_or_default()
    }

    /// Replies with all records of each bucket whose digest differs from the requester's.
    pub(super) fn reply_sync(&mut self, request: &Datagram) -> Vec<OutgoingDatagram> {
        let Some(address) = self.address(&request.from) else {
            return Vec::new();
        };
        if self.sync.replies_since_tick >= self.settings.sync_replies_per_tick {
            return Vec::new();
        }
        self.sync.replies_since_tick += 1;
        let theirs = request.bucket_digests.chunks_exact(2);
        let theirs: Vec<u16> = theirs
            .map(|bytes| u16::from_le_bytes([bytes[0], bytes[1]]))
            .collect();
        if theirs.is_empty() {
            return Vec::new();
        }
        let own = self.bucket_digests(theirs.len());
        let differing = (0..theirs.len()).filter(|bucket| own[*bucket] != theirs[*bucket]);
        let mut records = self.records_by_bucket(theirs.len());
        let mut outgoing = Vec::new();
        let mut reply = self.empty_reply(theirs.len());
        for bucket in differing {
            let bucket_records = records.remove(&bucket).unwrap_or_default();
            let max_records = self.settings.records_per_sync_datagram;
            if !reply.records.is_empty() && reply.records.len() + bucket_records.len() > max_records
            {
                let full = std::mem::replace(&mut reply, self.empty_reply(theirs.len()));
                outgoing.push(OutgoingDatagram {
                    address: address.clone(),
                    datagram: full,
                });
            }
            reply.records.extend(bucket_records);
            reply
                .whole_buckets
                .push(u32::try_from(bucket).unwrap_or(u32::MAX));
        }
        if !reply.whole_buckets.is_empty() {
            outgoing.push(OutgoingDatagram {
                address,
                datagram: reply,
            });
        }
        outgoing
    }

    fn empty_reply(&self, buckets: usize) -> Datagram {
        let mut reply = self.bare_datagram(DatagramKind::SyncReply, 0, String::new());
        reply.bucket_count = u32::try_from(buckets).unwrap_or(u32::MAX);
        reply
    }

    fn records_by_bucket(&self, buckets: usize) -> BTreeMap<usize, Vec<MemberRecord>> {
        let mut by_bucket: BTreeMap<usize, Vec<MemberRecord>> = BTreeMap::new();
        for entry in self.members.values() {
            let bucket = bucket_of(&entry.record.id, buckets);
            by_bucket
                .entry(bucket)
                .or_default()
                .push(entry.record.clone());
        }
        by_bucket
    }

    /// Returns datagrams with the records that the sender of a sync reply lacks or holds in an older version.
    /// Must be called before the reply's records are merged.
    pub(super) fn return_newer(&self, reply: &Datagram) -> Vec<OutgoingDatagram> {
        let buckets = reply.bucket_count as usize;
        let Some(address) = self.address(&reply.from).filter(|_| buckets > 0) else {
            return Vec::new();
        };
        let full_buckets: HashSet<usize> = reply
            .whole_buckets
            .iter()
            .map(|one| *one as usize)
            .collect();
        let reported: BTreeMap<&str, &MemberRecord> = reply
            .records
            .iter()
            .map(|record| (record.id.as_str(), record))
            .collect();
        let newer = self.members.values().filter(|entry| {
            let record = &entry.record;
            full_buckets.contains(&bucket_of(&record.id, buckets))
                && match reported.get(record.id.as_str()) {
                    Some(theirs) => supersedes(record, theirs),
                    None => entry.is_present(),
                }
        });
        let newer: Vec<MemberRecord> = newer.map(|entry| entry.record.clone()).collect();
        newer
            .chunks(self.settings.records_per_sync_datagram.max(1))
            .map(|part| {
                let mut datagram = self.bare_datagram(DatagramKind::SyncReturn, 0, String::new());
                datagram.records = part.to_vec();
                OutgoingDatagram {
                    address: address.clone(),
                    datagram,
                }
            })
            .collect()
    }

    /// Returns the next records of present members in rotation, at most `max_records`.
    pub(super) fn next_join_records(&mut self, max_records: usize) -> Vec<MemberRecord> {
        let present = self.members.values().filter(|entry| entry.is_present());
        let present: Vec<&MemberRecord> = present.map(|entry| &entry.record).collect();
        let first = self.sync.join_cursor % present.len().max(1);
        let count = present.len().min(max_records);
        let rotation = present.iter().cycle().skip(first).take(count);
        let records = rotation.map(|record| (*record).clone()).collect();
        self.sync.join_cursor = first + count;
        records
    }

    /// Merges records received by a sync.
    pub(super) fn merge_synced(&mut self, records: &[MemberRecord], now: Duration) {
        for record in records {
            self.merge_record(record.clone(), Source::Sync, now);
        }
    }
}
