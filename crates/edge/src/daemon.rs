//! One daemon: its parts wired together, and its start.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{ObjectStore, Table, WatchedTable};
use harrierward_inline_jobs::{
    HEADS, InlineJobs, JobParts, JobSettings, RowKind, partitions, row_kind,
};
use harrierward_relay::{
    Relay, SharedSpace, SpaceUpdate, Watch, WatchPace, WatchSettings, WholeReadPace,
    gathering_interval, unpaced, whole_read_interval,
};
use harrierward_serving::{
    ConfigurationProof, Forwarder, ForwarderParts, ForwarderSettings, KeyTrust, Location,
    Mechanism, Replica, ReplicaClient, ReplicaSet,
};
use harrierward_wire::FORMAT_LEVEL;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

use crate::discovery::{Discovery, DiscoverySource};
use crate::figures::Figures;
use crate::fleet::SharedFleet;
use crate::members::{Members, new_life};
use crate::peer_news::PeerNews;
use crate::peer_rows::{PeerRows, learn};
use crate::pool::ConnectionPool;
use crate::quarantine::{HeldContents, QuarantineService};
use crate::rates::RateService;
use crate::relay::{HttpPeers, SpaceReplies};
use crate::server::{HttpService, ServerControl, ServerStage, serve};
use crate::settings::EdgeSettings;
use crate::slots::{Pacing, SlotService, YieldItems};

/// What a daemon is made of.
pub struct DaemonParts {
    /// Settings.
    pub settings: EdgeSettings,
    /// Translation of the store's rows.
    pub source: Arc<dyn DiscoverySource>,
    /// The store's rows.
    pub table: Arc<dyn Table>,
    /// The store's objects.
    pub objects: Arc<dyn ObjectStore>,
    /// The store's feeds.
    pub watched: Arc<dyn WatchedTable>,
    /// The replicas' protocol.
    pub replicas: Arc<dyn ReplicaClient>,
    /// Connections to peers.
    pub pool: ConnectionPool,
    /// Decision log.
    pub log: DecisionLog,
}

/// What a service needs of its daemon.
pub struct EdgeService {
    /// The request path.
    pub forwarder: Forwarder,
    /// Batch jobs.
    pub jobs: InlineJobs,
    /// The servers' state.
    pub control: Arc<ServerControl>,
    pub(crate) stopping: AtomicBool,
    /// Contents that are held back.
    pub quarantine: QuarantineService,
    discovery: Arc<Discovery>,
    members: Arc<Members>,
}

impl EdgeService {
    /// Living daemons that this one knows, itself among them.
    pub fn fleet_size(&self) -> usize {
        self.members.fleet_size()
    }

    /// True if the daemon wants new connections.
    pub fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        !stopping && self.discovery.is_complete() && !self.members.is_cut_off_alone()
    }

    /// True if the daemon stops, and begins nothing any more.
    pub fn is_closing(&self) -> bool {
        self.control.stage() == ServerStage::Closing
    }
}

/// A running daemon.
pub struct Daemon {
    pub(crate) settings: EdgeSettings,
    pub(crate) service: Arc<EdgeService>,
    pub(crate) members: Arc<Members>,
    relay: Arc<Relay>,
    pub(crate) log: DecisionLog,
}

