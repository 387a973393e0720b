//! One item of a batch job takes some times as long as the others, and so has that much more output.

#[path = "kit.rs"]
mod kit;
#[path = "replica.rs"]
mod replica;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{call, is_troubled, lock, start_self, Daemon, Folder, Json, Process, Record, Site, Store};
use replica::{event_data, Shape};

const REPLICAS: usize = 2;
/// Slots of each, so that some of the items begin when the long one has ended.
const SLOTS: usize = 6;
/// Items of the batch job; it may have 200.
const ITEMS: usize = 150;

/// Events of an ordinary item and bytes of each: the mean and the most of allocation-lot on the sheet.
const EVENTS: u64 = 216;
const EVENT_BYTES: usize = 360;

/// The long item: 11 times as long, 855 kB of text. One of 150 items, the first.
const LONG: u64 = 11;

const JOB: &str = "7c41e09b52d6a3f8";
const FINISH_BY: Duration = Duration::from_secs(18);

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

/// What the replicas have said of each item: runs begun, runs finished whole, and when that last changed.
#[derive(Default)]
struct Runs {
    items: BTreeMap<String, (u32, u32)>,
    changed_at: Option<Instant>,
}

fn item_id(number: usize) -> String {
    format!("e5b2907c14da6{number:03}")
}

fn run(case_folder: &str, root: &Path) -> i32 {
    kit::watch_over(Duration::from_secs(115));
    let record = Record::open(case_folder);
    let folder = Folder::new("long-result");
    let store = Store::start();
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let mut replicas: Vec<Process> = Vec::new();
    // An event's data is the item's id, a dash, its number, and the filler.
    let filler = EVENT_BYTES - item_id(0).len() - 4;
    for number in 0..REPLICAS {
        let shape = Shape {
            id: format!("i-{number}"),
            events: EVENTS,
            first_ms: 60,
            pause_ms: 4,
            slots: SLOTS,
            queue: 24,
            closes: false,
            filler,
            long: LONG,
        };
        let (send, receive) = std::sync::mpsc::channel();
        let (notes, runs, id) = (record.clone(), runs.clone(), shape.id.clone());
        let process = start_self(&shape.args(), move |line| {
            notes.note(&format!("replica {id}: {line}"));
            let words: Vec<&str> = line.split(' ').collect();
            let mut runs = lock(&runs);
            match words.as_slice() {
                ["address", address] => drop(send.send((*address).to_owned())),
                ["run", item, ..] => runs.items.entry((*item).to_owned()).or_default().0 += 1,
                ["left", item, "whole"] => runs.items.entry((*item).to_owned()).or_default().1 += 1,
                _ => {}
            }
            runs.changed_at = Some(Instant::now());
        });
        let Ok(address) = receive.recv_timeout(Duration::from_secs(5)) else {
            record.say("a replica did not start");
            return 2;
        };
        let entry = format!(
            "{{\"service\":\"banco\",\"addr\":\"{address}\",\"zone\":\"zone\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"warmup-ms\":0,\"seq\":1}}"
        );
        store.put("servers", &shape.id, &entry);
        replicas.push(process);
    }
    store.put("op", "config", CONFIGURATION);
    let site = Site {
        folder: folder.0.clone(),
        store: store.address.clone(),
        daemons: 3,
        ..Site::default()
    };
    let daemons: Vec<Daemon> = (0..3).map(|number| site.start(number, root)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(20))) {
        record.say("a daemon did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let head = format!(
        "POST /lots/7c41e0 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {JOB}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: 4000\r\n"
    );
    let answer = call(&daemons[0].front, &head, submission().as_bytes(), Duration::from_secs(5));
    record.say(&format!("client: the batch job of {ITEMS} items is answered {}", answer.status));
    if answer.status != 202 {
        return 2;
    }
    // The replicas have finished every item, and none runs.
    let until = Instant::now() + Duration::from_secs(45);
    let is_run = || {
        let runs = lock(&runs);
        (0..ITEMS).all(|number| runs.items.get(&item_id(number)).is_some_and(|(_, whole)| *whole > 0))
    };
    while !is_run() && Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
    }
    if !is_run() {
        record.say("the replicas did not finish all items");
        return 2;
    }
    record.say("the replicas have finished every item");
    thread::sleep(FINISH_BY);
    let mut listed = BTreeMap::new();
    let until = Instant::now() + Duration::from_secs(20);
    while listed.len() < ITEMS && Instant::now() < until {
        listed.extend(read(&daemons, &record, 0));
        thread::sleep(Duration::from_secs(3));
    }
    let calm = lock(&runs).changed_at.map_or(Duration::ZERO, |at| at.elapsed());
    let mut missing = 0;
    let mut wrong = 0;
    for number in 0..ITEMS {
        let id = item_id(number);
        let (begun, whole) = lock(&runs).items.get(&id).copied().unwrap_or_default();
        match listed.get(&id) {
            None => {
                missing += 1;
                record.note(&format!(
                    "LOST: item {id} is neither complete nor errored; it was run {begun} times, {whole} times to its end"
                ));
            }
            Some((state, text)) => {
                let is_whole = state != "complete" || *text == output(&id, is_long(number));
                wrong += u32::from(!is_whole);
                record.note(&format!("item {id}: {state}, {} bytes, whole: {is_whole}", text.len()));
            }
        }
    }
    record.say(&format!(
        "{} of {ITEMS} items are listed, {missing} are missing, {wrong} are not whole; for {:.0} s no replica has run or \
         finished anything",
        listed.len(),
        calm.as_secs_f64()
    ));
    let (refused, bytes) = store.refused();
    record.say(&format!("the store refused {refused} transactions above its limits, of {bytes} bytes at most"));
    i32::from(missing > 0 || wrong > 0)
}

