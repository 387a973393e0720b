//! Admission to a service: up to a number of requests run, a bounded number waits, fair between tenants.
//!
//! Why a bound: a queue that grows without end answers everybody late. A request that cannot start before its
//! deadline is refused at once as not run, and told when to come back.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Bounds of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that wait at most.
    pub queue: usize,
    /// Longest wait.
    pub longest_wait: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue: 512,
            longest_wait: Duration::from_secs(2),
        }
    }
}

/// Waiting entries by tenant, served in turn: a tenant with many entries does not delay the others.
#[derive(Debug)]
pub struct FairQueue<T> {
    tenants: BTreeMap<String, VecDeque<T>>,
    turns: VecDeque<String>,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            tenants: BTreeMap::new(),
            turns: VecDeque::new(),
            length: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Entries waiting.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Entries that would be served before a new one of `tenant`.
    pub fn ahead_of(&self, tenant: &str) -> usize {
        let own = self.tenants.get(tenant).map_or(0, VecDeque::len);
        self.tenants
            .values()
            .map(|entries| entries.len().min(own + 1))
            .sum::<usize>()
            .saturating_sub(usize::from(own > 0))
    }

    /// Adds an entry.
    pub fn push(&mut self, tenant: &str, entry: T) {
        let entries = self.tenants.entry(tenant.to_owned()).or_default();
        if entries.is_empty() {
            self.turns.push_back(tenant.to_owned());
        }
        entries.push_back(entry);
        self.length += 1;
    }

    /// Takes the next entry.
    pub fn pop(&mut self) -> Option<T> {
        let tenant = self.turns.pop_front()?;
        let entries = self.tenants.get_mut(&tenant)?;
        let entry = entries.pop_front()?;
        self.length -= 1;
        if entries.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.turns.push_back(tenant);
        }
        Some(entry)
    }

    /// Removes entries for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        for entries in self.tenants.values_mut() {
            entries.retain(&keep);
        }
        self.tenants.retain(|_, entries| !entries.is_empty());
        let tenants = &self.tenants;
        self.turns.retain(|tenant| tenants.contains_key(tenant));
        self.length = self.tenants.values().map(VecDeque::len).sum();
    }
}

type Waiting = oneshot::Sender<AdmissionPermit>;

#[derive(Debug)]
struct Shared {
    capacity: AtomicU32,
    running: AtomicU32,
    queue: Mutex<FairQueue<Waiting>>,
    /// Smoothed time that one request holds its place, microseconds; used to foretell waits.
    held_micros: AtomicU32,
    settings: AdmissionSettings,
}

/// A place among the running requests; dropping it admits the next.
#[derive(Debug)]
pub struct AdmissionPermit {
    shared: Arc<Shared>,
    since: Instant,
}

/// Admission to one service; cheap to clone.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// Smoothing of the held time: the new value counts one in so many.
const SMOOTHING: u32 = 16;

/// First guess of the held time, microseconds.
const FIRST_HELD_MICROS: u32 = 500_000;

impl Admission {
    /// Admission for `capacity` running requests.
    pub fn new(capacity: u32, settings: AdmissionSettings) -> Self {
        Self {
            shared: Arc::new(Shared {
                capacity: AtomicU32::new(capacity),
                running: AtomicU32::new(0),
                queue: Mutex::new(FairQueue::default()),
                held_micros: AtomicU32::new(FIRST_HELD_MICROS),
                settings,
            }),
        }
    }

    /// Changes the number of requests that may run.
    pub fn set_capacity(&self, capacity: u32) {
        self.shared.capacity.store(capacity, Ordering::Relaxed);
        self.shared.admit_waiting();
    }

    /// Requests running and waiting.
    pub fn load(&self) -> (u32, usize) {
        let running = self.shared.running.load(Ordering::Relaxed);
        (running, self.shared.lock().len())
    }

    /// A place for a request of `tenant`, or after how long to come back. Free places are taken without a lock.
    pub async fn enter(
        &self,
        tenant: &str,
        deadline: Instant,
    ) -> Result<AdmissionPermit, Duration> {
        if let Some(permit) = self.shared.try_enter() {
            return Ok(permit);
        }
        let receiver = self.wait_in_queue(tenant, deadline)?;
        let limit = deadline.min(Instant::now() + self.shared.settings.longest_wait);
        match timeout_at(limit, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(self.shared.expected_wait(self.shared.settings.queue)),
        }
    }

    fn wait_in_queue(
        &self,
        tenant: &str,
        deadline: Instant,
    ) -> Result<oneshot::Receiver<AdmissionPermit>, Duration> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut queue = self.shared.lock();
            if queue.len() >= self.shared.settings.queue {
                queue.retain(|waiting: &Waiting| !waiting.is_closed());
            }
            let expected = self.shared.expected_wait(queue.ahead_of(tenant));
            let full = queue.len() >= self.shared.settings.queue;
            let late = Instant::now() + expected > deadline
                || expected > self.shared.settings.longest_wait;
            if full || late {
                return Err(expected);
            }
            queue.push(tenant, sender);
        }
        // A place may have become free between the two looks.
        self.shared.admit_waiting();
        Ok(receiver)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, FairQueue<Waiting>> {
        self.queue
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn try_enter(self: &Arc<Self>) -> Option<AdmissionPermit> {
        let capacity = self.capacity.load(Ordering::Relaxed);
        let entered = |running: u32| (running < capacity).then_some(running + 1);
        self.running
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, entered)
            .ok()?;
        Some(AdmissionPermit {
            shared: self.clone(),
            since: Instant::now(),
        })
    }

    fn admit_waiting(self: &Arc<Self>) {
        loop {
            let mut queue = self.lock();
            if queue.is_empty() {
                return;
            }
            let Some(permit) = self.try_enter() else {
                return;
            };
            let next = queue.pop();
            drop(queue);
            // A waiter that gave up drops its permit here, which admits the next.
            if let Some(waiting) = next {
                let _ = waiting.send(permit);
            }
        }
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let capacity = self.capacity.load(Ordering::Relaxed).max(1);
        let held = f64::from(self.held_micros.load(Ordering::Relaxed));
        let turns = (ahead as f64 + 1.0) / f64::from(capacity);
        Duration::from_secs_f64(held * turns / 1e6)
    }

    fn note_held(&self, held: Duration) {
        let held = u32::try_from(held.as_micros()).unwrap_or(u32::MAX);
        let smoothed = |old: u32| Some(old - old / SMOOTHING + held / SMOOTHING);
        let _ = self
            .held_micros
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, smoothed);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.shared.note_held(self.since.elapsed());
        self.shared.running.fetch_sub(1, Ordering::AcqRel);
        self.shared.admit_waiting();
    }
}
