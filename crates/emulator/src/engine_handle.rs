//! Runs one [`EngineCore`] on tokio's clock and exposes it as an [`Engine`], with fault injection.

use std::collections::{BTreeMap, HashMap};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use async_trait::async_trait;
use futures::Stream;
use harrierward_external::{
    CacheEventPage, CommandKind, Engine, EngineCommand, EngineError, EngineEvent, EngineLoad,
    EventStream, GenerateRequest, Priority,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};

use crate::engine_core::{EngineCore, EngineParameters, SubmitRefusal};

/// Outcome of a generation at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// Not completed.
    Running,
    /// All tokens generated.
    Finished,
    /// Cancelled, or its stream was dropped by the reader.
    Cancelled,
    /// Lost in a crash of the engine or cut by an injected fault.
    Crashed,
}

/// Record of a generation that the engine accepted, for checkers.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Request id of the attempt.
    pub request_id: String,
    /// Prompt; checkers use it to find the client's request.
    pub prompt: String,
    /// Scheduling class.
    pub priority: Priority,
    /// When the engine accepted it, since the engine started.
    pub started: Duration,
    /// First sequence number requested; above 0 if the attempt resumes an earlier one.
    pub resume_from: u32,
    /// Latest outcome.
    pub outcome: ExecutionOutcome,
}

/// A request refused because the engine was leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedWhileLeaving {
    /// Request id of the attempt.
    pub request_id: String,
    /// Time of the refusal, since the engine started.
    pub at: Duration,
}

/// Faults that can be injected into an engine.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Whether calls fail as if the connection were refused.
    pub down: AtomicBool,
    /// Whether the engine runs no steps.
    pub frozen: AtomicBool,
    /// Number of next events that are also sent to another reader.
    pub cross_events: AtomicU32,
    /// Number of next events that are sent twice.
    pub repeat_events: AtomicU32,
    /// Number of streams to cut after their next event.
    pub cut_streams: AtomicU32,
}

type EventSender = mpsc::UnboundedSender<Result<EngineEvent, EngineError>>;

struct Inner {
    core: EngineCore,
    senders: BTreeMap<String, EventSender>,
    executions: Vec<Execution>,
    refused_while_leaving: Vec<RefusedWhileLeaving>,
    running_executions: HashMap<String, usize>,
}

struct Shared {
    name: String,
    inner: Mutex<Inner>,
    wake: Notify,
    started: Instant,
    time_scale: f64,
    records_executions: bool,
    faults: EngineFaults,
}

/// Handle of an engine that runs in this process; clones share it.
#[derive(Clone)]
pub struct EngineHandle {
    shared: Arc<Shared>,
}

