//! Case 2: a replica crashes while it runs an item whose answer has no length and ends with its connection.
#[path = "kit.rs"]
mod kit;

use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const EVENTS: u64 = 200;
const ITEMS: usize = 18;
const REPLICAS: usize = 6;
/// Answers in chunks that the crashing replica gives before, so that the one without a length is under 3 in 100.
const MIN_STREAMS: usize = 40;
/// Time after which the entry of a replica that says nothing goes: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);

fn whole_text(item: &str) -> String {
    let lines: Vec<String> = (1..=EVENTS).map(|number| format!("{item}/{number}")).collect();
    lines.join("\n")
}

/// Sends streams until the first replica has answered enough of them; returns how many it has.
fn warm_up(log: &Log, daemons: &[Daemon], first: &Replica) -> usize {
    let mut answered = 0;
    for round in 0..60 {
        let calls: Vec<_> = (0..12)
            .map(|number| {
                let (front, id) = (daemons[number % 2].front.clone(), format!("{:016x}", 0xd000 + round * 12 + number));
                thread::spawn(move || {
                    let request = format!("POST /ask/{id} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 100,10\r\nPrompt-Prefix: {id}:50,{id}1:50\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
                    call(&front, &request, Duration::from_secs(6))
                })
            })
            .collect();
        let whole = calls.into_iter().map(|call| call.join().unwrap()).filter(|answer| answer.status == 200 && answer.whole).count();
        answered += first.lines.try_iter().filter(|line| line.starts_with("end")).count();
        if whole < 12 {
            log.line(&format!("only {whole} of 12 streams were served"));
        }
        if answered >= MIN_STREAMS {
            break;
        }
    }
    answered
}

fn main() {
    let log = Log::create();
    let mut processes = Processes::new(log.clone());
    let mut store = Store::start(&mut processes);
    store.put("op", "config", r#"{"version":1,"routes":[
        {"name":"lots","host":"desk.example","prefix":"/lots/","kind":"batch","service":"model","timeout-ms":30000,"slo-ms":400,"prio":2,"attempts":3,"target-ms":20000,"max-wait-s":60,"max-allowed":1600000,"resumable":true,"gap-slo-ms":250},
        {"name":"ask","host":"desk.example","prefix":"/ask/","kind":"stream","service":"model","timeout-ms":5000,"slo-ms":200,"prio":0,"attempts":2,"resumable":true,"gap-slo-ms":250}],
        "services":[{"name":"model","health":"/healthz","max-conns":370}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":5000,"idle-timeout-ms":20000}}"#.replace('\n', "").as_str());
    let replicas: Vec<Replica> = (1..=REPLICAS)
        .map(|number| {
            let options: &[&str] = if number == 1 { &["--close-first"] } else { &[] };
            start_replica(&mut processes, &format!("i-{number}"), options)
        })
        .collect();
    for (number, replica) in replicas.iter().enumerate() {
        store.add_replica(&replica.id, &replica.address, &format!("zone-{}", number % 3 + 1), 8);
    }
    let ports = Ports::free(&processes.address(1));
    let daemons: Vec<Daemon> = (1..=2)
        .map(|number| start_daemon(&mut processes, &store.address, number, &ports, 2))
        .collect();
    wait_ready(&mut processes, &daemons);
    let streams = warm_up(&log, &daemons, &replicas[0]);
    log.line(&format!("i-1 has answered {streams} streams in chunks"));

    let job = "7c41e09b52d6a3f8";
    let items: Vec<(String, String)> = (0..ITEMS).map(|number| (format!("{:016x}", 0xa00 + number), format!("item {number}"))).collect();
    let submitted = call(&daemons[0].front, &submission(job, &items), Duration::from_secs(4));
    log.line(&format!("the job with {ITEMS} items of {EVENTS} events each is answered {}", submitted.status));
    if submitted.status != 202 || streams < MIN_STREAMS {
        processes.end_all();
        std::process::exit(CANNOT_RUN);
    }
    // The crash comes while the item whose answer has no length is at about half of its events.
    let until = Instant::now() + Duration::from_secs(10);
    let mut unframed = None;
    while unframed.is_none() && Instant::now() < until {
        for line in replicas[0].lines.try_iter() {
            log.line(&format!("replica i-1: {line}"));
            if line.ends_with("without a length") {
                unframed = line.split(' ').nth(1).map(str::to_owned);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let Some(unframed) = unframed else {
        log.line("i-1 got no item");
        processes.end_all();
        std::process::exit(CANNOT_RUN);
    };
    thread::sleep(Duration::from_millis(900));
    if trouble() {
        processes.kill("i-1");
        thread::sleep(LAPSE);
        store.remove("servers", "i-1");
        log.line("the entry of i-1 is gone");
    }
    let addresses: Vec<String> = daemons.iter().map(|daemon| daemon.front.clone()).collect();
    let results = read_to_end(&log, &addresses, job, Duration::from_secs(40));
    let mut runs = 0;
    for replica in &replicas {
        for line in replica.lines.try_iter().filter(|line| line.contains(" 0000000000000a")) {
            runs += usize::from(line.contains(&unframed) && line.starts_with("begin") && replica.id != "i-1");
            log.line(&format!("replica {}: {line}", replica.id));
        }
    }
    processes.end_all();
    let mut broken = 0;
    for result in &results {
        let lines = result.text.lines().count();
        if result.state == "complete" && result.text != whole_text(&result.id) {
            log.line(&format!("BROKEN: {} is listed as complete with {lines} of {EVENTS} events", result.id));
            broken += 1;
        }
    }
    log.line(&format!("{unframed} began at i-1 without a length, and ran {runs} times elsewhere; {} of {ITEMS} items are listed, {broken} of them as complete without their whole output", results.len()));
    if results.len() < ITEMS {
        std::process::exit(CANNOT_RUN);
    }
    std::process::exit(i32::from(broken > 0));
}
