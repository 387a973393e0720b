//! A replica crashes while it sends streams whose end only the close of the connection marks.

#[path = "kit.rs"]
mod kit;
#[path = "replica.rs"]
mod replica;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{call, is_troubled, lock, start_self, Folder, Process, Record, Site, Store};
use replica::Shape;

/// Replicas, of which one crashes: 0.17 of them, as the sites' largest share.
const REPLICAS: usize = 6;
const EVENTS: u64 = 40;
/// Streams in progress: nearly as many as there are slots.
const STREAMS: usize = 44;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|role| role == "replica") {
        replica::run(&args[1..]);
        return;
    }
    if args.first().is_some_and(|role| role == "guard") {
        kit::guard(&args[1..]);
        return;
    }
    let case_folder = args.first().cloned().unwrap_or_else(|| ".".to_owned());
    let root = PathBuf::from(args.get(1).cloned().unwrap_or_else(|| ".".to_owned()));
    exit(run(&case_folder, &root));
}

struct Replica {
    id: String,
    process: Process,
}

fn run(case_folder: &str, root: &std::path::Path) -> i32 {
    kit::watch_over(Duration::from_secs(110));
    let record = Record::open(case_folder);
    let folder = Folder::new("cut-stream");
    let store = Store::start();
    // Who runs each request now, by the replicas' own words.
    let running: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let shape = Shape {
            id: format!("i-{number}"),
            events: EVENTS,
            first_ms: 150,
            pause_ms: 60,
            slots: 8,
            queue: 24,
            closes: true,
            filler: 40,
            long: 1,
        };
        let (send, receive) = std::sync::mpsc::channel();
        let (notes, running, id) = (record.clone(), running.clone(), shape.id.clone());
        let process = start_self(&shape.args(), move |line| {
            notes.note(&format!("replica {id}: {line}"));
            let words: Vec<&str> = line.split(' ').collect();
            match words.as_slice() {
                ["address", address] => drop(send.send((*address).to_owned())),
                ["run", request, ..] => drop(lock(&running).insert((*request).to_owned(), id.clone())),
                _ => {}
            }
        });
        let Ok(address) = receive.recv_timeout(Duration::from_secs(5)) else {
            record.say("a replica did not start");
            return 2;
        };
        store.put("servers", &shape.id, &entry(&address, 1));
        replicas.push(Replica { id: shape.id, process });
    }
    store.put("op", "config", CONFIGURATION);
    let site = Site {
        folder: folder.0.clone(),
        store: store.address.clone(),
        daemons: 2,
        ..Site::default()
    };
    let daemons: Vec<kit::Daemon> = (0..2).map(|number| site.start(number, root)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(20))) {
        record.say("a daemon did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let front = daemons[number % daemons.len()].front.clone();
        let (record, results) = (record.clone(), results.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64);
            let head = format!(
                "POST /ask/{number} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nModel: m\r\n\
                 Token-Count: 646,80\r\nPrompt-Prefix: 5c1e07a2:155,{:x}:491\r\nDeadline-Ms: 5000\r\n",
                0xe440_0000 + number
            );
            record.note(&format!("client: sent {id}"));
            let answer = call(&front, &head, b"{}", Duration::from_secs(6));
            lock(&results).push((id, answer));
        }));
        thread::sleep(Duration::from_millis(20));
    }
    // In the middle of the streams.
    thread::sleep(Duration::from_millis(700));
    let busiest = (0..REPLICAS).max_by_key(|number| {
        let id = &replicas[*number].id;
        lock(&running).values().filter(|at| *at == id).count()
    });
    let crashed = busiest.unwrap_or(0);
    let crashed_id = replicas[crashed].id.clone();
    let at_crash: Vec<String> = {
        let running = lock(&running);
        let there = running.iter().filter(|(_, at)| **at == crashed_id);
        there.map(|(request, _)| request.clone()).collect()
    };
    if is_troubled() {
        replicas[crashed].process.kill();
        record.say(&format!("replica {crashed_id} crashes; it runs {}", at_crash.join(" ")));
        // Its entry goes after three heartbeats.
        let (store, id) = (store.clone(), crashed_id.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.remove("servers", &id);
        });
    }
    for client in clients {
        let _ = client.join();
    }
    let mut broken = 0;
    for (id, answer) in lock(&results).iter() {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let numbers: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let last = numbers.last().copied().unwrap_or(0);
        let is_in_order = numbers.iter().copied().eq(1..=last);
        let seems_whole = answer.status == 200 && answer.complete;
        record.note(&format!(
            "client: {id} status {}, events 1 to {last}{}, {}",
            answer.status,
            if is_in_order { "" } else { " NOT IN ORDER" },
            if answer.complete { "complete" } else { "cut off" }
        ));
        if seems_whole && (last < EVENTS || !is_in_order) {
            broken += 1;
            record.say(&format!(
                "ORDER broken: stream {id} ends as complete after event {last} of {EVENTS}"
            ));
        }
    }
    let whole = lock(&results).iter().filter(|(_, answer)| answer.complete).count();
    record.say(&format!("{whole} streams of {STREAMS} ended as complete, {broken} of them before their last event"));
    if whole == 0 {
        return 2;
    }
    i32::from(broken > 0)
}

fn entry(address: &str, seq: u64) -> String {
    format!(
        "{{\"service\":\"banco\",\"addr\":\"{address}\",\"zone\":\"zone\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
         \"warmup-ms\":0,\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq}}}"
    )
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"desk-ask","host":"desk.example","prefix":"/ask/","kind":"stream","timeout-ms":5000,"slo-ms":200,"prio":0,"service":"banco","attempts":2,"sticky":true,"resumable":true,"gap-slo-ms":250}],"services":[{"name":"banco","health":"/healthz","max-conns":290,"proto":"h1","tls":false,"engine":{"slots":8,"kv-tokens":153000}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":2000,"idle-timeout-ms":15000}}"#;
