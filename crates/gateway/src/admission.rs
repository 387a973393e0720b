//! Admission control of a service: a concurrency limit with a bounded queue that is fair between tenants.
//! A request that cannot start before its deadline is refused at once, with the time after which to retry.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Bounds of the admission queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests per service.
    pub max_queued: usize,
    /// Maximum time in the queue.
    pub max_wait: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_queued: 512,
            max_wait: Duration::from_secs(2),
        }
    }
}

/// Queue with round-robin between tenants, so that a tenant with many entries does not delay the others.
#[derive(Debug)]
pub struct FairQueue<T> {
    tenants: BTreeMap<String, VecDeque<T>>,
    turn_order: VecDeque<String>,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            tenants: BTreeMap::new(),
            turn_order: VecDeque::new(),
            length: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of entries of all tenants.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True if no tenant has an entry.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Estimates the number of entries that are served before a new one of `tenant`; ignores whose turn it is.
    pub fn ahead_of(&self, tenant: &str) -> usize {
        let own = self.tenants.get(tenant).map_or(0, VecDeque::len);
        self.tenants
            .values()
            .map(|entries| entries.len().min(own + 1))
            .sum::<usize>()
            .saturating_sub(usize::from(own > 0))
    }

    /// Appends an entry of `tenant`.
    pub fn push(&mut self, tenant: &str, entry: T) {
        let entries = self.tenants.entry(tenant.to_owned()).or_default();
        if entries.is_empty() {
            self.turn_order.push_back(tenant.to_owned());
        }
        entries.push_back(entry);
        self.length += 1;
    }

    /// Removes the next entry of the tenant whose turn it is; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<T> {
        let tenant = self.turn_order.pop_front()?;
        let entries = self.tenants.get_mut(&tenant)?;
        let entry = entries.pop_front()?;
        self.length -= 1;
        if entries.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.turn_order.push_back(tenant);
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
        self.turn_order
            .retain(|tenant| tenants.contains_key(tenant));
        self.length = self.tenants.values().map(VecDeque::len).sum();
    }
}

type Waiter = oneshot::Sender<AdmissionPermit>;

#[derive(Debug)]
struct Shared {
    capacity: AtomicU32,
    running: AtomicU32,
    queue: Mutex<FairQueue<Waiter>>,
    /// Moving average of the time from admission to completion, in microseconds; predicts queue waits.
    mean_run_micros: AtomicU32,
    settings: AdmissionSettings,
}

/// Permission to run one request; dropping it admits the next queued request.
#[derive(Debug)]
pub struct AdmissionPermit {
    shared: Arc<Shared>,
    admitted_at: Instant,
}

/// Admission control of one service; clones share their state.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// A new value enters the moving average with weight 1 / `AVERAGE_DIVISOR`.
const AVERAGE_DIVISOR: u32 = 16;

/// Initial value of the moving average, in microseconds.
const INITIAL_RUN_MICROS: u32 = 500_000;

impl Admission {
    /// Builds an admission control that runs up to `capacity` requests at once.
    pub fn new(capacity: u32, settings: AdmissionSettings) -> Self {
        Self {
            shared: Arc::new(Shared {
                capacity: AtomicU32::new(capacity),
                running: AtomicU32::new(0),
                queue: Mutex::new(FairQueue::default()),
                mean_run_micros: AtomicU32::new(INITIAL_RUN_MICROS),
                settings,
            }),
        }
    }

    /// Changes the concurrency limit. Requests already running beyond it complete.
    pub fn set_capacity(&self, capacity: u32) {
        self.shared.capacity.store(capacity, Ordering::Relaxed);
        self.shared.admit_waiting();
    }

    /// Returns the numbers of running and of queued requests.
    pub fn load(&self) -> (u32, usize) {
        let running = self.shared.running.load(Ordering::Relaxed);
        (running, self.shared.lock().len())
    }

    /// Admits a request of `tenant`, after a wait in the queue if needed.
    ///
    /// # Errors
    /// The queue is full or the wait too long: the time after which to retry.
    pub async fn admit(
        &self,
        tenant: &str,
        deadline: Instant,
    ) -> Result<AdmissionPermit, Duration> {
        if let Some(permit) = self.shared.try_admit() {
            return Ok(permit);
        }
        let receiver = self.enqueue(tenant, deadline)?;
        let limit = deadline.min(Instant::now() + self.shared.settings.max_wait);
        match timeout_at(limit, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(self.shared.expected_wait(self.shared.settings.max_queued)),
        }
    }

    fn enqueue(
        &self,
        tenant: &str,
        deadline: Instant,
    ) -> Result<oneshot::Receiver<AdmissionPermit>, Duration> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut queue = self.shared.lock();
            if queue.len() >= self.shared.settings.max_queued {
                queue.retain(|waiter: &Waiter| !waiter.is_closed());
            }
            let expected = self.shared.expected_wait(queue.ahead_of(tenant));
            let full = queue.len() >= self.shared.settings.max_queued;
            let too_late =
                Instant::now() + expected > deadline || expected > self.shared.settings.max_wait;
            if full || too_late {
                return Err(expected);
            }
            queue.push(tenant, sender);
        }
        // Capacity may have been released between the failed attempt and the enqueuing.
        self.shared.admit_waiting();
        Ok(receiver)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, FairQueue<Waiter>> {
        self.queue
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn try_admit(self: &Arc<Self>) -> Option<AdmissionPermit> {
        let capacity = self.capacity.load(Ordering::Relaxed);
        let incremented = |running: u32| (running < capacity).then_some(running + 1);
        self.running
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, incremented)
            .ok()?;
        Some(AdmissionPermit {
            shared: self.clone(),
            admitted_at: Instant::now(),
        })
    }

    fn admit_waiting(self: &Arc<Self>) {
        loop {
            let mut queue = self.lock();
            if queue.is_empty() {
                return;
            }
            let Some(permit) = self.try_admit() else {
                return;
            };
            let next = queue.pop();
            drop(queue);
            // If the waiter has timed out, the returned permit is dropped, which admits the next waiter.
            if let Some(waiter) = next {
                let _ = waiter.send(permit);
            }
        }
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let capacity = self.capacity.load(Ordering::Relaxed).max(1);
        let run_time = f64::from(self.mean_run_micros.load(Ordering::Relaxed));
        let rounds = (ahead as f64 + 1.0) / f64::from(capacity);
        Duration::from_secs_f64(run_time * rounds / 1e6)
    }

    fn note_run_time(&self, run_time: Duration) {
        let run_time = u32::try_from(run_time.as_micros()).unwrap_or(u32::MAX);
        let smoothed = |old: u32| Some(old - old / AVERAGE_DIVISOR + run_time / AVERAGE_DIVISOR);
        let _ = self
            .mean_run_micros
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, smoothed);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.shared.note_run_time(self.admitted_at.elapsed());
        self.shared.running.fetch_sub(1, Ordering::AcqRel);
        self.shared.admit_waiting();
    }
}
