//! Starts the watches of one daemon: which spaces it copies, how often it polls, and which component applies updates.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::DecisionLog;
use harrierward_inline_jobs::{InlineJobs, JOB_HEADERS, RowKind, partitions, row_kind};
use harrierward_relay::{
    FirstReadCheck, FullReadPace, Relay, SpacePublisher, SpaceUpdate, Watch, WatchPace,
    WatchSettings, coalescing_interval, full_read_interval, unpaced,
};
use harrierward_serving::{KeyTrust, Mechanism};
use tokio::time::{Instant, sleep};

use crate::audits::AuditedSpace;
use crate::discovery::{Discovery, DiscoverySource};
use crate::quarantine::QuarantineService;
use crate::rejected_rows::RejectedRows;
use crate::settings::EdgeSettings;
use crate::streams::StreamService;

/// How long the store may hold a long poll of a space that seldom changes. A lost response is detected only after
/// this time, and contact must be restored within 3 s.
const LONG_POLL_WAIT: Duration = Duration::from_millis(2_000);

/// Freshness proofs to obtain within the time for which keys are accepted without one.
const PROOFS_PER_TRUST_PERIOD: u32 = 4;

/// Polling intervals of watches, which depend on the fleet's size.
pub(crate) struct WatchIntervals {
    coalesces: bool,
    fleet_size: Arc<dyn Fn() -> usize + Send + Sync>,
    relay: Arc<Relay>,
    reads_per_second: f64,
    configuration_wait: Duration,
}

/// Time between full reads of a space that is relayed by a peer: differences to the peer's copy are found by digest.
const FOLLOWER_FULL_READ_INTERVAL: Duration = Duration::from_secs(600);

/// Returns the hold time of the configuration's long polls: short enough for several freshness proofs per trust
/// period.
fn configuration_wait(trust: KeyTrust) -> Duration {
    match trust {
        KeyTrust::Unbounded => LONG_POLL_WAIT,
        KeyTrust::For(trust_period) => LONG_POLL_WAIT.min(trust_period / PROOFS_PER_TRUST_PERIOD),
    }
}

