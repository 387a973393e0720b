//! The claim of a marked request, and what a resend is told.

use std::time::Duration;

use harrierward_claims::{Claim, Verdict, Waited};
use tokio::time::Instant;

use super::Gateway;
use crate::answer::StoredAnswer;
use crate::call::{Call, MarkedCall};
use crate::errors::{Execution, GatewayError};

const STEP: &str = "gateway.claim";

/// Longest time for which a resend waits for the run that is in progress. Most answers that a caller has given up on
/// too early come in this time; a longer wait would hold many connections for runs whose holder is gone for good.
const LONGEST_RESEND_WAIT: Duration = Duration::from_secs(1);

/// When a resend that waited in vain is told to come back.
const RESEND_RETRY: Duration = Duration::from_secs(1);

/// How a marked call may go on.
pub(super) enum Claimed {
    /// It may be dispatched, once.
    Granted(Claim),
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// Another attempt holds the claim.
    Held,
}

/// The wait of one call for another attempt's run.
pub(super) struct ResendWait {
    until: Instant,
    has_waited: bool,
}

impl ResendWait {
    /// That of a call that comes now.
    pub fn new(call: &Call) -> Self {
        let longest = Instant::now() + LONGEST_RESEND_WAIT;
        Self {
            until: longest.min(call.deadline),
            has_waited: false,
        }
    }

    /// True once another attempt was seen to hold the claim.
    pub fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// The error of a call that goes no further: once another attempt was seen, the request may have run.
    pub fn qualify(&self, error: GatewayError) -> GatewayError {
        if self.has_waited && error.execution == Execution::NotRun {
            return GatewayError {
                execution: Execution::Unknown,
                ..error
            };
        }
        error
    }
}

impl Gateway {
    /// Claims a marked request for this attempt, unless another one has it.
    pub(super) async fn claim(&self, marked: &MarkedCall) -> Result<Claimed, GatewayError> {
        let parts = &self.inner.parts;
        let attempt = format!("{}-claim-{}", parts.member, self.next_id());
        let now_ms = (parts.now_ms)();
        let verdict = parts
            .claims
            .begin(marked.key.clone(), marked.digest.clone(), attempt, now_ms)
            .await
            .map_err(|refused| {
                let message = format!("the request cannot be claimed now: {refused}");
                GatewayError::not_run(STEP, 503, "claim_refused", message)
                    .at("table")
                    .after(Duration::from_secs(1))
            })?;
        match verdict {
            Verdict::Granted(claim) => Ok(Claimed::Granted(claim)),
            Verdict::Answered(bytes) => stored_answer(&bytes).map(Claimed::Answered),
            Verdict::Unknown => Ok(Claimed::Held),
            Verdict::Mismatch => {
                let message = "Idempotency-Key: was used with another body";
                Err(GatewayError::not_run(STEP, 422, "key_reused", message))
            }
        }
    }

    /// Waits until the attempt that holds the claim has settled it.
    ///
    /// # Errors
    /// It did not in time, or too many wait.
    pub(super) async fn wait_for_holder(
        &self,
        marked: &MarkedCall,
        wait: &mut ResendWait,
    ) -> Result<(), GatewayError> {
        wait.has_waited = true;
        let claims = &self.inner.parts.claims;
        let outcome = match claims.wait_while_open(&marked.key, wait.until).await {
            Waited::Settled => return Ok(()),
            Waited::StillOpen => "still_open",
            Waited::TooMany => "too_many_wait",
        };
        self.count_resend(outcome);
        let message = "the request is running, or may have run; it is not run again";
        let error = GatewayError::unknown(STEP, 409, "in_progress_or_unknown", message);
        Err(error.after(RESEND_RETRY))
    }

    /// Counts what became of a resend.
    pub(super) fn count_resend(&self, outcome: &str) {
        let resends = &self.metrics().resends;
        resends.with_label_values(&[outcome]).inc();
    }

    /// Lets a request that certainly did not run be run by a resend.
    pub(super) fn release_if_not_run(&self, error: &GatewayError, claim: &Claim) {
        if error.execution != Execution::NotRun {
            return;
        }
        let claims = self.inner.parts.claims.clone();
        let claim = claim.clone();
        tokio::spawn(async move { claims.release(&claim).await });
    }
}

fn stored_answer(bytes: &[u8]) -> Result<StoredAnswer, GatewayError> {
    serde_json::from_slice(bytes).map_err(|_| {
        let message = "the request ran; its answer was too large to keep";
        GatewayError {
            execution: Execution::Ran,
            ..GatewayError::unknown(STEP, 409, "answer_not_kept", message)
        }
    })
}
