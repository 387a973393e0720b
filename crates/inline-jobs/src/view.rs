//! Local copy of all job headers and quota fences, fed by the watch and by this daemon's own commits.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use harrierward_wire::{JobHeadRow, QuotaFenceRow, decode};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::store::KnownFence;
use crate::tokens::sum_of_tokens;

/// A job header and the revision at which it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHeader {
    /// The decoded row.
    pub header: JobHeadRow,
    /// Store revision of the row.
    pub revision: u64,
}

impl KnownHeader {
    /// True if items are still to be listed.
    pub fn is_open(&self) -> bool {
        !self.header.ended && self.header.listed.len() < self.header.items.len()
    }

    /// True if the header lists a result at `position`, counted from 0.
    pub fn lists_beyond(&self, position: u32) -> bool {
        self.header.listed.len() > position as usize
    }

    /// Returns the tokens of the unlisted items; 0 for a cancelled job.
    pub fn waiting_tokens(&self) -> u64 {
        if self.header.ended {
            return 0;
        }
        let all = self.header.items.iter().map(|item| item.tokens);
        let listed = self
            .header
            .listed
            .iter()
            .filter_map(|number| self.header.items.get(*number as usize))
            .map(|item| item.tokens);
        sum_of_tokens(all).saturating_sub(sum_of_tokens(listed))
    }
}

/// A newer header together with the one that it replaces.
#[derive(Debug, Clone, PartialEq)]
pub struct HeaderChange {
    /// `None` for a job that was not known.
    pub before: Option<KnownHeader>,
    /// The newer header.
    pub known: KnownHeader,
}

#[derive(Debug, Default)]
struct State {
    headers: HashMap<String, KnownHeader>,
    /// Fences of the routes' quotas, by route.
    fences: HashMap<String, SeenFence>,
    /// Newest store revision seen by this daemon.
    newest_revision: u64,
    /// Time of the latest freshness proof, see [`JobView::note_proof`].
    proven_at: Option<Instant>,
    store_time: Option<StoreTime>,
}

#[derive(Debug, Clone)]
struct SeenFence {
    fence: KnownFence,
    /// When the fence was first seen; `None` if it predates the first freshness proof.
    first_seen_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct StoreTime {
    milliseconds: u64,
    at: Instant,
}

/// Job headers by job id and fences by route; an entry is only replaced by one of a higher revision.
#[derive(Debug, Default)]
pub struct JobView {
    state: Mutex<State>,
    changed: Notify,
}

impl JobView {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Returns a future that completes at the next change.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Records that the store has reached `revision`.
    pub fn note_revision(&self, revision: u64) {
        let mut state = self.lock();
        state.newest_revision = state.newest_revision.max(revision);
    }

    /// Returns the newest store revision seen, from the watch and from this daemon's own reads and commits. A later
    /// read at a lower revision is outdated.
    pub fn newest_revision(&self) -> u64 {
        self.lock().newest_revision
    }

    /// Records a freshness proof: the copy holds what the store had acknowledged by `moment`, except for changes that
    /// the watch omitted. `store_time_ms` is the store's clock, 0 if unknown.
    pub fn note_proof(&self, moment: Instant, store_time_ms: u64) {
        let mut state = self.lock();
        let is_newer = state.proven_at.is_none_or(|known| known < moment);
        if is_newer {
            state.proven_at = Some(moment);
        }
        if store_time_ms > 0 {
            state.store_time = Some(StoreTime {
                milliseconds: store_time_ms,
                at: harrierward_clock::now(),
            });
        }
    }

    /// Returns the age of the last freshness proof, see [`Self::note_proof`]; `None` before the first.
    pub fn proof_age(&self) -> Option<Duration> {
        self.lock().proven_at.map(harrierward_clock::age)
    }

    /// Returns the store's clock, extrapolated to now, in milliseconds; 0 if unknown.
    pub fn store_now_ms(&self) -> u64 {
        self.lock().store_time.map_or(0, |time| {
            let since =
                u64::try_from(harrierward_clock::age(time.at).as_millis()).unwrap_or(u64::MAX);
            time.milliseconds.saturating_add(since)
        })
    }

