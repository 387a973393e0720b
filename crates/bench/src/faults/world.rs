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
use super::network::{NetworkFrom, SimulatedNetwork};

/// Tenants and the service that each owns.
pub const TENANTS: [(&str, &str); 2] = [("desks", "banco-lm"), ("trakia", "lot-oracle")];

/// Engines of each service.
const ENGINES_A_SERVICE: usize = 3;

/// Sequences that an engine runs at once.
pub const ENGINE_SEQUENCES: usize = 12;

/// Daemons.
pub const DAEMONS: usize = 3;

/// Shards of the simulated fleet.
const SHARDS: u32 = 6;

/// One daemon.
#[derive(Clone)]
pub struct Daemon {
    /// Member id.
    pub member: String,
    /// Address, the same for HTTP and UDP.
    pub address: String,
    /// The daemon.
    pub node: Node,
    /// Its border.
    pub gate: Gate,
}

/// Guards that can be turned off, to show that the checker sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BrokenGuards {
    /// Writes are no longer conditional on ownership and chunk rows, so an earlier owner's writes count.
    pub no_fencing: bool,
    /// Marked requests are sent without a claim.
    pub no_claims: bool,
    /// Events look as if they were the reader's own and in sequence, so that checking them is in vain.
    pub no_event_check: bool,
    /// Cancels are committed, but told to nobody and not found by those who ask.
    pub no_cancel_notice: bool,
    /// Engines do not say that they leave.
    pub no_leaving_report: bool,
}

/// The fleet; cheap to clone.
#[derive(Clone)]
pub struct World {
    /// The platform.
    pub platform: MemoryPlatform,
    /// Engines by address.
    pub engines: Arc<BTreeMap<String, EngineHandle>>,
    /// The network.
    pub network: SimulatedNetwork,
    /// What happened.
    pub recorder: Recorder,
    /// Guards turned off.
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
    /// A fleet with all daemons started.
    pub async fn start(seed: u64, broken: BrokenGuards) -> Result<Self> {
        // Small engines, so that jobs last long enough for faults to meet them.
        let parameters = EngineParameters {
            max_running: ENGINE_SEQUENCES,
            ..EngineParameters::default()
        };
        Self::start_with(seed, broken, parameters).await
    }

    /// A fleet with all daemons started, before engines of these parameters.
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
            for number in 0..ENGINES_A_SERVICE {
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
        world.write_first_objects().await?;
        for _ in 0..DAEMONS {
            world.start_daemon()?;
        }
        Ok(world)
    }

    async fn write_first_objects(&self) -> Result<()> {
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

    /// Starts a daemon that joins the others.
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
            network: Arc::new(NetworkFrom {
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

    /// Time since the start of the simulation.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Draws from the simulation's randomness.
    pub fn random<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut lock(&self.random))
    }

    /// Daemons that are not lost.
    pub fn live(&self) -> Vec<Daemon> {
        let daemons = lock(&self.daemons);
        let live = daemons
            .iter()
            .filter(|daemon| daemon.gate.state() != GateState::Closed);
        live.cloned().collect()
    }

    /// A live daemon.
    pub fn any_daemon(&self) -> Result<Daemon> {
        let live = self.live();
        if live.is_empty() {
            return Err(eyre!("no daemon is left"));
        }
        let index = self.random(|random| random.random_range(0..live.len()));
        Ok(live[index].clone())
    }

    /// Loses a daemon's machine.
    pub fn kill(&self, daemon: &Daemon) {
        daemon.gate.set(GateState::Closed);
    }
}
