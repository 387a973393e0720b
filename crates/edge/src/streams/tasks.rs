//! What is stored of streams: versions before their replicas' first events are passed on.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_external::PlatformError;
use harrierward_stream_origins::StreamOrigin;
use tokio::time::{Instant, sleep, timeout};

use super::{StreamService, millis};
use crate::rendezvous::ranked;

/// Longest time for which the first event of a stream waits until its version is stored. Without the store no daemon
/// concludes from it, so that the event is passed on.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after a failure to store a version in which no event waits.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// Delay by which each further daemon leaves the write of a listed version to those before it.
const DELAY_PER_RANK: Duration = Duration::from_millis(50);

/// Most daemons that are told apart by such a delay.
const MAX_RANKS: usize = 10;

/// Name of the rows in the decision log.
const VERSIONS: &str = "stream_versions";

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

impl StreamService {
    /// Returns once the store holds the version of a stream that begins here, or after a bounded time.
    pub(super) async fn admit_version(&self, origin: StreamOrigin) {
        let known = self.store.versions.known(origin.service);
        if known.stored.contains(origin.version) || self.has_just_failed() {
            return;
        }
        let started_at = harrierward_clock::now();
        let stored = timeout(ADMISSION_TIMEOUT, self.store_version(origin)).await;
        let cause = match stored {
            Ok(Ok(())) => String::new(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no response in time".to_owned(),
        };
        if !cause.is_empty() {
            self.store_failed_at.store(Some(Arc::new(started_at)));
        }
        self.log_versions(origin.service, &cause, started_at);
    }

    async fn store_version(&self, origin: StreamOrigin) -> Result<(), PlatformError> {
        // Mostly another daemon has stored it already: a read costs the store less than a transaction.
        self.store.versions.read(origin.service).await?;
        let known = self.store.versions.known(origin.service);
        if known.stored.contains(origin.version) {
            return Ok(());
        }
        let versions = [origin.version];
        self.store.versions.add(origin.service, &versions).await
    }

    fn has_just_failed(&self) -> bool {
        let failed_at = self.store_failed_at.load();
        failed_at
            .as_deref()
            .is_some_and(|at| harrierward_clock::age(*at) < FAILURE_PAUSE)
    }

    fn log_versions(&self, service: u32, cause: &str, started_at: Instant) {
        let known = self.store.versions.known(service);
        self.log.record(&Record::VersionsStored {
            service,
            versions: known.stored.len(),
            revision: known.revision,
            cause,
            after_ms: millis(harrierward_clock::age(started_at)),
        });
    }

    /// Stores listed versions that the store lacks; never returns.
    pub async fn record_listed_versions(self: Arc<Self>) {
        let mut contact = StoreContact::new(VERSIONS);
        loop {
            self.version_due.notified().await;
            for (service, _) in self.missing_versions() {
                sleep(self.delay_of(service)).await;
            }
            for (service, versions) in self.missing_versions() {
                let started_at = harrierward_clock::now();
                let result = self.store.versions.add(service, &versions).await;
                if contact.note(&self, &result) {
                    self.log_versions(service, "", started_at);
                } else {
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Returns the time for which this daemon leaves the write of a service's versions to others.
    fn delay_of(&self, service: u32) -> Duration {
        let members = self.members.load();
        let first = ranked(
            u64::from(service),
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
}
