//! Dispatch of a request to a replica, with retries at other replicas.

use std::sync::Arc;
use std::time::Duration;

use harrierward_execution::Execution;
use harrierward_external::{EngineError, GenerateRequest, Priority, ReplicaId, prefix_blocks};
use harrierward_routing::RouteRequest;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, timeout};

use super::{Attempt, BYTES_PER_TOKEN, Gateway, PREFIX, PrefixUpdate, as_micros, no_replica};
use crate::call::Call;
use crate::directory::Replica;
use crate::errors::GatewayError;

impl Gateway {
    /// Sends the request to a replica. After a failure it retries at another one, if the request certainly did not run
    /// or may run again.
    pub(crate) async fn connect(
        &self,
        call: &Call,
        mut excluded: Vec<ReplicaId>,
        resume_from: u32,
    ) -> Result<Attempt, GatewayError> {
        const STEP: &str = "gateway.connect";
        let (service, model) = self.model_of(call)?;
        let blocks = Arc::new(prefix_blocks(&model, &call.spec.prompt));
        let mut execution = Execution::default();
        loop {
            let Some((replica, uncached)) = self.route(&service, call, &blocks, &excluded) else {
                return Err(no_replica().merge_execution(execution));
            };
            let error = match self
                .send(call, &model, &replica, uncached, resume_from)
                .await
            {
                Ok(attempt) => {
                    let update = PrefixUpdate {
                        replica: replica.number,
                        blocks: blocks.clone(),
                    };
                    let _ = self.inner.updates.send(update);
                    return Ok(attempt);
                }
                Err(error) => error,
            };
            let not_run = matches!(
                error,
                EngineError::NotRun { .. } | EngineError::Fenced { .. }
            );
            if !not_run {
                execution.merge(Execution::Unknown);
            }
            self.penalize(&replica);
            log::debug!("{PREFIX} {error}");
            let peer = replica.machine.replica.0.clone();
            let failed = |code: &'static str, message: String| {
                GatewayError::not_run(STEP, 503, code, message)
                    .merge_execution(execution)
                    .with_peer(peer.clone())
                    .with_retry_after(Duration::from_secs(1))
            };
            let may_retry = not_run || call.idempotency.is_none();
            if !may_retry {
                return Err(failed("engine_failed", error.to_string()));
            }
            if Instant::now() >= call.deadline {
                return Err(failed("deadline", error.to_string()));
            }
            if !self.take_retry() {
                return Err(failed("retry_budget", error.to_string()));
            }
            excluded.push(replica.machine.replica.clone());
        }
    }

    fn route(
        &self,
        service: &str,
        call: &Call,
        blocks: &[u64],
        excluded: &[ReplicaId],
    ) -> Option<(Arc<Replica>, u32)> {
        let directory = self.inner.parts.directory.load();
        let entry = directory.services.get(service)?;
        let excluded: Vec<usize> = excluded
            .iter()
            .filter_map(|id| {
                let same = |replica: &Arc<Replica>| replica.machine.replica == *id;
                entry.replicas.iter().position(same)
            })
            .collect();
        let tokens = call.spec.prompt.len() / BYTES_PER_TOKEN + 1;
        let request = RouteRequest {
            blocks,
            prompt_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
        let seed = self.inner.settings.seed ^ self.next_id();
        let mut random = SmallRng::seed_from_u64(seed);
        let index = self.inner.index.load();
        let choice =
            entry
                .table
                .choose(&request, &index, &excluded, self.now_micros(), &mut random)?;
        let replica = entry.replicas[choice.position].clone();
        Some((replica, choice.uncached_tokens))
    }

    async fn send(
        &self,
        call: &Call,
        model: &str,
        replica: &Arc<Replica>,
        uncached: u32,
        resume_from: u32,
    ) -> Result<Attempt, EngineError> {
        let request_id = format!("{}-{:x}", self.inner.parts.member, self.next_id());
        let request = GenerateRequest {
            request_id: request_id.clone(),
            model: model.to_owned(),
            prompt: call.spec.prompt.clone(),
            maximum_tokens: call.spec.maximum_tokens,
            priority: Priority::Online,
            resume_from,
            epoch: None,
        };
        // Counted before sending, so that concurrent routing includes it; dropping the attempt reverts the count.
        replica.load.note_sent(uncached);
        replica.online.note_sent(uncached);
        let pending = futures::stream::pending();
        let mut attempt = Attempt::new(request_id, Box::pin(pending), replica.clone(), uncached);
        let limit = self.inner.settings.connect_timeout;
        let events = timeout(limit, replica.engine.generate(request)).await;
        attempt.events = events.unwrap_or_else(|_| {
            Err(EngineError::Unknown {
                step: "engine.generate",
                peer: replica.machine.address.clone(),
                detail: "no answer in time".to_owned(),
            })
        })?;
        Ok(attempt)
    }

    /// Makes routing avoid a replica for the penalty period.
    fn penalize(&self, replica: &Arc<Replica>) {
        let penalty = self.inner.settings.penalty;
        let until = self.now() + penalty;
        replica.load.penalize(as_micros(until));
    }
}
