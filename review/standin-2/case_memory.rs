//! Clients that don't behave send many batch jobs of legal size whose items have many small headers.

#[path = "kit.rs"]
mod kit;
#[path = "replica.rs"]
mod replica;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use kit::{call, is_troubled, start_self, Daemon, Folder, Process, Record, Site, Store};
use replica::Shape;

const DAEMONS: u16 = 3;

/// Memory of a machine, megabytes: the least on the sheets.
const RAM_MB: u64 = 160;

/// Time until the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(500);

/// Jobs sent, one after the other, and items of each.
const JOBS: usize = 220;
/// Between two jobs, so that they come at under 5.1 a second, the ordinary rate of the class on the site.
const PACE: Duration = Duration::from_millis(196);
const ITEMS: usize = 200;

/// Parts of each item's prompt, of one token each.
const PARTS: usize = 10;

/// Further headers of each item.
const HEADERS: usize = 95;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("replica") => return replica::run(&args[1..]),
        Some("guard") => return kit::guard(&args[1..]),
        _ => {}
    }
    let case_folder = args.first().cloned().unwrap_or_else(|| ".".to_owned());
    let root = PathBuf::from(args.get(1).cloned().unwrap_or_else(|| ".".to_owned()));
    exit(run(&case_folder, &root));
}

/// Memory that a process holds, megabytes; 0 if there is no such process.
fn memory_of(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024 / 1_000_000
}

fn run(case_folder: &str, root: &Path) -> i32 {
    kit::watch_over(Duration::from_secs(115));
    let record = Record::open(case_folder);
    let folder = Folder::new("memory");
    let store = Store::start();
    let mut replicas: Vec<Process> = Vec::new();
    for number in 0..2 {
        let shape = Shape {
            id: format!("i-{number}"),
            events: 200,
            first_ms: 100,
            pause_ms: 20,
            slots: 6,
            queue: 24,
            closes: false,
            filler: 40,
            long: 1,
        };
        let (send, receive) = std::sync::mpsc::channel();
        let process = start_self(&shape.args(), move |line| {
            if let Some(address) = line.strip_prefix("address ") {
                let _ = send.send(address.to_owned());
            }
        });
        let Ok(address) = receive.recv_timeout(Duration::from_secs(5)) else {
            return 2;
        };
        let entry = format!(
            "{{\"service\":\"banco\",\"addr\":\"{address}\",\"zone\":\"zone\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"warmup-ms\":0,\"seq\":1}}"
        );
        store.put("servers", &shape.id, &entry);
        replicas.push(process);
    }
    store.put("op", "config", CONFIGURATION);
    let site = Site {
        folder: folder.0.clone(),
        store: store.address.clone(),
        daemons: DAEMONS,
        ram_mb: RAM_MB,
        ..Site::default()
    };
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|number| site.start(number, root)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(20))) {
        record.say("a daemon did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<String> = daemons.iter().map(|daemon| daemon.front.clone()).collect();
    let notes = record.clone();
    let client = thread::spawn(move || {
        let mut accepted = 0;
        for job in 0..JOBS {
            accepted += u32::from(submit(&fronts, &notes, job));
            thread::sleep(PACE);
        }
        accepted
    });
    // The platform: it looks at each process, ends one that exceeds its memory, and starts it again after a short delay.
    let mut ends = [0_u32; DAEMONS as usize];
    let mut most = [0_u64; DAEMONS as usize];
    let mut down_since: [Option<Instant>; DAEMONS as usize] = [None; DAEMONS as usize];
    let until = Instant::now() + Duration::from_secs(60);
    while Instant::now() < until {
        for (number, daemon) in daemons.iter_mut().enumerate() {
            if let Some(since) = down_since[number] {
                if since.elapsed() >= RESTART {
                    daemon.restart();
                    record.note(&format!("platform: {} is started again", daemon.name));
                    down_since[number] = None;
                }
                continue;
            }
            let held = memory_of(daemon.pid);
            most[number] = most[number].max(held);
            if held > RAM_MB {
                daemon.kill();
                ends[number] += 1;
                down_since[number] = Some(Instant::now());
                record.note(&format!("platform: {} holds {held} MB of {RAM_MB} and is ended", daemon.name));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let (refused, bytes) = store.refused();
    record.note(&format!("the store refused {refused} calls above its limits, of {bytes} bytes at most"));
    let accepted = client.join().unwrap_or(0);
    for (number, daemon) in daemons.iter().enumerate() {
        record.say(&format!(
            "{} held {} MB at most of {RAM_MB}, and was ended {} times",
            daemon.name, most[number], ends[number]
        ));
    }
    let often = ends.iter().filter(|ends| **ends >= 3).count();
    record.say(&format!(
        "{accepted} batch jobs of {JOBS} were accepted; on {often} machines of {DAEMONS} the process ended three times or more"
    ));
    if accepted == 0 {
        return 2;
    }
    i32::from(often >= 2)
}

/// Sends a batch job, after a failure at the next daemon, as clients do.
fn submit(fronts: &[String], record: &Record, job: usize) -> bool {
    let id = format!("7c41e09b52d6{job:04x}");
    let body = submission(job);
    let head = format!(
        "POST /lots/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: 4000\r\n"
    );
    for attempt in job..job + 4 {
        let front = &fronts[attempt % fronts.len()];
        let answer = call(front, &head, body.as_bytes(), Duration::from_secs(5));
        record.note(&format!("client: job {id} of {} bytes is answered {} {}", body.len(), answer.status, answer.cause));
        if answer.status == 202 {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

fn submission(job: usize) -> String {
    let prompt = if is_troubled() { "1:1,".repeat(PARTS) } else { "9c2e41:300,5d07b8:240,".to_owned() };
    // Without the trouble the jobs are about as large: the bytes are those of the items' bodies.
    let filler = if is_troubled() { String::new() } else { "q83v".repeat(HEADERS * 2) };
    let headers: Vec<String> = (0..HEADERS).map(|number| format!("\"x-{number}\":\"\",")).collect();
    let headers = if is_troubled() { headers.concat() } else { String::new() };
    let items = (0..ITEMS).map(|number| {
        format!(
            "{{\"id\":\"e5b29{job:04x}{number:07}\",\"path\":\"/lots/3/{number}\",\"headers\":{{{headers}\"Model\":\"m\",\
             \"Token-Count\":\"11,200\",\"Prompt-Prefix\":\"{prompt}{number:x}:1\"}},\"body\":\"{filler}\",\"tokens\":211}}"
        )
    });
    let items: Vec<String> = items.collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"allocation-lot","host":"desk.example","prefix":"/lots/","kind":"batch","timeout-ms":15000,"slo-ms":400,"target-ms":18000,"max-wait-s":60,"max-allowed":0,"prio":2,"service":"banco","attempts":3,"sticky":true,"resumable":true,"gap-slo-ms":300}],"services":[{"name":"banco","health":"/healthz","max-conns":290,"proto":"h1","tls":false,"engine":{"slots":6,"kv-tokens":134354}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":2000,"idle-timeout-ms":15000}}"#;
