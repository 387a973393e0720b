//! Waits for another attempt's claim: they end when it is settled or released, or at their deadline, and the number of
//! reads doesn't grow with the number of waiters.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_claims::{
    Claim, ClaimKey, ClaimOutcome, ClaimSettings, Claims, Holder, MAX_WAITERS, RequestDigest,
    WaitOutcome,
};
use harrierward_external::{
    Condition, PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction,
    TransactionOutcome, Write,
};
use tokio::time::{Instant, sleep};

const WAIT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Default)]
struct FakeTable {
    rows: Mutex<BTreeMap<String, Row>>,
    revision: AtomicUsize,
    reads: AtomicUsize,
    /// True if reads fail.
    is_down: AtomicBool,
}

#[async_trait]
impl Table for FakeTable {
    async fn transact(
        &self,
        _: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let mut rows = self.rows.lock().expect("not poisoned");
        for condition in &transaction.conditions {
            let current = rows.get(condition.key());
            let holds = match condition {
                Condition::Absent { .. } => current.is_none(),
                Condition::AtRevision { revision, .. } => {
                    current.is_some_and(|row| row.revision == *revision)
                }
            };
            if !holds {
                return Ok(TransactionOutcome::Conflict {
                    key: condition.key().to_owned(),
                    current: current.cloned(),
                    table_revision: self.revision.load(Ordering::Relaxed) as u64,
                });
            }
        }
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) as u64 + 1;
        for write in transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        value,
                        revision,
                    };
                    rows.insert(key, row);
                }
                Write::Delete { key } => {
                    rows.remove(&key);
                }
            }
        }
        Ok(TransactionOutcome::Committed { revision })
    }

    async fn get(
        &self,
        _: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down.load(Ordering::Relaxed) {
            let kind = PlatformErrorKind::NotDone;
            return Err(PlatformError::new("table.get", "table", kind, "is down"));
        }
        let rows = self.rows.lock().expect("not poisoned");
        Ok(keys.iter().map(|key| rows.get(key).cloned()).collect())
    }

    async fn scan(
        &self,
        _: RequestClass,
        _: &str,
        _: &str,
        _: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        Ok(Vec::new())
    }
}

fn key(number: usize) -> ClaimKey {
    ClaimKey {
        tenant: "desks".to_owned(),
        key: format!("desk-{number}"),
    }
}

/// Outcome for another attempt while `holder` has the claim.
fn held() -> ClaimOutcome {
    ClaimOutcome::Held(Holder {
        attempt: "holder".to_owned(),
        created_at_ms: 1,
    })
}

fn digest(body: &str, content: &str) -> RequestDigest {
    RequestDigest::of("/v1/completions", body.as_bytes(), content.as_bytes())
}

async fn begin(claims: &Claims, number: usize, attempt: &str) -> ClaimOutcome {
    let digest = digest("body", "content");
    let outcome = claims.begin(key(number), digest, attempt.to_owned(), 1);
    outcome.await.expect("the table answers")
}

async fn open_claim(claims: &Claims, number: usize) -> Claim {
    match begin(claims, number, "holder").await {
        ClaimOutcome::Granted(claim) => claim,
        other => panic!("{other:?}"),
    }
}

/// Returns the claim services of two daemons that share one table.
fn two_daemons() -> (Arc<FakeTable>, Claims, Claims) {
    let table = Arc::new(FakeTable::default());
    let holder = Claims::start(table.clone(), ClaimSettings::default());
    let other = Claims::start(table.clone(), ClaimSettings::default());
    (table, holder, other)
}

fn wait(claims: &Claims, number: usize) -> tokio::task::JoinHandle<(WaitOutcome, Duration)> {
    let claims = claims.clone();
    tokio::spawn(async move {
        let started_at = Instant::now();
        let waited = claims
            .wait_while_open(&key(number), started_at + WAIT_TIMEOUT)
            .await;
        (waited, started_at.elapsed())
    })
}

#[tokio::test(start_paused = true)]
async fn a_wait_at_another_daemon_ends_when_the_response_is_stored() {
    let (_, holder, other) = two_daemons();
    let claim = open_claim(&holder, 0).await;
    let waiting = wait(&other, 0);
    sleep(Duration::from_millis(400)).await;
    holder.finish(&claim, b"the answer").await;
    let (waited, took) = waiting.await.expect("the wait ends");
    assert_eq!(waited, WaitOutcome::Settled);
    assert!(took < Duration::from_millis(600), "{took:?}");
    let outcome = begin(&other, 0, "resend").await;
    assert_eq!(outcome, ClaimOutcome::Completed(b"the answer".to_vec()));
}

