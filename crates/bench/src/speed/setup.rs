//! Starts a daemon and emulated engines on loopback sockets.

use std::sync::Arc;

use eyre::{Result, eyre};
use harrierward_config::{ApplyFile, ApplyRequest, ConfigStore, KeyDigest};
use harrierward_emulator::{MemoryPlatform, PlatformParameters};
use harrierward_external::http::{HttpCaller, HttpEngine, with_nodelay};
use harrierward_external::{Engine, Machine, MachineState, ReplicaId};
use harrierward_gateway::EngineConnector;
use harrierward_node::{NoPeers, Node, NodeIdentity, NodeParts, NodeSettings};
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep};

use super::{Target, serve_engine};

/// Model whose engine has no step time.
pub const FAST_MODEL: &str = "fast";

/// Model whose engine has a long step time, for background streams.
pub const SLOW_MODEL: &str = "slow";

/// Step time of the engine of [`SLOW_MODEL`].
const SLOW_STEP: Duration = Duration::from_millis(100);
const CALLER_KEY: &str = "speed-key";

struct HttpConnector {
    caller: HttpCaller,
}

impl EngineConnector for HttpConnector {
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(self.caller.clone(), &machine.address))
    }
}

async fn apply_config(platform: &MemoryPlatform) -> Result<()> {
    let digest = KeyDigest::of(CALLER_KEY).0;
    let mut text =
        format!("[[tenant]]\nname = 't'\nowner = 't'\nspec = {{ caller_keys = ['{digest}'] }}\n");
    for model in [FAST_MODEL, SLOW_MODEL] {
        text.push_str(&format!(
        "[[service]]\nname = '{model}'\nowner = 't'\nspec = {{ model = '{model}' }}\n\
         [[endpoint]]\nname = '{model}'\nowner = 't'\nspec = {{ service = '{model}' }}\n\
         [[limits]]\nname = 'limits-{model}'\nowner = 't'\n\
         spec = {{ endpoint = '{model}', tenant = 't', requests_per_second = 1000000.0, burst = 1000000, concurrent_requests = 100000 }}\n"
        ));
    }
    let file = ApplyFile::parse(&text).map_err(|error| eyre!(error))?;
    let request = ApplyRequest {
        operation: "first".to_owned(),
        operator: None,
        at_ms: 0,
        changes: file.changes().map_err(|error| eyre!(error))?,
    };
    let store = ConfigStore::new(Arc::new(platform.clone()));
    store.apply(&request, &|_| Ok(())).await?;
    Ok(())
}

/// Starts the engines and the daemon; returns the fast engine and the daemon as targets.
pub async fn start() -> Result<(Target, Target)> {
    let fast_address = serve_engine(FAST_MODEL, Duration::ZERO).await?;
    let slow_address = serve_engine(SLOW_MODEL, SLOW_STEP).await?;
    let platform = MemoryPlatform::new(PlatformParameters::default());
    for (model, address) in [(FAST_MODEL, &fast_address), (SLOW_MODEL, &slow_address)] {
        platform.seed_machine(Machine {
            replica: ReplicaId(model.to_owned()),
            service: model.to_owned(),
            zone: "zone".to_owned(),
            address: address.clone(),
            state: MachineState::Live,
        });
    }
    apply_config(&platform).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let shared = Arc::new(platform);
    let mut settings = NodeSettings {
        shards: 1,
        ..NodeSettings::default()
    };
    settings.gateway.requests_per_replica = 100_000;
    let node = Node::start(NodeParts {
        identity: NodeIdentity {
            member: "speed".to_owned(),
            udp_address: "127.0.0.1:0".to_owned(),
            peer_address: address.clone(),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
            region_zones: vec!["zone".to_owned()],
            seeds: Vec::new(),
        },
        table: shared.clone(),
        objects: shared.clone(),
        machines: shared.clone(),
        weights: shared,
        connector: Arc::new(HttpConnector {
            caller: HttpCaller::new(),
        }),
        network: Arc::new(NoPeers),
        registry: Registry::new(),
        settings,
    })?;
    while !node.is_ready() || node.status().owned_replicas == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_secs(1)).await;
    let routes = harrierward_api::router(node);
    tokio::spawn(async move { axum::serve(with_nodelay(listener), routes).await });
    let engine = HttpEngine::new(HttpCaller::new(), &fast_address);
    let gateway = Target::Gateway {
        address,
        authorization: format!("Bearer {CALLER_KEY}"),
        caller: HttpCaller::new(),
    };
    Ok((Target::Engine(Arc::new(engine)), gateway))
}
