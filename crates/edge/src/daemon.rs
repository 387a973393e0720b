//! Wires the parts of a daemon together and starts it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{ObjectStore, Table, WatchedTable};
use harrierward_inline_jobs::{InlineJobs, JOB_HEADERS, JobParts, JobSettings};
use harrierward_memory::{BodyError, FairMemory, MemoryBudget};
use harrierward_relay::Relay;
use harrierward_serving::{
    ConfigurationProof, Forwarder, ForwarderParts, ForwarderSettings, Location, Replica,
    ReplicaClient, ReplicaSet,
};
use harrierward_wire::FORMAT_LEVEL;
use tokio::net::{TcpListener, UdpSocket};

use crate::audits::AuditService;
use crate::discovery::{Discovery, DiscoverySource};
use crate::fleet::SharedFleet;
use crate::members::{MemberServices, Members, new_instance_id};
use crate::metrics::MetricsService;
use crate::peer_rows::{PeerRows, bootstrap};
use crate::peer_updates::PeerUpdates;
use crate::pool::ConnectionPool;
use crate::quarantine::{QuarantineService, QuarantinedContents};
use crate::rates::RateService;
use crate::rejected_rows::RejectedRows;
use crate::relay::{HttpPeers, SpaceReplies};
use crate::server::{ConnectionBound, HttpService, ServerControl, ServerStage, serve};
use crate::settings::EdgeSettings;
use crate::slots::{Pacing, PreemptItems, SlotService};
use crate::streams::{StreamService, StreamStoreParts};
use crate::watches::{JobRowHandler, WatchIntervals, start_watches};

/// Parts from which a daemon is built.
pub struct DaemonParts {
    /// Settings of the daemon, fixed for its lifetime.
    pub settings: EdgeSettings,
    /// Parser of the store's rows.
    pub source: Arc<dyn DiscoverySource>,
    /// Rows of the shared store.
    pub table: Arc<dyn Table>,
    /// Objects of the shared store: contents and results too large for a row.
    pub objects: Arc<dyn ObjectStore>,
    /// Change feeds of the shared store.
    pub watched: Arc<dyn WatchedTable>,
    /// Client of the replicas' protocol.
    pub replicas: Arc<dyn ReplicaClient>,
    /// Connections to peers and replicas.
    pub pool: ConnectionPool,
    /// Decision log, which also holds the metrics.
    pub log: DecisionLog,
}

/// State of a daemon that its callers' service uses.
pub struct EdgeService {
    /// Forwards online requests to replicas.
    pub forwarder: Forwarder,
    /// Accepts and runs batch jobs.
    pub jobs: InlineJobs,
    /// State of the callers' server.
    pub control: Arc<ServerControl>,
    /// Memory for callers' requests.
    pub memory: MemoryBudget,
    /// Memory for submissions of jobs while they are decoded and stored.
    pub submissions: FairMemory,
    pub(crate) stopping: AtomicBool,
    /// Quarantined contents.
    pub quarantine: QuarantineService,
    discovery: Arc<Discovery>,
    members: Arc<Members>,
    log: DecisionLog,
}

impl EdgeService {
    /// Logs that the body of a request is not read to its end; the request has not run.
    pub fn note_body_refused(&self, request: &str, error: BodyError) {
        self.log.record(&Record::BodyRefused {
            request,
            cause: error.name(),
            held_bytes: self.memory.taken(),
            connections: self.control.connections(),
        });
    }

    /// Returns the number of live members in this daemon's view, itself included.
    pub fn fleet_size(&self) -> usize {
        self.members.fleet_size()
    }

    /// True if callers should be routed to the daemon: it has a configuration and replicas, isn't stopping, and isn't
    /// cut off from the store while most others reach it.
    pub fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        !stopping && self.discovery.is_complete() && !self.members.is_cut_off_from_store()
    }

    /// True if the daemon is closing and starts no new work.
    pub fn is_closing(&self) -> bool {
        self.control.stage() == ServerStage::Closing
    }
}

/// A running daemon; its watches run on the runtime that started it.
pub struct Daemon {
    pub(crate) settings: EdgeSettings,
    pub(crate) service: Arc<EdgeService>,
    pub(crate) members: Arc<Members>,
    relay: Arc<Relay>,
    pub(crate) log: DecisionLog,
}

