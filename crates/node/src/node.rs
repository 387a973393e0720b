//! The daemon: its shared state, its start and its drain.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_batch::{FileService, JobService, LineCheck, OwnerDriver, OwnerEvents};
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

use crate::assurance::Assurance;
use crate::cancel_task::CancelNews;
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

const PREFIX: &str = "node:";

/// Row that fixes the number of shards for a fleet.
const SHARD_COUNT_KEY: &str = "meta/shards";

/// Who a daemon is and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Member id, new for each start.
    pub member: String,
    /// UDP address for datagrams.
    pub udp_address: String,
    /// HTTP address for peers.
    pub peer_address: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Zones of the region.
    pub region_zones: Vec<String>,
    /// UDP addresses of daemons to join.
    pub seeds: Vec<String>,
}

/// What a daemon is put together from.
pub struct NodeParts {
    /// Who it is.
    pub identity: NodeIdentity,
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Machine list.
    pub machines: Arc<dyn MachineList>,
    /// Weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Makes clients of engines.
    pub connector: Arc<dyn EngineConnector>,
    /// Network towards peers.
    pub network: Arc<dyn PeerNetwork>,
    /// Registry of metrics.
    pub registry: Registry,
    /// Settings.
    pub settings: NodeSettings,
}

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct NodeStatus {
    /// Member id.
    pub member: String,
    /// Zone.
    pub zone: String,
    /// May take new work.
    pub ready: bool,
    /// Is draining.
    pub draining: bool,
    /// Configuration revision in force.
    pub config_revision: u64,
    /// The configuration is proved to be the newest.
    pub config_fresh: bool,
    /// Members in view.
    pub members: usize,
    /// Replicas listed.
    pub replicas: usize,
    /// Replicas owned.
    pub owned_replicas: usize,
    /// Replicas that told their load lately: the others get no requests.
    pub confirmed_replicas: usize,
    /// Shards owned.
    pub owned_shards: usize,
    /// Open jobs at its shards.
    pub open_jobs: usize,
    /// Online requests running here.
    pub online_running: u32,
    /// Online requests waiting here.
    pub online_waiting: usize,
    /// Batch items running on owned replicas.
    pub batch_running: usize,
}

/// State shared by a daemon's tasks.
pub(crate) struct Shared {
    pub identity: NodeIdentity,
    pub settings: NodeSettings,
    pub table: Arc<dyn Table>,
    pub objects: Arc<dyn ObjectStore>,
    pub machines: Arc<dyn MachineList>,
    pub network: Arc<dyn PeerNetwork>,
    pub registry: Registry,
    pub config: Arc<ArcSwap<ConfigSnapshot>>,
    pub config_replica: Mutex<ConfigReplica>,
    pub config_store: ConfigStore,
    /// Members that said they hold a newer configuration.
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
    pub cancel_news: Mutex<CancelNews>,
    pub assurance: Mutex<Assurance>,
    pub draining: AtomicBool,
    counter: AtomicU64,
    random: Mutex<StdRng>,
    started: Instant,
}

/// One daemon; cheap to clone.
#[derive(Clone)]
pub struct Node {
    pub(crate) shared: Arc<Shared>,
}

/// Tells ownership of shards that turned out to be lost.
struct LostShards {
    lost: mpsc::UnboundedSender<u32>,
}

impl OwnerEvents for LostShards {
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

/// Checks the body of a batch line as a request of that URL would be checked.
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

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Metrics could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The fleet has another number of shards.
    #[error("shards: this fleet has {fleet} shards, the settings say {settings}")]
    ShardCount {
        /// Number in the table.
        fleet: u32,
        /// Number in the settings.
        settings: u32,
    },
}

