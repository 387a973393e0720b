//! Drives claim groups against the table, and stores answers or releases claims afterwards.

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
    /// Most claims in one transaction.
    pub group_size: usize,
    /// Longest time to try for a claim before the request is refused as not run.
    pub claim_timeout: Duration,
    /// Longest time to try to store an answer or release a claim.
    pub settle_timeout: Duration,
    /// Largest answer kept for resends, bytes; of a larger one a resend only learns that it ran.
    pub max_response_bytes: usize,
    /// Seed of the back-off's jitter.
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

const FIRST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_CLAIM_WAIT: Duration = Duration::from_millis(200);
const LONGEST_SETTLE_WAIT: Duration = Duration::from_secs(10);

struct Waiting {
    pending: PendingClaim,
    reply: oneshot::Sender<Result<ClaimOutcome, PlatformError>>,
}

/// Changes claims that exist already.
#[derive(Clone)]
struct Settler {
    table: Arc<dyn Table>,
    settings: ClaimSettings,
}

/// The claim service of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Claims {
    queue: mpsc::UnboundedSender<Waiting>,
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

    /// Claims a request for `attempt`. Nothing may be dispatched unless the outcome is `Granted`.
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
        let waiting = Waiting {
            pending: pending.clone(),
            reply,
        };
        if self.queue.send(waiting).is_err() {
            return Err(ClaimError(not_done("claim service has stopped")));
        }
        let error = match timeout_at(deadline, receiver).await {
            Ok(Ok(Ok(outcome))) => return Ok(outcome),
            Ok(Ok(Err(error))) => error,
            Ok(Err(_)) => not_done("claim service has stopped"),
            Err(_) => not_done("the table did not answer in time"),
        };
        self.settler.clean_up(pending);
        Err(ClaimError(error))
    }

    /// Waits while another attempt's claim of this key is open, until `deadline` at the longest.
    pub async fn wait_while_open(&self, key: &ClaimKey, deadline: Instant) -> WaitOutcome {
        self.watch.wait_while_open(key, deadline).await
    }

    /// Stores the answer for resends. Keeps trying for the settle deadline, in the background of the answer.
    pub async fn finish(&self, claim: &Claim, answer: &[u8]) {
        self.settler.finish(claim, answer).await;
    }

    /// Removes a claim whose request certainly did not run, so that a resend may run it.
    pub async fn release(&self, claim: &Claim) {
        self.settler.release(claim).await;
    }
}

impl Settler {
    /// Removes later a claim that may yet have been committed although its attempt gave up undispatched.
    fn clean_up(&self, pending: PendingClaim) {
        let settler = self.clone();
        tokio::spawn(async move {
            let attempt = &pending.row.attempt;
            settler.release_attempt(&pending.key, attempt).await;
        });
    }

    async fn finish(&self, claim: &Claim, answer: &[u8]) {
        let mut row = claim.row.clone();
        row.state = ClaimState::Done as i32;
        row.answer = if answer.len() <= self.settings.max_response_bytes {
            answer.to_vec()
        } else {
            Vec::new()
        };
        let key = claim.key.row_key();
        let write = Transaction::default().put(key, encode(&row));
        self.settle(claim, "stored answer", write).await;
    }

    async fn release(&self, claim: &Claim) {
        let write = Transaction::default().delete(claim.key.row_key());
        self.settle(claim, "release", write).await;
    }

    /// Applies `write` to the claim's row while the row is still the claim's own.
    async fn settle(&self, claim: &Claim, what: &str, write: Transaction) {
        let deadline = Instant::now() + self.settings.settle_timeout;
        let mut random = StdRng::seed_from_u64(self.settings.seed ^ claim.revision);
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_SETTLE_WAIT);
        let condition = Condition::AtRevision {
            key: claim.key.row_key(),
            revision: claim.revision,
        };
        while Instant::now() < deadline {
            let transaction = write.clone().require(condition.clone());
            match self.table.transact(RequestClass::Urgent, transaction).await {
                // A conflict means that an earlier try took effect: nobody else changes the row.
                Ok(_) => return,
                Err(error) => {
                    log::debug!("{PREFIX} {what} not settled yet: {error}");
                    sleep(backoff.wait(&mut random)).await;
                }
            }
        }
        log::warn!("{PREFIX} gave up on {what}; resends will be told unknown");
    }

    async fn release_attempt(&self, key: &ClaimKey, attempt: &str) {
        let deadline = Instant::now() + self.settings.settle_timeout;
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let mut backoff = Backoff::new(LONGEST_CLAIM_WAIT, LONGEST_SETTLE_WAIT);
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
                .and_then(|row| own_claim(key, attempt, &row))
            else {
                return;
            };
            self.release(&claim).await;
            return;
        }
    }
}

fn own_claim(key: &ClaimKey, attempt: &str, row: &Row) -> Option<Claim> {
    let present: ClaimRow = decode(&row.value)?;
    let own = present.attempt == attempt && present.state == ClaimState::Open as i32;
    own.then(|| Claim {
        key: key.clone(),
        row: present,
        revision: row.revision,
    })
}

fn not_done(detail: &str) -> PlatformError {
    PlatformError::new("claims.begin", "table", PlatformErrorKind::NotDone, detail)
}

/// Collects waiting claims into groups and commits one group after the other.
async fn run_groups(settler: Settler, mut queue: mpsc::UnboundedReceiver<Waiting>) {
    let settings = settler.settings;
    let mut random = StdRng::seed_from_u64(settings.seed);
    let mut next = Vec::new();
    loop {
        if next.is_empty() {
            match queue.recv().await {
                Some(waiting) => next.push(waiting),
                None => return,
            }
        }
        while next.len() < settings.group_size {
            match queue.try_recv() {
                Ok(waiting) => next.push(waiting),
                Err(_) => break,
            }
        }
        next = commit_group(&settler, next, &mut random).await;
    }
}

/// Commits one group; returns the claims that must wait for the next.
async fn commit_group(
    settler: &Settler,
    waiting: Vec<Waiting>,
    random: &mut StdRng,
) -> Vec<Waiting> {
    let mut group = ClaimGroup::default();
    let mut replies = HashMap::new();
    let mut later = Vec::new();
    for claim in waiting {
        // A caller that gave up must not be claimed for.
        if claim.reply.is_closed() {
            continue;
        }
        if group.contains(&claim.pending.key) {
            later.push(claim);
            continue;
        }
        replies.insert(claim.pending.key.clone(), claim.reply);
        group.add(claim.pending);
    }
    let deadline = Instant::now() + settler.settings.claim_timeout;
    let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_CLAIM_WAIT);
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
                    // Nobody waits any more, so nobody will dispatch: the claim must not stand.
                    if reply.send(Ok(resolution.outcome)).is_err() {
                        settler.clean_up(resolution.pending);
                    }
                }
            }
            // Sending the same rows again settles a lost answer: the row then carries our attempt id.
            Err(error) => {
                last_error = Some(error);
                sleep(backoff.wait(random)).await;
            }
        }
    }
    let error = last_error.unwrap_or_else(|| not_done("the table kept conflicting"));
    for pending in group.abandon() {
        if let Some(reply) = replies.remove(&pending.key) {
            let _ = reply.send(Err(error.clone()));
        }
    }
    later
}
