//! The daemon: shared state, startup, drain and the interface of the HTTP layer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_batch::{
    FileService, JobService, LineCheck, OwnerDriver, OwnerEvents, replica_key,
};
use harrierward_capacity::CapacityPlan;
use harrierward_claims::Claims;
use harrierward_config::{ConfigReplica, ConfigSnapshot, ConfigStore};
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    Condition, GuardedObjects, GuardedTable, MachineList, ObjectStore, PlatformError, RateBudget,
    RequestClass, Table, Transaction, WeightStore,
};
use harrierward_gateway::{
    EndpointKind, EngineConnector, Gateway, GatewayMetrics, GatewayParts, ReplicaDirectory,
    ZoneRank, parse_request,
};
use harrierward_membership::{MembershipCore, MembershipView};
use harrierward_routing::CostModel;
use harrierward_wire::{MemberRecord, MemberState, ShardCountRow, decode, encode};
use prometheus::Registry;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};

use crate::cancel_freshness::CancelFreshness;
use crate::cancel_task::RecentCancels;
use crate::clock::now_ms;
use crate::network::PeerNetwork;
use crate::online_view::OnlineView;
use crate::ownership::Ownership;
use crate::runner::Runner;
use crate::settings::NodeSettings;
use crate::{
    cancel_task, capacity_task, config_task, directory_task, membership_task, ownership,
    peer_service, roster_task, runner,
};
use harrierward_memory::{BudgetSizes, MemoryBudget};

const PREFIX: &str = "node:";

/// Row with the number of shards, written once by the first daemon of a fleet.
const SHARD_COUNT_KEY: &str = "meta/shards";

/// Member id, location and addresses of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Member id, unique to this daemon instance.
    pub member: String,
    /// UDP address for datagrams.
    pub udp_address: String,
    /// HTTP address for peers.
    pub peer_address: String,
    /// Zone in which the daemon runs.
    pub zone: String,
    /// Region to which the zone belongs.
    pub region: String,
    /// All zones of the region, its own included.
    pub region_zones: Vec<String>,
    /// UDP addresses of daemons to join.
    pub seeds: Vec<String>,
}

/// Largest body, in bytes, that may use the reserve of the memory for requests.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Dependencies and settings of a daemon.
pub struct NodeParts {
    /// Member id and addresses, which it also advertises to the other members.
    pub identity: NodeIdentity,
    /// Table service; the daemon limits the rate of its calls.
    pub table: Arc<dyn Table>,
    /// Object store; shares the rate limit of the table.
    pub objects: Arc<dyn ObjectStore>,
    /// Source of the replicas that exist.
    pub machines: Arc<dyn MachineList>,
    /// Store of model weights; unused by the daemon itself.
    pub weights: Arc<dyn WeightStore>,
    /// Creates the engine client of each replica.
    pub connector: Arc<dyn EngineConnector>,
    /// Calls and datagrams to other daemons.
    pub network: Arc<dyn PeerNetwork>,
    /// Registry in which the daemon registers its metrics.
    pub registry: Registry,
    /// Intervals, limits and the random seed.
    pub settings: NodeSettings,
}

/// Status of a daemon, as the admin API returns it.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct NodeStatus {
    /// Member id of the daemon instance.
    pub member: String,
    /// Zone in which it runs.
    pub zone: String,
    /// True if it accepts new work.
    pub ready: bool,
    /// True once a drain has begun.
    pub draining: bool,
    /// Configuration revision in force; 0 before the first.
    pub config_revision: u64,
    /// True while a recent proof shows that the configuration is the newest.
    pub config_fresh: bool,
    /// Members in its view, itself included.
    pub members: usize,
    /// Replicas in the machine list.
    pub replicas: usize,
    /// Replicas whose batch work it controls.
    pub owned_replicas: usize,
    /// Replicas with a recent load report; a replica with an expired one, or none, gets no requests.
    pub confirmed_replicas: usize,
    /// Job shards that it owns.
    pub owned_shards: usize,
    /// Unfinished jobs of its shards.
    pub open_jobs: usize,
    /// Online requests that its gateway has admitted and whose responses have not ended.
    pub online_running: u32,
    /// Online requests queued at its gateway, and resends that wait there for another attempt.
    pub online_waiting: usize,
    /// Batch items running on the owned replicas.
    pub batch_running: usize,
}