impl Daemon {
    /// Connects the parts and starts the watches on the current runtime.
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
        let instance_id = new_instance_id(&settings.member);
        log.record(&Record::Started {
            member: &instance_id,
            zone: &settings.zone,
            version: env!("CARGO_PKG_VERSION"),
            format: FORMAT_LEVEL,
            without: &settings.policy.to_string(),
        });
        let routes = Arc::new(ArcSwapOption::empty());
        let replicas = Arc::new(ReplicaSet::default());
        let memory = MemoryBudget::new(settings.machine.request_memory());
        let bound = ConnectionBound {
            max: settings.machine.caller_connections(),
            memory: memory.clone(),
        };
        let control = ServerControl::default().with_log(log.clone());
        let control = Arc::new(control.with_bound(bound));
        let slots = Arc::new(SlotService::new(
            instance_id.clone(),
            Location::new(&settings.zone, &settings.region),
            replicas.clone(),
            settings.costs(),
            log.clone(),
        ));
        slots.set_connections(pool.clone());
        let is_other = |seed: &String| *seed != settings.advertised_peer_address();
        let fleet = Arc::new(SharedFleet::new(settings.seeds.iter().any(is_other)));
        slots.set_pacing(Pacing {
            bounds: settings.warmup_bounds,
            fleet: fleet.clone(),
        });
        let rates = Arc::new(RateService::new(
            instance_id.clone(),
            fleet,
            settings.rate_bounds,
            routes.clone(),
            log.clone(),
        ));
        let proof = Arc::new(ConfigurationProof::default());
        let quarantine = QuarantineService::new(
            instance_id.clone(),
            replicas.clone(),
            pool.clone(),
            log.clone(),
        );
        let streams = Arc::new(StreamService::new(
            &instance_id,
            Location::new(&settings.zone, &settings.region),
            replicas.clone(),
            routes.clone(),
            StreamStoreParts {
                table: table.clone(),
                watched: watched.clone(),
                writes_per_second: settings.store_writes_per_second,
            },
            log.clone(),
        ));
        let members = Members::new(
            instance_id.clone(),
            &settings,
            MemberServices {
                replicas: replicas.clone(),
                slots: slots.clone(),
                rates: rates.clone(),
                streams: streams.clone(),
                quarantine: quarantine.clone(),
            },
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
            origins: streams.clone(),
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
        let peer_updates = Arc::new(PeerUpdates::new(discovery.clone(), log.clone()));
        members.set_peer_updates(peer_updates.clone());
        let jobs = InlineJobs::new(JobParts {
            instance_id,
            table: table.clone(),
            objects,
            watched: watched.clone(),
            forwarder: forwarder.clone(),
            peers: members.clone(),
            log: log.clone(),
            memory: memory.clone(),
            settings: JobSettings {
                retention: settings.job_retention,
                cancel_within: settings.cancel_within,
                item_bytes: settings.machine.job_bytes(),
            },
        });
        members.set_jobs(jobs.clone());
        slots.set_preemption(Box::new(BatchPreemption {
            jobs: jobs.clone(),
            members: members.clone(),
        }));
        let spaces = [
            source.configuration_space(),
            source.replica_space(),
            JOB_HEADERS,
        ];
        let peers = Arc::new(HttpPeers::new(pool.clone()));
        let relay = Relay::new(
            members.instance_id(),
            watched.clone(),
            peers.clone(),
            &spaces,
            log.clone(),
        );
        let relay = Arc::new(relay);
        members.set_relay(relay.clone());
        let view = members.clone();
        let intervals = WatchIntervals::new(&settings, relay.clone(), move || view.fleet_size());
        let headers = JobRowHandler {
            jobs: jobs.clone(),
            quarantine: quarantine.clone(),
            streams: streams.clone(),
            rejected: RejectedRows::new(log.clone()),
        };
        let audited = start_watches(&discovery, source.as_ref(), headers, &intervals, &log);
        let instance_id = members.instance_id().to_owned();
        let audits = AuditService::new(instance_id, audited, watched, peers, log.clone());
        members.set_audits(Arc::new(audits));
        let clock = jobs.clone();
        let store_now_ms = move || clock.view().store_now_ms();
        tokio::spawn(quarantine.clone().run_row_writer(table, store_now_ms));
        let clock = jobs.clone();
        let store_now_ms = move || clock.view().store_now_ms();
        tokio::spawn(streams.clone().store_origins_in_use());
        tokio::spawn(streams.store_records(store_now_ms));
        tokio::spawn(jobs.clone().run());
        tokio::spawn(peer_updates.catch_up(pool.clone()));
        tokio::spawn(discovery.clone().report_evacuated_zones());
        let bootstrapping = bootstrap(
            discovery.clone(),
            members.clone(),
            relay.clone(),
            pool,
            log.clone(),
        );
        tokio::spawn(bootstrapping);
        let service = Arc::new(EdgeService {
            forwarder,
            jobs,
            control,
            memory,
            submissions: FairMemory::new(settings.machine.submission_bytes()),
            log: log.clone(),
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

    /// Returns the state that the callers' service uses.
    pub fn service(&self) -> Arc<EdgeService> {
        self.service.clone()
    }

    /// Binds the configured addresses and serves callers, readiness, metrics, and peers.
    ///
    /// # Errors
    /// An address cannot be bound.
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
            let metrics = Arc::new(MetricsService::new(self.log.clone()));
            tokio::spawn(serve(listener, inner_control.clone(), metrics));
        }
        if !self.settings.control_address.is_empty() {
            let listener = TcpListener::bind(&self.settings.control_address).await?;
            let peer_rows = Arc::new(PeerRows::new(self.service.discovery.clone()));
            let contents = QuarantinedContents::new(self.service.quarantine.clone(), peer_rows);
            let spaces = SpaceReplies::new(self.relay.clone(), Arc::new(contents));
            tokio::spawn(serve(listener, inner_control, Arc::new(spaces)));
        }
        Ok(())
    }
}

/// Preempts batch items for online requests.
struct BatchPreemption {
    jobs: InlineJobs,
    members: Arc<Members>,
}

impl PreemptItems for BatchPreemption {
    fn preempt_lease(&self, lease: u32) {
        self.jobs.preempt_lease(lease);
    }

    fn preempt_at(&self, replica: &str, count: u32) {
        self.jobs.preempt_slots(replica, count);
    }

    fn preempt_peer(&self, replica: &Arc<Replica>) {
        self.members.request_peer_preemption(replica);
    }
}
