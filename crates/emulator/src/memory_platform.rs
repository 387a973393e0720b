//! In-memory platform: table, object store, machine list and weight store, with rate limits and fault injection.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_external::{
    Condition, Machine, MachineList, MachineState, ObjectStore, PlatformError, PlatformErrorKind,
    RateBudget, ReplicaId, RequestClass, Row, Table, Transaction, TransactionOutcome, WeightStore,
    WeightTransfer, Write,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use crate::faults::StoreFaultsHandle;

const MODEL_BYTES: u64 = 16_000_000_000;

/// Rate limits and delays of the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformParameters {
    /// Limit of table calls per second; also the burst.
    pub table_rate: f64,
    /// Limit of object store calls per second; also the burst.
    pub object_rate: f64,
    /// Limit of weight transfers per minute.
    pub weight_loads_per_minute: f64,
    /// Delay of each store call.
    pub store_delay: Duration,
    /// Delay until a change is visible in the machine list.
    pub machine_lag: Duration,
    /// Seed for choosing which responses are lost.
    pub seed: u64,
}

impl Default for PlatformParameters {
    fn default() -> Self {
        Self {
            table_rate: 2000.0,
            object_rate: 2000.0,
            weight_loads_per_minute: 20.0,
            store_delay: Duration::from_millis(2),
            machine_lag: Duration::from_secs(5),
            seed: 1,
        }
    }
}

struct MachineChange {
    at: Instant,
    machine: Machine,
}

struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    machines: BTreeMap<ReplicaId, Vec<MachineChange>>,
    revision: u64,
    random: ChaCha8Rng,
    writes: u64,
    calls: u64,
}

/// In-memory platform; clones share its state.
#[derive(Clone)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
    table_budget: Arc<RateBudget>,
    object_budget: Arc<RateBudget>,
    weight_budget: Arc<RateBudget>,
    parameters: PlatformParameters,
    faults: StoreFaultsHandle,
}

impl MemoryPlatform {
    /// Creates a platform without rows, objects and machines.
    pub fn new(parameters: PlatformParameters) -> Self {
        let state = State {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            machines: BTreeMap::new(),
            revision: 0,
            random: ChaCha8Rng::seed_from_u64(parameters.seed),
            writes: 0,
            calls: 0,
        };
        let weight_rate = parameters.weight_loads_per_minute / 60.0;
        Self {
            state: Arc::new(Mutex::new(state)),
            table_budget: Arc::new(RateBudget::new(
                parameters.table_rate,
                parameters.table_rate,
            )),
            object_budget: Arc::new(RateBudget::new(
                parameters.object_rate,
                parameters.object_rate,
            )),
            weight_budget: Arc::new(RateBudget::new(weight_rate, 4.0)),
            parameters,
            faults: StoreFaultsHandle::default(),
        }
    }

    /// Returns the handle that sets the injected faults.
    pub fn faults(&self) -> &StoreFaultsHandle {
        &self.faults
    }

    /// Adds a machine or changes its state; visible to readers after the lag.
    pub fn set_machine(&self, machine: Machine) {
        let change = MachineChange {
            at: Instant::now(),
            machine: machine.clone(),
        };
        let mut state = self.lock();
        let changes = state.machines.entry(machine.replica).or_default();
        changes.push(change);
    }

    /// Adds a machine that is visible to readers immediately, replacing its history.
    pub fn seed_machine(&self, machine: Machine) {
        let at = Instant::now();
        let at = at.checked_sub(self.parameters.machine_lag).unwrap_or(at);
        let change = MachineChange {
            at,
            machine: machine.clone(),
        };
        self.lock()
            .machines
            .insert(machine.replica.clone(), vec![change]);
    }

    /// Marks a machine as leaving, visible after the lag; does nothing if it is not listed.
    pub fn mark_leaving(&self, replica: &ReplicaId) {
        let machine = {
            let state = self.lock();
            let changes = state.machines.get(replica);
            changes.and_then(|changes| changes.last().map(|change| change.machine.clone()))
        };
        if let Some(mut machine) = machine {
            machine.state = MachineState::Leaving;
            self.set_machine(machine);
        }
    }

    /// Returns a row without delay or faults, for checkers.
    pub fn peek(&self, key: &str) -> Option<Row> {
        self.lock().rows.get(key).cloned()
    }

