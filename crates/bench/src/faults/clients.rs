//! Clients of the simulated fleet: online requests, idempotent requests with resends, jobs, configuration changes.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use harrierward_batch::{BatchError, CreateJob, UploadRequest, new_batch_id};
use harrierward_claims::{ClaimKey, RequestDigest};
use harrierward_config::{
    ApplyRequest, ConfigError, ConfigObject, LimitsSpec, RequestedChange, Spec,
};
use harrierward_gateway::{
    Call, EndpointKind, Execution, GatewayError, GenerationSpec, IdempotentCall, ResponseEvent,
    ResponseIdentity,
};
use harrierward_wire::ConfigDeltaReply;
use rand::Rng;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::history::{AcceptedConfig, JobRecord, ObservedConfig, OnlineCall, OnlineOutcome};
use super::world::{Daemon, TENANTS, World};

/// Common prefix of the prompts, which prefix caches can reuse.
const SHARED_PROMPT: &str =
    "You help people in a hurry. Answer briefly and say only what is asked for. ";

/// Maximum number of sends of an idempotent request.
const MAX_SENDS: usize = 6;

/// Exclusive upper bound of the number of items of a job.
const MAX_ITEMS: usize = 260;

fn spec(model: &str, prompt: &str, maximum_tokens: u32) -> GenerationSpec {
    GenerationSpec {
        kind: EndpointKind::Completion,
        endpoint: model.to_owned(),
        prompt: prompt.to_owned(),
        maximum_tokens,
        stream: true,
        include_usage: false,
    }
}

fn digest(prompt: &str) -> RequestDigest {
    RequestDigest::of("/v1/completions", prompt.as_bytes(), prompt.as_bytes())
}

fn identity(prompt: &str) -> ResponseIdentity {
    ResponseIdentity {
        id: prompt.to_owned(),
        created: 0,
    }
}

fn random_tenant(world: &World) -> (&'static str, &'static str) {
    let index = world.random(|random| random.random_range(0..TENANTS.len()));
    TENANTS[index]
}

/// Sends a request to a daemon and returns the outcome that the client receives.
async fn send_once(daemon: &Daemon, call: Call) -> OnlineOutcome {
    let mut partial = String::new();
    let exchange = async {
        daemon.gate.pass().await;
        if daemon.node.is_draining() {
            let error = GatewayError::not_run("api", 503, "leaving", "leaving");
            return refused(error, String::new());
        }
        let response = daemon.node.gateway().call(call).await;
        daemon.gate.pass().await;
        let mut response = match response {
            Ok(response) => response,
            Err(error) => return refused(error, String::new()),
        };
        while let Some(event) = response.next().await {
            daemon.gate.pass().await;
            match event {
                Ok(ResponseEvent::Text(text)) => partial.push_str(&text),
                Ok(ResponseEvent::Finished { .. }) => {
                    return OnlineOutcome::Answered {
                        text: std::mem::take(&mut partial),
                    };
                }
                Err(error) => return refused(error, std::mem::take(&mut partial)),
            }
        }
        OnlineOutcome::Lost {
            partial: std::mem::take(&mut partial),
        }
    };
    let outcome = tokio::select! {
        biased;
        () = daemon.gate.closed() => None,
        outcome = exchange => Some(outcome),
    };
    outcome.unwrap_or(OnlineOutcome::Lost { partial })
}

fn refused(error: GatewayError, partial: String) -> OnlineOutcome {
    OnlineOutcome::Refused {
        execution: error.execution(),
        code: error.code,
        partial,
    }
}

/// Sends requests without an idempotency key sequentially until `until`.
pub async fn run_online(world: World, client: usize, until: Duration) {
    let mut number = 0;
    while world.now() < until {
        let pause = world.random(|random| random.random_range(20..400));
        sleep(Duration::from_millis(pause)).await;
        number += 1;
        let (tenant, model) = random_tenant(&world);
        let prompt = format!("{SHARED_PROMPT}online {client}-{number}");
        let maximum_tokens = world.random(|random| random.random_range(1..60));
        let Ok(daemon) = world.random_daemon() else {
            continue;
        };
        let call = Call {
            tenant: tenant.to_owned(),
            spec: spec(model, &prompt, maximum_tokens),
            identity: identity(&prompt),
            idempotency: None,
            deadline: Instant::now() + Duration::from_secs(20),
        };
        let outcome = send_once(&daemon, call).await;
        record(&world, &prompt, model, maximum_tokens, false, outcome);
    }
}

