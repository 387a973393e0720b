//! Case 1: some items can never be done, since they are larger than the memory of every replica. All other items of all
//! jobs wait behind them, while the replicas are idle.
#[path = "kit.rs"]
mod kit;

use std::collections::HashSet;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const JOBS: usize = 20;
const ITEMS: usize = 20;
/// Position in its job of the item that can't be done: one of 20, a share of 0.05.
const LARGE: usize = 7;
/// Tokens that a replica has memory for.
const MEMORY: u64 = 153_000;
const FINISH_BY: Duration = Duration::from_secs(18);
/// Time after `finish-by-s` in which the items might still be done.
const MORE: Duration = Duration::from_secs(32);
/// Spans at the end in which no replica holds an item, and none is finished.
const CALM: Duration = Duration::from_secs(5);

fn job_name(job: usize) -> String {
    format!("7c41e09b52d6a{job:03x}")
}

fn item_name(job: usize, item: usize) -> String {
    format!("{:016x}", 0xa000 + job * 0x100 + item)
}

fn main() {
    let log = Log::create();
    let mut processes = Processes::new(log.clone());
    let mut store = Store::start(&mut processes);
    store.put("op", "config", format!(r#"{{"version":1,"routes":[
        {{"name":"lots","host":"desk.example","prefix":"/lots/","kind":"batch","service":"model","timeout-ms":30000,"slo-ms":400,"prio":2,"attempts":3,"target-ms":20000,"max-wait-s":60,"max-allowed":0,"resumable":true,"gap-slo-ms":250}}],
        "services":[{{"name":"model","health":"/healthz","max-conns":370,"engine":{{"slots":8,"kv-tokens":{MEMORY}}}}}],
        "limits":{{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":5000,"idle-timeout-ms":20000}}}}"#).replace('\n', "").as_str());
    let replicas: Vec<Replica> = (1..=3)
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

    let large: HashSet<String> = (0..JOBS).map(|job| item_name(job, LARGE)).collect();
    let tokens_in = |id: &str| if trouble() && large.contains(id) { MEMORY + 1_000 } else { 1_000 };
    for job in 0..JOBS {
        let items: Vec<(String, String)> = (0..ITEMS).map(|item| (item_name(job, item), format!("item {item}"))).collect();
        let daemon = &daemons[job % 2];
        let submitted = call(&daemon.front, &submission_of(&job_name(job), &items, tokens_in), Duration::from_secs(4));
        log.line(&format!("job {} with {ITEMS} items is answered {} by {}", job_name(job), submitted.status, daemon.name));
        if submitted.status != 202 {
            processes.end_all();
            std::process::exit(CANNOT_RUN);
        }
    }
    let count = if trouble() { JOBS } else { 0 };
    log.line(&format!("{count} of {} items are larger than the memory of a replica; traffic ends", JOBS * ITEMS));

    // Watches what the replicas do until all items are done that can be, or the time is up.
    let ended = Instant::now();
    let (mut runs, mut finished, mut refused) = (0, 0, 0);
    let mut last_run = ended;
    while ended.elapsed() < FINISH_BY + MORE && finished < JOBS * ITEMS - count {
        for replica in &replicas {
            for line in replica.lines.try_iter() {
                if line.starts_with("refuse") {
                    refused += 1;
                    if refused <= 20 {
                        log.line(&format!("replica {}: {line}", replica.id));
                    }
                    continue;
                }
                log.line(&format!("replica {}: {line}", replica.id));
                last_run = Instant::now();
                runs += usize::from(line.starts_with("begin"));
                finished += usize::from(line.ends_with("200, whole"));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let idle = last_run.elapsed();
    log.line(&format!(
        "{} s after traffic has ended: {runs} runs, {finished} of them whole, {refused} refusals; no replica has held an item for {} s",
        ended.elapsed().as_secs(),
        idle.as_secs()
    ));
    thread::sleep(Duration::from_secs(2));
    let mut missing = 0;
    let mut listed = 0;
    for job in 0..JOBS {
        let results: HashSet<String> = (0..2)
            .find_map(|turn| read_job(&daemons[(job + turn) % 2].front, &job_name(job), 0))
            .map(|(_, results)| results.into_iter().map(|one| one.id).collect())
            .unwrap_or_default();
        listed += results.len();
        let unlisted = (0..ITEMS).map(|item| item_name(job, item)).filter(|id| !results.contains(id) && tokens_in(id) < MEMORY);
        let unlisted = unlisted.count();
        if unlisted > 0 {
            log.line(&format!("BROKEN: {unlisted} items of job {} that any replica could do are neither complete nor errored", job_name(job)));
        }
        missing += unlisted;
    }
    processes.end_all();
    log.line(&format!("{listed} of {} items are listed; {missing} of the others could be done", JOBS * ITEMS));
    if missing > 0 && idle < CALM {
        log.line("the replicas were not idle; this shows nothing");
        std::process::exit(CANNOT_RUN);
    }
    std::process::exit(i32::from(missing > 0));
}
