//! Records of where streams began, in the store: they stay when all daemons that hold them end at once.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{
    Condition, PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction,
    TransactionOutcome,
};
use harrierward_stream_origins::{
    BucketNumber, SoftwareVersion, StoredBuckets, StoredOrigin, StreamKey, StreamOrigin,
};
use harrierward_wire::{StoredStreamsRow, StreamRecord, decode, encode};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Space of the rows.
const STREAMS: &str = "streams";

/// Partition of the rows: not the unnamed one, in which the platform writes.
const PARTITION: &str = "records";

/// Most buckets that one transaction writes.
const MAX_BUCKETS_PER_WRITE: usize = 64;

/// Most rows that are read of a bucket: one for each recent instance of a daemon, and for each of its writes without a
/// response.
const MAX_ROWS_PER_BUCKET: usize = 5_000;

/// Most rows that are removed at once.
const MAX_REMOVED_ROWS: usize = 50;

/// Time for which a read of a bucket is kept.
const READ_RETENTION: Duration = Duration::from_secs(10);

/// Time on the store's clock after which the row of a daemon that doesn't write it any more is removed.
const MAX_ROW_AGE_MS: u64 = 600_000;

/// Records of a bucket, and when their read began.
#[derive(Default)]
struct BucketRead {
    started_at: Option<Instant>,
    origins: HashMap<StreamKey, StreamOrigin>,
}

/// The last read of a bucket; locked while one is under way.
type LastRead = Arc<tokio::sync::Mutex<BucketRead>>;

/// This daemon's rows, and lookups in all daemons' rows.
pub struct StreamRecords {
    instance_id: Arc<str>,
    table: Arc<dyn Table>,
    own: Mutex<StoredBuckets>,
    /// Part of the keys of this daemon's rows. A write without a response may take effect after later ones, so that these
    /// go to other rows.
    generation: AtomicU64,
    write_due: Notify,
    reads: Mutex<HashMap<BucketNumber, LastRead>>,
    /// Highest revision of a row that could not be decoded.
    rejected: AtomicU64,
    log: DecisionLog,
}

impl StreamRecords {
    /// Starts without records.
    pub fn new(instance_id: Arc<str>, table: Arc<dyn Table>, log: DecisionLog) -> Self {
        Self {
            instance_id,
            table,
            own: Mutex::default(),
            generation: AtomicU64::new(0),
            write_due: Notify::new(),
            reads: Mutex::default(),
            rejected: AtomicU64::new(0),
            log,
        }
    }

    /// Schedules records to be stored.
    pub fn add(&self, records: impl IntoIterator<Item = StoredOrigin>) {
        self.defer(records);
        if lock(&self.own).has_changes() {
            self.write_due.notify_one();
        }
    }

    /// Adds records that are stored with the next others, or after the time that [`Self::write_due`] is given.
    pub fn defer(&self, records: impl IntoIterator<Item = StoredOrigin>) {
        let mut own = lock(&self.own);
        for record in records {
            own.add(record);
        }
    }

    /// Waits until records are to be stored; deferred ones at the latest after `deferral`.
    pub async fn write_due(&self, deferral: Duration) {
        loop {
            let scheduled = timeout(deferral, self.write_due.notified()).await;
            if scheduled.is_ok() || lock(&self.own).has_changes() {
                return;
            }
        }
    }

    /// Stores the records that are due; `written_ms` is the store's clock.
    ///
    /// # Errors
    /// The store didn't confirm a write. The records stay due.
    pub async fn write(&self, written_ms: u64) -> Result<(), PlatformError> {
        loop {
            let changed = lock(&self.own).take_changed(MAX_BUCKETS_PER_WRITE);
            if changed.is_empty() {
                return Ok(());
            }
            let result = self.write_buckets(&changed, written_ms).await;
            if let Err(error) = &result {
                if may_take_effect(&error.kind) {
                    self.generation.fetch_add(1, Ordering::Relaxed);
                }
                let numbers = changed.iter().map(|(number, _)| *number);
                lock(&self.own).restore_changed(numbers);
                return result;
            }
        }
    }

    async fn write_buckets(
        &self,
        buckets: &[(BucketNumber, Vec<StoredOrigin>)],
        written_ms: u64,
    ) -> Result<(), PlatformError> {
        let mut transaction = Transaction::default();
        for (number, records) in buckets {
            let row = StoredStreamsRow {
                written_ms,
                records: records.iter().map(encode_record).collect(),
            };
            transaction = transaction.put(self.own_key(*number), encode(&row));
        }
        let outcome = self
            .table
            .transact(RequestClass::Commit, transaction)
            .await?;
        confirm(&outcome)
    }

    fn own_key(&self, bucket: BucketNumber) -> String {
        let generation = self.generation.load(Ordering::Relaxed);
        format!("{}{}.{generation}", prefix(bucket), self.instance_id)
    }

