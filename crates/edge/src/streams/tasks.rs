//! What is stored of streams: where they may begin, before their first events are passed on, and records beside them.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_external::PlatformError;
use harrierward_stream_origins::{BucketNumber, StreamKey, StreamOrigin};
use tokio::time::{Instant, sleep, timeout};

use super::{StreamService, Subject, millis};
use crate::rendezvous::ranked;

/// Longest time for which the first event of a stream waits until its origin is stored. Without the store no daemon
/// concludes from it, so that the event is passed on.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after a failure to store an origin in which no event waits.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// Delay by which each further daemon leaves the write of an origin to those before it.
const DELAY_PER_RANK: Duration = Duration::from_millis(50);

/// Most daemons that are told apart by such a delay.
const MAX_RANKS: usize = 10;

/// Share of the store's writes that records of streams may use, all daemons together.
const WRITE_SHARE: f64 = 0.25;

/// Minimum time between two writes of records; those in between are stored together.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time for which records of streams of an only version are deferred: the store needs them only if another
/// version joins, and no daemon is left that knows of them.
const MIN_DEFERRAL: Duration = Duration::from_millis(200);

/// That time for each daemon of the fleet: all together write 20 times a second at most.
const DEFERRAL_PER_DAEMON: Duration = Duration::from_millis(50);

/// Maximum time after a failed write of records until the next one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time between two checks whether the store's clock is known.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks of a bucket by a daemon for rows of those that have ended.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// Daemons that may check buckets at that pace.
const REMOVING_DAEMONS: u32 = 16;

/// Name of the rows with origins in the decision log.
const ORIGINS: &str = "stream_origins";

/// Name of the rows with records in the decision log.
const RECORDS: &str = "stream_records";

/// Logs the loss of the store once, and that it is back.
struct StoreContact {
    dependency: &'static str,
    lost_at: Option<Instant>,
}

impl StoreContact {
    fn new(dependency: &'static str) -> Self {
        Self {
            dependency,
            lost_at: None,
        }
    }

    /// Returns true if the call succeeded.
    fn note<T>(&mut self, service: &StreamService, result: &Result<T, PlatformError>) -> bool {
        let dependency = self.dependency;
        match (result, self.lost_at) {
            (Err(error), None) => {
                self.lost_at = Some(harrierward_clock::now());
                service.log.record(&Record::DependencyLost {
                    dependency,
                    cause: &error.to_string(),
                });
            }
            (Ok(_), Some(lost_at)) => {
                self.lost_at = None;
                service.log.record(&Record::DependencyRegained {
                    dependency,
                    away_ms: millis(harrierward_clock::age(lost_at)),
                });
            }
            (Err(_), Some(_)) | (Ok(_), None) => {}
        }
        result.is_ok()
    }
}

/// Waits until the store's clock is known.
async fn known_time(store_now_ms: &impl Fn() -> u64) -> u64 {
    loop {
        let now_ms = store_now_ms();
        if now_ms > 0 {
            return now_ms;
        }
        sleep(CLOCK_CHECK_INTERVAL).await;
    }
}