fn is_long(number: usize) -> bool {
    is_troubled() && number == 0
}

fn output(id: &str, is_long: bool) -> String {
    let filler = EVENT_BYTES - item_id(0).len() - 4;
    let events = if is_long { EVENTS * LONG } else { EVENTS };
    let all: Vec<String> = (1..=events).map(|number| event_data(id, number, filler)).collect();
    all.join("\n")
}

/// Reads the batch job from a position to its end, at one daemon after the other; returns state and text by item.
fn read(daemons: &[Daemon], record: &Record, from: u64) -> BTreeMap<String, (String, String)> {
    let mut all = BTreeMap::new();
    let mut after = from;
    for turn in 0..60 {
        let daemon = &daemons[turn % daemons.len()];
        let head = format!("GET /v1/lots/{JOB}?after-rev={after} HTTP/1.1\r\nHost: desk.example\r\n");
        let answer = call(&daemon.front, &head, b"", Duration::from_secs(5));
        if answer.status != 200 {
            record.note(&format!("client: a read from {after} on is answered {}", answer.status));
            thread::sleep(Duration::from_millis(300));
            continue;
        }
        let Some(page) = Json::parse(&String::from_utf8_lossy(&answer.body)) else {
            continue;
        };
        let results = page.get("results").list();
        if results.is_empty() {
            record.note(&format!("client: {after} results of {} are listed", page.get("total").number()));
            break;
        }
        for result in results {
            let (state, text) = (result.get("state").text(), result.get("text").text());
            all.insert(result.get("id").text().to_owned(), (state.to_owned(), text.to_owned()));
        }
        after = page.get("next-token").number();
    }
    all
}

fn submission() -> String {
    let items = (0..ITEMS).map(|number| {
        // The long one states its output too: 90,000 tokens, which the engine's memory of 134,354 holds.
        let (path, tokens) = if is_long(number) { ("long", 90_000) } else { ("short", 9_000) };
        format!(
            "{{\"id\":\"{}\",\"path\":\"/lots/3/{path}\",\"headers\":{{\"Model\":\"m\",\"Token-Count\":\"1776,{tokens}\",\
             \"Prompt-Prefix\":\"9c2e41:576,{number:x}:1200\"}},\"body\":\"q83vEjRWeJA=\",\"tokens\":{}}}",
            item_id(number),
            tokens + 1776
        )
    });
    let items: Vec<String> = items.collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"allocation-lot","host":"desk.example","prefix":"/lots/","kind":"batch","timeout-ms":15000,"slo-ms":400,"target-ms":18000,"max-wait-s":60,"max-allowed":0,"prio":2,"service":"banco","attempts":3,"sticky":true,"resumable":true,"gap-slo-ms":300}],"services":[{"name":"banco","health":"/healthz","max-conns":290,"proto":"h1","tls":false,"engine":{"slots":6,"kv-tokens":134354}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":2000,"idle-timeout-ms":15000}}"#;