/// State shared by the tasks of a daemon.
pub(crate) struct Shared {
    pub identity: NodeIdentity,
    pub request_memory: MemoryBudget,
    pub settings: NodeSettings,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn ObjectStore>,
    pub machines: Arc<dyn MachineList>,
    pub network: Arc<dyn PeerNetwork>,
    pub registry: Registry,
    pub config: Arc<ArcSwap<ConfigSnapshot>>,
    pub config_replica: Mutex<ConfigReplica>,
    pub config_store: ConfigStore,
    /// Members that reported a newer configuration.
    pub config_pulls: mpsc::UnboundedSender<String>,
    pub membership: Mutex<MembershipCore>,
    pub view: ArcSwap<MembershipView>,
    pub directory: Arc<ReplicaDirectory>,
    pub gateway: Gateway,
    pub owner: OwnerDriver,
    pub files: FileService,
    pub jobs: JobService,
    pub online: OnlineView,
    pub ownership: Mutex<Ownership>,
    pub plan: ArcSwap<CapacityPlan>,
    pub runner: Mutex<Runner>,
    pub runner_wake: Notify,
    pub recent_cancels: Mutex<RecentCancels>,
    pub cancel_freshness: Mutex<CancelFreshness>,
    pub draining: AtomicBool,
    counter: AtomicU64,
    random: Mutex<StdRng>,
    started: Instant,
}

/// Handle to one daemon; clones share its state.
#[derive(Clone)]
pub struct Node {
    pub(crate) shared: Arc<Shared>,
}

/// Notifies the ownership task of shards that the owner driver has lost to another member.
struct LostShardSender {
    lost: mpsc::UnboundedSender<u32>,
}

impl OwnerEvents for LostShardSender {
    fn shard_lost(&self, shard: u32) {
        let _ = self.lost.send(shard);
    }

