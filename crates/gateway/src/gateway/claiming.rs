//! Claims of idempotent requests, and the handling of resends.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_claims::{Claim, ClaimOutcome, Holder, WaitOutcome};
use harrierward_decisions::Record;
use harrierward_execution::Execution;
use tokio::time::Instant;

use super::{Gateway, Inner, PREFIX};
use crate::call::{Call, IdempotentCall};
use crate::errors::GatewayError;
use crate::response::StoredResponse;

const STEP: &str = "gateway.claim";

/// Maximum wait of a resend for the run in progress; limits how long connections wait for a holder that has crashed.
const MAX_RESEND_WAIT: Duration = Duration::from_secs(1);

/// Sent as `retry-after` to a resend whose wait timed out.
const RESEND_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of claiming an idempotent call.
pub(super) enum Claimed {
    /// The call may be dispatched once.
    Granted(Claim),
    /// The request has run; this is its stored response.
    Completed(StoredResponse),
    /// Another attempt holds the claim.
    Held(Holder),
}

/// Wait of a resend for the attempt that holds the claim.
pub(super) struct ResendWait {
    started_at: Instant,
    deadline: Instant,
    /// Last observed holder of the claim; `None` while no other attempt has been observed.
    holder: Option<Holder>,
}

impl ResendWait {
    /// Starts the wait now, bounded by the deadline of `call`.
    pub fn new(call: &Call) -> Self {
        let started_at = Instant::now();
        let max_deadline = started_at + MAX_RESEND_WAIT;
        Self {
            started_at,
            deadline: max_deadline.min(call.deadline),
            holder: None,
        }
    }

    /// True if another attempt has been observed to hold the claim.
    pub fn has_waited(&self) -> bool {
        self.holder.is_some()
    }

    /// Adds to `error` that the request may have run, if another attempt has been observed.
    pub fn with_execution(&self, error: GatewayError) -> GatewayError {
        if self.has_waited() {
            return error.merge_execution(Execution::Unknown);
        }
        error
    }
}

/// Guard that counts a resend as waiting until it is dropped.
struct WaitingResendGuard {
    inner: Arc<Inner>,
}

impl WaitingResendGuard {
    fn count(inner: &Arc<Inner>) -> Self {
        inner.waiting_resends.fetch_add(1, Ordering::Relaxed);
        Self {
            inner: inner.clone(),
        }
    }
}

impl Drop for WaitingResendGuard {
    fn drop(&mut self) {
        self.inner.waiting_resends.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Gateway {
    /// Claims an idempotent request for this attempt, unless another attempt holds the claim or has completed it.
    pub(super) async fn claim(
        &self,
        idempotency: &IdempotentCall,
    ) -> Result<Claimed, GatewayError> {
        let parts = &self.inner.parts;
        let attempt = format!("{}-claim-{}", parts.member, self.next_id());
        let now_ms = (parts.now_ms)();
        let outcome = parts
            .claims
            .begin(
                idempotency.key.clone(),
                idempotency.digest.clone(),
                attempt,
                now_ms,
            )
            .await
            .map_err(|refused| {
                let message = format!("the request cannot be claimed now: {refused}");
                GatewayError::not_run(STEP, 503, "claim_refused", message)
                    .with_peer("table")
                    .with_retry_after(Duration::from_secs(1))
            })?;
        match outcome {
            ClaimOutcome::Granted(claim) => Ok(Claimed::Granted(claim)),
            ClaimOutcome::Completed(bytes) => stored_response(&bytes).map(Claimed::Completed),
            ClaimOutcome::Held(holder) => Ok(Claimed::Held(holder)),
            ClaimOutcome::Mismatch => {
                let message = "Idempotency-Key: was used with another body";
                Err(GatewayError::not_run(STEP, 422, "key_reused", message))
            }
        }
    }

    /// Waits until the attempt that holds the claim has settled it.
    ///
    /// # Errors
    /// The wait timed out, or too many resends are waiting.
    pub(super) async fn wait_for_holder(
        &self,
        idempotency: &IdempotentCall,
        holder: Holder,
        wait: &mut ResendWait,
    ) -> Result<(), GatewayError> {
        wait.holder = Some(holder);
        let _waiting = WaitingResendGuard::count(&self.inner);
        let claims = &self.inner.parts.claims;
        let outcome = match claims
            .wait_while_open(&idempotency.key, wait.deadline)
            .await
        {
            WaitOutcome::Settled => return Ok(()),
            WaitOutcome::StillOpen => "still_open",
            WaitOutcome::TooManyWaiters => "too_many_wait",
        };
        self.note_resend(idempotency, wait, outcome);
        let message = "the request is running, or may have run; it is not run again";
        let error = GatewayError::unknown(STEP, 409, "in_progress_or_unknown", message);
        Err(error.with_idempotent_retry_after(RESEND_RETRY_AFTER))
    }

    /// Counts the outcome of a resend and writes its decision record.
    pub(super) fn note_resend(
        &self,
        idempotency: &IdempotentCall,
        wait: &ResendWait,
        outcome: &str,
    ) {
        let resends = &self.metrics().resends;
        resends.with_label_values(&[outcome]).inc();
        let parts = &self.inner.parts;
        let holder = wait.holder.as_ref();
        let waited = holder.map_or(Duration::ZERO, |_| wait.started_at.elapsed());
        let claimed_at = holder.map(|holder| holder.created_at_ms);
        let held_for = claimed_at.map_or(0, |at| (parts.now_ms)().saturating_sub(at));
        parts.log.record(&Record::Resent {
            tenant: &idempotency.key.tenant,
            claim: &idempotency.key.row_key(),
            holder: holder.map_or("", |holder| &holder.attempt),
            held_for_ms: held_for,
            outcome,
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Releases the claim of a request that certainly did not run, so that a resend can run it.
    pub(super) fn release_if_not_run(&self, error: &GatewayError, claim: &Claim) {
        if !error.execution().is_not_run() {
            return;
        }
        let claims = self.inner.parts.claims.clone();
        let claim = claim.clone();
        tokio::spawn(async move { claims.release(&claim).await });
    }
}

fn stored_response(bytes: &[u8]) -> Result<StoredResponse, GatewayError> {
    if bytes.is_empty() {
        return Err(response_not_kept("its answer was too large to keep"));
    }
    serde_json::from_slice(bytes).map_err(|error| {
        log::warn!("{PREFIX} cannot decode a stored response: {error}");
        response_not_kept("its stored answer cannot be read")
    })
}

fn response_not_kept(cause: &str) -> GatewayError {
    let message = format!("the request ran; {cause}");
    GatewayError::unknown(STEP, 409, "answer_not_kept", message).merge_execution(Execution::Ran)
}
