//! Computes the capacity plan at each control tick, outside of the request path.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_capacity::{CapacityPlanner, PlanInput, ServiceLoad};
use tokio::time::sleep;

use crate::clock::{hour_of_day, now_ms};
use crate::node::{Shared, lock};

const PREFIX: &str = "capacity:";
const TICK: Duration = Duration::from_secs(1);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut planner = CapacityPlanner::default();
    let mut reported: BTreeMap<String, String> = BTreeMap::new();
    loop {
        let config = shared.config.load_full();
        let input = input(&shared);
        let (plan, problems) = planner.plan(&config, &input);
        for problem in problems {
            let detail = problem.error.to_string();
            if reported.get(&problem.policy) != Some(&detail) {
                log::warn!("{PREFIX} policy {} {detail}", problem.policy);
                reported.insert(problem.policy, detail);
            }
        }
        shared.plan.store(Arc::new(plan));
        sleep(TICK).await;
    }
}

/// Builds the planner input from the loads of the replicas in the directory of this daemon.
fn input(shared: &Arc<Shared>) -> PlanInput {
    let now = shared.now();
    let backlog = shared.owner.backlog_by_tenant();
    let mut loads: BTreeMap<String, ServiceLoad> = BTreeMap::new();
    let directory = shared.directory.load();
    for (service, entry) in &directory.services {
        let replicas = u32::try_from(entry.replicas.len()).unwrap_or(u32::MAX);
        let running: u32 = entry
            .replicas
            .iter()
            .map(|replica| replica.load.in_flight())
            .sum();
        let slots = f64::from(replicas.max(1) * shared.settings.slots.max_running);
        let load = ServiceLoad {
            replicas,
            idle: (1.0 - f64::from(running) / slots).clamp(0.0, 1.0),
            online_running: f64::from(running),
            backlog: backlog.get(service).cloned().unwrap_or_default(),
        };
        loads.insert(service.clone(), load);
    }
    PlanInput {
        loads,
        hour: hour_of_day(now_ms()),
        fresh: lock(&shared.config_replica).is_fresh(now),
    }
}
