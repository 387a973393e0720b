//! Store clients with a timeout on each call and one rate budget per daemon, so that its callers together
//! stay within the rate limit of the store, also after an outage.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    ObjectStore, PlatformError, PlatformErrorKind, RateBudget, RequestClass, Row, Table,
    Transaction, TransactionOutcome,
};

/// Time limits of calls to a store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Timeout of the response; after it the effect of the call is unknown.
    pub call_timeout: Duration,
    /// Maximum wait for the rate budget; a call that would wait longer fails as rate-limited, without effect.
    pub budget_wait: Duration,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_millis(700),
            budget_wait: Duration::from_millis(250),
        }
    }
}

async fn take_budget(
    budget: &RateBudget,
    class: RequestClass,
    limits: StoreLimits,
    step: &'static str,
) -> Result<(), PlatformError> {
    let deadline = Instant::now() + limits.budget_wait;
    loop {
        let Err(wait) = budget.try_take(class) else {
            return Ok(());
        };
        if Instant::now() + wait > deadline {
            let kind = PlatformErrorKind::RateLimited { retry_after: wait };
            let detail = "budget is used up";
            return Err(PlatformError::new(step, "own rate budget", kind, detail));
        }
        sleep(wait).await;
    }
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
    limits: StoreLimits,
    step: &'static str,
) -> Result<T, PlatformError> {
    timeout(limits.call_timeout, call)
        .await
        .unwrap_or_else(|_| {
            let kind = PlatformErrorKind::Unknown;
            Err(PlatformError::new(step, "store", kind, "no answer in time"))
        })
}

/// Table client with a call timeout and a rate budget.
pub struct GuardedTable {
    inner: Arc<dyn Table>,
    budget: Arc<RateBudget>,
    limits: StoreLimits,
}

impl GuardedTable {
    /// Wraps `inner`; clients that share a rate limit take the same `budget`.
    pub fn new(inner: Arc<dyn Table>, budget: Arc<RateBudget>, limits: StoreLimits) -> Self {
        Self {
            inner,
            budget,
            limits,
        }
    }
}

#[async_trait]
impl Table for GuardedTable {
    async fn transact(
        &self,
        class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        take_budget(&self.budget, class, self.limits, "table.transact").await?;
        let call = self.inner.transact(class, transaction);
        with_timeout(call, self.limits, "table.transact").await
    }

    async fn get(
        &self,
        class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        take_budget(&self.budget, class, self.limits, "table.get").await?;
        with_timeout(self.inner.get(class, keys), self.limits, "table.get").await
    }

    async fn scan(
        &self,
        class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        take_budget(&self.budget, class, self.limits, "table.scan").await?;
        let call = self.inner.scan(class, prefix, after, limit);
        with_timeout(call, self.limits, "table.scan").await
    }
}

/// Object store client with a call timeout and a rate budget.
pub struct GuardedObjects {
    inner: Arc<dyn ObjectStore>,
    budget: Arc<RateBudget>,
    limits: StoreLimits,
}

impl GuardedObjects {
    /// Wraps `inner`; clients that share a rate limit take the same `budget`.
    pub fn new(inner: Arc<dyn ObjectStore>, budget: Arc<RateBudget>, limits: StoreLimits) -> Self {
        Self {
            inner,
            budget,
            limits,
        }
    }
}

#[async_trait]
impl ObjectStore for GuardedObjects {
    async fn put(&self, class: RequestClass, name: &str, body: Bytes) -> Result<(), PlatformError> {
        take_budget(&self.budget, class, self.limits, "objects.put").await?;
        with_timeout(
            self.inner.put(class, name, body),
            self.limits,
            "objects.put",
        )
        .await
    }

    async fn get(&self, class: RequestClass, name: &str) -> Result<Bytes, PlatformError> {
        take_budget(&self.budget, class, self.limits, "objects.get").await?;
        with_timeout(self.inner.get(class, name), self.limits, "objects.get").await
    }

    async fn delete(&self, class: RequestClass, name: &str) -> Result<(), PlatformError> {
        take_budget(&self.budget, class, self.limits, "objects.delete").await?;
        with_timeout(
            self.inner.delete(class, name),
            self.limits,
            "objects.delete",
        )
        .await
    }
}
