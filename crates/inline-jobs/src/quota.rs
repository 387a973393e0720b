//! A job's tokens: asked of the coordinator of the route's quota, whom the store names, or of this daemon after it has
//! made itself the coordinator.
//!
//! Why not estimates by datagram: daemons that do not hear of each other, or of a write that is done seconds later,
//! would exceed the quota together. Why not a count in the store: all jobs of a route would wait for each other there.
//! Here the store is asked once for each change of the coordinator, and each job's own transaction carries one more
//! condition.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::Route;
use harrierward_wire::{QuotaFenceRow, QuotaOutcome};
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::quota_ledger::{QuotaDecision, QuotaRequest, RouteCount};
use crate::service::InlineJobs;
use crate::store::{FenceOutcome, KnownFence};

/// Age of the last proof of contact from which on a coordinator cannot tell what waits.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_000);

/// How long a coordinator that reads what waits is waited for.
const LEDGER_LOAD_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a new coordinator that cannot be asked is left to keep jobs of its own.
const MIN_TENURE: Duration = Duration::from_millis(600);

/// Pauses before the coordinator is asked again, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..35;

/// What became of a job's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The job may be kept under this fence; `None` if the route has no quota.
    Granted {
        /// Revision of the fence.
        fence: Option<u64>,
    },
    /// The job does not fit.
    Full,
    /// The coordinator could not be asked, and the fence could not be written.
    Unreachable,
}

impl InlineJobs {
    /// Gets a job its tokens; ends at `until`.
    pub(crate) async fn reserve(
        &self,
        request: QuotaRequest<'_>,
        route: &Route,
        until: Instant,
    ) -> Reservation {
        if limit_of(route) == 0 {
            return Reservation::Granted { fence: None };
        }
        let began = Instant::now();
        while Instant::now() < until {
            let fence = self.inner.view.fence(request.route);
            let outcome = match &fence {
                None => QuotaOutcome::NotCoordinator,
                Some(known) if known.coordinator == self.inner.instance_id => {
                    let reply = self.decide_quota(request);
                    if let (QuotaOutcome::Granted, fence) = reply {
                        return Reservation::Granted { fence: Some(fence) };
                    }
                    reply.0
                }
                Some(known) => match self
                    .inner
                    .peers
                    .request_quota(&known.coordinator, request)
                    .await
                {
                    Some((QuotaOutcome::Granted, fence)) => {
                        return Reservation::Granted { fence: Some(fence) };
                    }
                    Some((outcome, _)) => outcome,
                    None => QuotaOutcome::NotCoordinator,
                },
            };
            match outcome {
                QuotaOutcome::Full => return Reservation::Full,
                QuotaOutcome::Wait if began.elapsed() < LEDGER_LOAD_TIMEOUT => {}
                _ if self.is_within_min_tenure(request.route, fence.as_ref()) => {}
                _ => self.become_coordinator(request.route, fence, until).await,
            }
            let pause = rand::rng().random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        Reservation::Unreachable
    }

    /// True if another daemon wrote the fence just now: daemons that do not hear of each other would else take the
    /// quota from each other before any of them has kept a job.
    fn is_within_min_tenure(&self, route: &str, fence: Option<&KnownFence>) -> bool {
        let is_of_other = fence.is_some_and(|fence| fence.coordinator != self.inner.instance_id);
        let age = self.inner.view.fence_age(route);
        is_of_other && age.is_some_and(|age| age < MIN_TENURE)
    }

    /// Decides a job's tokens as the coordinator, for this daemon or a peer. Returns the fence of a grant, else 0.
    pub fn decide_quota(&self, request: QuotaRequest<'_>) -> (QuotaOutcome, u64) {
        let view = &self.inner.view;
        let routes = self.inner.forwarder.routes();
        let route = routes
            .as_ref()
            .and_then(|routes| routes.configuration.route(request.route));
        let own = view.fence(request.route);
        let Some(own) = own.filter(|fence| fence.coordinator == self.inner.instance_id) else {
            return (QuotaOutcome::NotCoordinator, 0);
        };
        let is_fresh = view.proof_age().is_some_and(|age| age < MAX_PROOF_AGE);
        let Some(route) = route.filter(|_| is_fresh && !self.is_stopping()) else {
            return (QuotaOutcome::NotCoordinator, 0);
        };
        let mut ledger = self.quotas();
        if ledger.fence(request.route) != Some(own.revision) {
            return (QuotaOutcome::Wait, 0);
        }
        let count = RouteCount {
            limit: limit_of(route),
            waiting: view.waiting_tokens(request.route, request.tenant),
            is_known: &|job| view.get(job).is_some(),
        };
        match ledger.decide(request, count, harrierward_clock::now()) {
            QuotaDecision::Granted { fence } => (QuotaOutcome::Granted, fence),
            QuotaDecision::Full => (QuotaOutcome::Full, 0),
            QuotaDecision::FenceRequired => (QuotaOutcome::NotCoordinator, 0),
        }
    }

    /// A job that was granted its tokens will certainly not be kept.
    pub fn release_grant(&self, request: QuotaRequest<'_>) {
        self.quotas()
            .release(request.route, request.job, request.submission);
    }

    pub(crate) fn release_quota(&self, request: QuotaRequest<'_>) {
        match self.inner.view.fence(request.route) {
            Some(fence) if fence.coordinator != self.inner.instance_id => {
                self.inner.peers.release_quota(&fence.coordinator, request);
            }
            _ => self.release_grant(request),
        }
    }

    /// Makes this daemon the coordinator of a route's quota, unless another one is faster.
    async fn become_coordinator(&self, route: &str, known: Option<KnownFence>, until: Instant) {
        let _one_at_a_time = self.inner.fencing.lock().await;
        let newest = self.inner.view.fence(route);
        if newest.as_ref().map(|fence| fence.revision) != known.as_ref().map(|fence| fence.revision)
        {
            return;
        }
        let row = QuotaFenceRow {
            route: route.to_owned(),
            coordinator: self.inner.instance_id.clone(),
        };
        let written = self
            .inner
            .store
            .write_fence(known.map(|fence| fence.revision), &row, until)
            .await;
        let fence = match written {
            FenceOutcome::Written { revision } => KnownFence {
                coordinator: row.coordinator,
                revision,
            },
            FenceOutcome::Superseded(other) => {
                self.inner.view.update_fence(route, other);
                return;
            }
            FenceOutcome::Unconfirmed => return,
        };
        self.inner.view.update_fence(route, fence.clone());
        // What was kept under earlier fences is in the store now; nothing more can be.
        let Some(headers) = self.inner.store.read_headers(fence.revision, until).await else {
            return;
        };
        for header in headers {
            self.note_header(header);
        }
        self.quotas().begin(route, fence.revision);
        self.inner.log.record(&Record::QuotaKept {
            route,
            fence: fence.revision,
            jobs: self.inner.view.open_jobs().len(),
        });
    }
}

fn limit_of(route: &Route) -> u64 {
    route.batch().map_or(0, |bounds| bounds.waiting_tokens)
}
