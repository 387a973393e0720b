//! Commits claim groups to the table, then stores responses or releases claims.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_external::{
    Backoff, Condition, PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction,
};
use harrierward_wire::{ClaimRow, ClaimState, decode, encode};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::claim::{Claim, ClaimError, ClaimKey, ClaimOutcome, RequestDigest};
use crate::group::{ClaimGroup, PendingClaim};
use crate::watch::{ClaimWatch, WaitOutcome};

const PREFIX: &str = "claims:";

/// Bounds of the claim service.
#[derive(Debug, Clone, Copy)]
pub struct ClaimSettings {
    /// Maximum number of claims in one transaction.
    pub group_size: usize,
    /// Time after which a request whose claim is not committed is refused as not run.
    pub claim_timeout: Duration,
    /// Time for which storing a response or releasing a claim is retried.
    pub settle_timeout: Duration,
    /// Size limit of a stored response, bytes. Of a larger one only the completion is stored.
    pub max_response_bytes: usize,
    /// Seed of the backoff jitter.
    pub seed: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            group_size: 64,
            claim_timeout: Duration::from_millis(800),
            settle_timeout: Duration::from_secs(120),
            max_response_bytes: 64 * 1024,
            seed: 0,
        }
    }
}

const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_CLAIM_BACKOFF: Duration = Duration::from_millis(200);
const MAX_SETTLE_BACKOFF: Duration = Duration::from_secs(10);

struct QueuedClaim {
    pending: PendingClaim,
    reply: oneshot::Sender<Result<ClaimOutcome, PlatformError>>,
}

/// Completes and releases committed claims.
#[derive(Clone)]
struct Settler {
    table: Arc<dyn Table>,
    settings: ClaimSettings,
}

/// Claim service of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Claims {
    queue: mpsc::UnboundedSender<QueuedClaim>,
    settler: Settler,
    watch: ClaimWatch,
}

impl Claims {
    /// Starts the service on the current tokio runtime.
    pub fn start(table: Arc<dyn Table>, settings: ClaimSettings) -> Self {
        let (queue, receiver) = mpsc::unbounded_channel();
        let watch = ClaimWatch::start(table.clone());
        let settler = Settler { table, settings };
        tokio::spawn(run_groups(settler.clone(), receiver));
        Self {
            queue,
            settler,
            watch,
        }
    }

    /// Claims a request for `attempt`, which may dispatch it only if the outcome is `Granted`.
    ///
    /// # Errors
    /// The claim was not committed in time. A late commit is released in the background.
    pub async fn begin(
        &self,
        key: ClaimKey,
        digest: RequestDigest,
        attempt: String,
        now_ms: u64,
    ) -> Result<ClaimOutcome, ClaimError> {
        let deadline = Instant::now() + self.settler.settings.claim_timeout;
        let row = ClaimRow {
            digest: digest.body,
            attempt,
            state: ClaimState::Open as i32,
            answer: Vec::new(),
            created_at_ms: now_ms,
            content_digest: digest.content,
        };
        let pending = PendingClaim { key, row };
        let (reply, receiver) = oneshot::channel();
        let queued = QueuedClaim {
            pending: pending.clone(),
            reply,
        };
        if self.queue.send(queued).is_err() {
            return Err(ClaimError(not_done("claim service has stopped")));
        }
        let error = match timeout_at(deadline, receiver).await {
            Ok(Ok(Ok(outcome))) => return Ok(outcome),
            Ok(Ok(Err(error))) => error,
            Ok(Err(_)) => not_done("claim service has stopped"),
            Err(_) => not_done("the table did not answer in time"),
        };
        self.settler.release_in_background(pending);
        Err(ClaimError(error))
    }

    /// Waits until another attempt settles its claim of this key, at most until `deadline`.
    pub async fn wait_while_open(&self, key: &ClaimKey, deadline: Instant) -> WaitOutcome {
        self.watch.wait_while_open(key, deadline).await
    }

    /// Stores the response for resends; retries until the settle timeout.
    pub async fn finish(&self, claim: &Claim, response: &[u8]) {
        self.settler.finish(claim, response).await;
    }

    /// Removes the claim of a request that did not run, so that a resend may run it; retries until the settle timeout.
    pub async fn release(&self, claim: &Claim) {
        self.settler.release(claim).await;
    }
}

impl Settler {
    /// Releases in the background a claim whose attempt gave up before dispatch but which may be committed.
    fn release_in_background(&self, pending: PendingClaim) {
        let settler = self.clone();
        tokio::spawn(async move {
            let attempt = &pending.row.attempt;
            settler.release_attempt(&pending.key, attempt).await;
        });
    }

    async fn finish(&self, claim: &Claim, response: &[u8]) {
        let mut row = claim.row.clone();
        row.state = ClaimState::Done as i32;
        row.answer = if response.len() <= self.settings.max_response_bytes {
            response.to_vec()
        } else {
            Vec::new()
        };
        let key = claim.key.row_key();
        let write = Transaction::default().put(key, encode(&row));
        self.settle(claim, "store a response", write).await;
    }

