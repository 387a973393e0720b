//! The quotas that this daemon keeps: which jobs were granted their tokens and are not seen in the store yet. Pure. Each
//! tenant has the route's whole limit for itself; one fence serves all tenants of a route.
//!
//! Why exact: a job is kept only under the revision of its route's fence, so every job that can still be kept under
//! it was granted here. The count is that of the heads, read whole after the fence was written, and of these grants.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How long a grant may stay unseen. Then the fence is written anew, so that it can come to nothing for certain.
const GRANT_TTL: Duration = Duration::from_secs(8);

#[derive(Debug, Clone)]
struct Grant {
    tokens: u64,
    granted_at: Instant,
    tenant: u64,
    /// Submissions that may yet keep the job. One that gives the tokens back says nothing of the others.
    submissions: HashSet<u64>,
}

#[derive(Debug)]
struct RouteQuota {
    fence: u64,
    grants: HashMap<String, Grant>,
}

/// A job that wants its tokens.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest<'a> {
    /// Route.
    pub route: &'a str,
    /// Tenant whose tokens they are; empty without tenants.
    pub tenant: &'a str,
    /// Job.
    pub job: &'a str,
    /// Tokens of its items.
    pub tokens: u64,
    /// Which submission of the job asks: a client that hears nothing sends the same job to another daemon. The same
    /// number each time one submission asks.
    pub submission: u64,
}

/// What the heads tell of a route.
#[derive(Clone, Copy)]
pub struct RouteCount<'a> {
    /// Tokens that may wait, of each tenant.
    pub limit: u64,
    /// Tokens of the tenant that wait, of all heads known.
    pub waiting: u64,
    /// True if a job's head is known.
    pub is_known: &'a dyn Fn(&str) -> bool,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The job may be kept under this fence.
    Granted {
        /// Revision of the fence.
        fence: u64,
    },
    /// The job does not fit.
    Full,
    /// The fence must be written, or written anew, before anything can be told.
    FenceRequired,
}

/// All quotas that this daemon keeps.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    routes: HashMap<String, RouteQuota>,
}

impl QuotaLedger {
    /// The fence was written at this revision, and all heads up to it are known: what was granted before can no
    /// longer be kept.
    pub fn begin(&mut self, route: &str, fence: u64) {
        let quota = RouteQuota {
            fence,
            grants: HashMap::new(),
        };
        self.routes.insert(route.to_owned(), quota);
    }

    /// Another daemon wrote the fence.
    pub fn end(&mut self, route: &str) {
        self.routes.remove(route);
    }

    /// Revision of the fence that is kept.
    pub fn fence(&self, route: &str) -> Option<u64> {
        self.routes.get(route).map(|quota| quota.fence)
    }

    /// Decides a request; a granted one counts until its head is known.
    pub fn decide(
        &mut self,
        request: QuotaRequest<'_>,
        count: RouteCount<'_>,
        now: Instant,
    ) -> QuotaDecision {
        let Some(quota) = self.routes.get_mut(request.route) else {
            return QuotaDecision::FenceRequired;
        };
        quota.grants.retain(|job, _| !(count.is_known)(job));
        let is_overdue =
            |grant: &Grant| now.saturating_duration_since(grant.granted_at) >= GRANT_TTL;
        if quota.grants.values().any(is_overdue) {
            return QuotaDecision::FenceRequired;
        }
        let fence = quota.fence;
        if (count.is_known)(request.job) {
            return QuotaDecision::Granted { fence };
        }
        // A submission may bring other items under the same name, and any of them may be the one that is kept.
        let granted_before = quota
            .grants
            .get(request.job)
            .map_or(0, |grant| grant.tokens);
        let additional = request.tokens.saturating_sub(granted_before);
        let tenant = xxh3_64(request.tenant.as_bytes());
        let tenant_grants = quota.grants.values().filter(|grant| grant.tenant == tenant);
        let granted: u64 = tenant_grants.map(|grant| grant.tokens).sum();
        if additional > 0 && count.waiting + granted + additional > count.limit {
            return QuotaDecision::Full;
        }
        if let Some(grant) = quota.grants.get_mut(request.job) {
            grant.tokens += additional;
            grant.submissions.insert(request.submission);
            return QuotaDecision::Granted { fence };
        }
        let grant = Grant {
            tokens: request.tokens,
            granted_at: now,
            tenant,
            submissions: HashSet::from([request.submission]),
        };
        quota.grants.insert(request.job.to_owned(), grant);
        QuotaDecision::Granted { fence }
    }

    /// A submission will certainly not keep its job. The tokens are free once no other submission of it is left.
    pub fn release(&mut self, route: &str, job: &str, submission: u64) {
        let Some(quota) = self.routes.get_mut(route) else {
            return;
        };
        let Some(grant) = quota.grants.get_mut(job) else {
            return;
        };
        let was_pending = grant.submissions.remove(&submission);
        if was_pending && grant.submissions.is_empty() {
            quota.grants.remove(job);
        }
    }
}
