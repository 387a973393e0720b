//! Access of a simulated daemon to platform and engines through its gate, with optionally disabled guards.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_emulator::{EngineHandle, MemoryPlatform};
use harrierward_external::{
    CacheEventPage, Engine, EngineCommand, EngineError, EngineLoad, EventStream, GenerateRequest,
    Machine, MachineList, ObjectStore, PlatformError, RequestClass, Row, Table, Transaction,
    TransactionOutcome, WeightStore, WeightTransfer, Write,
};
use harrierward_gateway::EngineConnector;

use harrierward_wire::{JobRow, JobState, decode, encode};

use super::gate::Gate;
use super::world::BrokenGuards;

/// Platform behind a gate.
pub struct GatedPlatform {
    pub gate: Gate,
    pub platform: MemoryPlatform,
    pub broken: BrokenGuards,
}

/// Key prefixes of rows whose conditions fence previous owners.
const FENCED_PREFIXES: [&str; 2] = ["owner/shard/", "chunk/"];

/// Reverts a job row in state cancelling to in progress.
fn hide_cancel(mut row: Row) -> Row {
    if row.key.starts_with("job/")
        && let Some(mut job) = decode::<JobRow>(&row.value)
        && job.state == JobState::Cancelling as i32
    {
        job.state = JobState::InProgress as i32;
        row.value = encode(&job).into();
    }
    row
}

/// Removes the conditions on fenced rows, except for those on shard owner rows that the transaction itself writes.
fn without_fences(mut transaction: Transaction) -> Transaction {
    transaction.conditions.retain(|condition| {
        let key = condition.key();
        let is_takeover = transaction.writes.iter().any(|write| match write {
            Write::Put { key: written, .. } => {
                written == key && key.starts_with(FENCED_PREFIXES[0])
            }
            Write::Delete { .. } => false,
        });
        is_takeover || !FENCED_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
    });
    transaction
}

#[async_trait]
impl Table for GatedPlatform {
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let transaction = if self.broken.no_fencing {
            without_fences(transaction)
        } else {
            transaction
        };
        let call = self.platform.transact(class, transaction);
        self.gate.call_through(call).await
    }

    async fn get(
        &self,
        class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        let call = Table::get(&self.platform, class, keys);
        let rows = self.gate.call_through(call).await?;
        if self.broken.no_cancel_notice && class == RequestClass::Urgent {
            return Ok(rows.into_iter().map(|row| row.map(hide_cancel)).collect());
        }
        Ok(rows)
    }

    async fn scan(
        &self,
        class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let call = self.platform.scan(class, prefix, after, limit);
        self.gate.call_through(call).await
    }
}

#[async_trait]
impl ObjectStore for GatedPlatform {
    async fn put(&self, class: RequestClass, name: &str, body: Bytes) -> Result<(), PlatformError> {
        self.gate
            .call_through(self.platform.put(class, name, body))
            .await
    }

    async fn get(&self, class: RequestClass, name: &str) -> Result<Bytes, PlatformError> {
        let call = ObjectStore::get(&self.platform, class, name);
        self.gate.call_through(call).await
    }

    async fn delete(&self, class: RequestClass, name: &str) -> Result<(), PlatformError> {
        self.gate
            .call_through(self.platform.delete(class, name))
            .await
    }
}

#[async_trait]
impl MachineList for GatedPlatform {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        self.gate.call_through(self.platform.list()).await
    }
}

#[async_trait]
impl WeightStore for GatedPlatform {
    async fn reserve(&self, model: &str) -> Result<WeightTransfer, PlatformError> {
        self.gate.call_through(self.platform.reserve(model)).await
    }
}

/// Engine behind a gate.
struct GatedEngine {
    gate: Gate,
    engine: EngineHandle,
    broken: BrokenGuards,
}

/// Gives every event the reader's request id and the next sequence number, so that misrouted ones pass its checks.
fn overwrite_event_ids(stream: EventStream, request: &GenerateRequest) -> EventStream {
    let request_id = request.request_id.clone();
    let mut next = request.resume_from;
    let overwritten = stream.map(move |event| {
        let mut event = event?;
        event.request_id = request_id.clone();
        event.sequence = next;
        next += 1;
        Ok(event)
    });
    Box::pin(overwritten)
}

#[async_trait]
impl Engine for GatedEngine {
    async fn generate(&self, request: GenerateRequest) -> Result<EventStream, EngineError> {
        self.gate.pass().await;
        let stream = self.engine.generate(request.clone()).await?;
        let stream = if self.broken.no_event_check {
            overwrite_event_ids(stream, &request)
        } else {
            stream
        };
        let stream = self.gate.guard(stream);
        self.gate.pass().await;
        Ok(stream)
    }

    async fn cancel(&self, request_id: &str) -> Result<(), EngineError> {
        self.gate.call_through(self.engine.cancel(request_id)).await
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        let mut load = self.gate.call_through(self.engine.load()).await?;
        load.leaving &= !self.broken.no_leaving_report;
        Ok(load)
    }

    async fn cache_events(&self, after: u64) -> Result<CacheEventPage, EngineError> {
        self.gate
            .call_through(self.engine.cache_events(after))
            .await
    }

    async fn execute(&self, command: EngineCommand) -> Result<(), EngineError> {
        self.gate.call_through(self.engine.execute(command)).await
    }

    async fn export_prefix(&self, block: u64) -> Result<Option<Vec<u64>>, EngineError> {
        self.gate
            .call_through(self.engine.export_prefix(block))
            .await
    }

    async fn import_prefix(&self, blocks: Vec<u64>) -> Result<(), EngineError> {
        self.gate
            .call_through(self.engine.import_prefix(blocks))
            .await
    }
}

/// Connects to engines by address, behind a gate.
pub struct GatedConnector {
    pub gate: Gate,
    pub engines: Arc<BTreeMap<String, EngineHandle>>,
    pub broken: BrokenGuards,
}

impl EngineConnector for GatedConnector {
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine> {
        Arc::new(GatedEngine {
            gate: self.gate.clone(),
            engine: self.engines[&machine.address].clone(),
            broken: self.broken,
        })
    }
}
