//! Commands of callers and operators, and offline checks.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use bytes::Bytes;
use eyre::{Context, Report, Result, bail, eyre};
use getopts::{Matches, Options};
use harrierward_capacity::{PolicyNumbers, check_program};
use harrierward_config::KeyDigest;
use http::{Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::client::{Client, is_end_marked};
use crate::command_line::{Failure, Outcome};
use crate::settings;

const DEFAULT_SERVER: &str = "127.0.0.1:8080";
const KEY_VARIABLE: &str = "HARRIERWARD_KEY";
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const DEFAULT_WINDOW: &str = "24h";

/// Ends each line of results.
const LINE_FEED: u8 = b'\n';

pub fn no_options(_options: &mut Options) {}

pub fn json_option(options: &mut Options) {
    options.optflag("", "json", "print JSON");
}

pub fn client_options(options: &mut Options) {
    json_option(options);
    let server = format!("daemon to talk to (default {DEFAULT_SERVER})");
    options.optopt("", "server", &server, "IP:PORT");
    let key = format!("API key (default: the variable {KEY_VARIABLE})");
    options.optopt("", "key", &key, "KEY");
}

pub fn apply_options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "",
        "wait",
        "wait until it is in force everywhere",
        "SECONDS",
    );
    options.optopt(
        "",
        "operation",
        "id under which a resend changes nothing more",
        "ID",
    );
}

pub fn follow_options(options: &mut Options) {
    client_options(options);
    options.optflag(
        "",
        "follow",
        "wait for the end, with a progress line on a terminal",
    );
}

pub fn submit_options(options: &mut Options) {
    follow_options(options);
    options.optopt(
        "",
        "idempotency-key",
        "key under which a resend gives the same job",
        "KEY",
    );
    let window = format!("completion window (default {DEFAULT_WINDOW})");
    options.optopt("", "window", &window, "WINDOW");
}

fn client(matches: &Matches) -> Result<Client, Failure> {
    let key = matches
        .opt_str("key")
        .or_else(|| std::env::var(KEY_VARIABLE).ok())
        .ok_or_else(|| Failure::Usage(format!("a key is needed: --key or {KEY_VARIABLE}")))?;
    let server = matches.opt_str("server");
    Ok(Client::new(
        server.as_deref().unwrap_or(DEFAULT_SERVER),
        &key,
    ))
}

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}

fn print_json(value: &Value) -> Outcome {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

fn text(value: &Value, field: &str) -> String {
    match value.get(field) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(other) => other.to_string(),
    }
}

pub fn check_options(options: &mut Options) {
    options.optflag("", "platform", "the file is one of the users' platform");
}

pub fn settings_check(matches: &Matches) -> Outcome {
    let path = &matches.free[0];
    let content = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    if matches.opt_present("platform") {
        harrierward_platform::settings::parse(&content).wrap_err_with(|| path.clone())?;
        println!("{path}: good");
        return Ok(());
    }
    match settings::read(&content, &[]) {
        Ok(_) => {
            println!("{path}: good");
            Ok(())
        }
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            Err(eyre!("{path}:\n  {}", lines.join("\n  ")).into())
        }
    }
}

pub fn digest(matches: &Matches) -> Outcome {
    println!("{}", KeyDigest::of(&matches.free[0]).0);
    Ok(())
}

pub fn policy_check(matches: &Matches) -> Outcome {
    let path = &matches.free[0];
    let program = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let run = check_program(&program).wrap_err_with(|| path.clone())?;
    let numbers = PolicyNumbers::default();
    if matches.opt_present("json") {
        return print_json(&json!({
            "lend": run.offer.shares,
            "return_ms": run.offer.return_ms,
            "borrow": run.requested_share,
            "operations": run.operations,
        }));
    }
    println!("example numbers: {numbers:?}");
    for (tenant, share) in &run.offer.shares {
        let percent = share * 100.0;
        println!("lends up to {percent:.0}% of batch slots to {tenant}");
    }
    println!("back within {} ms", run.offer.return_ms);
    println!("asks to borrow up to {:.0}%", run.requested_share * 100.0);
    println!("cost: {} operations", run.operations);
    Ok(())
}