impl StreamService {
    /// Returns once the store holds where a stream begins here, or after a bounded time.
    pub(super) async fn admit_origin(&self, host: u32, origin: StreamOrigin) {
        let members = [
            (Subject::Host(host), u64::from(origin.service)),
            (Subject::Service(origin.service), origin.version.hash()),
        ];
        let lacks = |(subject, member): &(Subject, u64)| {
            !self.store.origins.known(*subject).stored.contains(*member)
        };
        if !members.iter().any(lacks) || self.has_just_failed() {
            return;
        }
        let started_at = harrierward_clock::now();
        let storing = async {
            for (subject, member) in members.into_iter().filter(lacks) {
                self.store_member(subject, member).await?;
                self.log_stored(subject, "", started_at);
            }
            Ok::<(), PlatformError>(())
        };
        let cause = match timeout(ADMISSION_TIMEOUT, storing).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no response in time".to_owned(),
        };
        self.store_failed_at.store(Some(Arc::new(started_at)));
        self.log_stored(Subject::Service(origin.service), &cause, started_at);
    }

    async fn store_member(&self, subject: Subject, member: u64) -> Result<(), PlatformError> {
        if self.store.origins.known(subject).revision == 0 {
            // Mostly another daemon has stored it already: a read costs the store less than a transaction.
            self.store.origins.read(subject).await?;
        }
        self.store.origins.add(subject, &[member]).await
    }

    fn has_just_failed(&self) -> bool {
        let failed_at = self.store_failed_at.load();
        failed_at
            .as_deref()
            .is_some_and(|at| harrierward_clock::age(*at) < FAILURE_PAUSE)
    }

    fn log_stored(&self, subject: Subject, cause: &str, started_at: Instant) {
        let known = self.store.origins.known(subject);
        self.log.record(&Record::OriginsStored {
            kind: subject.kind(),
            subject: subject.hash(),
            members: known.stored.len(),
            revision: known.revision,
            cause,
            after_ms: millis(harrierward_clock::age(started_at)),
        });
    }

    /// Stores origins in use that the store lacks; never returns.
    pub async fn store_origins_in_use(self: Arc<Self>) {
        let mut contact = StoreContact::new(ORIGINS);
        loop {
            self.origin_due.notified().await;
            for (subject, members) in self.missing_origins() {
                sleep(self.delay_of(subject)).await;
                if !self.store.origins.lacks(subject, &members) {
                    continue;
                }
                let started_at = harrierward_clock::now();
                let result = self.store.origins.add(subject, &members).await;
                if contact.note(&self, &result) {
                    self.log_stored(subject, "", started_at);
                } else {
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Returns the time for which this daemon leaves the write of a row to others.
    fn delay_of(&self, subject: Subject) -> Duration {
        let members = self.members.load();
        let first = ranked(
            u64::from(subject.hash()),
            members.iter(),
            |member| &member.id,
            MAX_RANKS,
        );
        let rank = first
            .iter()
            .position(|member| *member.id == *self.instance_id);
        let rank = rank.unwrap_or(first.len());
        DELAY_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Keeps this daemon's records in the store up to date, and removes old ones; never returns. `store_now_ms` returns
    /// the store's clock, 0 while it is unknown.
    pub async fn store_records(self: Arc<Self>, store_now_ms: impl Fn() -> u64) {
        let mut contact = StoreContact::new(RECORDS);
        let mut bucket = BucketNumber::of(StreamKey::from_hash(rand::random()));
        let mut removed_at = Instant::now();
        let mut deferral = self.deferral();
        loop {
            self.store.records.write_due(deferral).await;
            let now_ms = known_time(&store_now_ms).await;
            let result = self.store.records.write(now_ms).await;
            let is_written = contact.note(&self, &result);
            deferral = if is_written {
                self.deferral()
            } else {
                self.deferral().min(MAX_RETRY_DELAY)
            };
            if removed_at.elapsed() >= self.removal_interval() {
                removed_at = Instant::now();
                self.store.records.forget_reads();
                bucket = bucket.next();
                let result = self.store.records.remove_old(bucket, now_ms).await;
                contact.note(&self, &result);
            }
            sleep(self.write_interval()).await;
        }
    }

    /// Returns the time for which records of streams of an only version are deferred.
    fn deferral(&self) -> Duration {
        let members = u32::try_from(self.members.load().len()).unwrap_or(u32::MAX);
        MIN_DEFERRAL.max(DEFERRAL_PER_DAEMON.saturating_mul(members))
    }

    /// Returns the time between two checks of a bucket by which all daemons together read as often at each size.
    fn removal_interval(&self) -> Duration {
        let members = u32::try_from(self.members.load().len()).unwrap_or(u32::MAX);
        REMOVAL_INTERVAL.saturating_mul(members.div_ceil(REMOVING_DAEMONS).max(1))
    }

    /// Returns the time between two writes of records by which all daemons together keep to their share.
    fn write_interval(&self) -> Duration {
        let members = u32::try_from(self.members.load().len())
            .unwrap_or(u32::MAX)
            .max(1);
        let writes = (self.store.writes_per_second * WRITE_SHARE).max(1.0);
        Duration::from_secs_f64(f64::from(members) / writes).max(MIN_WRITE_INTERVAL)
    }
}