    async fn release(&self, claim: &Claim) {
        let write = Transaction::default().delete(claim.key.row_key());
        self.settle(claim, "release a claim", write).await;
    }

    /// Applies `write` to the claim's row, on condition that the row is unchanged since the claim.
    async fn settle(&self, claim: &Claim, operation: &str, write: Transaction) {
        let deadline = Instant::now() + self.settings.settle_timeout;
        let mut random = StdRng::seed_from_u64(self.settings.seed ^ claim.revision);
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_SETTLE_BACKOFF);
        let condition = Condition::AtRevision {
            key: claim.key.row_key(),
            revision: claim.revision,
        };
        while Instant::now() < deadline {
            let transaction = write.clone().require(condition.clone());
            match self.table.transact(RequestClass::Urgent, transaction).await {
                // A conflict means that an earlier try was committed: only this attempt changes the row.
                Ok(_) => return,
                Err(error) => {
                    log::debug!("{PREFIX} cannot {operation}, will retry: {error}");
                    sleep(backoff.wait(&mut random)).await;
                }
            }
        }
        log::warn!("{PREFIX} gave up trying to {operation}: resends will get an unknown outcome");
    }

    async fn release_attempt(&self, key: &ClaimKey, attempt: &str) {
        let deadline = Instant::now() + self.settings.settle_timeout;
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let mut backoff = Backoff::new(MAX_CLAIM_BACKOFF, MAX_SETTLE_BACKOFF);
        let row_key = key.row_key();
        while Instant::now() < deadline {
            sleep(backoff.wait(&mut random)).await;
            let keys = [row_key.clone()];
            let Ok(rows) = self.table.get(RequestClass::Urgent, &keys).await else {
                continue;
            };
            let Some(claim) = rows
                .into_iter()
                .flatten()
                .next()
                .and_then(|row| decode_own_claim(key, attempt, &row))
            else {
                return;
            };
            self.release(&claim).await;
            return;
        }
    }
}

fn decode_own_claim(key: &ClaimKey, attempt: &str, row: &Row) -> Option<Claim> {
    let existing: ClaimRow = decode(&row.value)?;
    let is_own = existing.attempt == attempt && existing.state == ClaimState::Open as i32;
    is_own.then(|| Claim {
        key: key.clone(),
        row: existing,
        revision: row.revision,
    })
}

fn not_done(detail: &str) -> PlatformError {
    PlatformError::new("claims.begin", "table", PlatformErrorKind::NotDone, detail)
}

/// Collects queued claims into groups and commits one group at a time.
async fn run_groups(settler: Settler, mut queue: mpsc::UnboundedReceiver<QueuedClaim>) {
    let settings = settler.settings;
    let mut random = StdRng::seed_from_u64(settings.seed);
    let mut next = Vec::new();
    loop {
        if next.is_empty() {
            match queue.recv().await {
                Some(queued) => next.push(queued),
                None => return,
            }
        }
        while next.len() < settings.group_size {
            match queue.try_recv() {
                Ok(queued) => next.push(queued),
                Err(_) => break,
            }
        }
        next = commit_group(&settler, next, &mut random).await;
    }
}

/// Commits one group; returns the claims whose key is in the group already, for the next one.
async fn commit_group(
    settler: &Settler,
    queued: Vec<QueuedClaim>,
    random: &mut StdRng,
) -> Vec<QueuedClaim> {
    let mut group = ClaimGroup::default();
    let mut replies = HashMap::new();
    let mut deferred = Vec::new();
    for claim in queued {
        // The caller timed out and won't dispatch the request.
        if claim.reply.is_closed() {
            continue;
        }
        if group.contains(&claim.pending.key) {
            deferred.push(claim);
            continue;
        }
        replies.insert(claim.pending.key.clone(), claim.reply);
        group.add(claim.pending);
    }
    let deadline = Instant::now() + settler.settings.claim_timeout;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_CLAIM_BACKOFF);
    let mut last_error = None;
    while !group.is_empty() && Instant::now() < deadline {
        let outcome = settler
            .table
            .transact(RequestClass::Urgent, group.transaction())
            .await;
        match outcome {
            Ok(outcome) => {
                for resolution in group.resolve(outcome) {
                    let Some(reply) = replies.remove(&resolution.pending.key) else {
                        continue;
                    };
                    // The caller timed out and won't dispatch the request, so the claim is released.
                    if reply.send(Ok(resolution.outcome)).is_err() {
                        settler.release_in_background(resolution.pending);
                    }
                }
            }
            // If the store committed but its response was lost, the retry conflicts with a row of our own attempt id.
            Err(error) => {
                last_error = Some(error);
                sleep(backoff.wait(random)).await;
            }
        }
    }
    let error = last_error.unwrap_or_else(|| not_done("the table kept conflicting"));
    for pending in group.take_unresolved() {
        if let Some(reply) = replies.remove(&pending.key) {
            let _ = reply.send(Err(error.clone()));
        }
    }
    deferred
}
