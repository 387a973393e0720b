//! Ledger of the quotas that this daemon coordinates: grants whose jobs are not visible in the store yet. Pure. Each
//! tenant has the route's full limit; one fence serves all tenants of a route.
//!
//! The count is exact: a job is only stored under the revision of its route's fence, so every job that can still be
//! stored under it was granted here. Usage is the sum of the headers, read in full after the fence was written, and
//! of these grants.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::tokens::sum_of_tokens;

/// How long a grant may stay without its job's header. Then the fence is rewritten, which voids all older grants.
const GRANT_TTL: Duration = Duration::from_secs(8);

#[derive(Debug, Clone)]
struct Grant {
    tokens: u64,
    granted_at: Instant,
    tenant: u64,
    /// Submissions that may still store the job. One that releases its grant does not affect the others.
    submissions: HashSet<u64>,
}

#[derive(Debug)]
struct RouteQuota {
    fence: u64,
    grants: HashMap<String, Grant>,
}

/// A request for a job's tokens.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Tenant whose quota is charged; empty without tenants.
    pub tenant: &'a str,
    /// Stored id of the job.
    pub job: &'a str,
    /// Sum of the tokens of its items.
    pub tokens: u64,
    /// Random number of the submission, the same in all its requests: a client without a response sends the same job
    /// to another daemon.
    pub submission: u64,
}

/// Usage of a route as the job headers show it.
#[derive(Clone, Copy)]
pub struct RouteUsage<'a> {
    /// Tokens that each tenant may have queued.
    pub limit: u64,
    /// Tokens that the tenant has queued, by all known headers.
    pub waiting: u64,
    /// True if the header of the job is known.
    pub is_known: &'a dyn Fn(&str) -> bool,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The job may be stored under this fence.
    Granted {
        /// Store revision of the fence.
        fence: u64,
    },
    /// The tokens exceed what is left of the tenant's limit.
    Full,
    /// The fence must be written, or rewritten, before a request can be decided.
    FenceRequired,
}

/// Grants of all routes whose quota this daemon coordinates.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    routes: HashMap<String, RouteQuota>,
}

impl QuotaLedger {
    /// Starts coordinating a route: the fence was written at revision `fence`, and all headers up to it are known.
    /// Drops the grants under earlier fences, as no job can be stored under them any more.
    pub fn begin(&mut self, route: &str, fence: u64) {
        let quota = RouteQuota {
            fence,
            grants: HashMap::new(),
        };
        self.routes.insert(route.to_owned(), quota);
    }

    /// Stops coordinating a route whose fence another daemon wrote.
    pub fn end(&mut self, route: &str) {
        self.routes.remove(route);
    }

    /// Returns the revision of the fence under which this daemon coordinates a route.
    pub fn fence(&self, route: &str) -> Option<u64> {
        self.routes.get(route).map(|quota| quota.fence)
    }

    /// Decides a request. A grant counts until the header of its job is known.
    pub fn decide(
        &mut self,
        request: QuotaRequest<'_>,
        usage: RouteUsage<'_>,
        now: Instant,
    ) -> QuotaDecision {
        let Some(quota) = self.routes.get_mut(request.route) else {
            return QuotaDecision::FenceRequired;
        };
        quota.grants.retain(|job, _| !(usage.is_known)(job));
        let is_overdue =
            |grant: &Grant| now.saturating_duration_since(grant.granted_at) >= GRANT_TTL;
        if quota.grants.values().any(is_overdue) {
            return QuotaDecision::FenceRequired;
        }
        let fence = quota.fence;
        if (usage.is_known)(request.job) {
            return QuotaDecision::Granted { fence };
        }
        // Another submission may bring other items under the same id, and either may be stored.
        let granted_before = quota
            .grants
            .get(request.job)
            .map_or(0, |grant| grant.tokens);
        let additional = request.tokens.saturating_sub(granted_before);
        let tenant = xxh3_64(request.tenant.as_bytes());
        let tenant_grants = quota.grants.values().filter(|grant| grant.tenant == tenant);
        let granted = tenant_grants.map(|grant| grant.tokens);
        let charged = sum_of_tokens(granted.chain([usage.waiting, additional]));
        if additional > 0 && charged > usage.limit {
            return QuotaDecision::Full;
        }
        if let Some(grant) = quota.grants.get_mut(request.job) {
            grant.tokens = grant.tokens.saturating_add(additional);
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

    /// Releases the grant of a submission that will certainly not store its job. The tokens are free once no other
    /// submission of the job is pending.
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
