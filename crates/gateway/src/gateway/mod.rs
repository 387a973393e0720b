//! Request path from the parsed call to the response stream.

mod attempt;
mod claiming;
mod dispatch;
mod prefix_index;

pub(crate) use attempt::Attempt;
use claiming::{Claimed, ResendWait};
use prefix_index::update_index;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_claims::{Claim, Claims};
use harrierward_config::ConfigSnapshot;
use harrierward_decisions::DecisionLog;
use harrierward_routing::PrefixIndex;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::{Admission, AdmissionPermit, AdmissionSettings};
use crate::call::Call;
use crate::directory::ReplicaDirectory;
use crate::errors::GatewayError;
use crate::limits::{InProgress, LimitDecision, TenantLimits};
use crate::metrics::GatewayMetrics;
use crate::response::{ResponseState, ResponseStream, run_idempotent};
use crate::retry::RetryBudget;

const PREFIX: &str = "gateway:";

/// Settings of the request path.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings {
    /// Bounds of the admission queues.
    pub admission: AdmissionSettings,
    /// Maximum number of online requests per replica from one gateway; sets the capacity of a service.
    pub requests_per_replica: u32,
    /// Timeout for an engine to accept a request.
    pub connect_timeout: Duration,
    /// Timeout for the next event of a stream, after which the stream is considered stalled and is resumed elsewhere.
    pub stall_timeout: Duration,
    /// Duration for which routing avoids a replica after a failed request.
    pub penalty: Duration,
    /// Interval between updates of the prefix index.
    pub index_interval: Duration,
    /// Time after which a prefix is no longer considered cached, unless it was sent again.
    pub prefix_ttl: Duration,
    /// Seed of the random routing choices.
    pub seed: u64,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            admission: AdmissionSettings::default(),
            requests_per_replica: 96,
            connect_timeout: Duration::from_secs(2),
            stall_timeout: Duration::from_secs(10),
            penalty: Duration::from_secs(2),
            index_interval: Duration::from_millis(50),
            prefix_ttl: Duration::from_secs(120),
            seed: 0,
        }
    }
}

/// Dependencies of a gateway.
pub struct GatewayParts {
    /// Member id of the daemon, the prefix of its request ids.
    pub member: String,
    /// Current configuration; the daemon replaces it when it adopts a newer revision.
    pub config: Arc<ArcSwap<ConfigSnapshot>>,
    /// Directory of replicas.
    pub directory: Arc<ReplicaDirectory>,
    /// Client of the claim service.
    pub claims: Claims,
    /// Metrics of the request path.
    pub metrics: GatewayMetrics,
    /// Log that receives the decision records of resends.
    pub log: DecisionLog,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub now_ms: fn() -> u64,
    /// Start of the daemon, the origin of the timestamps of replica loads.
    pub started: Instant,
}

/// Prompt blocks that a replica will have in its prefix cache, because the prompt was sent to it.
struct PrefixUpdate {
    replica: u32,
    blocks: Arc<Vec<u64>>,
}

struct Inner {
    parts: GatewayParts,
    settings: GatewaySettings,
    limits: TenantLimits,
    admissions: ArcSwap<HashMap<String, Admission>>,
    index: ArcSwap<PrefixIndex>,
    updates: mpsc::UnboundedSender<PrefixUpdate>,
    retries: RetryBudget,
    counter: AtomicU64,
    /// Resends that wait for another attempt. They hold no admission permit, but a graceful shutdown awaits them.
    waiting_resends: AtomicUsize,
}

/// Gateway of one daemon; clones share their state.
#[derive(Clone)]
pub struct Gateway {
    inner: Arc<Inner>,
}

impl Gateway {
    /// Builds a gateway and spawns its index task on the current tokio runtime.
    pub fn start(parts: GatewayParts, settings: GatewaySettings) -> Self {
        let (updates, receiver) = mpsc::unbounded_channel();
        let ttl_micros = u64::try_from(settings.prefix_ttl.as_micros()).unwrap_or(u64::MAX);
        let inner = Arc::new(Inner {
            parts,
            settings,
            limits: TenantLimits::default(),
            admissions: ArcSwap::from_pointee(HashMap::new()),
            index: ArcSwap::from_pointee(PrefixIndex::new(ttl_micros)),
            updates,
            retries: RetryBudget::default(),
            counter: AtomicU64::new(0),
            waiting_resends: AtomicUsize::new(0),
        });
        tokio::spawn(update_index(Arc::downgrade(&inner), receiver));
        Self { inner }
    }