fn record(
    world: &World,
    prompt: &str,
    model: &str,
    maximum_tokens: u32,
    idempotent: bool,
    outcome: OnlineOutcome,
) {
    world.recorder.lock().online.push(OnlineCall {
        prompt: prompt.to_owned(),
        maximum_tokens,
        model: model.to_owned(),
        idempotent,
        outcome,
    });
}

/// Sends idempotent requests with resends to random daemons, some of them twice concurrently.
pub async fn run_idempotent(world: World, client: usize, until: Duration) {
    let mut number = 0;
    while world.now() < until {
        let pause = world.random(|random| random.random_range(50..800));
        sleep(Duration::from_millis(pause)).await;
        number += 1;
        let (tenant, model) = random_tenant(&world);
        let prompt = format!("{SHARED_PROMPT}booking {client}-{number}");
        let maximum_tokens = world.random(|random| random.random_range(1..40));
        let request = IdempotentRequest {
            tenant,
            model,
            prompt,
            maximum_tokens,
        };
        if world.random(|random| random.random_bool(0.3)) {
            tokio::join!(
                send_idempotent(&world, &request),
                send_idempotent(&world, &request)
            );
        } else {
            send_idempotent(&world, &request).await;
        }
    }
}

struct IdempotentRequest {
    tenant: &'static str,
    model: &'static str,
    prompt: String,
    maximum_tokens: u32,
}

