//! The jobs' heads as this daemon knows them, from the watch and from its own commits.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use harrierward_wire::{JobHeaderRow, QuotaFenceRow, decode};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::store::KnownFence;

/// A head and the revision at which it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHeader {
    /// The head.
    pub header: JobHeaderRow,
    /// Revision of its row.
    pub revision: u64,
}

impl KnownHeader {
    /// True if items are left to be listed.
    pub fn is_open(&self) -> bool {
        !self.header.ended && self.header.listed.len() < self.header.items.len()
    }

    /// True if a result is listed at the position.
    pub fn lists_beyond(&self, position: u32) -> bool {
        self.header.listed.len() > position as usize
    }

    /// Tokens of the items that are not listed.
    pub fn waiting_tokens(&self) -> u64 {
        if self.header.ended {
            return 0;
        }
        let all: u64 = self.header.items.iter().map(|item| item.tokens).sum();
        let listed: u64 = self
            .header
            .listed
            .iter()
            .filter_map(|number| self.header.items.get(*number as usize))
            .map(|item| item.tokens)
            .sum();
        all.saturating_sub(listed)
    }
}

/// A newer head, and the one known before.
#[derive(Debug, Clone, PartialEq)]
pub struct HeaderChange {
    /// `None` for a job that was not known.
    pub before: Option<KnownHeader>,
    /// The head as it is now.
    pub known: KnownHeader,
}

#[derive(Debug, Default)]
struct State {
    headers: HashMap<String, KnownHeader>,
    /// The fences of the routes' quotas.
    fences: HashMap<String, SeenFence>,
    /// Newest revision of the store that this daemon has heard of.
    newest_revision: u64,
    /// Last moment of which the copy is known to be true.
    proven_at: Option<Instant>,
    /// The store's clock, milliseconds, and when it said so.
    store_time: Option<StoreTime>,
}

#[derive(Debug, Clone)]
struct SeenFence {
    fence: KnownFence,
    /// When it was first seen; `None` for one that was there before this daemon was.
    first_seen_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct StoreTime {
    milliseconds: u64,
    at: Instant,
}

/// The heads. Entries only move to higher revisions.
#[derive(Debug, Default)]
pub struct JobView {
    state: Mutex<State>,
    changed: Notify,
}

impl JobView {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes everybody who waits for a change.
    fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Completes at the next change.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// The store has reached this revision.
    pub fn note_revision(&self, revision: u64) {
        let mut state = self.lock();
        state.newest_revision = state.newest_revision.max(revision);
    }

    /// Newest revision of the store that this daemon has heard of, from the watch and from its own reads and commits. What is
    /// read from now on and is older than this is out of date.
    pub fn newest_revision(&self) -> u64 {
        self.lock().newest_revision
    }

    /// The copy was true at `moment`.
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

    /// Time since the copy was known to be true; `None` if it never was.
    pub fn proof_age(&self) -> Option<Duration> {
        self.lock().proven_at.map(harrierward_clock::age)
    }

    /// The store's clock now, milliseconds; 0 if it is not known.
    pub fn store_now_ms(&self) -> u64 {
        self.lock().store_time.map_or(0, |time| {
            let since =
                u64::try_from(harrierward_clock::age(time.at).as_millis()).unwrap_or(u64::MAX);
            time.milliseconds.saturating_add(since)
        })
    }

    /// Takes a row of a fence.
    pub fn update_fence_row(&self, value: &Bytes, revision: u64) {
        if let Some(row) = decode::<QuotaFenceRow>(value) {
            let fence = KnownFence {
                coordinator: row.coordinator,
                revision,
            };
            self.update_fence(&row.route, fence);
        }
    }

    /// Takes a route's fence, unless a newer one is known.
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

    /// A route's fence.
    pub fn fence(&self, route: &str) -> Option<KnownFence> {
        let state = self.lock();
        state.fences.get(route).map(|seen| seen.fence.clone())
    }

    /// Time since a route's fence was first seen; `None` if it was there before this daemon was.
    pub fn fence_age(&self, route: &str) -> Option<Duration> {
        let state = self.lock();
        let first_seen_at = state.fences.get(route)?.first_seen_at?;
        Some(harrierward_clock::age(first_seen_at))
    }

    /// Takes a head; `None` if it is not newer than what was known.
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

    /// Forgets a job whose row is gone.
    pub fn remove(&self, job_id: &str) {
        self.lock().headers.remove(job_id);
        self.wake();
    }

    /// A job's head.
    pub fn get(&self, job_id: &str) -> Option<KnownHeader> {
        self.lock().headers.get(job_id).cloned()
    }

    /// All jobs with items left.
    pub fn open_jobs(&self) -> Vec<KnownHeader> {
        let state = self.lock();
        let open = state.headers.values().filter(|known| known.is_open());
        open.cloned().collect()
    }

    /// Jobs accepted before `before_ms` on the store's clock that have no items left.
    pub fn closed_before(&self, before_ms: u64) -> Vec<KnownHeader> {
        let state = self.lock();
        let old = state
            .headers
            .values()
            .filter(|known| !known.is_open() && known.header.accepted_ms < before_ms);
        old.cloned().collect()
    }

    /// Tokens of all items of a tenant's jobs on a route that are not listed.
    pub fn waiting_tokens(&self, route: &str, tenant: &str) -> u64 {
        let state = self.lock();
        let headers = state.headers.values();
        headers
            .filter(|known| known.header.route == route && known.header.tenant == tenant)
            .map(KnownHeader::waiting_tokens)
            .sum()
    }
}
