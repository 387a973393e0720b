//! Sizes of requests that a service's replicas refuse although they admit smaller ones.
//!
//! Requests of such a size would be refused again. Online ones are refused at once, and of batch items one is tried from
//! time to time, since memory may be added, and a replica may have been full after all.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::replica::WorkClass;

/// Time for which a refusal is evidence of the size that a service admits.
const REFUSED_SIZE_TTL: Duration = Duration::from_secs(10);

/// Time for which a refusal lets a size be suspected: short, as the replica may just have been full.
const SUSPICION_TTL: Duration = Duration::from_secs(2);

/// Time for which replicas must have refused a size before that counts although they admitted nothing else.
const LASTING_AFTER: Duration = Duration::from_secs(5);

/// Interval between two trials of requests of a refused size at one service.
const ONLINE_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
const ITEM_TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Replicas that must refuse a size, unless the service has fewer.
const MIN_REFUSING_REPLICAS: usize = 3;

/// Refusals that are kept for all services together.
const MAX_REFUSALS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct RefusedSize {
    service: u32,
    replica: u32,
    tokens: u64,
    first_at: Instant,
    last_at: Instant,
    /// True if the replica admitted other requests before it refused this size, so that it probably wasn't full.
    was_admitting: bool,
    /// True once it has also admitted a smaller one after that.
    is_confirmed: bool,
}

impl RefusedSize {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_at) < REFUSED_SIZE_TTL
    }

    fn is_suspected(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_at) < SUSPICION_TTL
    }

    fn is_lasting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.first_at) >= LASTING_AFTER
    }
}

/// Smallest sizes, in tokens, that enough of a service's replicas refuse, by the strength of the evidence; `None` where
/// there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusedSizeBounds {
    /// They refused it a moment ago, and may just have been full.
    pub suspected: Option<u64>,
    /// They have refused it for some time.
    pub lasting: Option<u64>,
    /// They refused it while they admitted smaller requests.
    pub confirmed: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    refused: Vec<RefusedSize>,
    last_trials: HashMap<(u32, WorkClass), Instant>,
}

/// Recently refused sizes, by service.
#[derive(Debug, Default)]
pub struct RefusedSizes {
    /// False if nothing is known, so that no lock is taken.
    has_any: AtomicBool,
    state: Mutex<State>,
}

impl RefusedSizes {
    /// True if a refusal is kept.
    pub fn has_any(&self) -> bool {
        self.has_any.load(Ordering::Relaxed)
    }

    /// Records that a replica refused a request of this size although it may have had free slots; `was_admitting` if it
    /// admitted others shortly before.
    pub fn note_refused(
        &self,
        service: u32,
        replica: u32,
        tokens: u64,
        was_admitting: bool,
        now: Instant,
    ) {
        let mut state = self.lock();
        let refused = &mut state.refused;
        refused.retain(|one| one.is_recent(now));
        let known = refused.iter_mut().find(|one| one.replica == replica);
        if let Some(known) = known {
            if tokens < known.tokens {
                known.tokens = tokens;
                known.first_at = now;
                known.was_admitting = false;
                known.is_confirmed = false;
            }
            known.was_admitting |= was_admitting;
            // A refusal of a larger one keeps the bound: trials, the smallest first, show whether it still holds.
            known.last_at = now;
        } else {
            if refused.len() == MAX_REFUSALS {
                refused.remove(0);
            }
            refused.push(RefusedSize {
                service,
                replica,
                tokens,
                first_at: now,
                last_at: now,
                was_admitting,
                is_confirmed: false,
            });
        }
        self.has_any.store(true, Ordering::Relaxed);
    }

    /// Records that a replica admitted a request of this size: the service has room for it.
    pub fn note_admitted(&self, service: u32, replica: u32, tokens: u64) {
        if !self.has_any() {
            return;
        }
        let mut state = self.lock();
        let refused = &mut state.refused;
        refused.retain(|one| one.service != service || one.tokens > tokens);
        for one in refused.iter_mut().filter(|one| one.replica == replica) {
            one.is_confirmed = one.was_admitting;
        }
        let has_any = !refused.is_empty();
        self.has_any.store(has_any, Ordering::Relaxed);
    }

    /// Returns the sizes that the service refuses; `usable` counts its replicas that accept work.
    pub fn bounds(
        &self,
        service: u32,
        usable: impl FnOnce() -> usize,
        now: Instant,
    ) -> RefusedSizeBounds {
        if !self.has_any() {
            return RefusedSizeBounds::default();
        }
        let state = self.lock();
        let refused = state.refused.iter();
        let refused = refused.filter(|one| one.service == service && one.is_recent(now));
        let mut refused: Vec<RefusedSize> = refused.copied().collect();
        drop(state);
        if refused.is_empty() {
            return RefusedSizeBounds::default();
        }
        refused.sort_unstable_by_key(|one| one.tokens);
        let needed = usable().clamp(1, MIN_REFUSING_REPLICAS);
        let bound = |counts: &dyn Fn(&RefusedSize) -> bool| {
            let mut counted = refused.iter().filter(|one| counts(one));
            counted.nth(needed - 1).map(|one| one.tokens)
        };
        RefusedSizeBounds {
            suspected: bound(&|one| one.is_suspected(now)),
            lasting: bound(&|one| one.is_lasting(now)),
            confirmed: bound(&|one| one.is_confirmed),
        }
    }

    /// True if work of this class and of a refused size may be tried at the service now; if so, the next one must wait.
    pub fn take_trial(&self, service: u32, class: WorkClass, now: Instant) -> bool {
        let interval = match class {
            WorkClass::Online => ONLINE_TRIAL_INTERVAL,
            WorkClass::Batch => ITEM_TRIAL_INTERVAL,
        };
        let mut state = self.lock();
        let trials = &mut state.last_trials;
        trials.retain(|_, at| now.saturating_duration_since(*at) < ONLINE_TRIAL_INTERVAL);
        let last = trials.get(&(service, class));
        if last.is_some_and(|last| now.saturating_duration_since(*last) < interval) {
            return false;
        }
        trials.insert((service, class), now);
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
