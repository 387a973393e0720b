//! Online requests in flight at owned replicas, as reported by all gateways.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use harrierward_wire::OnlineNotice;

use crate::node::lock;

/// Time after which the counts of a gateway that sends no notices are dropped.
const COUNT_TTL: Duration = Duration::from_secs(3);

/// Online load of one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OnlineLoad {
    /// Number of requests in flight.
    pub running: u32,
    /// Prompt tokens of these requests that are not yet prefilled.
    pub prefill_tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    load: OnlineLoad,
    received_at: Duration,
}

/// Online counts by replica and gateway.
#[derive(Debug, Default)]
pub struct OnlineView {
    replicas: Mutex<BTreeMap<String, BTreeMap<String, ReportedLoad>>>,
}

impl OnlineView {
    /// Replaces the counts of the gateway for the replicas that its notice names.
    pub fn apply(&self, notice: &OnlineNotice, now: Duration) {
        let mut replicas = lock(&self.replicas);
        for count in &notice.counts {
            let reported = ReportedLoad {
                load: OnlineLoad {
                    running: count.running,
                    prefill_tokens: count.prefill_tokens,
                },
                received_at: now,
            };
            let gateways = replicas.entry(count.replica.clone()).or_default();
            gateways.insert(notice.from.clone(), reported);
        }
    }

    /// Returns the online load of a replica, summed over all gateways.
    pub fn load(&self, replica: &str, now: Duration) -> OnlineLoad {
        let mut replicas = lock(&self.replicas);
        let Some(gateways) = replicas.get_mut(replica) else {
            return OnlineLoad::default();
        };
        gateways.retain(|_, reported| now.saturating_sub(reported.received_at) < COUNT_TTL);
        gateways
            .values()
            .fold(OnlineLoad::default(), |sum, reported| OnlineLoad {
                running: sum.running + reported.load.running,
                prefill_tokens: sum.prefill_tokens + reported.load.prefill_tokens,
            })
    }
}
