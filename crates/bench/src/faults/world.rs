//! The simulated fleet: one platform, some engines, some daemons.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eyre::{Result, eyre};
use harrierward_config::{
    ApplyRequest, ConfigObject, ConfigStore, EndpointSpec, KeyDigest, PolicySpec, RequestedChange,
    ServiceSpec, Spec, TenantSpec,
};
use harrierward_emulator::{EngineHandle, EngineParameters, MemoryPlatform, PlatformParameters};
use harrierward_external::{Machine, MachineState, ReplicaId};
use harrierward_node::{Node, NodeIdentity, NodeParts, NodeSettings};
use prometheus::Registry;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::gate::{Gate, GateState};
use super::gated_platform::{GatedConnector, GatedPlatform};
use super::history::Recorder;
use super::network::{NodeNetwork, SimulatedNetwork};

/// Tenants and the service that each owns.
pub const TENANTS: [(&str, &str); 2] = [("desks", "banco-lm"), ("trakia", "lot-oracle")];

const ENGINES_PER_SERVICE: usize = 3;

/// Maximum number of concurrent sequences of an engine.
pub const ENGINE_SEQUENCES: usize = 12;

/// Number of daemons at the start.
pub const DAEMONS: usize = 3;

const SHARDS: u32 = 6;

/// A simulated daemon and its gate.
#[derive(Clone)]
pub struct Daemon {
    /// Member id in the membership protocol.
    pub member: String,
    /// Address for HTTP and UDP in the simulated network.
    pub address: String,
    /// The running daemon.
    pub node: Node,
    /// Gate that all its I/O passes.
    pub gate: Gate,
}

/// Guards that can be disabled to show that the checker detects it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrokenGuards {
    /// Writes aren't conditional on chunk rows, nor on shard owner rows other than those they write, so a previous
    /// owner's writes succeed.
    pub no_fencing: bool,
    /// Idempotent requests are sent without a claim.
    pub no_claims: bool,
    /// Events carry the reader's request id and consecutive sequence numbers, so its checks pass.
    pub no_event_check: bool,
    /// Cancellations are committed, but neither announced to daemons nor visible in their urgent reads.
    pub no_cancel_notice: bool,
    /// Load reports don't say that the engine is leaving.
    pub no_leaving_report: bool,
}