    /// Decodes and applies the row of a fence. Returns false, and ignores the row, if it is malformed.
    pub fn update_fence_row(&self, value: &Bytes, revision: u64) -> bool {
        let row = decode::<QuotaFenceRow>(value);
        let is_readable = row.is_some();
        if let Some(row) = row {
            let fence = KnownFence {
                coordinator: row.coordinator,
                revision,
            };
            self.update_fence(&row.route, fence);
        }
        is_readable
    }

    /// Applies a route's fence, unless a newer one is known.
    pub fn update_fence(&self, route: &str, fence: KnownFence) {
        let mut state = self.lock();
        let known = state.fences.get(route);
        if known.is_none_or(|known| known.fence.revision < fence.revision) {
            let first_seen_at = state.proven_at.map(|_| harrierward_clock::now());
            let seen = SeenFence {
                fence,
                first_seen_at,
            };
            state.fences.insert(route.to_owned(), seen);
        }
    }

    /// Returns a route's fence; `None` if none is known.
    pub fn fence(&self, route: &str) -> Option<KnownFence> {
        let state = self.lock();
        state.fences.get(route).map(|seen| seen.fence.clone())
    }

    /// Returns the time since a route's fence was first seen; `None` if it predates the first freshness proof.
    pub fn fence_age(&self, route: &str) -> Option<Duration> {
        let state = self.lock();
        let first_seen_at = state.fences.get(route)?.first_seen_at?;
        Some(harrierward_clock::age(first_seen_at))
    }

    /// Applies a header; `None` if it is not newer than the known one.
    pub fn update(&self, known: KnownHeader) -> Option<HeaderChange> {
        let mut state = self.lock();
        state.newest_revision = state.newest_revision.max(known.revision);
        let old = state.headers.get(&known.header.job_id);
        if old.is_some_and(|old| old.revision >= known.revision) {
            return None;
        }
        let job_id = known.header.job_id.clone();
        let before = state.headers.insert(job_id, known.clone());
        drop(state);
        self.wake();
        Some(HeaderChange { before, known })
    }

    /// Removes a job whose row was removed from the store.
    pub fn remove(&self, job_id: &str) {
        self.lock().headers.remove(job_id);
        self.wake();
    }

    /// Returns a job's header by its stored id.
    pub fn get(&self, job_id: &str) -> Option<KnownHeader> {
        self.lock().headers.get(job_id).cloned()
    }

    /// Returns all jobs with unlisted items.
    pub fn open_jobs(&self) -> Vec<KnownHeader> {
        let state = self.lock();
        let open = state.headers.values().filter(|known| known.is_open());
        open.cloned().collect()
    }

    /// Returns the ids and revisions of an owner's jobs with unlisted items.
    pub fn open_revisions(&self, owner: &str) -> Vec<(String, u64)> {
        let state = self.lock();
        let headers = state.headers.iter();
        let own = headers.filter(|(_, known)| known.header.owner == owner && known.is_open());
        own.map(|(job_id, known)| (job_id.clone(), known.revision))
            .collect()
    }

    /// Returns jobs without unlisted items that were accepted before `before_ms` on the store's clock.
    pub fn closed_before(&self, before_ms: u64) -> Vec<KnownHeader> {
        let state = self.lock();
        let old = state
            .headers
            .values()
            .filter(|known| !known.is_open() && known.header.accepted_ms < before_ms);
        old.cloned().collect()
    }

    /// Returns the tokens of all unlisted items of a tenant's jobs on a route.
    pub fn waiting_tokens(&self, route: &str, tenant: &str) -> u64 {
        let state = self.lock();
        let headers = state.headers.values();
        let waiting = headers
            .filter(|known| known.header.route == route && known.header.tenant == tenant)
            .map(KnownHeader::waiting_tokens);
        sum_of_tokens(waiting)
    }
}
