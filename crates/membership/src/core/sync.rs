//! Anti-entropy: members whose views differ much, or for long, compare them by digests and exchange what differs.
//!
//! Why beside gossip: gossip passes a few records with each probe, which spreads a single change quickly. When a
//! whole fleet starts in the same second each member must learn of all others, and at six records a datagram that
//! takes a minute with 300 members. A sync moves what is missing at once, from any member that has more.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord};

use super::digest::{bucket_count, bucket_of};
use super::{Action, MembershipCore, Source, supersedes};

/// A view that is smaller than a peer's by this part of it, or by this many, lacks much.
const MUCH_PART: u32 = 100;
const MUCH_LEAST: u32 = 2;

/// Times of this member's syncs.
#[derive(Debug, Clone, Default)]
pub(super) struct SyncState {
    requested_at: Option<Duration>,
    /// When a peer's view was last the same as the own one.
    agreed_at: Duration,
    /// Size of the own view when it was last compared, and since when it is so.
    size: u32,
    size_since: Duration,
    replies_since_tick: usize,
    /// Members sent to those that joined.
    welcomed: usize,
}

impl SyncState {
    fn note_size(&mut self, size: u32, now: Duration) {
        if self.size != size {
            self.size = size;
            self.size_since = now;
        }
    }

    /// A tick has passed: requests are answered again.
    pub(super) fn note_tick(&mut self) {
        self.replies_since_tick = 0;
    }
}

impl MembershipCore {
    /// A request for what this member lacks, if the sender's view differs by enough.
    pub(super) fn consider_sync(&mut self, datagram: &Datagram, now: Duration) -> Option<Action> {
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
        // The receiver may not know this member yet, and must know where to answer.
        request.records.push(self.own.clone());
        Some(Action {
            address,
            datagram: request,
        })
    }

    fn is_sync_due(&self, own_size: u32, peer_size: u32, now: Duration) -> bool {
        let since_request = self
            .sync
            .requested_at
            .map_or(Duration::MAX, |at| now.saturating_sub(at));
        let much = (peer_size / MUCH_PART).max(MUCH_LEAST);
        if peer_size >= own_size + much {
            return since_request >= self.settings.sync_catch_up_every;
        }
        let patience = self.settings.sync_after_disagreement;
        let disagreed_for = now.saturating_sub(self.sync.agreed_at.max(self.joined_at()));
        // Several members that lack the same one agree with each other, so agreement with some peer says little here.
        let unchanged_for = now.saturating_sub(self.sync.size_since);
        let lacks_some = peer_size > own_size && unchanged_for >= patience;
        (lacks_some || disagreed_for >= patience) && since_request >= patience / 2
    }

    /// Views of members that have just started differ: disagreement counts from the first request on.
    fn joined_at(&self) -> Duration {
        self.sync.requested_at.unwrap_or_default()
    }

    /// Answers with whole buckets wherever the asker's digests differ.
    pub(super) fn reply_sync(&mut self, request: &Datagram) -> Vec<Action> {
        let Some(address) = self.address(&request.from) else {
            return Vec::new();
        };
        if self.sync.replies_since_tick >= self.settings.sync_replies_a_tick {
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
        let mut actions = Vec::new();
        let mut reply = self.empty_reply(theirs.len());
        for bucket in differing {
            let more = records.remove(&bucket).unwrap_or_default();
            let most = self.settings.records_per_sync_datagram;
            if !reply.records.is_empty() && reply.records.len() + more.len() > most {
                let full = std::mem::replace(&mut reply, self.empty_reply(theirs.len()));
                actions.push(Action {
                    address: address.clone(),
                    datagram: full,
                });
            }
            reply.records.extend(more);
            reply
                .whole_buckets
                .push(u32::try_from(bucket).unwrap_or(u32::MAX));
        }
        if !reply.whole_buckets.is_empty() {
            actions.push(Action {
                address,
                datagram: reply,
            });
        }
        actions
    }

    fn empty_reply(&self, buckets: usize) -> Datagram {
        let mut reply = self.bare_datagram(DatagramKind::SyncReply, 0, String::new());
        reply.bucket_count = u32::try_from(buckets).unwrap_or(u32::MAX);
        reply
    }

    fn records_by_bucket(&self, buckets: usize) -> BTreeMap<usize, Vec<MemberRecord>> {
        let mut by_bucket: BTreeMap<usize, Vec<MemberRecord>> = BTreeMap::new();
        for known in self.known.values() {
            let bucket = bucket_of(&known.record.id, buckets);
            by_bucket
                .entry(bucket)
                .or_default()
                .push(known.record.clone());
        }
        by_bucket
    }

    /// Sends back what this member knows better of the buckets in a reply. To be called before the reply's records
    /// are taken.
    pub(super) fn return_missing(&self, reply: &Datagram) -> Vec<Action> {
        let buckets = reply.bucket_count as usize;
        let Some(address) = self.address(&reply.from).filter(|_| buckets > 0) else {
            return Vec::new();
        };
        let whole: HashSet<usize> = reply
            .whole_buckets
            .iter()
            .map(|one| *one as usize)
            .collect();
        let told: BTreeMap<&str, &MemberRecord> = reply
            .records
            .iter()
            .map(|record| (record.id.as_str(), record))
            .collect();
        let missing = self.known.values().filter(|known| {
            let record = &known.record;
            whole.contains(&bucket_of(&record.id, buckets))
                && match told.get(record.id.as_str()) {
                    Some(theirs) => supersedes(record, theirs),
                    None => known.is_present(),
                }
        });
        let missing: Vec<MemberRecord> = missing.map(|known| known.record.clone()).collect();
        missing
            .chunks(self.settings.records_per_sync_datagram.max(1))
            .map(|part| {
                let mut datagram = self.bare_datagram(DatagramKind::SyncReturn, 0, String::new());
                datagram.records = part.to_vec();
                Action {
                    address: address.clone(),
                    datagram,
                }
            })
            .collect()
    }

    /// The present members in turn, at most so many.
    pub(super) fn next_present(&mut self, most: usize) -> Vec<MemberRecord> {
        let present = self.known.values().filter(|known| known.is_present());
        let present: Vec<&MemberRecord> = present.map(|known| &known.record).collect();
        let first = self.sync.welcomed % present.len().max(1);
        let taken = present.len().min(most);
        let turn = present.iter().cycle().skip(first).take(taken);
        let records = turn.map(|record| (*record).clone()).collect();
        self.sync.welcomed = first + taken;
        records
    }

    /// Takes records that came by a sync.
    pub(super) fn take_synced(&mut self, records: &[MemberRecord], now: Duration) {
        for record in records {
            self.take_record(record.clone(), Source::Sync, now);
        }
    }
}
