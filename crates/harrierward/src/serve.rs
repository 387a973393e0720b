//! `harrierward serve`: runs the daemon on network sockets.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use eyre::{Context, Result, bail};
use getopts::{Matches, Options};
use harrierward_capacity::check_program;
use harrierward_config::{ApplyFile, ApplyRequest, ConfigStore};
use harrierward_external::http::{
    HttpCaller, HttpEngine, HttpMachineList, HttpObjectStore, HttpTable, HttpWeightStore,
    with_nodelay,
};
use harrierward_external::{Engine, Machine, Table};
use harrierward_gateway::EngineConnector;
use harrierward_node::{
    Node, NodeIdentity, NodeParts, SocketNetwork, peer_router, serve_datagrams,
};
use prometheus::Registry;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::command_line::{Failure, Outcome};
use crate::logging;
use crate::settings::{self, Override, Settings};

const PREFIX: &str = "serve:";

/// Options that override settings: option, settings key, description.
const OVERRIDES: [(&str, &str, &str); 8] = [
    ("zone", "zone", "zone of this machine"),
    ("region", "region", "region of this machine"),
    (
        "api-listen",
        "api_listen",
        "IP:PORT for callers and operators",
    ),
    ("peer-listen", "peer_listen", "IP:PORT for peers, HTTP"),
    ("udp-listen", "udp_listen", "IP:PORT for peers, UDP"),
    ("bootstrap", "bootstrap", "file of objects to begin with"),
    ("log-format", "log.format", "plain or json"),
    (
        "log-level",
        "log.level",
        "error, warn, info, debug or trace",
    ),
];

/// Time to wait after the drain for connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between attempts to reach the table at startup.
const RETRY_DELAY: Duration = Duration::from_secs(1);

pub fn options(options: &mut Options) {
    options.reqopt("s", "settings", "settings file (TOML)", "FILE");
    for (flag, _, about) in OVERRIDES {
        options.optopt("", flag, about, "VALUE");
    }
}

pub fn run(matches: &Matches) -> Outcome {
    let path = matches.opt_str("settings").unwrap_or_default();
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let overrides: Vec<Override> = OVERRIDES
        .iter()
        .filter_map(|(flag, key, _)| {
            let value = matches.opt_str(flag)?;
            Some(Override { key, value })
        })
        .collect();
    let settings = settings::read(&text, &overrides).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Failure::Failed(eyre::eyre!("{path}:\n  {}", lines.join("\n  ")))
    })?;
    logging::start(settings.log_format, settings.log_level)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))?;
    Ok(())
}

/// Creates HTTP clients of engines over a shared connection pool.
struct HttpConnector {
    caller: HttpCaller,
}

impl EngineConnector for HttpConnector {
    fn connect(&self, machine: &Machine) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(self.caller.clone(), &machine.address))
    }
}

/// Returns a member id that is unique for this daemon instance.
fn new_member_id(settings: &Settings) -> String {
    let random: u64 = rand::random();
    let address = settings.peer_listen;
    format!("{address}-{random:012x}")
}

async fn serve(settings: Settings) -> Result<()> {
    let api = bind(settings.api_listen).await?;
    let peers = bind(settings.peer_listen).await?;
    let udp = UdpSocket::bind(settings.udp_listen)
        .await
        .wrap_err_with(|| format!("cannot listen on udp {}", settings.udp_listen))?;
    let udp = Arc::new(udp);
    let caller = HttpCaller::new();
    let platform = &settings.platform;
    let table: Arc<dyn Table> = Arc::new(HttpTable::new(caller.clone(), &platform.table));
    wait_for_table(table.as_ref(), settings.node.shards).await?;
    if let Some(path) = &settings.bootstrap {
        bootstrap(table.clone(), path).await?;
    }
    let identity = NodeIdentity {
        member: new_member_id(&settings),
        udp_address: udp.local_addr()?.to_string(),
        peer_address: peers.local_addr()?.to_string(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        region_zones: settings.region_zones.clone(),
        seeds: settings.seeds.clone(),
    };
    log::info!(
        "{PREFIX} member {} in zone {}",
        identity.member,
        identity.zone
    );
    let mut node_settings = settings.node;
    node_settings.seed = rand::random();
    let node = Node::start(NodeParts {
        identity,
        table,
        objects: Arc::new(HttpObjectStore::new(caller.clone(), &platform.objects)),
        machines: Arc::new(HttpMachineList::new(caller.clone(), &platform.machines)),
        weights: Arc::new(HttpWeightStore::new(caller.clone(), &platform.weights)),
        connector: Arc::new(HttpConnector {
            caller: caller.clone(),
        }),
        network: Arc::new(SocketNetwork::new(caller, udp.clone())),
        registry: Registry::new(),
        settings: node_settings,
    })?;
    tokio::spawn(serve_datagrams(node.clone(), udp));
    let peer_routes = peer_router(node.clone());
    tokio::spawn(async move { axum::serve(with_nodelay(peers), peer_routes).await });
    log::info!("{PREFIX} listening on {}", settings.api_listen);
    serve_until_stopped(node.clone(), api, harrierward_api::router(node)).await
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Waits until the table confirms the fleet's shard count, which a daemon cannot know otherwise.
async fn wait_for_table(table: &dyn Table, shards: u32) -> Result<()> {
    loop {
        match Node::check_shard_count(table, shards).await {
            Ok(checked) => return Ok(checked?),
            Err(error) => {
                log::warn!("{PREFIX} waiting for the table: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the objects of the file at `path` if the fleet has no configuration yet.
pub async fn bootstrap(table: Arc<dyn Table>, path: &str) -> Result<()> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    bootstrap_text(table, &text).await
}

/// Writes the objects of an apply file's text if the fleet has no configuration yet.
pub async fn bootstrap_text(table: Arc<dyn Table>, text: &str) -> Result<()> {
    let store = ConfigStore::new(table);
    if store.head().await? > 0 {
        return Ok(());
    }
    let file = ApplyFile::parse(text).map_err(|error| eyre::eyre!(error))?;
    let request = ApplyRequest {
        operation: "bootstrap".to_owned(),
        operator: None,
        at_ms: 0,
        changes: file.changes().map_err(|error| eyre::eyre!(error))?,
    };
    let check = |program: &str| check_program(program).map(drop).map_err(|e| e.to_string());
    match store.apply(&request, &check).await {
        Ok(applied) => {
            log::info!(
                "{PREFIX} first configuration is revision {}",
                applied.revision
            );
            Ok(())
        }
        // Another daemon that starts at the same time may have committed first.
        Err(_) if store.head().await? > 0 => Ok(()),
        Err(error) => bail!(error),
    }
}

/// Waits for a signal to stop. A hangup, whose default action would end the process, is logged only: settings are
/// fixed for the lifetime of a process.
async fn stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("{PREFIX} SIGHUP; settings are read at the start only"),
        }
    }
}

/// Serves until a signal to stop, then drains: refuses new work and completes responses in progress.
pub async fn serve_until_stopped(node: Node, api: TcpListener, routes: Router) -> Result<()> {
    let (stop, mut stopped) = watch::channel(false);
    let shutdown = async move {
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let server = tokio::spawn(async move {
        axum::serve(with_nodelay(api), routes)
            .with_graceful_shutdown(shutdown)
            .await
    });
    stop_signal().await?;
    let drained = node.drain().await;
    stop.send(true)?;
    let _ = timeout(CLOSE_TIMEOUT, server).await;
    if !drained {
        bail!("the drain timed out with responses in progress");
    }
    Ok(())
}
