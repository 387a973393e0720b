//! One daemon: its parts wired together, and its start.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{ObjectStore, Table, WatchedTable};
use harrierward_inline_jobs::{InlineJobs, JOB_HEADERS, JobParts, JobSettings};
use harrierward_relay::Relay;
use harrierward_serving::{
    ConfigurationProof, Forwarder, ForwarderParts, ForwarderSettings, Location, Replica,
    ReplicaClient, ReplicaSet,
};
use harrierward_wire::FORMAT_LEVEL;
use tokio::net::{TcpListener, UdpSocket};

use crate::discovery::{Discovery, DiscoverySource};
use crate::figures::Figures;
use crate::fleet::SharedFleet;
use crate::members::{Members, new_life};
use crate::peer_news::PeerNews;
use crate::peer_rows::{PeerRows, learn};
use crate::pool::ConnectionPool;
use crate::quarantine::{QuarantineService, QuarantinedContents};
use crate::rates::RateService;
use crate::relay::{HttpPeers, SpaceReplies};
use crate::server::{HttpService, ServerControl, ServerStage, serve};
use crate::settings::EdgeSettings;
use crate::slots::{Pacing, PreemptItems, SlotService};
use crate::watches::{HeadTaker, Paces, start_watches};

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
            leases: slots.clone(),
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
            instance_id: life,
            table: table.clone(),
            objects,
            watched: watched.clone(),
            forwarder: forwarder.clone(),
            peers: members.clone(),
            log: log.clone(),
            settings: JobSettings {
                retention: settings.keep_jobs,
                cancel_within: settings.cancel_within,
            },
        });
        members.set_jobs(jobs.clone());
        slots.set_preemption(Box::new(Yielding {
            jobs: jobs.clone(),
            members: members.clone(),
        }));
        let spaces = [
            source.configuration_space(),
            source.replica_space(),
            JOB_HEADERS,
        ];
        let peers = Arc::new(HttpPeers::new(pool.clone()));
        let life = members.life();
        let relay = Relay::new(life, watched, peers, &spaces, log.clone());
        let relay = Arc::new(relay);
        members.set_relay(relay.clone());
        let fleet = members.clone();
        let paces = Paces::new(&settings, relay.clone(), move || fleet.fleet_size());
        let heads = HeadTaker {
            jobs: jobs.clone(),
            quarantine: quarantine.clone(),
        };
        start_watches(&discovery, source.as_ref(), heads, &paces, &log);
        let clock = jobs.clone();
        let store_now_ms = move || clock.view().store_now_ms();
        tokio::spawn(quarantine.clone().run_row_writer(table, store_now_ms));
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
            let held = QuarantinedContents::new(self.service.quarantine.clone(), peer_rows);
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

impl PreemptItems for Yielding {
    fn preempt_lease(&self, place: u32) {
        self.jobs.preempt_lease(place);
    }

    fn preempt_at(&self, replica: &str, count: u32) {
        self.jobs.preempt_slots(replica, count);
    }

    fn preempt_peer(&self, replica: &Arc<Replica>) {
        self.members.ask_peer_to_yield(replica);
    }
}
