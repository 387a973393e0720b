//! The watches of one daemon: which spaces it keeps copies of, how often it asks, and who takes what is new.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::DecisionLog;
use harrierward_inline_jobs::{InlineJobs, JOB_HEADERS, RowKind, partitions, row_kind};
use harrierward_relay::{
    Relay, SharedSpace, SpaceUpdate, Watch, WatchPace, WatchSettings, WholeReadPace,
    gathering_interval, unpaced, whole_read_interval,
};
use harrierward_serving::{KeyTrust, Mechanism};
use tokio::time::{Instant, sleep};

use crate::discovery::{Discovery, DiscoverySource};
use crate::quarantine::QuarantineService;
use crate::settings::EdgeSettings;

/// How long the store may hold a question for changes of a space that seldom changes. A connection on which the
/// answer is lost says nothing until this is over, and a daemon must be up to date again within the users' bound on
/// contact (3 s on the smallest sites) after such trouble.
const QUIET_WAIT: Duration = Duration::from_millis(2_000);

/// Proofs of contact within the time for which keys are served without one.
const PROOFS_IN_TRUST: u32 = 4;

/// Paces of watches, which follow the fleet's size.
pub(crate) struct Paces {
    is_gathering: bool,
    fleet_size: Arc<dyn Fn() -> usize + Send + Sync>,
    relay: Arc<Relay>,
    reads_a_second: f64,
    configuration_wait: Duration,
}

/// Time between whole reads of a space that a peer hands on: what differs from the peer's copy is found by digest.
const WHOLE_READS_OF_FOLLOWERS: Duration = Duration::from_secs(600);

/// A daemon that may serve keys only for a while without contact must prove its contact several times in that while.
fn configuration_wait(trust: KeyTrust) -> Duration {
    match trust {
        KeyTrust::Unbounded => QUIET_WAIT,
        KeyTrust::For(bound) => QUIET_WAIT.min(bound / PROOFS_IN_TRUST),
    }
}

impl Paces {
    /// Paces for these settings, where spaces are read through `relay`.
    pub fn new(
        settings: &EdgeSettings,
        relay: Arc<Relay>,
        fleet_size: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Self {
        Self {
            is_gathering: settings.policy.has(Mechanism::GatheredChanges),
            fleet_size: Arc::new(fleet_size),
            relay,
            reads_a_second: settings.store_reads_a_second,
            configuration_wait: configuration_wait(settings.key_trust),
        }
    }

    fn gathering(&self, space: &'static str) -> WatchPace {
        if !self.is_gathering {
            return unpaced();
        }
        let (fleet_size, reads) = (self.fleet_size.clone(), self.reads_a_second);
        let relay = self.relay.clone();
        Arc::new(move || {
            let relayed = relay.interval(space);
            relayed.unwrap_or_else(|| gathering_interval(fleet_size(), reads))
        })
    }

    fn whole_reads(&self, space: &'static str) -> WholeReadPace {
        let (fleet_size, reads) = (self.fleet_size.clone(), self.reads_a_second);
        let relay = self.relay.clone();
        Arc::new(move |calls| {
            if relay.is_follower(space) {
                return WHOLE_READS_OF_FOLLOWERS;
            }
            whole_read_interval(fleet_size(), calls, reads)
        })
    }

    /// The copy that the watch of a space keeps.
    fn copy(&self, space: &'static str) -> Arc<SharedSpace> {
        self.relay.space(space).cloned().unwrap_or_default()
    }
}

/// Starts the watches on the current runtime.
pub(crate) fn start_watches(
    discovery: &Arc<Discovery>,
    source: &dyn DiscoverySource,
    head_taker: HeadTaker,
    paces: &Paces,
    log: &DecisionLog,
) {
    let watch = |space, partitions: Vec<String>, pace, wait| Watch {
        table: paces.relay.clone(),
        space,
        settings: WatchSettings {
            wait,
            ..WatchSettings::default()
        },
        pace,
        whole_read_pace: paces.whole_reads(space),
        partitions,
        log: log.clone(),
    };
    let configuration = watch(
        source.configuration_space(),
        one_partition(),
        unpaced(),
        paces.configuration_wait,
    );
    let taker = discovery.clone();
    let copy = paces.copy(source.configuration_space());
    let taking = move |update| taker.take_configuration(&update, "store");
    tokio::spawn(configuration.run_shared(copy, taking));
    let replicas = watch(
        source.replica_space(),
        one_partition(),
        paces.gathering(source.replica_space()),
        QUIET_WAIT,
    );
    let taker = discovery.clone();
    let copy = paces.copy(source.replica_space());
    tokio::spawn(replicas.run_shared(copy, move |update| taker.take_replicas(&update)));
    let wait = WatchSettings::default().wait;
    let heads = watch(
        JOB_HEADERS,
        partitions(),
        paces.gathering(JOB_HEADERS),
        wait,
    );
    let copy = paces.copy(JOB_HEADERS);
    let first = discovery.clone();
    tokio::spawn(async move {
        // Where all daemons start at once the store takes only part of their calls: what callers wait for is read first.
        wait_until_complete(&first).await;
        let taking = move |update| head_taker.take(&update);
        heads.run_shared(copy, taking).await;
    });
}

/// How long the jobs' headers wait for the configuration and the replicas, and the pause between looks.
const DISCOVERY_FIRST: Duration = Duration::from_millis(2_000);
const DISCOVERY_LOOK: Duration = Duration::from_millis(10);

async fn wait_until_complete(discovery: &Discovery) {
    let until = Instant::now() + DISCOVERY_FIRST;
    while !discovery.is_complete() && Instant::now() < until {
        sleep(DISCOVERY_LOOK).await;
    }
}

/// The partition without a name, in which spaces that are not ours keep their rows.
fn one_partition() -> Vec<String> {
    vec![String::new()]
}

/// What the rows of the space of heads are for.
pub(crate) struct HeadTaker {
    pub jobs: InlineJobs,
    pub quarantine: QuarantineService,
}

impl HeadTaker {
    fn take(&self, update: &SpaceUpdate) {
        let view = self.jobs.view();
        view.note_revision(update.revision);
        for row in &update.written {
            match row_kind(&row.key) {
                RowKind::Header => self.jobs.note_header_row(&row.value, row.revision),
                RowKind::Fence => view.update_fence_row(&row.value, row.revision),
                // Before the store's clock is told to those that write such rows: a daemon that has started must not replace
                // what its last life knew before it has read it.
                RowKind::CrashUpdates => self.quarantine.apply_stored(row, update.store_time_ms),
            }
        }
        for key in &update.removed {
            if let (RowKind::Header, Some(job_id)) = (row_kind(key), key.rsplit('/').next()) {
                self.jobs.header_removed(job_id);
            }
        }
        if let Some(moment) = update.as_of {
            view.note_proof(moment, update.store_time_ms);
        }
    }
}