    /// Applies the tenant limits of a new configuration.
    pub fn configure(&self, config: &ConfigSnapshot) {
        self.inner.limits.configure(config);
    }

    /// Updates the capacity of each service after a change of the directory.
    pub fn replicas_changed(&self) {
        let directory = self.inner.parts.directory.load();
        let old = self.inner.admissions.load();
        let mut admissions = HashMap::new();
        for (service, entry) in &directory.services {
            let replicas = u32::try_from(entry.replicas.len()).unwrap_or(u32::MAX);
            let capacity = replicas.saturating_mul(self.inner.settings.requests_per_replica);
            let admission = match old.get(service) {
                Some(admission) => {
                    admission.set_capacity(capacity);
                    admission.clone()
                }
                None => Admission::new(capacity, self.inner.settings.admission),
            };
            admissions.insert(service.clone(), admission);
        }
        self.inner.admissions.store(Arc::new(admissions));
    }

    pub(crate) fn settings(&self) -> &GatewaySettings {
        &self.inner.settings
    }

    pub(crate) fn metrics(&self) -> &GatewayMetrics {
        &self.inner.parts.metrics
    }

    pub(crate) fn take_retry(&self) -> bool {
        let taken = self.inner.retries.withdraw();
        if taken {
            self.metrics().retries.inc();
        }
        taken
    }

    pub(crate) fn note_success(&self) {
        self.inner.retries.deposit();
        self.count_outcome("ok");
    }

    pub(crate) fn count_outcome(&self, outcome: &str) {
        self.metrics().requests.with_label_values(&[outcome]).inc();
    }

    fn now(&self) -> Duration {
        self.inner.parts.started.elapsed()
    }

    fn now_micros(&self) -> u64 {
        as_micros(self.now())
    }