impl EngineHandle {
    /// Starts an engine on the current tokio runtime, with step times multiplied by `time_scale`.
    /// If `records_executions` is set, [`Self::executions`] lists its generations.
    pub fn start(
        name: &str,
        parameters: EngineParameters,
        models: Vec<String>,
        time_scale: f64,
        records_executions: bool,
    ) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let inner = Inner {
            core: EngineCore::new(parameters, models, seed),
            senders: BTreeMap::new(),
            executions: Vec::new(),
            refused_while_leaving: Vec::new(),
            running_executions: HashMap::new(),
        };
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            inner: Mutex::new(inner),
            wake: Notify::new(),
            started: Instant::now(),
            time_scale,
            records_executions,
            faults: EngineFaults::default(),
        });
        tokio::spawn(run_steps(shared.clone()));
        Self { shared }
    }

    /// Returns the injected faults, which the caller may change.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Crashes the engine: all streams break and all requests are lost.
    pub fn crash(&self) {
        let mut inner = self.shared.lock();
        for request_id in inner.core.crash() {
            inner.end_execution(&request_id, ExecutionOutcome::Crashed);
        }
        inner.senders.clear();
    }

    /// Returns the recorded generations in the order of their acceptance.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions.clone()
    }

    /// Returns the requests that were refused because the engine was leaving.
    pub fn refused_while_leaving(&self) -> Vec<RefusedWhileLeaving> {
        self.shared.lock().refused_while_leaving.clone()
    }

    /// Returns the current load without the lag of load reports, for measurements.
    pub fn current_load(&self) -> EngineLoad {
        self.shared.lock().core.current_load()
    }

    /// Refuses new requests from now on; accepted ones are completed.
    pub fn leave(&self) {
        self.shared.lock().core.leave();
    }

    fn check_available(&self, step: &'static str) -> Result<(), EngineError> {
        if self.shared.faults.down.load(Ordering::Relaxed) {
            return Err(self.not_run(step, "connection refused"));
        }
        Ok(())
    }

    fn not_run(&self, step: &'static str, detail: &str) -> EngineError {
        EngineError::NotRun {
            step,
            peer: self.shared.name.clone(),
            detail: detail.to_owned(),
        }
    }

    fn refusal(&self, step: &'static str, sent: u64, refusal: SubmitRefusal) -> EngineError {
        match refusal {
            SubmitRefusal::Fenced { seen } => EngineError::Fenced {
                step,
                peer: self.shared.name.clone(),
                sent,
                seen,
            },
            SubmitRefusal::Leaving => self.not_run(step, "engine is leaving"),
            SubmitRefusal::NoSuchModel => self.not_run(step, "model is not loaded"),
            SubmitRefusal::Duplicate => self.not_run(step, "request id is already running"),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now_micros(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn drop_request(&self, request_id: &str) {
        let mut inner = self.lock();
        inner.senders.remove(request_id);
        if inner.core.cancel(request_id).is_some() {
            inner.end_execution(request_id, ExecutionOutcome::Cancelled);
        }
    }

    fn deliver(&self, events: Vec<EngineEvent>) {
        let mut inner = self.lock();
        for event in events {
            if event.finish.is_some() {
                inner.end_execution(&event.request_id, ExecutionOutcome::Finished);
            }
            if take_one(&self.faults.cross_events) {
                inner.send_to_another(&event);
            }
            if take_one(&self.faults.repeat_events) {
                inner.send(event.clone());
            }
            let request_id = event.request_id.clone();
            inner.send(event);
            if take_one(&self.faults.cut_streams) {
                inner.senders.remove(&request_id);
                if inner.core.cancel(&request_id).is_some() {
                    inner.end_execution(&request_id, ExecutionOutcome::Crashed);
                }
            }
        }
    }
}

impl Inner {
    fn send(&mut self, event: EngineEvent) {
        let last = event.finish.is_some();
        let request_id = event.request_id.clone();
        if let Some(sender) = self.senders.get(&request_id) {
            let _ = sender.send(Ok(event));
        }
        if last {
            self.senders.remove(&request_id);
        }
    }

    fn send_to_another(&self, event: &EngineEvent) {
        let other = self.senders.iter().find(|(id, _)| **id != event.request_id);
        if let Some((_, sender)) = other {
            let _ = sender.send(Ok(event.clone()));
        }
    }

    fn end_execution(&mut self, request_id: &str, outcome: ExecutionOutcome) {
        if let Some(index) = self.running_executions.remove(request_id) {
            self.executions[index].outcome = outcome;
        }
    }
}

fn take_one(counter: &AtomicU32) -> bool {
    let decrement = |left: u32| left.checked_sub(1);
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
        .is_ok()
}

const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn run_steps(shared: Arc<Shared>) {
    loop {
        while shared.faults.frozen.load(Ordering::Relaxed) {
            sleep(FROZEN_POLL_INTERVAL).await;
        }
        let now = shared.now_micros();
        let plan = {
            let mut inner = shared.lock();
            inner.core.finish_loads(now);
            inner.core.begin_step()
        };
        let Some(plan) = plan else {
            shared.wake.notified().await;
            continue;
        };
        let duration = Duration::from_micros(plan.duration_micros).mul_f64(shared.time_scale);
        if duration.is_zero() {
            tokio::task::yield_now().await;
        } else {
            sleep(duration).await;
        }
        let now = shared.now_micros();
        let events = shared.lock().core.finish_step(now);
        shared.deliver(events);
    }
}

/// Event stream of one generation; dropping it cancels the generation.
struct HandleStream {
    receiver: mpsc::UnboundedReceiver<Result<EngineEvent, EngineError>>,
    shared: Arc<Shared>,
    request_id: String,
}

impl Stream for HandleStream {
    type Item = Result<EngineEvent, EngineError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(context)
    }
}

impl Drop for HandleStream {
    fn drop(&mut self) {
        self.shared.drop_request(&self.request_id);
    }
}

#[async_trait]
impl Engine for EngineHandle {
    async fn generate(&self, request: GenerateRequest) -> Result<EventStream, EngineError> {
        const STEP: &str = "engine.generate";
        self.check_available(STEP)?;
        let request_id = request.request_id.clone();
        let sent = request.epoch.unwrap_or_default();
        let execution = Execution {
            request_id: request_id.clone(),
            prompt: request.prompt.clone(),
            priority: request.priority,
            started: self.shared.started.elapsed(),
            resume_from: request.resume_from,
            outcome: ExecutionOutcome::Running,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        {
            let mut inner = self.shared.lock();
            if let Err(refusal) = inner.core.submit(request) {
                if refusal == SubmitRefusal::Leaving {
                    let at = self.shared.started.elapsed();
                    inner
                        .refused_while_leaving
                        .push(RefusedWhileLeaving { request_id, at });
                }
                return Err(self.refusal(STEP, sent, refusal));
            }
            inner.senders.insert(request_id.clone(), sender);
            if self.shared.records_executions {
                let index = inner.executions.len();
                inner.executions.push(execution);
                inner.running_executions.insert(request_id.clone(), index);
            }
        }
        self.shared.wake.notify_one();
        Ok(Box::pin(HandleStream {
            receiver,
            shared: self.shared.clone(),
            request_id,
        }))
    }

    async fn cancel(&self, request_id: &str) -> Result<(), EngineError> {
        self.check_available("engine.cancel")?;
        self.shared.drop_request(request_id);
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.check_available("engine.load")?;
        let now = self.shared.now_micros();
        Ok(self.shared.lock().core.reported_load(now))
    }

    async fn cache_events(&self, after: u64) -> Result<CacheEventPage, EngineError> {
        self.check_available("engine.cache_events")?;
        let now = self.shared.now_micros();
        let events = self.shared.lock().core.cache_events(after, now);
        Ok(CacheEventPage { events })
    }

    async fn execute(&self, command: EngineCommand) -> Result<(), EngineError> {
        const STEP: &str = "engine.order";
        self.check_available(STEP)?;
        let now = self.shared.now_micros();
        let mut inner = self.shared.lock();
        inner
            .core
            .check_epoch(Some(command.epoch))
            .map_err(|refusal| self.refusal(STEP, command.epoch, refusal))?;
        match command.kind {
            CommandKind::Fence => {}
            CommandKind::LoadModel { model } => inner.core.load_model(model, now),
            CommandKind::UnloadModel { model } => inner.core.unload_model(&model),
            CommandKind::Leave => inner.core.leave(),
        }
        Ok(())
    }

    async fn export_prefix(&self, block: u64) -> Result<Option<Vec<u64>>, EngineError> {
        self.check_available("engine.export_prefix")?;
        let cached = self.shared.lock().core.has_block(block);
        Ok(cached.then(|| vec![block]))
    }

    async fn import_prefix(&self, blocks: Vec<u64>) -> Result<(), EngineError> {
        self.check_available("engine.import_prefix")?;
        let now = self.shared.now_micros();
        self.shared.lock().core.import_blocks(&blocks, now);
        Ok(())
    }
}
