//! Case 3: batch jobs whose ids continue the id of another one after a dot; their daemon is killed.
#[path = "kit.rs"]
mod kit;

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const EVENTS: u64 = 150;
const ITEMS: usize = 2;
/// Time after which the killed daemon is started again.
const RESTART: Duration = Duration::from_millis(3_000);
const PAIRS: usize = 4;

fn whole_text(item: &str) -> String {
    let lines: Vec<String> = (1..=EVENTS).map(|number| format!("{item}/{number}")).collect();
    lines.join("\n")
}

fn main() {
    let log = Log::create();
    let mut processes = Processes::new(log.clone());
    let mut store = Store::start(&mut processes);
    store.put("op", "config", r#"{"version":1,"routes":[
        {"name":"lots","host":"desk.example","prefix":"/lots/","kind":"batch","service":"model","timeout-ms":30000,"slo-ms":400,"prio":2,"attempts":3,"target-ms":20000,"max-wait-s":60,"max-allowed":1600000,"resumable":true,"gap-slo-ms":250}],
        "services":[{"name":"model","health":"/healthz","max-conns":370}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":5000,"idle-timeout-ms":20000}}"#.replace('\n', "").as_str());
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| start_replica(&mut processes, &format!("i-{number}"), &["--events", "150", "--pause", "10", "--slots", "8"]))
        .collect();
    for (number, replica) in replicas.iter().enumerate() {
        store.add_replica(&replica.id, &replica.address, &format!("zone-{}", number + 1), 8);
    }
    let ports = Ports::free(&processes.address(1));
    let daemons: Vec<Daemon> = (1..=3)
        .map(|number| start_daemon(&mut processes, &store.address, number, &ports, 3))
        .collect();
    wait_ready(&mut processes, &daemons);

    let pairs = (1..=PAIRS).map(|number| format!("rebook-{number}"));
    let jobs: Vec<String> = pairs.flat_map(|job| [job.clone(), format!("{job}.0")]).collect();
    let mut own: HashMap<String, Vec<String>> = HashMap::new();
    for (number, job) in jobs.iter().enumerate() {
        let items: Vec<(String, String)> = (0..ITEMS).map(|item| (format!("{:08x}", 0x1000 * (number + 1) + item), format!("item {item} of {job}"))).collect();
        own.insert(job.clone(), items.iter().map(|(id, _)| id.clone()).collect());
        let submitted = call(&daemons[0].front, &submission(job, &items), Duration::from_secs(4));
        log.line(&format!("job {job} with items {} is answered {}", own[job].join(" "), submitted.status));
        if submitted.status != 202 {
            processes.end_all();
            std::process::exit(CANNOT_RUN);
        }
    }
    thread::sleep(Duration::from_millis(300));
    if trouble() {
        processes.kill(&daemons[0].name);
        thread::sleep(RESTART);
        start_daemon(&mut processes, &store.address, 1, &ports, 3);
    }
    let addresses: Vec<String> = daemons[1..].iter().map(|daemon| daemon.front.clone()).collect();
    let until = Instant::now() + Duration::from_secs(45);
    let mut broken = 0;
    let mut unlisted = 0;
    for job in &jobs {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_secs(4));
        let results = read_to_end(&log, &addresses, job, left);
        let mut seen: Vec<&str> = Vec::new();
        for (position, result) in results.iter().enumerate() {
            let mut wrong = Vec::new();
            if !own[job].contains(&result.id) {
                wrong.push("names an item of another batch job");
            }
            if seen.contains(&result.id.as_str()) {
                wrong.push("stands at two positions");
            }
            if result.state == "complete" && result.text != whole_text(&result.id) {
                wrong.push("is complete, but its text is not the output of the item");
            }
            if result.state != "complete" {
                wrong.push("is errored, though no replica has failed it");
            }
            for one in wrong {
                log.line(&format!("BROKEN: {job}, position {position}: {} {one}", result.id));
                broken += 1;
            }
            seen.push(&result.id);
        }
        if results.len() < ITEMS {
            log.line(&format!("{job}: {} of {ITEMS} results are listed", results.len()));
            unlisted += ITEMS - results.len();
        }
    }
    for replica in &replicas {
        for line in replica.lines.try_iter() {
            log.line(&format!("replica {}: {line}", replica.id));
        }
    }
    log.line(&format!("{broken} results are wrong, {unlisted} are not listed"));
    processes.end_all();
    std::process::exit(i32::from(broken > 0 || unlisted > 0));
}