impl Daemon {
    /// Wires the parts and starts the watches on the current runtime.
    pub fn start(parts: DaemonParts) -> Self {
        let DaemonParts {
            settings,
            source,
            table,
            objects,
            watched,
            replicas: client,
            pool,
            log,
        } = parts;
        let life = new_life(&settings.member);
        log.record(&Record::Started {
            member: &life,
            zone: &settings.zone,
            version: env!("CARGO_PKG_VERSION"),
            format: FORMAT_LEVEL,
            without: &settings.policy.to_string(),
        });
        let routes = Arc::new(ArcSwapOption::empty());
        let replicas = Arc::new(ReplicaSet::default());
        let control = Arc::new(ServerControl::default().with_log(log.clone()));
        let slots = Arc::new(SlotService::new(
            life.clone(),
            Location::new(&settings.zone, &settings.region),
            replicas.clone(),
            settings.costs(),
            log.clone(),
        ));
        slots.set_connections(pool.clone());
        let is_other = |seed: &String| *seed != settings.told_peer_address();
        let fleet = Arc::new(SharedFleet::new(settings.seeds.iter().any(is_other)));
        slots.set_pacing(Pacing {
            bounds: settings.warmup_bounds,
            fleet: fleet.clone(),
        });
        let rates = Arc::new(RateService::new(
            life.clone(),
            fleet,
            settings.rate_bounds,
            routes.clone(),
            log.clone(),
        ));
        let proof = Arc::new(ConfigurationProof::default());
        let quarantine =
            QuarantineService::new(life.clone(), replicas.clone(), pool.clone(), log.clone());
        let members = Members::new(
            life.clone(),
            &settings,
            replicas.clone(),
            slots.clone(),
            rates.clone(),
            quarantine.clone(),
            log.clone(),
        );
        let members = Arc::new(members);
        let forwarder = Forwarder::new(ForwarderParts {
            routes: routes.clone(),
            replicas: replicas.clone(),
            client,
            places: slots.clone(),
            rates,
            quarantine: Arc::new(quarantine.clone()),
            proof: proof.clone(),
            log: log.clone(),
            settings: ForwarderSettings {
                zone: settings.zone.clone(),
                region: settings.region.clone(),
                costs: settings.costs(),
                key_trust: settings.key_trust,
            },
        });
        let discovery = Arc::new(Discovery::new(
            source.clone(),
            routes,
            replicas,
            control.clone(),
            proof,
            log.clone(),
        ));
        let news = Arc::new(PeerNews::new(discovery.clone(), log.clone()));
        members.set_news(news.clone());
        let jobs = InlineJobs::new(JobParts {
            life,
            table: table.clone(),
            objects,
            watched: watched.clone(),
            forwarder: forwarder.clone(),
            peers: members.clone(),
            log: log.clone(),
            settings: JobSettings {
                keep: settings.keep_jobs,
                cancel_within: settings.cancel_within,
            },
        });
        members.set_jobs(jobs.clone());
        slots.set_yielding(Box::new(Yielding {
            jobs: jobs.clone(),
            members: members.clone(),
        }));
        let spaces = [source.configuration_space(), source.replica_space(), HEADS];
        let peers = Arc::new(HttpPeers::new(pool.clone()));
        let life = members.life();
        let relay = Relay::new(life, watched, peers, &spaces, log.clone());
        let relay = Arc::new(relay);
        members.set_relay(relay.clone());
        let fleet = members.clone();
        let reads_a_second = settings.store_reads_a_second;
        let paces = Paces {
            is_gathering: settings.policy.has(Mechanism::GatheredChanges),
            fleet_size: Arc::new(move || fleet.fleet_size()),
            relay: relay.clone(),
            reads_a_second,
            configuration_wait: configuration_wait(settings.key_trust),
        };
        let heads = HeadTaker {
            jobs: jobs.clone(),
            quarantine: quarantine.clone(),
        };
        start_watches(&discovery, source.as_ref(), heads, &paces, &log);
        let clock = jobs.clone();
        let store_now_ms = move || clock.view().store_now_ms();
        tokio::spawn(quarantine.clone().keep_stored(table, store_now_ms));
        tokio::spawn(jobs.clone().run());
        tokio::spawn(news.catch_up(pool.clone()));
        tokio::spawn(discovery.clone().watch_evacuated());
        let learning = learn(
            discovery.clone(),
            members.clone(),
            relay.clone(),
            pool,
            log.clone(),
        );
        tokio::spawn(learning);
        let service = Arc::new(EdgeService {
            forwarder,
            jobs,
            control,
            stopping: AtomicBool::new(false),
            quarantine,
            discovery,
            members: members.clone(),
        });
        Self {
            settings,
            service,
            members,
            relay,
            log,
        }
    }

