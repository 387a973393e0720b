//! Reads of headers on which a denial may rest, that there is no such job or that a result is not listed, or an owner's
//! right to go on with its job.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_external::PlatformError;

use crate::model::Lookup;
use crate::recency::RevisionPoint;
use crate::service::InlineJobs;
use crate::store::HeaderReading;
use crate::view::KnownHeader;

/// Source of a reading whose age an earlier transaction bounds.
const READ: &str = "read";

/// Source of a reading by a transaction, which is decided on the store's current state.
const TRANSACTION: &str = "transaction";

/// Returns whole milliseconds, for logs.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// What a response needs to know of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Need {
    /// Whether there is such a job; a header of any age shows that there is.
    Existence,
    /// What the header lists.
    Listing,
}

/// A call to the store for a header, and its outcome.
struct HeaderCall {
    /// [`READ`] or [`TRANSACTION`].
    source: &'static str,
    /// Bound of the reading's age; `None` without one.
    max_age: Option<Duration>,
    reading: Result<HeaderReading, PlatformError>,
}

impl HeaderCall {
    /// True if the store certainly did not process the call, so that another one does not add to a long wait.
    fn is_refused(&self) -> bool {
        matches!(&self.reading, Err(error) if !error.may_have_happened())
    }
}

impl InlineJobs {
    /// Reads the header from the store. What it lacks, the store lacked at most `max_age` before this call: only such a
    /// reading proves that a job is missing or a result unlisted.
    ///
    /// A read may reflect an earlier state of the store, at an earlier revision. It costs less than a transaction, and is
    /// enough if it reaches the revision that a transaction of this daemon named within `max_age`.
    pub(crate) async fn read_header(
        &self,
        job_id: &str,
        need: Need,
        max_age: Duration,
    ) -> Lookup<KnownHeader> {
        let newest = self.inner.view.newest_revision();
        let point = self.inner.store.recency().point_within(max_age);
        if point.is_some() || need == Need::Existence {
            let read = self.find_by_read(job_id, need, newest, point).await;
            if let Some(found) = read {
                return found;
            }
        }
        self.find_by_transaction(job_id, need, newest).await
    }

    /// Returns what a read proves, `None` if that is nothing.
    async fn find_by_read(
        &self,
        job_id: &str,
        need: Need,
        newest: u64,
        point: Option<RevisionPoint>,
    ) -> Option<Lookup<KnownHeader>> {
        let call = HeaderCall {
            source: READ,
            max_age: point.map(|point| harrierward_clock::age(point.sent_at)),
            reading: self.inner.store.read_header(job_id).await,
        };
        let required = point.map(|point| newest.max(point.revision));
        let found = self.apply(job_id, &call, required);
        if found.is_none() && need == Need::Existence {
            return self.inner.view.get(job_id).map(Lookup::Found);
        }
        found
    }

    async fn find_by_transaction(
        &self,
        job_id: &str,
        need: Need,
        newest: u64,
    ) -> Lookup<KnownHeader> {
        let call = HeaderCall {
            source: TRANSACTION,
            max_age: Some(Duration::ZERO),
            reading: self.inner.store.read_current_header(job_id).await,
        };
        let found = self.apply(job_id, &call, Some(newest));
        if call.is_refused() && need == Need::Listing {
            self.read_for_copy(job_id).await;
        }
        found.unwrap_or(Lookup::Unavailable)
    }

    /// Reads a header into the local copy, which may then show a result, while the store refuses transactions.
    async fn read_for_copy(&self, job_id: &str) {
        let call = HeaderCall {
            source: READ,
            max_age: None,
            reading: self.inner.store.read_header(job_id).await,
        };
        self.apply(job_id, &call, None);
    }

    /// Applies and logs the outcome of a call; `None` if the reading does not reflect `required_revision`, or it is
    /// unknown which revision is required.
    fn apply(
        &self,
        job_id: &str,
        call: &HeaderCall,
        required_revision: Option<u64>,
    ) -> Option<Lookup<KnownHeader>> {
        let found = match &call.reading {
            Ok(reading) => self.judge_reading(job_id, reading, required_revision),
            Err(_) => Some(Lookup::Unavailable),
        };
        self.log_header_read(job_id, call, found.as_ref());
        found
    }

    fn judge_reading(
        &self,
        job_id: &str,
        reading: &HeaderReading,
        required_revision: Option<u64>,
    ) -> Option<Lookup<KnownHeader>> {
        if let Some(known) = &reading.header {
            self.note_header(known.clone());
        }
        let required_revision = required_revision?;
        if reading.revision < required_revision {
            self.inner.log.record(&Record::ReadOutdated {
                job: job_id,
                revision: reading.revision,
                newest_revision: required_revision,
            });
            return None;
        }
        let view = &self.inner.view;
        view.note_revision(reading.revision);
        Some(view.get(job_id).map_or(Lookup::Missing, Lookup::Found))
    }

    fn log_header_read(&self, job: &str, call: &HeaderCall, found: Option<&Lookup<KnownHeader>>) {
        let (outcome, listed) = match found {
            Some(Lookup::Found(known)) => ("found", known.header.listed.len()),
            Some(Lookup::Missing) => ("missing", 0),
            Some(Lookup::Unavailable) => ("unavailable", 0),
            None => ("unproven", 0),
        };
        let error = call.reading.as_ref().err();
        self.inner.log.record(&Record::HeaderRead {
            job,
            source: call.source,
            max_age_ms: call.max_age.map(milliseconds),
            outcome,
            listed,
            cause: error.map(ToString::to_string),
        });
    }
}
