//! Reservation of a job's tokens at the coordinator of its route's quota.
//!
//! A fence row in the store names the coordinator. If it does not respond, this daemon writes a new fence and becomes
//! the coordinator itself. The transaction that stores a job is conditional on the fence, so two coordinators cannot
//! exceed the quota together, and jobs of one route do not contend for a counter in the store.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::Route;
use harrierward_wire::{QuotaFenceRow, QuotaOutcome};
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::quota_ledger::{QuotaDecision, QuotaRequest, RouteUsage};
use crate::service::InlineJobs;
use crate::store::{FenceOutcome, KnownFence};

/// Age of the last freshness proof above which a coordinator does not know what is queued.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_000);

/// How long a coordinator that still reads the job headers is retried.
const LEDGER_LOAD_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a new coordinator is kept although it does not respond.
const MIN_TENURE: Duration = Duration::from_millis(600);

/// Range of pauses between requests to the coordinator, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..35;

/// Outcome of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The job may be stored under this fence.
    Granted {
        /// Revision of the fence; `None` if the route has no quota.
        fence: Option<u64>,
    },
    /// The tokens exceed what is left of the quota.
    Full,
    /// No decision in time, for example because the coordinator did not respond or the fence could not be written.
    Unreachable,
}

impl InlineJobs {
    /// Reserves a job's tokens, retrying until `until`.
    pub(crate) async fn reserve(
        &self,
        request: QuotaRequest<'_>,
        route: &Route,
        until: Instant,
    ) -> Reservation {
        if limit_of(route) == 0 {
            return Reservation::Granted { fence: None };
        }
        let started_at = Instant::now();
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
                QuotaOutcome::Wait if started_at.elapsed() < LEDGER_LOAD_TIMEOUT => {}
                _ if self.is_within_min_tenure(request.route, fence.as_ref()) => {}
                _ => self.become_coordinator(request.route, fence, until).await,
            }
            let pause = rand::rng().random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        Reservation::Unreachable
    }

    /// True if another daemon wrote the fence so recently that it must not be replaced yet. Otherwise, daemons that
    /// cannot reach each other would replace each other's fences before any of them has stored a job.
    fn is_within_min_tenure(&self, route: &str, fence: Option<&KnownFence>) -> bool {
        let is_of_other = fence.is_some_and(|fence| fence.coordinator != self.inner.instance_id);
        let age = self.inner.view.fence_age(route);
        is_of_other && age.is_some_and(|age| age < MIN_TENURE)
    }

    /// Decides a request as the coordinator, for this daemon or a peer. Returns the fence of a grant, else 0.
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
        let usage = RouteUsage {
            limit: limit_of(route),
            waiting: view.waiting_tokens(request.route, request.tenant),
            is_known: &|job| view.get(job).is_some(),
        };
        match ledger.decide(request, usage, harrierward_clock::now()) {
            QuotaDecision::Granted { fence } => (QuotaOutcome::Granted, fence),
            QuotaDecision::Full => (QuotaOutcome::Full, 0),
            QuotaDecision::FenceRequired => (QuotaOutcome::NotCoordinator, 0),
        }
    }

    /// Releases the grant of a submission that will certainly not be stored.
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

    /// Makes this daemon the coordinator of a route's quota, unless the fence has changed since `known`.
    async fn become_coordinator(&self, route: &str, known: Option<KnownFence>, until: Instant) {
        let _guard = self.inner.fencing.lock().await;
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
        // Jobs stored under earlier fences are visible to this read; none can be added any more.
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