    /// What the callers' service needs.
    pub fn service(&self) -> Arc<EdgeService> {
        self.service.clone()
    }

    /// Serves callers and the question whether the daemon is ready.
    pub async fn listen<C: HttpService, R: HttpService>(
        &self,
        callers: Arc<C>,
        readiness: Arc<R>,
    ) -> std::io::Result<()> {
        let caller_listener = TcpListener::bind(&self.settings.caller_address).await?;
        let ready_listener = TcpListener::bind(&self.settings.ready_address).await?;
        let socket = UdpSocket::bind(&self.settings.peer_address).await?;
        tokio::spawn(self.members.clone().run(Arc::new(socket)));
        let control = self.service.control.clone();
        tokio::spawn(serve(caller_listener, control, callers));
        let inner_control = Arc::new(ServerControl::default());
        tokio::spawn(serve(ready_listener, inner_control.clone(), readiness));
        if !self.settings.metrics_address.is_empty() {
            let listener = TcpListener::bind(&self.settings.metrics_address).await?;
            let figures = Arc::new(Figures::new(self.log.clone()));
            tokio::spawn(serve(listener, inner_control.clone(), figures));
        }
        if !self.settings.control_address.is_empty() {
            let listener = TcpListener::bind(&self.settings.control_address).await?;
            let peer_rows = Arc::new(PeerRows::new(self.service.discovery.clone()));
            let held = HeldContents::new(self.service.quarantine.clone(), peer_rows);
            let spaces = SpaceReplies::new(self.relay.clone(), Arc::new(held));
            tokio::spawn(serve(listener, inner_control, Arc::new(spaces)));
        }
        Ok(())
    }
}

/// What ends batch items for online requests.
struct Yielding {
    jobs: InlineJobs,
    members: Arc<Members>,
}

impl YieldItems for Yielding {
    fn yield_lease(&self, place: u32) {
        self.jobs.yield_lease(place);
    }

    fn yield_at(&self, replica: &str, count: u32) {
        self.jobs.yield_slots(replica, count);
    }

    fn ask_peer(&self, replica: &Arc<Replica>) {
        self.members.ask_peer_to_yield(replica);
    }
}

/// How long the store may hold a question for changes of a space that seldom changes. A connection on which the
/// answer is lost says nothing until this is over, and a daemon must be up to date again within the users' bound on
/// contact (3 s on the smallest sites) after such trouble.
const QUIET_WAIT: Duration = Duration::from_millis(2_000);

/// Proofs of contact within the time for which keys are served without one.
const PROOFS_IN_TRUST: u32 = 4;

/// Paces of watches, which follow the fleet's size.
struct Paces {
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

fn start_watches(
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
    let heads = watch(HEADS, partitions(), paces.gathering(HEADS), wait);
    let copy = paces.copy(HEADS);
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
struct HeadTaker {
    jobs: InlineJobs,
    quarantine: QuarantineService,
}

impl HeadTaker {
    fn take(&self, update: &SpaceUpdate) {
        let view = self.jobs.view();
        view.note_revision(update.revision);
        for row in &update.written {
            match row_kind(&row.key) {
                RowKind::Head => self.jobs.learn_row(&row.value, row.revision),
                RowKind::Fence => view.take_fence_row(&row.value, row.revision),
                // Before the store's clock is told to those that write such rows: a daemon that has started must not replace
                // what its last life knew before it has read it.
                RowKind::CrashNews => self.quarantine.take_stored(row, update.store_time_ms),
            }
        }
        for key in &update.removed {
            if let (RowKind::Head, Some(job_id)) = (row_kind(key), key.rsplit('/').next()) {
                self.jobs.head_removed(job_id);
            }
        }
        if let Some(moment) = update.as_of {
            view.prove(moment, update.store_time_ms);
        }
    }
}