impl Node {
    /// Starts a daemon on the current tokio runtime. It is ready once [`Node::is_ready`] says so.
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
            Arc::new(LostShards { lost }),
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
            cancel_news: Mutex::default(),
            assurance: Mutex::default(),
            draining: AtomicBool::new(false),
            counter: AtomicU64::new(1),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            started,
            machines: parts.machines,
            network: parts.network,
            registry: parts.registry,
            identity,
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
        tokio::spawn(cancel_task::run_confirm(shared.clone()));
        tokio::spawn(capacity_task::run(shared.clone()));
        tokio::spawn(runner::run_slots(shared.clone()));
        tokio::spawn(runner::run_results(shared.clone()));
        Ok(Self { shared })
    }

    /// Checks the number of shards against the fleet's, or fixes it if this is the first daemon.
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

    /// The request path.
    pub fn gateway(&self) -> &Gateway {
        &self.shared.gateway
    }

    /// The file service.
    pub fn files(&self) -> &FileService {
        &self.shared.files
    }

    /// The job service.
    pub fn jobs(&self) -> &JobService {
        &self.shared.jobs
    }

    /// The table, under this daemon's rate budget.
    pub fn table(&self) -> Arc<dyn Table> {
        self.shared.table.clone()
    }

    /// The object store, under this daemon's rate budget.
    pub fn objects(&self) -> Arc<dyn ObjectStore> {
        self.shared.objects.clone()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        self.shared.config.load_full()
    }

    /// The configuration's store.
    pub fn config_store(&self) -> &ConfigStore {
        &self.shared.config_store
    }

    /// Registry of metrics.
    pub fn registry(&self) -> &Registry {
        &self.shared.registry
    }

    /// The capacity plan in force.
    pub fn plan(&self) -> Arc<CapacityPlan> {
        self.shared.plan.load_full()
    }

    /// Members in view.
    pub fn view(&self) -> Arc<MembershipView> {
        self.shared.view.load_full()
    }

    /// Takes a configuration change that was just committed, without waiting for the next poll.
    pub fn adopt_config(&self, delta: &harrierward_wire::ConfigDeltaReply) {
        config_task::adopt(&self.shared, delta);
    }

    /// Revisions in force at each member, asked now; `None` for one that did not answer.
    pub async fn config_in_force(&self) -> BTreeMap<String, Option<u64>> {
        config_task::in_force(&self.shared).await
    }

    /// A job was accepted here: its shard's owner is told.
    pub async fn job_accepted(&self, tenant: &str, job_id: &str, shard: u32) {
        peer_service::announce_job(&self.shared, tenant, job_id, shard).await;
    }

    /// A job's cancel was committed here: everybody who may run items of it is told. Returns once none of them can
    /// start another.
    pub async fn job_cancelled(&self, tenant: &str, job_id: &str, shard: u32) {
        let job = harrierward_wire::JobNotice {
            tenant: tenant.to_owned(),
            job_id: job_id.to_owned(),
            shard,
        };
        cancel_task::announce(&self.shared, &job).await;
    }

    /// Answers a request of a peer.
    pub async fn serve_peer(
        &self,
        request: harrierward_wire::PeerRequest,
    ) -> harrierward_wire::PeerReply {
        peer_service::serve(&self.shared, request).await
    }

    /// Takes a datagram.
    pub async fn receive_datagram(&self, bytes: &[u8]) {
        membership_task::receive(&self.shared, bytes).await;
    }

    /// A number that this daemon has not given out yet, for ids.
    pub fn next_number(&self) -> u64 {
        self.shared.next_number()
    }

    /// A random number, for ids.
    pub fn random_id(&self) -> u64 {
        self.shared.with_random(Rng::random)
    }

    /// May take new work: knows a configuration proved to be the newest once, and is not leaving.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.shared.config.load().revision() > 0
    }

    /// Is leaving.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// What the daemon says of itself.
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

    /// Leaves: takes no new work, hands batch work and ownership back, waits for running answers. True if
    /// nothing was cut off.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::Release);
        log::info!("{PREFIX} draining");
        lock(&shared.membership).leave();
        membership_task::spread_now(shared).await;
        runner::hand_back_all(shared).await;
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
        log::warn!("{PREFIX} drain timed out with answers in progress");
        false
    }
}

impl Shared {
    /// Time since start, microseconds, as replica loads are dated.
    pub fn now_micros(&self) -> u64 {
        u64::try_from(self.now().as_micros()).unwrap_or(u64::MAX)
    }

    /// Time since start, by the monotonic clock.
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

    /// Member that should own `key`, by the present view.
    pub fn owner_of(&self, key: &str) -> Option<String> {
        let view = self.view.load();
        let ids = view.staying().map(|member| member.id.as_str());
        harrierward_routing::rendezvous_owner(key, ids).map(str::to_owned)
    }

    /// HTTP address of a member; `None` if it is not in view.
    pub fn peer_address(&self, member: &str) -> Option<String> {
        let view = self.view.load();
        view.member(member)
            .map(|member| member.peer_address.clone())
    }
}