    /// Returns the rows with a key prefix without delay or faults, for checkers.
    pub fn peek_prefix(&self, prefix: &str) -> Vec<Row> {
        let state = self.lock();
        let rows = state.rows.range(prefix.to_owned()..);
        rows.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Returns an object without delay or faults, for checkers.
    pub fn peek_object(&self, name: &str) -> Option<Bytes> {
        self.lock().objects.get(name).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Applies the delay, the injected outage and the rate limit to a store call.
    async fn admit_call(
        &self,
        step: &'static str,
        class: RequestClass,
        budget: &RateBudget,
    ) -> Result<(), PlatformError> {
        let faults = self.faults.get();
        let error = |kind, detail: &str| PlatformError::new(step, "memory platform", kind, detail);
        sleep(self.parameters.store_delay + faults.delay()).await;
        if self.faults.get().down {
            return Err(error(PlatformErrorKind::NotDone, "store is down"));
        }
        self.lock().calls += 1;
        budget.try_take(class).map_err(|retry_after| {
            error(PlatformErrorKind::RateLimited { retry_after }, "rate limit")
        })
    }

    /// Fails a write that took effect with the configured probability of a lost response.
    async fn inject_lost_response(&self, step: &'static str) -> Result<(), PlatformError> {
        let share = self.faults.get().lose_answers;
        let lost = share > 0.0 && self.lock().random.random::<f64>() < share;
        if !lost {
            return Ok(());
        }
        let kind = PlatformErrorKind::Unknown;
        let peer = "memory platform";
        Err(PlatformError::new(step, peer, kind, "answer lost"))
    }
}

impl State {
    fn holds(&self, condition: &Condition) -> bool {
        let row = self.rows.get(condition.key());
        match condition {
            Condition::Absent { .. } => row.is_none(),
            Condition::AtRevision { revision, .. } => {
                row.is_some_and(|row| row.revision == *revision)
            }
        }
    }

    fn apply(&mut self, transaction: Transaction) -> TransactionOutcome {
        let failed = transaction
            .conditions
            .iter()
            .find(|condition| !self.holds(condition));
        if let Some(condition) = failed {
            return TransactionOutcome::Conflict {
                key: condition.key().to_owned(),
                current: self.rows.get(condition.key()).cloned(),
                table_revision: self.revision,
            };
        }
        self.revision += 1;
        let revision = self.revision;
        self.writes += transaction.writes.len() as u64;
        for write in transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        value,
                        revision,
                    };
                    self.rows.insert(key, row);
                }
                Write::Delete { key } => {
                    self.rows.remove(&key);
                }
            }
        }
        TransactionOutcome::Committed { revision }
    }
}

#[async_trait]
impl Table for MemoryPlatform {
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        const STEP: &str = "table.transact";
        self.admit_call(STEP, class, &self.table_budget).await?;
        let outcome = self.lock().apply(transaction);
        self.inject_lost_response(STEP).await?;
        Ok(outcome)
    }

    async fn get(
        &self,
        class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        self.admit_call("table.get", class, &self.table_budget)
            .await?;
        let state = self.lock();
        Ok(keys
            .iter()
            .map(|key| state.rows.get(key).cloned())
            .collect())
    }

    async fn scan(
        &self,
        class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.admit_call("table.scan", class, &self.table_budget)
            .await?;
        let state = self.lock();
        let start = if after > prefix {
            Bound::Excluded(after.to_owned())
        } else {
            Bound::Included(prefix.to_owned())
        };
        let rows = state.rows.range((start, Bound::Unbounded));
        Ok(rows
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect())
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn put(&self, class: RequestClass, name: &str, body: Bytes) -> Result<(), PlatformError> {
        const STEP: &str = "objects.put";
        self.admit_call(STEP, class, &self.object_budget).await?;
        self.lock().objects.insert(name.to_owned(), body);
        self.inject_lost_response(STEP).await
    }

    async fn get(&self, class: RequestClass, name: &str) -> Result<Bytes, PlatformError> {
        const STEP: &str = "objects.get";
        self.admit_call(STEP, class, &self.object_budget).await?;
        self.lock().objects.get(name).cloned().ok_or_else(|| {
            PlatformError::new(STEP, "memory platform", PlatformErrorKind::NotFound, name)
        })
    }

    async fn delete(&self, class: RequestClass, name: &str) -> Result<(), PlatformError> {
        self.admit_call("objects.delete", class, &self.object_budget)
            .await?;
        self.lock().objects.remove(name);
        Ok(())
    }
}

#[async_trait]
impl MachineList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        if self.faults.get().down {
            let kind = PlatformErrorKind::NotDone;
            return Err(PlatformError::new(
                "machines.list",
                "memory platform",
                kind,
                "store is down",
            ));
        }
        let now = Instant::now();
        let lag = self.parameters.machine_lag;
        let state = self.lock();
        let visible = |change: &&MachineChange| now.saturating_duration_since(change.at) >= lag;
        Ok(state
            .machines
            .values()
            .filter_map(|changes| changes.iter().rev().find(visible))
            .map(|change| change.machine.clone())
            .collect())
    }
}

#[async_trait]
impl WeightStore for MemoryPlatform {
    async fn reserve(&self, model: &str) -> Result<WeightTransfer, PlatformError> {
        const STEP: &str = "weights.reserve";
        self.admit_call(STEP, RequestClass::Urgent, &self.weight_budget)
            .await?;
        Ok(WeightTransfer {
            model: model.to_owned(),
            bytes: MODEL_BYTES,
            expected: Duration::from_secs(20),
        })
    }
}