    /// Looks a stream up in the rows as they were at some moment after `since`; a read may be behind. Lookups share a read
    /// that began after all of them. To be run to its end, also if nobody waits any more: others need the read too.
    ///
    /// # Errors
    /// The store didn't respond.
    pub async fn find(
        &self,
        stream: StreamKey,
        since: Instant,
    ) -> Result<Option<StreamOrigin>, PlatformError> {
        let bucket = BucketNumber::of(stream);
        let last = lock(&self.reads).entry(bucket).or_default().clone();
        let mut read = last.lock().await;
        // Where a stream began never changes.
        if let Some(origin) = read.origins.get(&stream) {
            return Ok(Some(*origin));
        }
        if read.started_at.is_none_or(|at| at < since) {
            let started_at = harrierward_clock::now();
            let rows = self.rows(bucket).await?;
            read.origins = self.origins(&rows);
            read.started_at = Some(started_at);
        }
        Ok(read.origins.get(&stream).copied())
    }

    async fn rows(&self, bucket: BucketNumber) -> Result<Vec<Row>, PlatformError> {
        let prefix = prefix(bucket);
        let class = RequestClass::Urgent;
        self.table
            .scan(class, &prefix, "", MAX_ROWS_PER_BUCKET)
            .await
    }

    fn origins(&self, rows: &[Row]) -> HashMap<StreamKey, StreamOrigin> {
        let mut origins = HashMap::new();
        for row in rows {
            match decode::<StoredStreamsRow>(&row.value) {
                Some(row) => origins.extend(row.records.iter().map(decode_record)),
                None => self.reject(row),
            }
        }
        origins
    }

    fn reject(&self, row: &Row) {
        let logged = self.rejected.fetch_max(row.revision, Ordering::Relaxed);
        if logged < row.revision {
            self.log.record(&Record::StreamRowRejected {
                row: &row.key,
                revision: row.revision,
                concluded: "skipped",
            });
        }
    }

    /// Removes the rows of a bucket that have not been written for long; returns their number.
    ///
    /// # Errors
    /// The store didn't respond.
    pub async fn remove_old(
        &self,
        bucket: BucketNumber,
        store_now_ms: u64,
    ) -> Result<usize, PlatformError> {
        let rows = self.rows(bucket).await?;
        let own = self.own_key(bucket);
        let is_old = |row: &&Row| {
            let written_ms = decode(&row.value).map_or(0, |row: StoredStreamsRow| row.written_ms);
            row.key != own && store_now_ms.saturating_sub(written_ms) > MAX_ROW_AGE_MS
        };
        let old: Vec<&Row> = rows.iter().filter(is_old).take(MAX_REMOVED_ROWS).collect();
        if old.is_empty() {
            return Ok(0);
        }
        let mut transaction = Transaction::default();
        for row in &old {
            // The read may be behind, and the row written meanwhile.
            transaction = transaction
                .require(Condition::unchanged(&row.key, Some(row)))
                .delete(&row.key);
        }
        let class = RequestClass::Listing;
        match self.table.transact(class, transaction).await? {
            TransactionOutcome::Committed { .. } => Ok(old.len()),
            TransactionOutcome::Conflict { .. } => Ok(0),
        }
    }

    /// Forgets what was read of other daemons' records, unless that was just now.
    pub fn forget_reads(&self) {
        lock(&self.reads).retain(|_, read| {
            let read = read.try_lock();
            // One that is locked is in use.
            read.map_or(true, |read| {
                read.started_at
                    .is_some_and(|at| harrierward_clock::age(at) < READ_RETENTION)
            })
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the prefix of the keys of a bucket's rows; the id of the daemon's instance and a generation follow.
fn prefix(bucket: BucketNumber) -> String {
    format!("{STREAMS}/{PARTITION}/{:02}.", bucket.number())
}

/// True if a write with this error may have been done, or be done later.
fn may_take_effect(error: &PlatformErrorKind) -> bool {
    let is_refused = matches!(
        error,
        PlatformErrorKind::NotDone | PlatformErrorKind::RateLimited { .. }
    );
    !is_refused
}

fn confirm(outcome: &TransactionOutcome) -> Result<(), PlatformError> {
    match outcome {
        TransactionOutcome::Committed { .. } => Ok(()),
        TransactionOutcome::Conflict { .. } => Err(PlatformError::new(
            "streams.records",
            "store",
            PlatformErrorKind::Malformed,
            "a conflict without a condition",
        )),
    }
}

fn encode_record(record: &StoredOrigin) -> StreamRecord {
    StreamRecord {
        stream: record.stream.hash(),
        service: record.origin.service,
        version: record.origin.version.hash(),
        remaining_ms: 0,
        known_ms: 0,
    }
}

fn decode_record(record: &StreamRecord) -> (StreamKey, StreamOrigin) {
    let origin = StreamOrigin {
        service: record.service,
        version: SoftwareVersion::from_hash(record.version),
    };
    (StreamKey::from_hash(record.stream), origin)
}
