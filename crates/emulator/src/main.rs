//! `harrierward-emulator`: serves emulated engines and platform over HTTP to several daemons.

use std::net::SocketAddr;
use std::process::ExitCode;

use eyre::{Context, Result, eyre};
use getopts::Options;
use harrierward_emulator::server::{engine_router, platform_router};
use harrierward_emulator::{EngineHandle, EngineParameters, MemoryPlatform, PlatformParameters};
use harrierward_external::http::with_nodelay;
use harrierward_external::{Machine, MachineState, ReplicaId};
use tokio::net::TcpListener;

const DEFAULT_ADDRESS: &str = "127.0.0.1:9000";
const DEFAULT_SERVICES: &str = "banco-lm:3:local,lot-oracle:3:local";

const MAX_ENGINES: usize = 4096;

struct ServicePlan {
    service: String,
    replicas: usize,
    zones: Vec<String>,
}

fn parse_service(text: &str) -> Result<ServicePlan> {
    let parts: Vec<&str> = text.split(':').collect();
    let [service, replicas, zones] = parts.as_slice() else {
        return Err(eyre!(
            "{text}: a service is written NAME:REPLICAS:ZONE+ZONE"
        ));
    };
    let replicas = replicas
        .parse()
        .ok()
        .filter(|count| (1..=MAX_ENGINES).contains(count))
        .ok_or_else(|| eyre!("{text}: replicas: 1 to {MAX_ENGINES}"))?;
    Ok(ServicePlan {
        service: (*service).to_owned(),
        replicas,
        zones: zones.split('+').map(str::to_owned).collect(),
    })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let listen =
        format!("first IP:PORT; the platform's, engines follow (default {DEFAULT_ADDRESS})");
    options.optopt("", "listen", &listen, "ADDRESS");
    let services = format!("services as NAME:REPLICAS:ZONE+ZONE,... (default {DEFAULT_SERVICES})");
    options.optopt("", "services", &services, "LIST");
    options.optopt(
        "",
        "time-scale",
        "factor on the engines' step times (default 1)",
        "FACTOR",
    );
    options
}

fn main() -> ExitCode {
    let options = options();
    let brief = "Usage: harrierward-emulator [OPTIONS]\n\nStand-ins for platform and engines.";
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("harrierward-emulator: {error}\n{}", options.usage(brief));
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("harrierward-emulator {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let listen = matches.opt_str("listen");
    let services = matches.opt_str("services");
    let scale = matches.opt_str("time-scale");
    let result = serve(
        listen.as_deref().unwrap_or(DEFAULT_ADDRESS),
        services.as_deref().unwrap_or(DEFAULT_SERVICES),
        scale.as_deref().unwrap_or("1"),
    );
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("harrierward-emulator: {report:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(listen: &str, services: &str, scale: &str) -> Result<()> {
    let first: SocketAddr = listen.parse().wrap_err("--listen must be IP:PORT")?;
    let scale: f64 = scale.parse().wrap_err("--time-scale must be a number")?;
    let plans = services
        .split(',')
        .map(parse_service)
        .collect::<Result<Vec<_>>>()?;
    let platform = MemoryPlatform::new(PlatformParameters {
        table_rate: 20_000.0,
        object_rate: 20_000.0,
        ..PlatformParameters::default()
    });
    let mut port = first.port();
    for plan in &plans {
        for number in 0..plan.replicas {
            port = port
                .checked_add(1)
                .ok_or_else(|| eyre!("--listen: {first} leaves too few ports for the engines"))?;
            let address = SocketAddr::new(first.ip(), port);
            let name = format!("{}-{number}", plan.service);
            start_engine(&name, &plan.service, address, scale).await?;
            platform.seed_machine(Machine {
                replica: ReplicaId(name),
                service: plan.service.clone(),
                zone: plan.zones[number % plan.zones.len()].clone(),
                address: address.to_string(),
                state: MachineState::Live,
            });
        }
    }
    let listener = TcpListener::bind(first)
        .await
        .wrap_err_with(|| format!("cannot listen on {first}"))?;
    println!(
        "platform on {first}, engines on ports {} to {port}",
        first.port() + 1
    );
    axum::serve(with_nodelay(listener), platform_router(platform)).await?;
    Ok(())
}

async fn start_engine(name: &str, model: &str, address: SocketAddr, scale: f64) -> Result<()> {
    let models = vec![model.to_owned()];
    let engine = EngineHandle::start(name, EngineParameters::default(), models, scale, false);
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    tokio::spawn(async move { axum::serve(with_nodelay(listener), engine_router(engine)).await });
    Ok(())
}