impl WatchIntervals {
    /// Creates the intervals for these settings, with spaces read through `relay`.
    pub fn new(
        settings: &EdgeSettings,
        relay: Arc<Relay>,
        fleet_size: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Self {
        Self {
            coalesces: settings.policy.has(Mechanism::GatheredChanges),
            fleet_size: Arc::new(fleet_size),
            relay,
            reads_per_second: settings.store_reads_per_second,
            configuration_wait: configuration_wait(settings.key_trust),
        }
    }

    fn coalescing(&self, space: &'static str) -> WatchPace {
        if !self.coalesces {
            return unpaced();
        }
        let (fleet_size, reads) = (self.fleet_size.clone(), self.reads_per_second);
        let relay = self.relay.clone();
        Arc::new(move || {
            let relayed = relay.interval(space);
            relayed.unwrap_or_else(|| coalescing_interval(fleet_size(), reads))
        })
    }

    fn full_reads(&self, space: &'static str) -> FullReadPace {
        let (fleet_size, reads) = (self.fleet_size.clone(), self.reads_per_second);
        let relay = self.relay.clone();
        Arc::new(move |calls| {
            if relay.is_follower(space) {
                return FOLLOWER_FULL_READ_INTERVAL;
            }
            full_read_interval(fleet_size(), calls, reads)
        })
    }

    /// Returns the publisher of the copy that the watch of a space keeps.
    fn publisher(
        &self,
        space: &'static str,
        apply: impl FnMut(SpaceUpdate) + Send + 'static,
    ) -> Arc<SpacePublisher> {
        let copy = self.relay.space(space).cloned().unwrap_or_default();
        Arc::new(SpacePublisher::new(copy, apply))
    }
}

/// Starts the watches on the current runtime. Returns the spaces whose copies are audited.
pub(crate) fn start_watches(
    discovery: &Arc<Discovery>,
    source: &dyn DiscoverySource,
    mut job_rows: JobRowHandler,
    intervals: &WatchIntervals,
    log: &DecisionLog,
) -> Vec<AuditedSpace> {
    let watch = |space, partitions: Vec<String>, pace, wait, first_read_check| Watch {
        table: intervals.relay.clone(),
        space,
        settings: WatchSettings {
            wait,
            ..WatchSettings::default()
        },
        pace,
        full_read_pace: intervals.full_reads(space),
        partitions,
        first_read_check,
        log: log.clone(),
    };
    let configuration_space = source.configuration_space();
    let configuration = watch(
        configuration_space,
        unnamed_partition(),
        unpaced(),
        intervals.configuration_wait,
        Some(FirstReadCheck {
            expected_keys: source.configuration_keys(),
        }),
    );
    let target = discovery.clone();
    let apply = move |update| target.apply_configuration(&update, "store");
    let configuration_rows = intervals.publisher(configuration_space, apply);
    tokio::spawn(configuration.run_shared(configuration_rows.clone()));
    let replica_space = source.replica_space();
    let replicas = watch(
        replica_space,
        unnamed_partition(),
        intervals.coalescing(replica_space),
        LONG_POLL_WAIT,
        Some(FirstReadCheck::default()),
    );
    let target = discovery.clone();
    let apply = move |update| target.apply_replicas(&update);
    let replica_rows = intervals.publisher(replica_space, apply);
    tokio::spawn(replicas.run_shared(replica_rows.clone()));
    let wait = WatchSettings::default().wait;
    let headers = watch(
        JOB_HEADERS,
        partitions(),
        intervals.coalescing(JOB_HEADERS),
        wait,
        None,
    );
    let header_rows = intervals.publisher(JOB_HEADERS, move |update| job_rows.apply(&update));
    let awaited = discovery.clone();
    tokio::spawn(async move {
        // When all daemons start at once the store is overloaded: what callers wait for is read first.
        wait_until_complete(&awaited).await;
        headers.run_shared(header_rows).await;
    });
    let confirmed = discovery.clone();
    vec![
        AuditedSpace {
            name: configuration_space,
            publisher: configuration_rows,
            expected_keys: source.configuration_keys(),
            coalescing: unpaced(),
            on_confirmed: Box::new(|_| {}),
        },
        AuditedSpace {
            name: replica_space,
            publisher: replica_rows,
            expected_keys: Vec::new(),
            coalescing: intervals.coalescing(replica_space),
            on_confirmed: Box::new(move |at| confirmed.confirm_replicas(at)),
        },
    ]
}

/// Longest time that reading the jobs' headers waits for the configuration and the replicas, and its check interval.
const DISCOVERY_WAIT: Duration = Duration::from_millis(2_000);
const DISCOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

async fn wait_until_complete(discovery: &Discovery) {
    let until = Instant::now() + DISCOVERY_WAIT;
    while !discovery.is_complete() && Instant::now() < until {
        sleep(DISCOVERY_CHECK_INTERVAL).await;
    }
}

/// Returns the unnamed partition, which holds the rows of spaces that jobs don't own.
fn unnamed_partition() -> Vec<String> {
    vec![String::new()]
}

/// Applies the rows of the space of job headers.
pub(crate) struct JobRowHandler {
    pub jobs: InlineJobs,
    pub quarantine: QuarantineService,
    pub streams: Arc<StreamService>,
    pub rejected: RejectedRows,
}

impl JobRowHandler {
    fn apply(&mut self, update: &SpaceUpdate) {
        let view = self.jobs.view();
        view.note_revision(update.revision);
        for row in &update.written {
            let is_readable = match row_kind(&row.key) {
                RowKind::Header => self.jobs.note_header_row(&row.value, row.revision),
                RowKind::Fence => view.update_fence_row(&row.value, row.revision),
                // Applied before `note_proof` publishes the store's time, without which no such row is written: a new
                // instance must read the row of its predecessor before it overwrites it.
                RowKind::CrashReports => self.quarantine.apply_stored(row, update.store_time_ms),
                RowKind::OriginSet => {
                    // Logged with what is concluded of its streams.
                    self.streams.apply_origin_set(row, update.revision);
                    true
                }
            };
            if !is_readable {
                self.rejected.note(row);
            }
        }
        for key in &update.removed {
            match (row_kind(key), key.rsplit('/').next()) {
                (RowKind::Header, Some(job_id)) => self.jobs.header_removed(job_id),
                (RowKind::OriginSet, _) => self.streams.origin_set_removed(key, update.revision),
                _ => {}
            }
        }
        if let Some(as_of) = update.as_of {
            view.note_proof(as_of, update.store_time_ms);
            self.streams.note_store_contact(as_of);
        }
    }
}