    fn next_id(&self) -> u64 {
        self.inner.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the numbers of running and of waiting requests over all services; the latter include waiting resends.
    pub fn load(&self) -> (u32, usize) {
        let admissions = self.inner.admissions.load();
        let waiting_resends = self.inner.waiting_resends.load(Ordering::Relaxed);
        admissions
            .values()
            .fold((0, waiting_resends), |(running, waiting), admission| {
                let (more_running, more_waiting) = admission.load();
                (running + more_running, waiting + more_waiting)
            })
    }

    /// Starts a call. After an error no part of a response was delivered.
    pub async fn call(&self, call: Call) -> Result<ResponseStream, GatewayError> {
        let result = if call.idempotency.is_some() {
            self.call_detached(call).await
        } else {
            self.try_call(call).await
        };
        if let Err(error) = &result {
            self.count_outcome(error.code);
        }
        result
    }

    /// Runs an idempotent call in its own task, so that a disconnected caller leaves no undispatched claim.
    async fn call_detached(&self, call: Call) -> Result<ResponseStream, GatewayError> {
        let gateway = self.clone();
        let task = tokio::spawn(async move { gateway.try_call(call).await });
        task.await.unwrap_or_else(|error| {
            let message = error.to_string();
            Err(GatewayError::unknown(
                "gateway.call",
                500,
                "internal",
                message,
            ))
        })
    }

    async fn try_call(&self, call: Call) -> Result<ResponseStream, GatewayError> {
        let service = self.service_of(&call)?;
        let in_progress = match self.admit_tenant(&call)? {
            LimitDecision::Admitted(in_progress) => in_progress,
            LimitDecision::Refused { retry_after, limit } => {
                let message = format!("limit {limit} of this tenant is met");
                let error = GatewayError::not_run("gateway.limits", 429, "rate_limited", message);
                return Err(error.with_retry_after(retry_after));
            }
        };
        let mut wait = ResendWait::new(&call);
        loop {
            let admitted = self.admit_to_service(&service, &call).await;
            let permit = admitted.map_err(|error| wait.with_execution(error))?;
            let started = Instant::now();
            let claim = match &call.idempotency {
                None => None,
                Some(idempotency) => match self.claim(idempotency).await {
                    Ok(Claimed::Granted(claim)) => {
                        if wait.has_waited() {
                            self.note_resend(idempotency, &wait, "run_after_release");
                        }
                        Some(claim)
                    }
                    Ok(Claimed::Completed(stored)) => {
                        self.note_resend(idempotency, &wait, "stored");
                        return Ok(ResponseStream::replay(stored, call.identity));
                    }
                    Ok(Claimed::Held(holder)) => {
                        // A waiting resend must not occupy capacity of the service.
                        drop(permit);
                        self.wait_for_holder(idempotency, holder, &mut wait).await?;
                        continue;
                    }
                    Err(error) => return Err(wait.with_execution(error)),
                },
            };
            let permits = Permits {
                permit,
                in_progress,
                started,
            };
            return self.run(call, claim, permits).await;
        }
    }

    /// Waits for admission to a service.
    async fn admit_to_service(
        &self,
        service: &str,
        call: &Call,
    ) -> Result<AdmissionPermit, GatewayError> {
        let admission = self.inner.admissions.load().get(service).cloned();
        let admission = admission.ok_or_else(no_replica)?;
        let admitted = admission.admit(&call.tenant, call.deadline).await;
        admitted.map_err(|retry_after| {
            let message = "the service is at its capacity";
            GatewayError::not_run("gateway.admission", 503, "overloaded", message)
                .with_retry_after(retry_after)
        })
    }

    /// Dispatches an admitted call, with its claim if it is idempotent.
    async fn run(
        &self,
        call: Call,
        claim: Option<Claim>,
        permits: Permits,
    ) -> Result<ResponseStream, GatewayError> {
        let attempt = match self.connect(&call, Vec::new(), 0).await {
            Ok(attempt) => attempt,
            Err(error) => {
                if let Some(claim) = &claim {
                    self.release_if_not_run(&error, claim);
                }
                return Err(error);
            }
        };
        let identity = call.identity.clone();
        let state = ResponseState {
            gateway: self.clone(),
            call,
            attempt,
            delivered: 0,
            resumes: 0,
            started: permits.started,
            has_ended: false,
            _permit: permits.permit,
            _in_progress: permits.in_progress,
        };
        Ok(match claim {
            None => ResponseStream::new(identity, state.into_stream()),
            Some(claim) => run_idempotent(state, self.inner.parts.claims.clone(), claim),
        })
    }

    fn service_of(&self, call: &Call) -> Result<String, GatewayError> {
        let config = self.inner.parts.config.load();
        let endpoint = &call.spec.endpoint;
        let found = config
            .endpoint(endpoint)
            .filter(|_| config.may_call(&call.tenant, endpoint));
        match found {
            Some((_, spec)) => Ok(spec.service.clone()),
            None => {
                let message = format!("model: no model named {endpoint}");
                let step = "gateway.endpoint";
                Err(GatewayError::not_run(step, 404, "model_not_found", message))
            }
        }
    }

    fn model_of(&self, call: &Call) -> Result<(String, String), GatewayError> {
        let service = self.service_of(call)?;
        let config = self.inner.parts.config.load();
        let model = config
            .service(&service)
            .map(|(_, spec)| spec.model.clone())
            .ok_or_else(no_replica)?;
        Ok((service, model))
    }

    fn admit_tenant(&self, call: &Call) -> Result<LimitDecision, GatewayError> {
        let now = self.now_micros();
        let endpoint = &call.spec.endpoint;
        let decision = self.inner.limits.admit(&call.tenant, endpoint, now);
        // The limits are updated shortly after the configuration.
        decision.ok_or_else(|| {
            let message = "the endpoint is being set up";
            GatewayError::not_run("gateway.limits", 503, "not_ready", message)
                .with_retry_after(Duration::from_millis(500))
        })
    }
}

fn as_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Estimated bytes of prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// Guards that a call holds while it runs.
struct Permits {
    permit: AdmissionPermit,
    in_progress: InProgress,
    started: Instant,
}

fn no_replica() -> GatewayError {
    let message = "no replica can take the request now";
    GatewayError::not_run("gateway.route", 503, "no_replica", message)
        .with_retry_after(Duration::from_secs(1))
}