pub fn config_get(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let response = block_on(client.json(Method::GET, "/admin/v1/config", &[], Bytes::new()))?;
    if matches.opt_present("json") {
        return print_json(&response);
    }
    println!("# revision {}", text(&response, "revision"));
    print!("{}", text(&response, "file"));
    Ok(())
}

pub fn config_apply(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let path = &matches.free[0];
    let content = std::fs::read(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let wait = matches.opt_str("wait").unwrap_or_else(|| "0".to_owned());
    let operation = matches
        .opt_str("operation")
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let headers = [("operation-id", operation.as_str())];
    let url = format!("/admin/v1/config?wait={wait}");
    let response = block_on(client.json(Method::POST, &url, &headers, content.into()))
        .wrap_err_with(|| format!("operation {operation}"))?;
    if matches.opt_present("json") {
        return print_json(&response);
    }
    println!("accepted as revision {}", text(&response, "revision"));
    if let Some(members) = response.get("in_force").and_then(Value::as_object) {
        for (member, revision) in members {
            println!("  {member}: {revision}");
        }
        if !members.is_empty() && response.get("everywhere") != Some(&Value::Bool(true)) {
            return Err(eyre!("not in force everywhere within the wait").into());
        }
    }
    Ok(())
}

pub fn config_history(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let response = block_on(client.json(Method::GET, "/admin/v1/history", &[], Bytes::new()))?;
    if matches.opt_present("json") {
        return print_json(&response);
    }
    for entry in response["data"].as_array().into_iter().flatten() {
        let objects: Vec<String> = entry["changes"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|change| text(change, "object"))
            .collect();
        println!(
            "revision {} at {} ms by {}: {}",
            text(entry, "revision"),
            text(entry, "at_ms"),
            text(entry, "operator"),
            objects.join(", ")
        );
    }
    Ok(())
}

pub fn status(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let response = block_on(client.json(Method::GET, "/admin/v1/status", &[], Bytes::new()))?;
    if matches.opt_present("json") {
        return print_json(&response);
    }
    for (field, value) in response.as_object().into_iter().flatten() {
        println!("{field}: {value}");
    }
    Ok(())
}

/// Encodes the upload form; returns its content type and body. The random boundary does not occur in the file.
fn encode_form(content: &[u8], filename: &str) -> (String, Bytes) {
    let boundary = format!("harrierward-{:032x}", rand::random::<u128>());
    let mut body = Vec::with_capacity(content.len() + 512);
    let head = format!(
        "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; filename=\"{filename}\"\r\n\
         content-type: application/jsonl\r\n\r\n"
    );
    body.extend_from_slice(head.as_bytes());
    body.extend_from_slice(content);
    body.extend_from_slice(format!("\r\n--{boundary}--\r\n").as_bytes());
    let content_type = format!("multipart/form-data; boundary={boundary}");
    (content_type, body.into())
}

/// Returns the URL in the file's first line; the server validates all lines.
fn first_url(content: &[u8]) -> Result<String> {
    let line = content
        .split(|byte| *byte == b'\n')
        .next()
        .unwrap_or_default();
    let value: Value = serde_json::from_slice(line).wrap_err("line 1 is not JSON")?;
    let url = value.get("url").and_then(Value::as_str);
    url.map(str::to_owned)
        .ok_or_else(|| eyre!("line 1: url: is missing"))
}

pub fn batch_submit(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let path = &matches.free[0];
    let content = std::fs::read(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let url = first_url(&content)?;
    let key = matches
        .opt_str("idempotency-key")
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let window = matches.opt_str("window");
    let window = window.as_deref().unwrap_or(DEFAULT_WINDOW);
    let filename = path.rsplit('/').next().unwrap_or(path).replace('"', "_");
    let job = block_on(async {
        let (content_type, body) = encode_form(&content, &filename);
        let headers = [
            ("content-type", content_type.as_str()),
            ("idempotency-key", &key),
        ];
        let file = client
            .json(Method::POST, "/v1/files", &headers, body)
            .await?;
        let create = json!({
            "input_file_id": file["id"],
            "endpoint": url,
            "completion_window": window,
        });
        let headers = [("idempotency-key", key.as_str())];
        let body = Bytes::from(create.to_string());
        let job = client
            .json(Method::POST, "/v1/batches", &headers, body)
            .await?;
        if matches.opt_present("follow") {
            follow(&client, &text(&job, "id")).await
        } else {
            Ok(job)
        }
    })?;
    print_job(matches, &job)
}

fn print_job(matches: &Matches, job: &Value) -> Outcome {
    if matches.opt_present("json") {
        return print_json(job);
    }
    let counts = &job["request_counts"];
    println!(
        "{}: {}, {} of {} completed, {} failed",
        text(job, "id"),
        text(job, "status"),
        text(counts, "completed"),
        text(counts, "total"),
        text(counts, "failed")
    );
    Ok(())
}

async fn get_job(client: &Client, job_id: &str) -> Result<Value> {
    let path = format!("/v1/batches/{job_id}");
    client.json(Method::GET, &path, &[], Bytes::new()).await
}

/// Polls a job until it has ended, with a progress line on a terminal.
async fn follow(client: &Client, job_id: &str) -> Result<Value> {
    let is_terminal = std::io::stderr().is_terminal();
    loop {
        let job = get_job(client, job_id).await?;
        let status = text(&job, "status");
        if is_terminal {
            let counts = &job["request_counts"];
            let (done, total) = (text(counts, "completed"), text(counts, "total"));
            eprint!("\r{job_id}: {status}, {done} of {total} ");
            std::io::stderr().flush()?;
        }
        if !matches!(status.as_str(), "in_progress" | "cancelling") {
            if is_terminal {
                eprintln!();
            }
            return Ok(job);
        }
        sleep(POLL_INTERVAL).await;
    }
}

pub fn batch_status(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let job_id = &matches.free[0];
    let job = block_on(async {
        if matches.opt_present("follow") {
            follow(&client, job_id).await
        } else {
            get_job(&client, job_id).await
        }
    })?;
    print_job(matches, &job)
}

pub fn batch_cancel(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let path = format!("/v1/batches/{}/cancel", matches.free[0]);
    let job = block_on(client.json(Method::POST, &path, &[], Bytes::new()))?;
    print_job(matches, &job)
}

pub fn batch_list(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let list = block_on(client.json(Method::GET, "/v1/batches?limit=100", &[], Bytes::new()))?;
    if matches.opt_present("json") {
        return print_json(&list);
    }
    for job in list["data"].as_array().into_iter().flatten() {
        print_job(matches, job)?;
    }
    Ok(())
}

pub fn batch_results(matches: &Matches) -> Outcome {
    let client = client(matches)?;
    let path = format!("/v1/files/file-output-{}/content", matches.free[0]);
    block_on(async {
        let response = client.open(Method::GET, &path, &[], Bytes::new()).await?;
        let mut output = std::io::stdout().lock();
        match copy_results(response, &mut output).await {
            // The reader has closed the pipe, for example `head`.
            Err(report) if is_closed_pipe(&report) => Ok(()),
            copied => copied,
        }
    })?;
    Ok(())
}

/// Copies results to `output` as they arrive.
///
/// # Errors
/// The output failed, or nothing proves that all results arrived.
async fn copy_results(response: Response<Incoming>, output: &mut impl Write) -> Result<()> {
    let is_end_marked = is_end_marked(&response);
    let mut body = response.into_body();
    let mut last_byte = LINE_FEED;
    while let Some(frame) = body.frame().await {
        let frame = frame.wrap_err("the results broke off")?;
        if let Ok(data) = frame.into_data() {
            output.write_all(&data)?;
            last_byte = data.last().copied().unwrap_or(last_byte);
        }
    }
    output.flush()?;
    if last_byte != LINE_FEED {
        bail!("the results broke off within a line");
    }
    if !is_end_marked {
        bail!("the results may be incomplete: they ended with the connection");
    }
    Ok(())
}

fn is_closed_pipe(report: &Report) -> bool {
    report
        .downcast_ref::<std::io::Error>()
        .is_some_and(|error| error.kind() == std::io::ErrorKind::BrokenPipe)
}
