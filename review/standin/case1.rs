//! Case 1: the replicas get newer weights, and a caller still names the version that it has used so far.
#[path = "kit.rs"]
mod kit;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const ITEMS: usize = 10;
const FINISH_BY: Duration = Duration::from_secs(18);

fn ask(front: &str, id: &str, headers: &str) -> Answer {
    let request = format!("POST /ask/{id} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 100,10\r\nPrompt-Prefix: 9c2e41:50,{id}:50\r\nDeadline-Ms: 5000\r\n{headers}Content-Length: 2\r\nConnection: close\r\n\r\nhi");
    call(front, &request, Duration::from_secs(6))
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
    let mut replicas: Vec<Replica> = (1..=3)
        .map(|number| start_replica(&mut processes, &format!("i-{number}"), &["--events", "50", "--pause", "10"]))
        .collect();
    for (number, replica) in replicas.iter().enumerate() {
        store.add_replica(&replica.id, &replica.address, &format!("zone-{}", number + 1), 8);
    }
    let ports = Ports::free(&processes.address(1));
    let daemons: Vec<Daemon> = (1..=2)
        .map(|number| start_daemon(&mut processes, &store.address, number, &ports, 2))
        .collect();
    wait_ready(&mut processes, &daemons);
    // A caller that names the version of the weights; it has one retry, which meets the other daemon.
    let pinned = |round: usize| {
        for (number, daemon) in daemons.iter().enumerate() {
            let answer = ask(&daemon.front, &format!("{:016x}", 0xe00 + round * 16 + number), "Expect-Version: 1\r\n");
            log.line(&format!("{}: the stream with Expect-Version 1 is answered {} ({} pieces)", daemon.name, answer.status, answer.body.matches("data: ").count()));
            if answer.status == 200 {
                break;
            }
        }
    };
    pinned(0);
    if trouble() {
        for replica in &mut replicas {
            let _ = writeln!(replica.input, "weights 2");
            log.line(&format!("{} gets weights of version 2", replica.id));
            thread::sleep(Duration::from_millis(1_000));
        }
    }
    pinned(1);
    thread::sleep(Duration::from_millis(500));
    let mut refused = 0;
    for number in 0..20 {
        let answer = ask(&daemons[number % 2].front, &format!("{:016x}", 0xf0 + number), "");
        refused += usize::from(answer.status != 200);
        if answer.status != 200 && refused < 5 {
            log.line(&format!("{}: a stream without it is answered {}: {}", daemons[number % 2].name, answer.status, answer.body));
        }
    }
    log.line(&format!("{refused} of 20 streams without it are refused"));
    let job = "7c41e09b52d6a3fb";
    let items: Vec<(String, String)> = (0..ITEMS).map(|number| (format!("{:016x}", 0xa0 + number), format!("item {number}"))).collect();
    let submitted = call(&daemons[0].front, &submission(job, &items), Duration::from_secs(4));
    log.line(&format!("the job with {ITEMS} items is answered {}; traffic ends", submitted.status));
    if submitted.status != 202 {
        processes.end_all();
        std::process::exit(CANNOT_RUN);
    }
    let addresses: Vec<String> = daemons.iter().map(|daemon| daemon.front.clone()).collect();
    let until = Instant::now() + FINISH_BY + Duration::from_secs(12);
    let results = read_to_end(&log, &addresses, job, until.saturating_duration_since(Instant::now()));
    let answer = ask(&daemons[0].front, "00000000000000ff", "");
    log.line(&format!("{}: a stream at the end is answered {}: {}; ready: {}", daemons[0].name, answer.status, answer.body.lines().next().unwrap_or_default(), call(&daemons[0].ready, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", Duration::from_secs(1)).status));
    for replica in &replicas {
        for line in replica.lines.try_iter() {
            log.line(&format!("replica {}: {line}", replica.id));
        }
    }
    processes.end_all();
    log.line(&format!("{} of {ITEMS} items are listed, {} s after traffic has ended", results.len(), FINISH_BY.as_secs() + 12));
    std::process::exit(i32::from(results.len() < ITEMS));
}