async fn send_idempotent(world: &World, request: &IdempotentRequest) {
    for _ in 0..MAX_SENDS {
        let Ok(daemon) = world.random_daemon() else {
            return;
        };
        let idempotency = IdempotentCall {
            key: ClaimKey {
                tenant: request.tenant.to_owned(),
                key: request.prompt.clone(),
            },
            digest: digest(&request.prompt),
        };
        let call = Call {
            tenant: request.tenant.to_owned(),
            spec: spec(request.model, &request.prompt, request.maximum_tokens),
            identity: identity(&request.prompt),
            idempotency: (!world.broken.no_claims).then_some(idempotency),
            deadline: Instant::now() + Duration::from_secs(20),
        };
        let outcome = send_once(&daemon, call).await;
        let settled = matches!(outcome, OnlineOutcome::Answered { .. });
        let model = request.model;
        record(
            world,
            &request.prompt,
            model,
            request.maximum_tokens,
            true,
            outcome,
        );
        if settled && world.random(|random| random.random_bool(0.8)) {
            return;
        }
        let pause = world.random(|random| random.random_range(10..1500));
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Returns one line of a job's input file.
pub fn input_line(
    model: &str,
    id: &str,
    prompt: &str,
    maximum_tokens: u32,
    at_most_once: bool,
) -> String {
    let mut line = json!({
        "custom_id": id,
        "method": "POST",
        "url": "/v1/completions",
        "body": {"model": model, "prompt": prompt, "max_tokens": maximum_tokens},
    });
    if at_most_once {
        line["execution"] = json!("at-most-once");
    }
    format!("{line}\n")
}

/// Submits jobs, resends them until acknowledged, and cancels some of them.
pub async fn run_jobs(world: World, client: usize, until: Duration) {
    let mut number = 0;
    while world.now() < until {
        number += 1;
        let key = format!("job-{client}-{number}");
        submit_job(&world, &key).await;
        let cancels = world.random(|random| random.random_bool(0.25));
        if cancels {
            let pause = world.random(|random| random.random_range(100..6000));
            sleep(Duration::from_millis(pause)).await;
            cancel_job(&world, &key).await;
        }
        let pause = world.random(|random| random.random_range(1000..9000));
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn submit_job(world: &World, key: &str) {
    // A quarter of the jobs borrows capacity: the tenant does not own the service.
    let (owner, model) = random_tenant(world);
    let borrowed = world.random(|random| random.random_bool(0.25));
    let other = TENANTS.iter().find(|(other, _)| *other != owner);
    let tenant = match other {
        Some((other, _)) if borrowed => *other,
        _ => owner,
    };
    let items = world.random(|random| random.random_range(1..MAX_ITEMS));
    let maximum_tokens = world.random(|random| random.random_range(1..30));
    let mut job = JobRecord {
        tenant: tenant.to_owned(),
        model: model.to_owned(),
        prompts: BTreeMap::new(),
        at_most_once: Vec::new(),
        maximum_tokens,
        acknowledged: Vec::new(),
        cancel_acknowledged: None,
    };
    let mut input = String::new();
    for number in 0..items {
        let id = format!("item-{number}");
        let prompt = format!("{SHARED_PROMPT}{key} {id}");
        let at_most_once = number % 7 == 3;
        input.push_str(&input_line(
            model,
            &id,
            &prompt,
            maximum_tokens,
            at_most_once,
        ));
        if at_most_once {
            job.at_most_once.push(id.clone());
        }
        job.prompts.insert(id, prompt);
    }
    world.recorder.lock().jobs.insert(key.to_owned(), job);
    let resends_acknowledged = world.random(|random| random.random_bool(0.3));
    let mut acknowledged = 0;
    for _ in 0..60 {
        let Ok(daemon) = world.random_daemon() else {
            return;
        };
        let submission = submit_to(world, &daemon, tenant, model, key, &input);
        let job_id = tokio::select! {
            biased;
            () = daemon.gate.closed() => None,
            submitted = submission => submitted.ok(),
        };
        if let Some(job_id) = job_id {
            let mut history = world.recorder.lock();
            if let Some(job) = history.jobs.get_mut(key) {
                job.acknowledged.push(job_id);
            }
            acknowledged += 1;
        }
        if acknowledged > usize::from(resends_acknowledged) {
            return;
        }
        let pause = world.random(|random| random.random_range(100..2000));
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Uploads a job's input to a daemon and creates the job; returns the job id.
pub async fn submit_to(
    world: &World,
    daemon: &Daemon,
    tenant: &str,
    model: &str,
    key: &str,
    input: &str,
) -> Result<String, BatchError> {
    daemon.gate.pass().await;
    let now_ms = u64::try_from(world.now().as_millis()).unwrap_or_default();
    let random: u64 = world.random(Rng::random);
    let mut upload = daemon.node.files().upload(UploadRequest {
        tenant: tenant.to_owned(),
        file_id: format!("file-{random:016x}"),
        client_key: Some(key.to_owned()),
        now_ms,
    });
    if let Err(error) = upload.write(input.as_bytes()).await {
        upload.abandon().await;
        return Err(error);
    }
    let file = upload.finish().await?;
    let create = CreateJob {
        tenant: tenant.to_owned(),
        job_id: new_batch_id(now_ms, random),
        client_key: Some(key.to_owned()),
        url: "/v1/completions".to_owned(),
        service: model.to_owned(),
        file,
        completion_window: "24h".to_owned(),
        window_ms: 24 * 3600 * 1000,
        metadata: "null".to_owned(),
        now_ms,
    };
    let job = daemon.node.jobs().create(create).await?;
    let row = &job.row;
    daemon
        .node
        .job_accepted(&row.tenant, &row.job_id, row.shard)
        .await;
    daemon.gate.pass().await;
    Ok(row.job_id.clone())
}

async fn cancel_job(world: &World, key: &str) {
    let job = world.recorder.lock().jobs.get(key).cloned();
    let Some(job) = job else { return };
    let Some(job_id) = job.acknowledged.first() else {
        return;
    };
    for _ in 0..20 {
        let Ok(daemon) = world.random_daemon() else {
            return;
        };
        let now_ms = u64::try_from(world.now().as_millis())
            .unwrap_or_default()
            .max(1);
        let exchange = async {
            daemon.gate.pass().await;
            let view = daemon
                .node
                .jobs()
                .cancel(&job.tenant, job_id, now_ms)
                .await?;
            let row = &view.row;
            if !world.broken.no_cancel_notice {
                daemon
                    .node
                    .job_cancelled(&row.tenant, &row.job_id, row.shard)
                    .await;
            }
            daemon.gate.pass().await;
            Ok::<(), BatchError>(())
        };
        let outcome = tokio::select! {
            biased;
            () = daemon.gate.closed() => None,
            outcome = exchange => Some(outcome),
        };
        match outcome {
            Some(Ok(())) => {
                let at = world.now();
                if let Some(job) = world.recorder.lock().jobs.get_mut(key) {
                    job.cancel_acknowledged.get_or_insert(at);
                }
                return;
            }
            Some(Err(BatchError::NotCancellable { .. })) => return,
            _ => sleep(Duration::from_millis(500)).await,
        }
    }
}

/// Changes limits of a tenant repeatedly, concurrently with the other operators.
pub async fn run_operator(world: World, operator: usize, until: Duration) {
    let (tenant, service) = TENANTS[operator % TENANTS.len()];
    let mut number = 0;
    while world.now() < until {
        let pause = world.random(|random| random.random_range(300..3000));
        sleep(Duration::from_millis(pause)).await;
        number += 1;
        let Ok(daemon) = world.random_daemon() else {
            continue;
        };
        let object = ConfigObject {
            name: format!("{tenant}-limits"),
            owner: tenant.to_owned(),
            revision: 0,
            spec: Spec::Limits(LimitsSpec {
                endpoint: service.to_owned(),
                tenant: tenant.to_owned(),
                requests_per_second: 5000.0 + f64::from(number),
                burst: 5000,
                concurrent_requests: 10_000,
            }),
        };
        let request = ApplyRequest {
            operation: format!("operation-{operator}-{number}"),
            operator: Some(tenant.to_owned()),
            at_ms: 1,
            changes: vec![RequestedChange {
                id: object.id(),
                object: Some(object),
                based_on: None,
            }],
        };
        apply(&world, &daemon, &request).await;
    }
}

async fn apply(world: &World, daemon: &Daemon, request: &ApplyRequest) {
    let exchange = async {
        daemon.gate.pass().await;
        let applied = daemon
            .node
            .config_store()
            .apply(request, &|_| Ok(()))
            .await?;
        if let Some(entry) = applied.entry {
            daemon.node.adopt_config(&ConfigDeltaReply {
                entries: vec![entry],
                revision: applied.revision,
                ..ConfigDeltaReply::default()
            });
        }
        daemon.gate.pass().await;
        Ok::<u64, ConfigError>(applied.revision)
    };
    let outcome = tokio::select! {
        biased;
        () = daemon.gate.closed() => None,
        outcome = exchange => Some(outcome),
    };
    if let Some(Ok(revision)) = outcome {
        let at = world.now();
        let accepted = AcceptedConfig { revision, at };
        world.recorder.lock().accepted.push(accepted);
    }
}

/// Polls and records the configuration revision that each daemon has in force.
pub async fn poll_config(world: World, until: Duration) {
    const POLL_INTERVAL: Duration = Duration::from_millis(200);
    while world.now() < until {
        for daemon in world.live() {
            if daemon.gate.state() != super::gate::GateState::Open {
                continue;
            }
            let status = daemon.node.status();
            let observed = ObservedConfig {
                member: daemon.member.clone(),
                revision: status.config_revision,
                fresh: status.config_fresh,
                at: world.now(),
            };
            world.recorder.lock().observed.push(observed);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns true if the client received an error that says that the request did not run.
pub fn never_dispatched(outcome: &OnlineOutcome) -> bool {
    matches!(
        outcome,
        OnlineOutcome::Refused {
            execution: Execution::NotRun,
            ..
        }
    )
}

/// Sends one request during a store outage. Returns true if an idempotent one was refused as not run, or a plain one
/// received a complete response.
pub async fn probe(world: &World, number: usize, idempotent: bool) -> eyre::Result<bool> {
    const MAXIMUM_TOKENS: u32 = 12;
    let (tenant, model) = TENANTS[number % TENANTS.len()];
    let prompt = format!("{SHARED_PROMPT}outage {number} {idempotent}");
    let key = ClaimKey {
        tenant: tenant.to_owned(),
        key: prompt.clone(),
    };
    let digest = digest(&prompt);
    let call = Call {
        tenant: tenant.to_owned(),
        spec: spec(model, &prompt, MAXIMUM_TOKENS),
        identity: identity(&prompt),
        idempotency: idempotent.then_some(IdempotentCall { key, digest }),
        deadline: Instant::now() + Duration::from_secs(20),
    };
    let daemon = world.random_daemon()?;
    let outcome = send_once(&daemon, call).await;
    Ok(if idempotent {
        never_dispatched(&outcome)
    } else {
        matches!(outcome, OnlineOutcome::Answered { .. })
    })
}
