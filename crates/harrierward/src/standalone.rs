//! `harrierward standalone`: one node with an in-memory platform and emulated engines in one process.

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, Result};
use getopts::{Matches, Options};
use harrierward_config::KeyDigest;
use harrierward_emulator::{EngineHandle, EngineParameters, MemoryPlatform, PlatformParameters};
use harrierward_external::{Engine, Machine, MachineState, ReplicaId};
use harrierward_gateway::EngineConnector;
use harrierward_node::{NoPeers, Node, NodeIdentity, NodeParts, NodeSettings};
use log::LevelFilter;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::command_line::Outcome;
use crate::logging::{self, LogFormat};
use crate::serve::{bootstrap_text, serve_until_stopped};

const DEFAULT_LISTEN: &str = "127.0.0.1:8080";
const ZONE: &str = "local";
const REPLICAS_PER_SERVICE: usize = 3;
const SHARDS: u32 = 8;

/// Interval at which the node's readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An example tenant, with its service.
struct ExampleTenant {
    tenant: &'static str,
    service: &'static str,
}

const EXAMPLES: [ExampleTenant; 2] = [
    ExampleTenant {
        tenant: "desks",
        service: "banco-lm",
    },
    ExampleTenant {
        tenant: "trakia",
        service: "lot-oracle",
    },
];

pub fn options(options: &mut Options) {
    let default = format!("IP:PORT to listen on (default {DEFAULT_LISTEN})");
    options.optopt("", "listen", &default, "ADDRESS");
    options.optopt("", "log-level", "error, warn, info or debug", "LEVEL");
}

pub fn run(matches: &Matches) -> Outcome {
    let listen = matches.opt_str("listen");
    let listen = listen.as_deref().unwrap_or(DEFAULT_LISTEN).to_owned();
    let level = matches.opt_str("log-level");
    let level: LevelFilter = level
        .as_deref()
        .unwrap_or("info")
        .parse()
        .map_err(|_| crate::command_line::Failure::Usage("log-level: no such level".into()))?;
    logging::start(LogFormat::Plain, level)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(&listen))?;
    Ok(())
}

fn caller_key(tenant: &str) -> String {
    format!("{tenant}-caller-key")
}

fn operator_key(tenant: &str) -> String {
    format!("{tenant}-operator-key")
}

/// Builds the configuration: two tenants, each with a service, an endpoint that the other may call, and a policy that
/// lends half of its idle capacity.
fn initial_objects() -> String {
    let mut text = String::new();
    for example in &EXAMPLES {
        let other = EXAMPLES.iter().find(|other| other.tenant != example.tenant);
        let other = other.map_or("", |other| other.tenant);
        let (tenant, service) = (example.tenant, example.service);
        let caller = KeyDigest::of(&caller_key(tenant)).0;
        let operator = KeyDigest::of(&operator_key(tenant)).0;
        text.push_str(&format!(
            r#"
[[tenant]]
name = "{tenant}"
owner = "{tenant}"
spec = {{ caller_keys = ["{caller}"], operator_keys = ["{operator}"] }}

[[service]]
name = "{service}"
owner = "{tenant}"
spec = {{ model = "{service}" }}

[[endpoint]]
name = "{service}"
owner = "{tenant}"
spec = {{ service = "{service}", callers = ["{other}"] }}

[[policy]]
name = "{tenant}-lending"
owner = "{tenant}"
spec.service = "{service}"
spec.program = '''
fn lend(numbers) {{ #{{ to: #{{ {other}: 0.5 }}, return_ms: 100 }} }}
fn borrow(numbers) {{ 0.5 }}
'''
"#
        ));
    }
    text
}

/// Emulated engines by address.
struct EmulatedEngines {
    engines: Vec<(String, EngineHandle)>,
}

impl EngineConnector for EmulatedEngines {
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine> {
        let found = self
            .engines
            .iter()
            .find(|(address, _)| *address == machine.address)
            .map(|(_, engine)| engine.clone());
        let engine = found.unwrap_or_else(|| {
            EngineHandle::start(
                "missing",
                EngineParameters::default(),
                Vec::new(),
                1.0,
                false,
            )
        });
        Arc::new(engine)
    }
}

fn start_engines(platform: &MemoryPlatform) -> EmulatedEngines {
    let mut engines = Vec::new();
    for example in &EXAMPLES {
        for number in 0..REPLICAS_PER_SERVICE {
            let name = format!("{}-{number}", example.service);
            let models = vec![example.service.to_owned()];
            let parameters = EngineParameters::default();
            let engine = EngineHandle::start(&name, parameters, models, 1.0, false);
            platform.seed_machine(Machine {
                replica: ReplicaId(name.clone()),
                service: example.service.to_owned(),
                zone: ZONE.to_owned(),
                address: name.clone(),
                state: MachineState::Live,
            });
            engines.push((name, engine));
        }
    }
    EmulatedEngines { engines }
}

async fn serve(listen: &str) -> Result<()> {
    let api = TcpListener::bind(listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {listen}"))?;
    let platform = MemoryPlatform::new(PlatformParameters::default());
    let engines = start_engines(&platform);
    let shared: Arc<MemoryPlatform> = Arc::new(platform);
    Node::check_shard_count(shared.as_ref(), SHARDS).await??;
    bootstrap_text(shared.clone(), &initial_objects()).await?;
    let identity = NodeIdentity {
        member: "standalone".to_owned(),
        udp_address: "127.0.0.1:0".to_owned(),
        peer_address: listen.to_owned(),
        zone: ZONE.to_owned(),
        region: ZONE.to_owned(),
        region_zones: vec![ZONE.to_owned()],
        seeds: Vec::new(),
    };
    let settings = NodeSettings {
        shards: SHARDS,
        store_rate: 1000.0,
        seed: rand::random(),
        ..NodeSettings::default()
    };
    let node = Node::start(NodeParts {
        identity,
        table: shared.clone(),
        objects: shared.clone(),
        machines: shared.clone(),
        weights: shared,
        connector: Arc::new(engines),
        network: Arc::new(NoPeers),
        registry: Registry::new(),
        settings,
    })?;
    let address = api.local_addr()?;
    // Until all replicas are confirmed, a service would refuse its first callers.
    let expected_replicas = EXAMPLES.len() * REPLICAS_PER_SERVICE;
    while !node.is_ready() || node.status().confirmed_replicas < expected_replicas {
        sleep(READY_POLL_INTERVAL).await;
    }
    announce(&address.to_string());
    serve_until_stopped(node.clone(), api, harrierward_api::router(node)).await
}

/// Prints the node's address and the keys. Output errors are ignored: standard output may be closed.
fn announce(address: &str) {
    let mut text = format!("harrierward standalone on http://{address}; stop with Ctrl-C\n");
    for example in &EXAMPLES {
        text.push_str(&format!(
            "tenant {}: model {}, caller key {}, operator key {}\n",
            example.tenant,
            example.service,
            caller_key(example.tenant),
            operator_key(example.tenant)
        ));
    }
    let _ = std::io::stdout().write_all(text.as_bytes());
}