#[tokio::test(start_paused = true)]
async fn a_response_stored_right_after_the_wait_began_ends_it_early() {
    let (_, holder, other) = two_daemons();
    let claim = open_claim(&holder, 0).await;
    let waiting = wait(&other, 0);
    sleep(Duration::from_millis(2)).await;
    holder.finish(&claim, b"the answer").await;
    let (waited, took) = waiting.await.expect("the wait ends");
    assert_eq!(waited, WaitOutcome::Settled);
    assert!(took <= Duration::from_millis(25), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_waiting_resend_can_claim_after_a_release() {
    let (_, holder, other) = two_daemons();
    let claim = open_claim(&holder, 0).await;
    let waiting = wait(&other, 0);
    sleep(Duration::from_millis(200)).await;
    holder.release(&claim).await;
    let (waited, _) = waiting.await.expect("the wait ends");
    assert_eq!(waited, WaitOutcome::Settled);
    let outcome = begin(&other, 0, "resend").await;
    assert!(matches!(outcome, ClaimOutcome::Granted(_)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn a_wait_for_an_open_claim_times_out() {
    let (_, holder, other) = two_daemons();
    open_claim(&holder, 0).await;
    let (waited, took) = wait(&other, 0).await.expect("the wait ends");
    assert_eq!((waited, took), (WaitOutcome::StillOpen, WAIT_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn failed_reads_do_not_settle_a_wait() {
    let (table, holder, other) = two_daemons();
    let claim = open_claim(&holder, 0).await;
    table.is_down.store(true, Ordering::Relaxed);
    let (waited, took) = wait(&other, 0).await.expect("the wait ends");
    assert_eq!((waited, took), (WaitOutcome::StillOpen, WAIT_TIMEOUT));
    let waiting = wait(&other, 0);
    sleep(Duration::from_millis(500)).await;
    holder.finish(&claim, b"the answer").await;
    table.is_down.store(false, Ordering::Relaxed);
    let (waited, _) = waiting.await.expect("the wait ends");
    assert_eq!(waited, WaitOutcome::Settled);
}

#[tokio::test(start_paused = true)]
async fn waiters_share_reads_and_their_number_is_bounded() {
    let (table, holder, other) = two_daemons();
    for number in 0..=MAX_WAITERS {
        open_claim(&holder, number).await;
    }
    let alone = wait(&other, 0).await.expect("the wait ends");
    assert_eq!(alone.0, WaitOutcome::StillOpen);
    let reads_alone = table.reads.swap(0, Ordering::Relaxed);

    let waiting: Vec<_> = (0..MAX_WAITERS)
        .map(|number| wait(&other, number))
        .collect();
    sleep(Duration::from_millis(1)).await;
    let (waited, took) = wait(&other, MAX_WAITERS).await.expect("it ends at once");
    assert_eq!(
        (waited, took),
        (WaitOutcome::TooManyWaiters, Duration::ZERO)
    );
    for waiter in waiting {
        assert_eq!(
            waiter.await.expect("the wait ends").0,
            WaitOutcome::StillOpen
        );
    }
    let reads = table.reads.load(Ordering::Relaxed);
    assert!(
        reads <= reads_alone + 1,
        "{reads} reads, {reads_alone} for one"
    );
    // The permits were returned.
    let (waited, _) = wait(&other, 0).await.expect("the wait ends");
    assert_eq!(waited, WaitOutcome::StillOpen);
}

#[tokio::test(start_paused = true)]
async fn a_resend_matches_by_its_body_or_its_content() {
    let (_, holder, other) = two_daemons();
    let first = digest("whole", "content");
    let granted = holder.begin(key(0), first, "holder".to_owned(), 1).await;
    assert!(
        matches!(granted, Ok(ClaimOutcome::Granted(_))),
        "{granted:?}"
    );
    let cases = [
        ("whole", "content", held()),
        ("streamed", "content", held()),
        // Older daemons compare only the body.
        ("whole", "another content", held()),
        ("streamed", "another content", ClaimOutcome::Mismatch),
    ];
    for (body, content, expected) in cases {
        let resend = digest(body, content);
        let outcome = other.begin(key(0), resend, "resend".to_owned(), 2).await;
        assert_eq!(outcome, Ok(expected), "{body}, {content}");
    }
}

#[tokio::test(start_paused = true)]
async fn rows_without_a_content_digest_match_by_the_body() {
    let (table, holder, other) = two_daemons();
    let mut first = digest("whole", "content");
    first.content.clear();
    let granted = holder.begin(key(0), first, "holder".to_owned(), 1).await;
    assert!(
        matches!(granted, Ok(ClaimOutcome::Granted(_))),
        "{granted:?}"
    );
    assert_eq!(table.rows.lock().expect("not poisoned").len(), 1);
    let mut other_body = digest("other", "content");
    other_body.content.clear();
    for (resend, expected) in [
        (digest("whole", "content"), held()),
        (digest("streamed", "content"), ClaimOutcome::Mismatch),
        (other_body, ClaimOutcome::Mismatch),
    ] {
        let outcome = other.begin(key(0), resend, "resend".to_owned(), 2).await;
        assert_eq!(outcome, Ok(expected));
    }
}