/// Simulated fleet; clones share its state.
#[derive(Clone)]
pub struct World {
    /// Platform shared by all daemons.
    pub platform: MemoryPlatform,
    /// Engines by address.
    pub engines: Arc<BTreeMap<String, EngineHandle>>,
    /// Network between the daemons.
    pub network: SimulatedNetwork,
    /// History of the clients and the injected faults.
    pub recorder: Recorder,
    /// Disabled guards.
    pub broken: BrokenGuards,
    daemons: Arc<Mutex<Vec<Daemon>>>,
    random: Arc<Mutex<ChaCha8Rng>>,
    started: Instant,
    next_daemon: Arc<Mutex<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl World {
    /// Starts the platform, the engines and all daemons.
    pub async fn start(seed: u64, broken: BrokenGuards) -> Result<Self> {
        // Small engines keep jobs running long enough to overlap with faults.
        let parameters = EngineParameters {
            max_running: ENGINE_SEQUENCES,
            ..EngineParameters::default()
        };
        Self::start_with(seed, broken, parameters).await
    }

    /// Like [`Self::start`], with engines of the given parameters.
    pub async fn start_with(
        seed: u64,
        broken: BrokenGuards,
        parameters: EngineParameters,
    ) -> Result<Self> {
        let platform = MemoryPlatform::new(PlatformParameters {
            seed,
            machine_lag: Duration::from_secs(5),
            ..PlatformParameters::default()
        });
        let mut engines = BTreeMap::new();
        for (_, service) in TENANTS {
            for number in 0..ENGINES_PER_SERVICE {
                let name = format!("{service}-{number}");
                let models = vec![service.to_owned()];
                let engine = EngineHandle::start(&name, parameters, models, 1.0, true);
                platform.seed_machine(Machine {
                    replica: ReplicaId(name.clone()),
                    service: service.to_owned(),
                    zone: "zone".to_owned(),
                    address: name.clone(),
                    state: MachineState::Live,
                });
                engines.insert(name, engine);
            }
        }
        let world = Self {
            platform,
            engines: Arc::new(engines),
            network: SimulatedNetwork::new(seed ^ 1),
            recorder: Recorder::default(),
            broken,
            daemons: Arc::default(),
            random: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 2))),
            started: Instant::now(),
            next_daemon: Arc::default(),
        };
        world.write_initial_config().await?;
        for _ in 0..DAEMONS {
            world.start_daemon()?;
        }
        Ok(world)
    }

    async fn write_initial_config(&self) -> Result<()> {
        let mut changes = Vec::new();
        for (tenant, service) in TENANTS {
            let other = TENANTS.iter().find(|(other, _)| *other != tenant);
            let other = other.map_or("", |(other, _)| other);
            let program = format!(
                "fn lend(n) {{ #{{ to: #{{ {other}: 0.5 }}, return_ms: 100 }} }} fn borrow(n) {{ 0.5 }}"
            );
            let specs = [
                (
                    tenant.to_owned(),
                    Spec::Tenant(TenantSpec {
                        caller_keys: vec![KeyDigest::of(tenant)],
                        operator_keys: vec![KeyDigest::of(&format!("{tenant}-operator"))],
                    }),
                ),
                (
                    service.to_owned(),
                    Spec::Service(ServiceSpec {
                        model: service.to_owned(),
                    }),
                ),
                (
                    service.to_owned(),
                    Spec::Endpoint(EndpointSpec {
                        service: service.to_owned(),
                        callers: vec![other.to_owned()],
                    }),
                ),
                (
                    format!("{tenant}-lending"),
                    Spec::Policy(PolicySpec {
                        service: service.to_owned(),
                        program,
                    }),
                ),
            ];
            for (name, spec) in specs {
                let object = ConfigObject {
                    name,
                    owner: tenant.to_owned(),
                    revision: 0,
                    spec,
                };
                changes.push(RequestedChange {
                    id: object.id(),
                    object: Some(object),
                    based_on: None,
                });
            }
        }
        let request = ApplyRequest {
            operation: "first".to_owned(),
            operator: None,
            at_ms: 0,
            changes,
        };
        let store = ConfigStore::new(Arc::new(self.platform.clone()));
        store.apply(&request, &|_| Ok(())).await?;
        Ok(())
    }

    /// Starts a daemon with all live daemons as its seeds.
    pub fn start_daemon(&self) -> Result<Daemon> {
        let number = {
            let mut next = lock(&self.next_daemon);
            *next += 1;
            *next
        };
        let member = format!("daemon-{number}");
        let gate = Gate::new();
        let platform = Arc::new(GatedPlatform {
            gate: gate.clone(),
            platform: self.platform.clone(),
            broken: self.broken,
        });
        let live = self.live();
        let seeds = live.iter().map(|daemon| daemon.address.clone());
        let identity = NodeIdentity {
            member: member.clone(),
            udp_address: member.clone(),
            peer_address: member.clone(),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
            region_zones: vec!["zone".to_owned()],
            seeds: seeds.collect(),
        };
        let node = Node::start(NodeParts {
            identity,
            table: platform.clone(),
            objects: platform.clone(),
            machines: platform.clone(),
            weights: platform,
            connector: Arc::new(GatedConnector {
                gate: gate.clone(),
                engines: self.engines.clone(),
                broken: self.broken,
            }),
            network: Arc::new(NodeNetwork {
                network: self.network.clone(),
                address: member.clone(),
                gate: gate.clone(),
            }),
            registry: Registry::new(),
            settings: self.settings(number),
        })?;
        self.network.add(&member, node.clone(), gate.clone());
        let daemon = Daemon {
            address: member.clone(),
            member,
            node,
            gate,
        };
        lock(&self.daemons).push(daemon.clone());
        Ok(daemon)
    }

    fn settings(&self, number: u64) -> NodeSettings {
        let mut settings = NodeSettings {
            shards: SHARDS,
            seed: number,
            ..NodeSettings::default()
        };
        settings.slots.max_running = ENGINE_SEQUENCES as u32;
        settings.gateway.seed = number;
        settings.gateway.stall_timeout = Duration::from_secs(4);
        settings.owner.core.commit_delay = Duration::from_secs(1);
        settings
    }

    /// Returns the virtual time since the start of the simulation.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Draws from the random generator of clients and faults.
    pub fn random<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut lock(&self.random))
    }

    /// Returns the daemons whose gate is not closed.
    pub fn live(&self) -> Vec<Daemon> {
        let daemons = lock(&self.daemons);
        let live = daemons
            .iter()
            .filter(|daemon| daemon.gate.state() != GateState::Closed);
        live.cloned().collect()
    }

    /// Returns a random live daemon; fails if there is none.
    pub fn random_daemon(&self) -> Result<Daemon> {
        let live = self.live();
        if live.is_empty() {
            return Err(eyre!("no daemon is left"));
        }
        let index = self.random(|random| random.random_range(0..live.len()));
        Ok(live[index].clone())
    }

    /// Closes a daemon's gate, as if its machine were lost.
    pub fn kill(&self, daemon: &Daemon) {
        daemon.gate.set(GateState::Closed);
    }
}