    fn now_ms(&self) -> u64 {
        now_ms()
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns the check of batch lines; it validates the body like an online request to the same URL.
fn line_check() -> LineCheck {
    Arc::new(|url, body| {
        let kind = EndpointKind::from_path(url)
            .ok_or_else(|| format!("url: {url} cannot be run as a batch"))?;
        let spec = parse_request(kind, body).map_err(|error| format!("body.{error}"))?;
        if spec.stream {
            return Err("body.stream: must not be true in a batch".to_owned());
        }
        Ok(spec.endpoint)
    })
}

/// Errors of daemon startup.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Registration of a metric failed.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The settings disagree with the number of shards stored for the fleet.
    #[error("shards: this fleet has {fleet} shards, the settings say {settings}")]
    ShardCount {
        /// Number stored in the table.
        fleet: u32,
        /// Number in the settings.
        settings: u32,
    },
}

impl Node {
    /// Starts a daemon on the current tokio runtime. It accepts work once [`Node::is_ready`] returns true.
    pub fn start(parts: NodeParts) -> Result<Self, StartError> {
        let started = Instant::now();
        let settings = parts.settings;
        let identity = parts.identity;
        let budget = Arc::new(RateBudget::new(settings.store_rate, settings.store_rate));
        let limits = settings.store_limits;
        let table: Arc<dyn Table> =
            Arc::new(GuardedTable::new(parts.table, budget.clone(), limits));
        let objects: Arc<dyn ObjectStore> =
            Arc::new(GuardedObjects::new(parts.objects, budget, limits));
        let config = Arc::new(ArcSwap::from_pointee(ConfigSnapshot::default()));
        let directory = Arc::new(ReplicaDirectory::new(
            parts.connector,
            ZoneRank {
                zone: identity.zone.clone(),
                region_zones: identity.region_zones.clone(),
            },
            &identity.member,
            settings.subset,
            CostModel::default(),
        ));
        let claims = Claims::start(table.clone(), settings.claims);
        let log = DecisionLog::new(LogBounds::default());
        tokio::spawn(log.clone().run());
        let gateway_parts = GatewayParts {
            member: identity.member.clone(),
            config: config.clone(),
            directory: directory.clone(),
            claims,
            metrics: GatewayMetrics::new(&parts.registry)?,
            log: log.clone(),
            now_ms,
            started,
        };
        let gateway = Gateway::start(gateway_parts, settings.gateway);
        let (lost, lost_shards) = mpsc::unbounded_channel();
        let owner = OwnerDriver::start(
            &identity.member,
            table.clone(),
            objects.clone(),
            Arc::new(LostShardSender { lost }),
            settings.owner,
        );
        let own_record = MemberRecord {
            id: identity.member.clone(),
            udp_address: identity.udp_address.clone(),
            peer_address: identity.peer_address.clone(),
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            incarnation: 1,
            state: MemberState::Alive as i32,
            backlog: Vec::new(),
            detached: false,
        };
        let membership =
            MembershipCore::new(settings.membership, own_record).with_seeds(identity.seeds.clone());
        let view = ArcSwap::from_pointee(membership.view());
        let (config_pulls, config_pull_requests) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            files: FileService::new(table.clone(), objects.clone(), line_check()),
            jobs: JobService::new(table.clone(), settings.shards),
            config_store: ConfigStore::new(table.clone()),
            config_replica: Mutex::new(ConfigReplica::new(settings.freshness)),
            config_pulls,
            membership: Mutex::new(membership),
            view,
            online: OnlineView::default(),
            ownership: Mutex::new(Ownership::default()),
            plan: ArcSwap::from_pointee(CapacityPlan::default()),
            runner: Mutex::new(Runner::new(settings.slots)),
            runner_wake: Notify::new(),
            recent_cancels: Mutex::default(),
            cancel_freshness: Mutex::default(),
            draining: AtomicBool::new(false),
            counter: AtomicU64::new(1),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            started,
            machines: parts.machines,
            network: parts.network,
            registry: parts.registry,
            identity,
            request_memory: MemoryBudget::new(BudgetSizes {
                total: settings.request_memory_bytes,
                small: SMALL_BODY_BYTES,
            }),
            settings,
            table,
            objects,
            config,
            directory,
            gateway,
            owner,
        });
        tokio::spawn(membership_task::run(shared.clone()));
        tokio::spawn(config_task::run_polls(shared.clone()));
        tokio::spawn(config_task::run_pulls(shared.clone(), config_pull_requests));
        tokio::spawn(directory_task::run_list(shared.clone()));
        tokio::spawn(directory_task::run_loads(shared.clone()));
        tokio::spawn(directory_task::run_notices(shared.clone()));
        tokio::spawn(ownership::run(shared.clone(), lost_shards));
        tokio::spawn(roster_task::run(shared.clone()));
        tokio::spawn(cancel_task::run_table_reads(shared.clone()));
        tokio::spawn(capacity_task::run(shared.clone()));
        tokio::spawn(runner::run_slots(shared.clone()));
        tokio::spawn(runner::run_results(shared.clone()));
        Ok(Self { shared })
    }

    /// Compares `shards` with the number stored for the fleet; the first daemon stores it.
    pub async fn check_shard_count(
        table: &dyn Table,
        shards: u32,
    ) -> Result<Result<(), StartError>, PlatformError> {
        let row = ShardCountRow { shards };
        let insert = Transaction::default()
            .require(Condition::Absent {
                key: SHARD_COUNT_KEY.to_owned(),
            })
            .put(SHARD_COUNT_KEY, encode(&row));
        table.transact(RequestClass::Urgent, insert).await?;
        let keys = [SHARD_COUNT_KEY.to_owned()];
        let rows = table.get(RequestClass::Urgent, &keys).await?;
        let stored = rows.into_iter().flatten().next();
        let fleet = stored
            .and_then(|row| decode::<ShardCountRow>(&row.value))
            .unwrap_or_default()
            .shards;
        if fleet == shards {
            return Ok(Ok(()));
        }
        Ok(Err(StartError::ShardCount {
            fleet,
            settings: shards,
        }))
    }

    /// Returns the gateway for online requests.
    pub fn gateway(&self) -> &Gateway {
        &self.shared.gateway
    }

    /// Returns the memory for the bodies of requests.
    pub fn request_memory(&self) -> &MemoryBudget {
        &self.shared.request_memory
    }

    /// Returns the service for batch input files.
    pub fn files(&self) -> &FileService {
        &self.shared.files
    }

    /// Returns the service that creates, reads and cancels batch jobs.
    pub fn jobs(&self) -> &JobService {
        &self.shared.jobs
    }

    /// Returns the table, limited by the rate budget of this daemon.
    pub fn table(&self) -> Arc<dyn Table> {
        self.shared.table.clone()
    }

    /// Returns the object store, limited by the rate budget of this daemon.
    pub fn objects(&self) -> Arc<dyn ObjectStore> {
        self.shared.objects.clone()
    }

    /// Returns the configuration in force; revision 0 and empty before the first.
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        self.shared.config.load_full()
    }

    /// Returns the store to which configuration changes are committed.
    pub fn config_store(&self) -> &ConfigStore {
        &self.shared.config_store
    }

    /// Returns the registry from which metrics are exported.
    pub fn registry(&self) -> &Registry {
        &self.shared.registry
    }

    /// Returns the capacity plan of the last control tick.
    pub fn plan(&self) -> Arc<CapacityPlan> {
        self.shared.plan.load_full()
    }

    /// Returns the current membership view.
    pub fn view(&self) -> Arc<MembershipView> {
        self.shared.view.load_full()
    }

    /// Applies a committed configuration change without waiting for the next poll.
    pub fn adopt_config(&self, delta: &harrierward_wire::ConfigDeltaReply) {
        config_task::adopt(&self.shared, delta);
    }

    /// Queries the revision in force at each member; `None` for one that did not reply.
    pub async fn config_in_force(&self) -> BTreeMap<String, Option<u64>> {
        config_task::in_force(&self.shared).await
    }

    /// Notifies the owner of the shard that a job was accepted.
    pub async fn job_accepted(&self, tenant: &str, job_id: &str, shard: u32) {
        peer_service::announce_job(&self.shared, tenant, job_id, shard).await;
    }

    /// Announces a committed cancellation to all members. Returns once none of them can start another item of
    /// the job.
    pub async fn job_cancelled(&self, tenant: &str, job_id: &str, shard: u32) {
        let job = harrierward_wire::JobNotice {
            tenant: tenant.to_owned(),
            job_id: job_id.to_owned(),
            shard,
        };
        cancel_task::announce(&self.shared, &job).await;
    }

    /// Handles a request of a peer.
    pub async fn serve_peer(
        &self,
        request: harrierward_wire::PeerRequest,
    ) -> harrierward_wire::PeerReply {
        peer_service::serve(&self.shared, request).await
    }

    /// Handles a datagram; one that can't be decoded is dropped.
    pub async fn receive_datagram(&self, bytes: &[u8]) {
        membership_task::receive(&self.shared, bytes).await;
    }

    /// Returns a number unique within this daemon instance, for ids.
    pub fn next_number(&self) -> u64 {
        self.shared.next_number()
    }

    /// Returns a random number for ids, drawn from the seeded generator.
    pub fn random_id(&self) -> u64 {
        self.shared.with_random(Rng::random)
    }

    /// True if the daemon accepts new work: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.shared.config.load().revision() > 0
    }

    /// True once a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// Returns the member that should control a replica's batch work, and to which gateways report their online requests
    /// there; `None` while the view is empty.
    pub fn owner_of_replica(&self, replica: &str) -> Option<String> {
        self.shared.owner_of_replica(replica)
    }

    /// Returns a snapshot of the status.
    pub fn status(&self) -> NodeStatus {
        let shared = &self.shared;
        let (online_running, online_waiting) = shared.gateway.load();
        let now = shared.now();
        let (owned_replicas, batch_running) = {
            let runner = lock(&shared.runner);
            (runner.replica_count(), runner.running_count())
        };
        NodeStatus {
            member: shared.identity.member.clone(),
            zone: shared.identity.zone.clone(),
            ready: self.is_ready(),
            draining: self.is_draining(),
            config_revision: shared.config.load().revision(),
            config_fresh: lock(&shared.config_replica).is_fresh(now),
            members: shared.view.load().members.len(),
            replicas: shared.directory.load().replicas.len(),
            owned_replicas,
            confirmed_replicas: crate::directory_task::confirmed_replicas(shared),
            owned_shards: shared.owner.shards().len(),
            open_jobs: shared.owner.job_count(),
            online_running,
            online_waiting,
            batch_running,
        }
    }

    /// Drains the daemon: rejects new work, returns batch items, releases ownership and waits for running
    /// responses. False if some are still in progress after the drain timeout.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::Release);
        log::info!("{PREFIX} draining");
        lock(&shared.membership).leave();
        membership_task::gossip_departure(shared).await;
        runner::return_all(shared).await;
        ownership::release_all(shared).await;
        let deadline = Instant::now() + shared.settings.drain_timeout;
        while Instant::now() < deadline {
            let (running, waiting) = shared.gateway.load();
            if running == 0 && waiting == 0 {
                log::info!("{PREFIX} drained");
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        log::warn!("{PREFIX} drain timed out; responses are still in progress");
        false
    }
}

impl Shared {
    /// Returns the time since startup in microseconds, the time base of replica loads.
    pub fn now_micros(&self) -> u64 {
        u64::try_from(self.now().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the monotonic time since startup.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn next_number(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub fn with_random<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut lock(&self.random))
    }

    /// Returns the member that should own `key` by rendezvous hashing over the current view.
    pub fn owner_of(&self, key: &str) -> Option<String> {
        let view = self.view.load();
        let ids = view.staying().map(|member| member.id.as_str());
        harrierward_routing::rendezvous_owner(key, ids).map(str::to_owned)
    }

    /// Returns the member that should own a replica.
    pub fn owner_of_replica(&self, replica: &str) -> Option<String> {
        self.owner_of(&replica_key(replica))
    }

    /// Returns the HTTP address of a member; `None` if it is not in view.
    pub fn peer_address(&self, member: &str) -> Option<String> {
        let view = self.view.load();
        view.member(member)
            .map(|member| member.peer_address.clone())
    }
}
